package hosted

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/platform/fake"
)

const (
	longTask    = 1500 * time.Millisecond // ends after the signals of a test, within a stop
	signalPause = 100 * time.Millisecond
	graceTime   = 6 * time.Second // of the stand-in's settings
)

// jobsInBackground submits n jobs of one long task each to an entry, and returns
// once all run.
func jobsInBackground(t *testing.T, c *Cluster, e *Host, n int) <-chan fake.Answer {
	t.Helper()
	answers := make(chan fake.Answer, n)
	for range n {
		go func() { answers <- c.Submit(e, NewJobID(), fake.Tasks(1, int(longTask.Milliseconds()))) }()
	}
	harness.Eventually(t, longTask, "all jobs run", func() bool { return c.Record.Running() == n })
	return answers
}

// A process that stops may get further signals: none of them may cut off an answer.
func TestSignalsWhileStoppingCutOffNoAnswer(t *testing.T) {
	const jobs = 6
	for name, signals := range map[string][]syscall.Signal{
		"reload":           {syscall.SIGHUP},
		"stop again":       {syscall.SIGTERM},
		"reloads and stop": {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP},
	} {
		for _, role := range []string{"entry", "agent"} {
			t.Run(role+" "+name, func(t *testing.T) {
				c := New(t, 2, 2)
				answers := jobsInBackground(t, c, c.Entries[0], jobs)
				stopped := []*Host{c.Entries[0]}
				if role == "agent" {
					stopped = c.Agents
				}
				for _, s := range slices.Concat([]syscall.Signal{syscall.SIGTERM}, signals) {
					for _, h := range stopped {
						if err := h.Signal(s); err != nil {
							t.Error(err)
						}
					}
					time.Sleep(signalPause)
				}
				for range jobs {
					if a := <-answers; !a.Completed() {
						t.Errorf("job not completed: %+v", a)
					}
				}
				for _, h := range stopped {
					if err := h.Wait(graceTime); err != nil {
						t.Error(err)
					}
				}
			})
		}
	}
}

// A reload may be asked for before a process has read its settings.
func TestAReloadWhileStartingEndsNoProcess(t *testing.T) {
	c := New(t, 1, 1)
	e := c.Entries[0]
	for pause := firstInstant; pause < lastInstant; pause += instantStep {
		e.Kill()
		e.Start(t)
		time.Sleep(pause)
		if err := e.Hangup(); err != nil {
			t.Errorf("%v after its start: %v", pause, err)
			continue
		}
		harness.Eventually(t, readyLimit, "the entry is ready", e.Ready)
	}
}

// Moments at which a starting process gets a signal. The first is after the
// Go runtime has begun to run the program's own code.
const (
	firstInstant = 4 * time.Millisecond
	lastInstant  = 20 * time.Millisecond
	instantStep  = 2 * time.Millisecond
)
