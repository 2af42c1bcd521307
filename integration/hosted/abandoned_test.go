package hosted

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/platform/fake"
)

const (
	abandonedTasks = 4
	// abandonedTaskMs is longer than the tests of abandoned jobs take after the job's
	// client has left, and short enough for the job to be admitted.
	abandonedTaskMs = 2700
	entryLease      = 300 * time.Millisecond // dispatch.Timing.EntryLease of the platform's settings
	startLimit      = 500 * time.Millisecond // within which a task starts that a home has to start
	// stallLimit is the shortest stall of the test's process, which carries the links, after
	// which linked entries may count each other as lost: their last echoes are up to two
	// heartbeats old by then.
	stallLimit = entryLease / 2
)

// homeAndOthers returns the entry that every entry has as the service's home, and the others.
func homeAndOthers(t *testing.T, c *Cluster) (home *Host, others []*Host) {
	t.Helper()
	harness.Eventually(t, readyLimit, "the entries agree on the home", func() bool {
		name := lastHome(c.Entries[0])
		home, others = nil, nil
		for _, e := range c.Entries {
			if lastHome(e) != name {
				return false
			}
			if e.Name == name {
				home = e
			} else {
				others = append(others, e)
			}
		}
		return home != nil
	})
	return home, others
}

// lastHome returns the home that an entry has logged last.
func lastHome(e *Host) string {
	home := ""
	for line := range strings.Lines(e.Log()) {
		var event struct{ Event, To string }
		if json.Unmarshal([]byte(line), &event) == nil && event.Event == "home_changed" {
			home = event.To
		}
	}
	return home
}

// submitInBackground submits a job of long tasks to an entry until leave is called.
func submitInBackground(t *testing.T, c *Cluster, e *Host, id string) (leave func(), answer <-chan fake.Answer) {
	t.Helper()
	return submitTasksInBackground(t, c, e, id, abandonedTasks)
}

func submitTasksInBackground(t *testing.T, c *Cluster, e *Host, id string, tasks int) (leave func(), answer <-chan fake.Answer) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	answers := make(chan fake.Answer, 1)
	go func() { answers <- c.SubmitWithin(ctx, e, prefix, id, fake.Tasks(tasks, abandonedTaskMs)) }()
	return cancel, answers
}

// abandonWhileCut has a client leave an entry while the link between the entry and
// the home of the client's running job is cut, and restores the link within the
// entry's lease. It returns when the client left, or false if the entry has answered the
// client before because the test's process, which carries the links, was stalled.
func abandonWhileCut(t *testing.T, c *Cluster, e, home *Host, id string) (left time.Time, abandoned bool) {
	t.Helper()
	stalls := harness.WatchStalls(t)
	leave, answer := submitInBackground(t, c, e, id)
	within := func(limit time.Duration, what string, cond func() bool) bool {
		t.Helper()
		if harness.Poll(limit, cond) {
			return true
		}
		if stalls.Longest() < stallLimit {
			t.Fatalf("not within %v: %s", limit, what)
		}
		t.Logf("not within %v: %s; the test's process was stalled for %v", limit, what, stalls.Longest())
		return false
	}
	running := within(2*time.Second, "the tasks run", func() bool { return c.Record.Running() == abandonedTasks })
	home.Links.Disconnect(e.Name)
	e.Links.Disconnect(home.Name)
	leave()
	left = time.Now()
	<-answer
	abandoned = running && within(time.Second, "the entry has cancelled the job", func() bool {
		return strings.Contains(e.Log(), `"event":"job_abandoned","job":"`+id)
	})
	home.Links.Heal(e.Name)
	e.Links.Heal(home.Name)
	if !abandoned {
		harness.Eventually(t, clientDeadline, "the runs are over", func() bool { return c.Record.Running() == 0 })
	}
	return left, abandoned
}

// A cancel that is lost with its link is made good on the next one, if that comes within
// the entry's lease.
func TestAJobWhoseCancelIsLostWithTheLinkIsOverBeforeItIsSentAgain(t *testing.T) {
	const tries = 5 // of restoring the link within the lease, on a slow host
	c := Start(t, Options{Entries: 2, Agents: 2, Proxied: true})
	for range tries {
		home, others := homeAndOthers(t, c)
		lost := strings.Count(home.Log(), `"event":"entry_lost"`)
		left, abandoned := abandonWhileCut(t, c, others[0], home, NewJobID())
		if !abandoned {
			continue
		}
		if !harness.Poll(fake.ResendAfter-time.Since(left), func() bool { return c.Record.Running() == 0 }) {
			t.Fatalf("%d of %d tasks run %v after the client left", c.Record.Running(), abandonedTasks, time.Since(left))
		}
		if strings.Count(home.Log(), `"event":"entry_lost"`) == lost {
			return
		}
	}
	t.Error("the link was never restored within the entry's lease: nothing was tested")
}

// A home that drains does not go on with a job that its client has given up.
func TestAJobThatIsSentAgainAfterItsHomeHasMovedDoesNotRunTwice(t *testing.T) {
	const tries = 5 // of having the client leave before it is answered, on a slow host
	c := Start(t, Options{Entries: 3, Agents: 3, Proxied: true})
	var (
		home      *Host
		others    []*Host
		id        string
		left      time.Time
		abandoned bool
	)
	for try := 0; !abandoned; try++ {
		if try == tries {
			t.Fatal("the client was always answered before it left: nothing was tested")
		}
		home, others = homeAndOthers(t, c)
		id = NewJobID()
		left, abandoned = abandonWhileCut(t, c, others[0], home, id)
	}
	time.Sleep(300 * time.Millisecond)
	if err := home.Terminate(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(left.Add(fake.ResendAfter)))
	if a := c.Submit(others[1], id, fake.Tasks(abandonedTasks, 500)); !a.Completed() {
		t.Errorf("the job that was sent again: %+v", a)
	}
	for _, task := range c.Record.Overlapping() {
		t.Errorf("ran twice at the same time: %s", task)
	}
}

// A job's entry is lost while its home is frozen for a moment, the endpoint carries out no
// stop in time, and the home moves before the client sends the job again.
func TestARunThatDoesNotStopIsOverBeforeItsJobIsSentAgain(t *testing.T) {
	// The home's last heartbeat before it freezes comes at another moment each time.
	for _, frozenMs := range []time.Duration{520, 530, 540, 550, 560, 570} {
		frozen := frozenMs * time.Millisecond
		t.Run(frozen.String(), func(t *testing.T) {
			c := Start(t, Options{Entries: 3, Agents: 3, Proxied: true})
			home, others := homeAndOthers(t, c)
			id := NewJobID()
			leave, answer := submitTasksInBackground(t, c, others[0], id, 1)
			defer leave()
			harness.Eventually(t, 2*time.Second, "the task runs", func() bool { return c.Record.Running() == 1 })
			for _, a := range c.Agents {
				if !a.Endpoint.Idle() {
					a.Endpoint.SetFault(fake.EndpointLate)
				}
			}
			if err := home.Freeze(); err != nil {
				t.Fatal(err)
			}
			others[0].Kill()
			<-answer
			left := time.Now()
			time.Sleep(frozen)
			if err := home.Thaw(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(150 * time.Millisecond) // heartbeats have renewed the home's leases
			if err := home.Terminate(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Until(left.Add(fake.ResendAfter)))
			if a := c.Submit(others[1], id, fake.Tasks(1, 500)); !a.Completed() {
				t.Errorf("the job that was sent again: %+v", a)
			}
			for _, task := range c.Record.Overlapping() {
				t.Errorf("ran twice at the same time: %s", task)
			}
		})
	}
}

// allThreadsStopped reports whether all threads of a process have taken SIGSTOP, which
// some do only after the signal has been sent.
func allThreadsStopped(t *testing.T, pid int) bool {
	t.Helper()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", pid))
	if err != nil || len(files) == 0 {
		t.Fatalf("no threads of process %d: %v", pid, err)
	}
	return !slices.ContainsFunc(files, func(file string) bool {
		text, err := os.ReadFile(file)
		return err != nil || !strings.Contains(string(text), "State:\tT")
	})
}

// answeredWhileFrozen freezes the home until an entry has answered a job that was
// submitted meanwhile, and for at least the given time. It returns when the entry
// answered, or false if the job came so late that the entry had lost the home by then and
// served it.
func answeredWhileFrozen(t *testing.T, c *Cluster, id string, atLeast time.Duration) (answered time.Time, waited bool) {
	t.Helper()
	home, others := homeAndOthers(t, c)
	frozen := time.Now()
	if err := home.Freeze(); err != nil {
		t.Fatal(err)
	}
	harness.Eventually(t, time.Second, "the home is stopped", func() bool { return allThreadsStopped(t, home.PID()) })
	thaw := time.Now().Add(atLeast)
	late := time.Since(frozen)
	leave, answer := submitInBackground(t, c, others[0], id)
	defer leave()
	a := <-answer
	answered = time.Now()
	time.Sleep(time.Until(thaw))
	if err := home.Thaw(); err != nil {
		t.Fatal(err)
	}
	if a.Retryable() {
		return answered, true
	}
	if late < stallLimit {
		t.Errorf("the client is answered %+v, want an answer at which it sends the job again", a)
	}
	t.Logf("the job was submitted %v after the freeze, and served", late)
	return answered, false
}

// whileFrozen plays rounds in which a job has waited at a frozen home.
func whileFrozen(t *testing.T, rounds int, play func() (waited bool)) {
	t.Helper()
	for tries := 0; rounds > 0; tries++ {
		if tries == 20 {
			t.Fatalf("%d rounds left after %d tries", rounds, tries)
		}
		if play() {
			rounds--
		}
	}
}

// A submission that has waited at a frozen home for longer than the entry's lease starts
// nothing.
func TestSubmissionsThatWaitedAtAFrozenHomeStartNothing(t *testing.T) {
	const rounds = 8 // the order in which a thawed process handles what has waited differs
	c := Start(t, Options{Entries: 2, Agents: 2, Proxied: true})
	whileFrozen(t, rounds, func() bool {
		id := NewJobID()
		_, waited := answeredWhileFrozen(t, c, id, entryLease+20*time.Millisecond)
		time.Sleep(startLimit)
		if n := c.Record.Starts(id); waited && n != 0 {
			t.Errorf("%d tasks of %s started after the client was answered", n, id)
		}
		return waited
	})
}

// A home that is thawed and linked again before it has noticed that the entry has given it
// up does not go on with the jobs that the entry has answered.
func TestJobsThatAnEntryHasAnsweredAsLostAreOverBeforeTheyAreSentAgain(t *testing.T) {
	const rounds = 4
	c := Start(t, Options{Entries: 2, Agents: 2, Proxied: true})
	whileFrozen(t, rounds, func() bool {
		answered, waited := answeredWhileFrozen(t, c, NewJobID(), 0)
		time.Sleep(time.Until(answered.Add(fake.ResendAfter)))
		if n := c.Record.Running(); n != 0 {
			t.Errorf("%d tasks run when the client sends the job again", n)
		}
		return waited
	})
}
