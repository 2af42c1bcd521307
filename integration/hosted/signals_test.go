package hosted

import (
	"errors"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/platform/fake"
)

const (
	longTask    = 1500 * time.Millisecond // ends after the signals of a test and within the grace time
	signalPause = 100 * time.Millisecond
	graceTime   = 6 * time.Second // as in the settings of the platform stand-in
)

// jobsInBackground submits n jobs of one long task each to an entry, and returns
// when all of them run.
func jobsInBackground(t *testing.T, c *Cluster, e *Host, n int) <-chan fake.Answer {
	t.Helper()
	answers := make(chan fake.Answer, n)
	for range n {
		go func() { answers <- c.Submit(e, NewJobID(), fake.Tasks(1, int(longTask.Milliseconds()))) }()
	}
	harness.Eventually(t, longTask, "all jobs run", func() bool { return c.Record.Running() == n })
	return answers
}

// A stopping process may get further signals; none of them may abort an answer.
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
						if err := h.Signal(s); err != nil && !exitedCleanly(h) {
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

// exitedCleanly reports whether a process has exited with status 0, as a stopped
// agent without runs does at once.
func exitedCleanly(h *Host) bool { return !h.Running() && h.Wait(signalPause) == nil }

// SIGHUP, a request to reload, may arrive before a process has read its settings.
// The settings file is a FIFO here, so that the process waits while it reads.
func TestAReloadWhileStartingEndsNoProcess(t *testing.T) {
	c := New(t, 1, 1)
	for _, h := range []*Host{c.Entries[0], c.Agents[0]} {
		file := c.settingsFile(h.Name)
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		h.Kill()
		if err := errors.Join(os.Remove(file), syscall.Mkfifo(file, 0o600)); err != nil {
			t.Fatal(err)
		}
		h.Start(t)
		var settings *os.File
		harness.Eventually(t, readyLimit, "the process opens its settings", func() bool {
			settings, err = os.OpenFile(file, os.O_WRONLY|syscall.O_NONBLOCK, 0)
			return err == nil
		})
		if err := h.Hangup(); err != nil {
			t.Error(err)
		}
		time.Sleep(signalPause)
		if err := errors.Join(os.WriteFile(file+".new", text, 0o600), os.Rename(file+".new", file)); err != nil {
			t.Fatal(err)
		}
		if _, err := settings.Write(text); err != nil {
			t.Error(err)
		}
		if err := settings.Close(); err != nil {
			t.Error(err)
		}
		harness.Eventually(t, readyLimit, "the early signal is a reload", func() bool {
			return strings.Contains(h.Log(), `"signal":"hangup","effect":"reload"`)
		})
	}
	c.WaitReady()
}

// SIGHUP may arrive as soon as a process handles or ignores it, before the
// program has run an instruction of its own.
func TestAReloadInTheFirstInstantEndsNoProcess(t *testing.T) {
	const starts = 20
	c := New(t, 1, 1)
	e := c.Entries[0]
	for range starts {
		e.Kill()
		e.Start(t)
		for !handles(e.PID(), syscall.SIGHUP) {
			if !e.Running() {
				t.Fatal("the process has ended")
			}
		}
		if err := e.Hangup(); err != nil {
			t.Fatal(err)
		}
		harness.Eventually(t, readyLimit, "the entry is ready or has ended", func() bool { return e.Ready() || !e.Running() })
		if !e.Running() {
			t.Fatal(e.Wait(signalPause))
		}
	}
}

// The process that reads the logs may exit; this must not end any request.
func TestALostLogReaderCutsOffNoAnswer(t *testing.T) {
	const jobs = 6
	c := New(t, 2, 2)
	answers := jobsInBackground(t, c, c.Entries[0], jobs)
	hosts := slices.Concat(c.Entries, c.Agents)
	for _, h := range hosts {
		if err := errors.Join(h.CloseLog(), h.Hangup()); err != nil { // a reload is logged
			t.Error(err)
		}
	}
	for range jobs {
		if a := <-answers; !a.Completed() {
			t.Errorf("job not completed: %+v", a)
		}
	}
	for _, h := range hosts {
		if err := h.Terminate(); err != nil {
			t.Error(err)
		}
	}
	for _, h := range hosts {
		if err := h.Wait(graceTime); err != nil {
			t.Error(err)
		}
	}
}

// A run may end while the link to its owner is lost. The agent has acknowledged
// the end to the endpoint, so only the agent holds it and must report it before
// it stops.
func TestAStoppingAgentTellsAnEndThatALostLinkDelayed(t *testing.T) {
	const (
		disconnectAt = longTask - signalPause // the run ends while the link is down
		healAt       = disconnectAt + 250*time.Millisecond
	)
	c := Start(t, Options{Entries: 1, Agents: 2, Proxied: true})
	before := c.Record.StartsAt(c.Agents[0].Endpoint.ID())
	id := NewJobID()
	answer := make(chan fake.Answer, 1)
	go func() { answer <- c.Submit(c.Entries[0], id, fake.Tasks(1, int(longTask.Milliseconds()))) }()
	harness.Eventually(t, longTask, "the job runs", func() bool { return c.Record.Starts(id) > 0 })
	began := time.Now()
	agent := c.Agents[0]
	if c.Record.StartsAt(agent.Endpoint.ID()) == before {
		agent = c.Agents[1]
	}
	if err := agent.Terminate(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(disconnectAt - time.Since(began))
	c.Entries[0].Links.Disconnect()
	time.Sleep(healAt - time.Since(began))
	c.Entries[0].Links.Heal()
	if a := <-answer; !a.Completed() {
		t.Errorf("job not completed: %+v", a)
	}
	if n := c.Record.Starts(id); n != 1 {
		t.Errorf("%d runs of one task", n)
	}
	if err := agent.Wait(graceTime); err != nil {
		t.Error(err)
	}
}
