// Package integration tests deployments of real processes behind a
// fault-injecting proxy on every link.
package integration

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"bergamotwing.example/client/api"
	"bergamotwing.example/integration/harness"
	"bergamotwing.example/release"
	"bergamotwing.example/result"
	"bergamotwing.example/standin"
)

// stopBound bounds the time from the acceptance of an order until it is in force.
const stopBound = release.StopBound

// answerLimit bounds the time to the answer to a job whose issuer or agent is
// lost.
const answerLimit = 20 * time.Second

// expectedAnswer returns the result of an endpoint stand-in for a payload.
var expectedAnswer = standin.Answer

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

func deploy(t *testing.T, o harness.Options) *harness.Deployment {
	t.Helper()
	o.Answer = expectedAnswer
	return harness.New(t, o)
}

func newCaller(t *testing.T) *harness.Caller {
	t.Helper()
	c := harness.NewCaller("")
	t.Cleanup(c.Close)
	return c
}

func mustTicket(t *testing.T, c *harness.Caller, e *harness.Entry) string {
	t.Helper()
	ticket, err := c.Ticket(t.Context(), e.URL)
	if err != nil {
		t.Fatalf("ticket of %s: %v", e.ID, err)
	}
	return ticket
}

// reply is the answer to a submission, or the error.
type reply struct {
	answer api.Answer
	err    error
}

// submit submits a job in the background.
func submit(ctx context.Context, e *harness.Entry, ticket string, job api.Job) <-chan reply {
	out := make(chan reply, 1)
	go func() {
		c := harness.NewCaller("")
		defer c.Close()
		answer, err := c.Submit(ctx, e.URL, ticket, job)
		out <- reply{answer, err}
	}()
	return out
}

// await returns the answer of a submission and records it for the oracle.
func await(t *testing.T, d *harness.Deployment, ticket string, job api.Job, from <-chan reply) api.Answer {
	t.Helper()
	select {
	case r := <-from:
		if r.err != nil {
			t.Fatalf("no answer to %s: %v", ticket, r.err)
		}
		d.Oracle.Record(ticket, job, r.answer)
		return r.answer
	case <-time.After(answerLimit):
		t.Fatalf("no answer to %s within %v", ticket, answerLimit)
		return api.Answer{}
	}
}

// submitUntilKnown submits a job until the answer states the job's outcome.
func submitUntilKnown(t *testing.T, d *harness.Deployment, e *harness.Entry, ticket string, job api.Job) api.Answer {
	t.Helper()
	var last reply
	harness.Eventually(t, answerLimit, "the outcome of "+ticket+" is known", func() bool {
		last = <-submit(t.Context(), e, ticket, job)
		return last.err == nil && !harness.OutcomeOpen(last.answer.Code)
	})
	d.Oracle.Record(ticket, job, last.answer)
	return last.answer
}

// submitNew submits a job under a new ticket of e and returns the answer.
func submitNew(t *testing.T, d *harness.Deployment, e *harness.Entry, job api.Job) api.Answer {
	t.Helper()
	ticket := mustTicket(t, newCaller(t), e)
	return await(t, d, ticket, job, submit(t.Context(), e, ticket, job))
}

func wantCode(t *testing.T, answer api.Answer, codes ...result.Code) {
	t.Helper()
	for _, c := range codes {
		if answer.Code == c {
			return
		}
	}
	t.Errorf("answer is %s (%s), want one of %v", answer.Name, answer.Detail, codes)
}

// waitStarted waits until all endpoints together have recorded n starts.
func waitStarted(t *testing.T, d *harness.Deployment, n int) {
	t.Helper()
	harness.Eventually(t, answerLimit, fmt.Sprintf("%d tasks have started", n), func() bool {
		return len(d.Oracle.MustStarts(t)) >= n
	})
}

// waitStartAfter waits for a start later than after that matches.
func waitStartAfter(t *testing.T, d *harness.Deployment, after time.Time, match func(harness.Start) bool) {
	t.Helper()
	limit := max(0, time.Until(after)) + answerLimit
	harness.Eventually(t, limit, "work goes on", func() bool { return len(d.Oracle.StartsAfter(t, after, match)) > 0 })
}

func anyStart(harness.Start) bool { return true }
