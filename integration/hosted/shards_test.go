package hosted

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
)

// startSplit starts a deployment whose service is split into three shards.
func startSplit(t *testing.T, entries int) *Cluster {
	t.Helper()
	c := Start(t, Options{Entries: entries, Agents: 6, ShardEndpoints: 2})
	harness.Eventually(t, 5*time.Second, "every entry has the service in three shards", func() bool {
		for _, e := range c.Entries {
			if !strings.Contains(e.Log(), `"event":"service_split"`) || !strings.Contains(e.Log(), `"to":3`) {
				return false
			}
		}
		return true
	})
	return c
}

func TestTheShardsOfAServiceUseAllEndpoints(t *testing.T) {
	c := startSplit(t, 4)
	tr := c.StartTraffic(8, 10*time.Millisecond)
	harness.Eventually(t, 5*time.Second, "tasks run at every endpoint", func() bool {
		for _, h := range c.Agents {
			if c.Record.StartsAt(h.Endpoint.ID()) < 5 {
				return false
			}
		}
		return true
	})
	tr.Stop()
	tr.Check()
	for _, a := range tr.answers {
		if !a.Completed() {
			t.Errorf("%+v", a)
		}
	}
}

// Each of these jobs fits only one endpoint, and so only one shard. With two
// entries, one of them is the home of two shards.
func TestAJobIsPassedOnToTheShardThatItFits(t *testing.T) {
	for _, entries := range []int{2, 4} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) { passOn(t, startSplit(t, entries)) })
	}
}

// passOn submits jobs for each endpoint through each entry.
func passOn(t *testing.T, c *Cluster) {
	t.Helper()
	body := func(label string) string {
		return fmt.Sprintf(`{"Spec":"10","BestEffort":true,"Steps":[{"Count":2,"Cpu":1000,"MemMb":64,"EstimateMs":10,"Requires":%q}]}`, label)
	}
	for i := range c.Agents {
		for n := range 3 * len(c.Entries) {
			e := c.Entries[n%len(c.Entries)]
			if a := c.Submit(e, NewJobID(), body(label(i))); !a.Completed() {
				t.Errorf("%s, only at endpoint %d: %+v", e.Name, i, a)
			}
		}
	}
	if a := c.Submit(c.Entries[0], NewJobID(), body("no endpoint has it")); a.Status != 503 || !strings.Contains(a.Body, "never_fits") {
		t.Errorf("%+v", a)
	}
}

func TestTheLossOfAShardsHomeLosesNoOtherShard(t *testing.T) {
	c := startSplit(t, 4)
	tr := c.StartTraffic(8, 20*time.Millisecond)
	for _, e := range c.Entries {
		e.Kill()
		waitServed(t, c, 5*time.Second)
		e.Start(t)
		harness.Eventually(t, 5*time.Second, "the entry is ready again", e.Ready)
	}
	waitServed(t, c, 5*time.Second)
	tr.Stop()
	tr.Check()
}
