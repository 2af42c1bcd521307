package hosted

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/platform/fake"
)

// acknowledgedDelete submits a job at an entry and deletes it at another one.
func acknowledgedDelete(t *testing.T, c *Cluster, submitted, deleted *Host) (id string) {
	t.Helper()
	id = NewJobID()
	_, answer := submitInBackground(t, c, submitted, id)
	harness.Eventually(t, 2*time.Second, "the tasks run", func() bool { return c.Record.Running() == abandonedTasks })
	if a := call(t.Context(), http.MethodDelete, deleted, prefix+id, ""); a.Status != http.StatusOK {
		t.Fatalf("the DELETE is answered %+v", a)
	}
	if a := <-answer; !isCancelled(a) {
		t.Errorf("the submission is answered %+v", a)
	}
	harness.Eventually(t, deleteLimit, "the runs are over", func() bool { return c.Record.Running() == 0 })
	return id
}

// wantNotStarted has the POST of a deleted job arrive again at an entry.
func wantNotStarted(t *testing.T, c *Cluster, e *Host, id string) {
	t.Helper()
	starts := c.Record.Starts(id)
	if a := c.Submit(e, id, fake.Tasks(abandonedTasks, 10)); !isCancelled(a) || c.Record.Starts(id) != starts {
		t.Errorf("%s: sent again, the job is answered %+v, %d runs started", e.Name, a, c.Record.Starts(id)-starts)
	}
}

// A POST may arrive a second time seconds after its answer (review case 7).
func TestAPostThatArrivesSecondsAfterItsCancelStartsNothing(t *testing.T) {
	c := New(t, 3, 2)
	home, others := homeAndOthers(t, c)
	id := acknowledgedDelete(t, c, others[0], others[1])
	time.Sleep(5 * fake.ResendAfter) // what is tested lies after that time
	for _, e := range []*Host{home, others[0], others[1]} {
		wantNotStarted(t, c, e, id)
	}
}

// Power may fail in all of a site (review case 9).
func TestAnAcknowledgedCancelHoldsAfterAllEntriesWereKilled(t *testing.T) {
	c := New(t, 3, 2)
	_, others := homeAndOthers(t, c)
	id := acknowledgedDelete(t, c, others[0], others[1])
	for _, e := range c.Entries {
		e.Kill()
	}
	for _, e := range c.Entries {
		e.Restart(t)
	}
	c.WaitReady()
	for _, e := range c.Entries {
		wantNotStarted(t, c, e, id)
	}
}

// An entry that is killed while others run learns of the cancels from them if the store
// does not serve it.
func TestAnEntryThatTheStoreDoesNotServeKnowsTheCancelsOfTheOthers(t *testing.T) {
	c := New(t, 3, 2)
	_, others := homeAndOthers(t, c)
	id := acknowledgedDelete(t, c, others[0], others[1])
	others[0].Kill()
	c.Store.SetFault(func(string) fake.StoreFault { return fake.StoreBusy })
	others[0].Start(t)
	harness.Eventually(t, readyLimit, "the entry is ready", others[0].Ready)
	wantNotStarted(t, c, others[0], id)
	unacknowledged := NewJobID()
	if a := call(t.Context(), http.MethodDelete, others[0], prefix+unacknowledged, ""); a.Status != http.StatusBadGateway {
		t.Errorf("a DELETE that the store does not take is answered %+v", a)
	}
	wantNotStarted(t, c, others[1], unacknowledged)
}

// The entry that gets the DELETE has no link to the others, which are registered and may
// have the job (review case 8, with frozen entries in place of a cut).
func TestAnEntryWithoutLinksToRegisteredOnesDoesNotAcknowledgeADelete(t *testing.T) {
	c := New(t, 3, 2)
	home, others := homeAndOthers(t, c)
	far, away := others[1], []*Host{home, others[0]}
	id := NewJobID()
	_, answer := submitInBackground(t, c, others[0], id)
	harness.Eventually(t, 2*time.Second, "the tasks run", func() bool { return c.Record.Running() == abandonedTasks })
	for _, e := range away {
		if err := e.Freeze(); err != nil {
			t.Fatal(err)
		}
	}
	harness.Eventually(t, readyLimit, "the entry counts the others as lost", func() bool {
		return strings.Contains(far.Log(), `"event":"entry_lost","entry":"`+home.Name) && strings.Contains(far.Log(), `"event":"entry_lost","entry":"`+others[0].Name)
	})
	if a := call(t.Context(), http.MethodDelete, far, prefix+id, ""); a.Status != http.StatusBadGateway {
		t.Errorf("the DELETE is answered %+v while other entries may have the job", a)
	}
	for _, e := range away {
		if err := e.Thaw(); err != nil {
			t.Fatal(err)
		}
	}
	harness.Eventually(t, readyLimit, "the DELETE is acknowledged once the entries are linked", func() bool {
		a := call(t.Context(), http.MethodDelete, far, prefix+id, "")
		return a.Status == http.StatusOK || a.Status == http.StatusGone
	})
	harness.Eventually(t, deleteLimit, "the runs are over", func() bool { return c.Record.Running() == 0 })
	<-answer
	for _, e := range c.Entries {
		wantNotStarted(t, c, e, id)
	}
}

// A client leaves a home that is frozen, and sends its job again. The end of its connection
// does not arrive before the home has woken: here, not at all (review case 6).
func TestAHomeThatWakesRunsNothingOfAClientThatHasGoneElsewhere(t *testing.T) {
	const (
		frozen   = 3500 * time.Millisecond
		taskMs   = 3500
		deadline = 12 * time.Second
	)
	c := New(t, 3, 6)
	home, others := homeAndOthers(t, c)
	id := NewJobID()
	post := func(e *Host, answer chan<- fake.Answer) {
		answer <- fake.Call(t.Context(), http.MethodPost, e.IP, routeHost, prefix+id, fake.Tasks(abandonedTasks, taskMs), deadline)
	}
	first, second := make(chan fake.Answer, 1), make(chan fake.Answer, 1)
	go post(home, first)
	harness.Eventually(t, 2*time.Second, "the tasks run", func() bool { return c.Record.Running() == abandonedTasks })
	if err := home.Freeze(); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	harness.Eventually(t, 2*time.Second, "the runs of the frozen home are over", func() bool { return c.Record.Running() == 0 })
	time.Sleep(fake.ResendAfter + 300*time.Millisecond - time.Since(began))
	go post(others[0], second)
	harness.Eventually(t, time.Second, "the next home runs the tasks", func() bool { return c.Record.Running() == abandonedTasks })
	time.Sleep(frozen - time.Since(began))
	if err := home.Thaw(); err != nil {
		t.Fatal(err)
	}
	if a := <-first; a.Status != http.StatusBadGateway {
		t.Errorf("the client that has left is answered %+v", a)
	}
	if a := <-second; !a.Completed() && !a.Retryable() {
		t.Errorf("the job is answered %+v", a)
	}
	for _, task := range c.Record.Overlapping() {
		t.Errorf("ran twice at the same time: %s", task)
	}
}
