package hosted

import (
	"context"
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/platform/fake"
)

// otherPrefix is the route of the second service.
const otherPrefix = "/other/"

// unlikeOptions describe a deployment that is like none of the users' ones: one zone, two
// services on one set of entries, other names, other bounds.
func unlikeOptions(admissionCheck bool) Options {
	route := func(name, pathPrefix, service string, priority int) map[string]any {
		return map[string]any{
			"Name": name, "Host": routeHost, "Prefix": pathPrefix, "Service": service, "TimeoutMs": 2500,
			"TargetLatencyMs": 400, "Priority": priority, "MaxAttempts": 2, "Stretch": 4,
		}
	}
	return Options{
		Entries: 2, Agents: 6, Zones: []string{"only-zone"}, Services: []string{"pump-9", "sluice"},
		Bounds: map[string]int{"ConfigApplyMs": 1500, "HoldMaxMs": 600, "StopTimeoutMs": 30, "ResendMs": 1100},
		Prepare: func(s *fake.Store) {
			s.Put("op", "config", map[string]any{
				"Version": 70, "Limits": map[string]int{"MaxBodyBytes": 1 << 16},
				"Routes":   []map[string]any{route("a", prefix, "pump-9", 3), route("b", otherPrefix, "sluice", 0)},
				"Services": []map[string]any{{"Name": "pump-9", "AdmissionCheck": admissionCheck}, {"Name": "sluice"}},
			})
		},
	}
}

// Nothing may follow from the names, the number of zones or the bounds of the deployments
// that are known. Endpoints come back under their ids meanwhile.
func TestADeploymentUnlikeTheKnownOnesIsServed(t *testing.T) {
	for name, admissionCheck := range map[string]bool{"guarded": true, "unguarded": false} {
		t.Run(name, func(t *testing.T) {
			c := Start(t, unlikeOptions(admissionCheck))
			harness.Eventually(t, readyLimit, "the second service is served at every entry", func() bool {
				for _, e := range c.Entries {
					ctx, cancel := context.WithTimeout(t.Context(), clientDeadline+clientMargin)
					a := c.SubmitWithin(ctx, e, otherPrefix, NewJobID(), fake.Tasks(20, 30))
					cancel()
					if !a.Completed() {
						return false
					}
				}
				return true
			})
			tr := c.StartTraffic(6, 20*time.Millisecond)
			for round := range 3 {
				time.Sleep(time.Second)
				c.Agents[round].Endpoint.Restart()
			}
			time.Sleep(2 * time.Second)
			tr.Stop()
			tr.Check()
			if all, completed, _ := tr.Counts(); completed*10 < all*9 {
				t.Errorf("%d of %d answers are completed jobs, want 90 %%", completed, all)
			}
		})
	}
}
