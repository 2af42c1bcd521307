package hosted

import (
	"strings"
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/platform/fake"
)

// logged reports whether a process has logged an event with some text in its line.
func logged(h *Host, event, text string) bool {
	for line := range strings.Lines(h.Log()) {
		if strings.Contains(line, `"event":"`+event+`"`) && strings.Contains(line, text) {
			return true
		}
	}
	return false
}

func TestWhatAHomeKnowsOfAnEndpointSurvivesItsLoss(t *testing.T) {
	c := New(t, 3, 4)
	home, others := homeAndOthers(t, c)
	bad := c.Agents[1]
	bad.Endpoint.SetFault(fake.EndpointFailsTasks)
	tr := c.StartTraffic(8, 5*time.Millisecond)
	harness.Eventually(t, 10*time.Second, "the home ejects the endpoint and its agent is told", func() bool {
		return logged(home, "endpoint_ejected", bad.Endpoint.ID()) && logged(bad, "evidence_kept", `"ejected":true`)
	})
	home.Kill()
	harness.Eventually(t, 5*time.Second, "the next home knows that the endpoint is ejected", func() bool {
		for _, e := range others {
			if logged(e, "evidence_inherited", bad.Endpoint.ID()) {
				return true
			}
		}
		return false
	})
	for _, e := range others {
		if logged(e, "evidence_inherited", bad.Endpoint.ID()) && !logged(e, "evidence_inherited", "ejected true") {
			t.Errorf("%s has taken over other evidence", e.Name)
		}
	}
	waitServed(t, c, 5*time.Second)
	tr.Stop()
	tr.Check()
}
