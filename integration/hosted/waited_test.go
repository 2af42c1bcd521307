package hosted

import (
	"context"
	"sync"
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/platform/fake"
)

// submitAndLeave submits jobs to an entry, and returns once all clients have left.
func submitAndLeave(t *testing.T, c *Cluster, e *Host, ids []string, body string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	var clients sync.WaitGroup
	for _, id := range ids {
		clients.Go(func() { c.SubmitWithin(ctx, e, prefix, id, body) })
	}
	clients.Wait()
}

func newJobIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = NewJobID()
	}
	return ids
}

// A request that a frozen entry reads after its client has left starts nothing, and takes
// the job from no client that has sent it again.
func TestARequestWhoseClientHasLeftBeforeItIsReadStartsNothing(t *testing.T) {
	const (
		jobs    = 20
		backlog = 600 // requests that the thawed entry handles before
	)
	for _, role := range []string{"home", "other entry"} {
		t.Run(role, func(t *testing.T) {
			c := Start(t, Options{Entries: 3, Agents: 3, Proxied: true})
			home, others := homeAndOthers(t, c)
			frozen, next := home, others[0]
			if role != "home" {
				frozen, next = others[0], home
			}
			if err := frozen.Freeze(); err != nil {
				t.Fatal(err)
			}
			harness.Eventually(t, time.Second, "the entry is stopped", func() bool { return allThreadsStopped(t, frozen.PID()) })
			body := fake.Tasks(1, 800)
			submitAndLeave(t, c, frozen, newJobIDs(backlog), fake.Tasks(40, 800))
			ids := newJobIDs(jobs)
			submitAndLeave(t, c, frozen, ids, body)
			time.Sleep(fake.ResendAfter)
			answers := make([]fake.Answer, jobs)
			var clients sync.WaitGroup
			for i, id := range ids {
				clients.Go(func() { answers[i] = c.Submit(next, id, body) })
			}
			harness.Eventually(t, 2*time.Second, "the jobs run", func() bool { return c.Record.Running() == jobs })
			if err := frozen.Thaw(); err != nil {
				t.Fatal(err)
			}
			clients.Wait()
			for i, a := range answers {
				if !a.Completed() {
					t.Errorf("job %s, sent again: %+v", ids[i], a)
				}
			}
			for _, task := range c.Record.Overlapping() {
				t.Errorf("ran twice at the same time: %s", task)
			}
		})
	}
}
