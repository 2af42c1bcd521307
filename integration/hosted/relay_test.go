package hosted

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/platform/fake"
)

// Bounds of the platform's settings.
const (
	evacuateTime    = 5 * time.Second // EvacuateMs
	configApplyTime = 2 * time.Second // ConfigApplyMs
	// askTime is how long entries go on without the store before they ask agents.
	askTime = 500 * time.Millisecond
)

// turnAway has the store treat the given hosts so, and waits until all entries miss it: a
// call that has begun before would still be answered.
func turnAway(t *testing.T, c *Cluster, fault fake.StoreFault, hosts ...*Host) {
	t.Helper()
	away := map[string]bool{}
	for _, h := range hosts {
		away[h.IP] = true
	}
	c.Store.SetFault(func(host string) fake.StoreFault {
		if away[host] {
			return fault
		}
		return fake.StoreHealthy
	})
	harness.Eventually(t, 5*time.Second, "the entries miss the store", func() bool {
		for _, e := range c.Entries {
			if !strings.Contains(e.Log(), `"event":"store_lost"`) {
				return false
			}
		}
		return true
	})
}

// Only entries read the operator's rows as long as the store serves one of them.
func TestAnEvacuationIsInForceWhileTheStoreTurnsAllEntriesAway(t *testing.T) {
	c := New(t, 3, 3)
	turnAway(t, c, fake.StoreSilent, c.Entries...)
	c.Store.Evacuate(c.Agents[0].Zone)
	evacuated := func() bool {
		before := c.Record.StartsAt(c.Agents[0].Endpoint.ID())
		for _, e := range c.Entries {
			if !c.Submit(e, NewJobID(), fake.Tasks(8*len(c.Agents)-4, 20)).Completed() { // needs every endpoint that takes tasks
				return false
			}
		}
		return c.Record.StartsAt(c.Agents[0].Endpoint.ID()) == before
	}
	harness.Eventually(t, evacuateTime, "the zone gets no task", evacuated)
	c.Store.EndEvacuation(c.Agents[0].Zone)
	harness.Eventually(t, evacuateTime, "the zone gets tasks again", func() bool { return !evacuated() })
}

// One agent is turned away as well.
func TestAConfigurationIsInForceWhileTheStoreTurnsAllEntriesAway(t *testing.T) {
	c := New(t, 3, 3)
	turnAway(t, c, fake.StoreBusy, append([]*Host{c.Agents[0]}, c.Entries...)...)
	for version, next := range []string{"/new/", "/newer/"} {
		c.SetConfig(10+version, next)
		harness.Eventually(t, configApplyTime+askTime, "every entry serves the new route only", func() bool {
			for _, e := range c.Entries {
				served := c.SubmitWithin(t.Context(), e, next, NewJobID(), fake.Tasks(1, 10)).Completed()
				if !served || c.SubmitWithin(t.Context(), e, prefix, NewJobID(), fake.Tasks(1, 10)).Status != http.StatusNotFound {
					return false
				}
			}
			return true
		})
	}
	// An entry that starts meanwhile has only agents to read for it if it is alone.
	for _, e := range c.Entries {
		e.Kill()
	}
	c.Entries[0].Start(t)
	harness.Eventually(t, readyLimit, "the new entry is ready", c.Entries[0].Ready)
	if a := c.SubmitWithin(t.Context(), c.Entries[0], "/newer/", NewJobID(), fake.Tasks(1, 10)); !a.Completed() {
		t.Errorf("at the new entry: %+v", a)
	}
}
