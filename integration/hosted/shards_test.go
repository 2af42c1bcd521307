package hosted

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
)

// startSplit starts a deployment whose service is split into three shards.
func startSplit(t *testing.T) *Cluster {
	t.Helper()
	c := Start(t, Options{Entries: 4, Agents: 6, ShardEndpoints: 2})
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
	c := startSplit(t)
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

// Only one shard has the endpoint that these tasks need.
func TestAJobIsPassedOnToTheShardThatItFits(t *testing.T) {
	c := startSplit(t)
	body := fmt.Sprintf(`{"Spec":"10","BestEffort":true,"Steps":[{"Count":2,"Cpu":1000,"MemMb":64,"EstimateMs":10,"Requires":%q}]}`, labelOfFirst)
	for range 8 {
		for _, e := range c.Entries {
			if a := c.Submit(e, NewJobID(), body); !a.Completed() {
				t.Errorf("%s: %+v", e.Name, a)
			}
		}
	}
	never := strings.Replace(body, labelOfFirst, "no endpoint has it", 1)
	if a := c.Submit(c.Entries[0], NewJobID(), never); a.Status != 503 || !strings.Contains(a.Body, "never_fits") {
		t.Errorf("%+v", a)
	}
}

func TestTheLossOfAShardsHomeLosesNoOtherShard(t *testing.T) {
	c := startSplit(t)
	tr := c.StartTraffic(8, 20*time.Millisecond)
	for _, e := range c.Entries {
		e.Kill()
		servedAgain(t, c, 5*time.Second)
		e.Start(t)
		harness.Eventually(t, 5*time.Second, "the entry is ready again", e.Ready)
	}
	servedAgain(t, c, 5*time.Second)
	tr.Stop()
	tr.Check()
}
