package hosted

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/platform/fake"
)

const (
	longWait      = 30 * time.Second // of a client that states no deadline
	taskPastGrace = 20 * time.Second // run time of a task that outlasts a stop
)

// Clients may wait, and tasks may run, for longer than the grace period of an
// entry that stops. The entry must answer its clients before the platform kills
// it, and the runs must be stopped, whether or not the entry is the home of the
// jobs.
func TestAStopAnswersJobsThatOutlastTheGracePeriod(t *testing.T) {
	const jobs = 4
	c := New(t, 2, 2)
	for _, e := range c.Entries {
		answers := make(chan fake.Answer, jobs)
		for range jobs {
			go func() {
				body := fake.Tasks(1, int(taskPastGrace.Milliseconds()))
				answers <- fake.Call(context.Background(), http.MethodPost, e.IP, routeHost, prefix+NewJobID(), body, longWait)
			}()
		}
		harness.Eventually(t, longTask, "all jobs run", func() bool { return c.Record.Running() == jobs })
		began := time.Now()
		if err := e.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		for range jobs {
			a := <-answers
			if a.Err != nil || a.Status != http.StatusBadGateway || !strings.Contains(a.Body, "outcome_unknown") {
				t.Errorf("%s: %+v, want 502 outcome_unknown", e.Name, a)
			}
			if took := time.Since(began); took > graceTime {
				t.Errorf("%s: answered after %v", e.Name, took)
			}
		}
		if err := e.Wait(graceTime - time.Since(began)); err != nil {
			t.Error(err)
		}
		harness.Eventually(t, fake.ResendAfter, "the runs are stopped before the clients send their jobs again", func() bool { return c.Record.Running() == 0 })
		e.Start(t)
		c.WaitReady()
	}
}
