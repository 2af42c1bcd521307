package agent

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bergamotwing.example/result"
	"bergamotwing.example/settings"
	"bergamotwing.example/wire"
)

// answerOf returns the outcome of a task that an endpoint answers with status
// and the header that says whether the task started.
func answerOf(t *testing.T, status int, started string) outcome {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if started != "" {
			w.Header().Set(headerStarted, started)
		}
		w.WriteHeader(status)
	}))
	t.Cleanup(srv.Close)
	e, err := newEndpoint(settings.Agent{Endpoint: srv.URL, Connections: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.close)
	return e.do(t.Context(), call{
		grant:    &wire.Grant{},
		startBy:  time.Now().Add(time.Minute),
		mayStart: func() result.Code { return result.OK },
	})
}

func TestRefusalCountsAsNotStartedOnlyIfTheEndpointSaysSo(t *testing.T) {
	cases := map[string]struct {
		status  int
		started string
		want    outcome
	}{
		"busy":                {http.StatusServiceUnavailable, "false", outcome{notStarted: result.EndpointBusy, busy: true}},
		"too late":            {http.StatusPreconditionFailed, "false", outcome{notStarted: result.StartTooLate}},
		"busy without header": {http.StatusServiceUnavailable, "", outcome{code: result.TaskFailed}},
		"failed after start":  {http.StatusInternalServerError, "true", outcome{code: result.TaskFailed}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := answerOf(t, c.status, c.started)
			if got.notStarted != c.want.notStarted || got.busy != c.want.busy || got.code != c.want.code {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestPausedSlotIsNotOfferedBeforeItsTime(t *testing.T) {
	table := newSlotTable(1)
	entry := entryIncarnation{id: "e"}
	table.holders[entry] = &holder{}
	table.open(0)
	c := table.offer(rampTime)[entry]
	if len(c) != 1 || !table.take(c[0]) {
		t.Fatalf("offer: %v", c)
	}
	table.pause(0, rampTime+busyPause)
	if got := table.offer(rampTime + busyPause - 1); len(got) != 0 {
		t.Errorf("offered early: %v", got)
	}
}
