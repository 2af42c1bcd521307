package harness

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotwing.example/client/api"
	"bergamotwing.example/ledger"
	"bergamotwing.example/result"
)

// Start is one start of a task at an endpoint.
type Start struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	UnixMS  int64  `json:"at"`
	Echo    string `json:"echo"` // as in the task's Payload
	Zone    string `json:"-"`    // set by Oracle.Starts
	Agent   string `json:"-"`    // set by Oracle.Starts
}

// At returns the time of the start.
func (s Start) At() time.Time { return time.UnixMilli(s.UnixMS) }

// Oracle compares the answers that callers got with the task starts that the
// endpoints recorded.
type Oracle struct {
	agents         []*Agent
	expectedResult func(payload []byte) []byte

	mu      sync.Mutex
	records []record
}

// record is a recorded answer with its job.
type record struct {
	ticket string
	job    api.Job
	answer api.Answer
}

func newOracle(agents []*Agent, expectedResult func([]byte) []byte) *Oracle {
	return &Oracle{agents: agents, expectedResult: expectedResult}
}

// addAgent adds an agent, so that Starts reads its endpoint's starts too. No other
// method may run at the same time.
func (o *Oracle) addAgent(a *Agent) { o.agents = append(o.agents, a) }

// Record keeps an answer for Check.
func (o *Oracle) Record(ticket string, job api.Job, answer api.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records = append(o.records, record{ticket, job, answer})
}

// Answers counts the recorded answers by code.
func (o *Oracle) Answers() map[result.Code]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	counts := map[result.Code]int{}
	for _, r := range o.records {
		counts[r.answer.Code]++
	}
	return counts
}

// Starts returns the starts that all endpoints have recorded.
func (o *Oracle) Starts(ctx context.Context) ([]Start, error) {
	var all []Start
	for _, a := range o.agents {
		starts, err := a.Endpoint.Starts(ctx)
		if err != nil {
			return nil, err
		}
		for _, s := range starts {
			s.Zone, s.Agent = a.Zone, a.ID
			all = append(all, s)
		}
	}
	return all, nil
}

// MustStarts is like Starts, but ends the test on an error.
func (o *Oracle) MustStarts(t testing.TB) []Start {
	t.Helper()
	starts, err := o.Starts(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return starts
}

// StartsAfter returns the matching starts that are later than after.
func (o *Oracle) StartsAfter(t testing.TB, after time.Time, match func(Start) bool) []Start {
	t.Helper()
	var matching []Start
	for _, s := range o.MustStarts(t) {
		if s.At().After(after) && match(s) {
			matching = append(matching, s)
		}
	}
	return matching
}

// InZone matches the starts in a zone.
func InZone(zone string) func(Start) bool { return func(s Start) bool { return s.Zone == zone } }

// NotInZone matches the starts in all other zones.
func NotInZone(zone string) func(Start) bool { return func(s Start) bool { return s.Zone != zone } }

// OfTicket matches the starts of a ticket's tasks.
func OfTicket(t testing.TB, ticket string) func(Start) bool {
	t.Helper()
	prefix := strings.TrimSuffix(taskName(t, ticket, 0), "0")
	return func(s Start) bool { return strings.HasPrefix(s.Task, prefix) }
}

// OfAgent matches the starts at an agent's endpoint.
func OfAgent(id string) func(Start) bool { return func(s Start) bool { return s.Agent == id } }

// Check fails the test for each task that started more than once and for each
// recorded answer that is wrong: one that says "not run" though a task of its job
// started, one with results though its code is not OK, and one with code OK unless
// every task started and the results are, byte for byte, the expected ones, one per
// task. It also fails the test if no answer was recorded.
func (o *Oracle) Check(t testing.TB) {
	t.Helper()
	started := o.CheckStarts(t)
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.records) == 0 {
		t.Error("no answer was recorded")
	}
	for _, r := range o.records {
		o.checkRecord(t, r, started)
	}
}

// CheckStarts fails the test for each task that started more than once and returns
// the number of starts of each task.
func (o *Oracle) CheckStarts(t testing.TB) map[string]int {
	t.Helper()
	started := map[string]int{}
	for _, s := range o.MustStarts(t) {
		started[s.Task]++
	}
	for task, n := range started {
		if n > 1 {
			t.Errorf("task %s started %d times", task, n)
		}
	}
	return started
}

func (o *Oracle) checkRecord(t testing.TB, r record, starts map[string]int) {
	t.Helper()
	startedTasks := 0
	for i := range r.job.Tasks {
		startedTasks += min(1, starts[taskName(t, r.ticket, i)])
	}
	switch {
	case r.answer.Code == result.OK:
		o.checkComplete(t, r, startedTasks)
	case len(r.answer.Results) > 0:
		t.Errorf("ticket %s: answer %s with %d results", r.ticket, r.answer.Name, len(r.answer.Results))
	case result.Lookup(r.answer.Code).Ran == result.RanNo && startedTasks > 0:
		t.Errorf("ticket %s: answer %s, but %d tasks started", r.ticket, r.answer.Name, startedTasks)
	}
}

// checkComplete checks an answer with code OK; started is the number of its job's
// tasks that started.
func (o *Oracle) checkComplete(t testing.TB, r record, started int) {
	t.Helper()
	if o.expectedResult == nil {
		t.Fatal("Options.ExpectedResult is not set")
	}
	if started != len(r.job.Tasks) || len(r.answer.Results) != len(r.job.Tasks) {
		t.Errorf("ticket %s: %d tasks, %d started, %d results", r.ticket, len(r.job.Tasks), started, len(r.answer.Results))
		return
	}
	for i, task := range r.job.Tasks {
		if want := o.expectedResult(task.Payload); !bytes.Equal(want, r.answer.Results[i]) {
			t.Errorf("ticket %s: result %d is %d bytes and differs from the %d bytes expected",
				r.ticket, i, len(r.answer.Results[i]), len(want))
		}
	}
}

// Issuer returns the id of the entry that issued a ticket.
func Issuer(t testing.TB, ticket string) string {
	t.Helper()
	id, err := ledger.DecodeTicket(ticket, []ledger.Key{ledger.Key(sharedKey)})
	if err != nil {
		t.Fatalf("ticket %s: %v", ticket, err)
	}
	return id.Entry
}

// taskName returns the name under which endpoints record the starts of a task.
func taskName(t testing.TB, ticket string, index int) string {
	t.Helper()
	id, err := ledger.DecodeTicket(ticket, []ledger.Key{ledger.Key(sharedKey)})
	if err != nil {
		t.Fatalf("ticket %s: %v", ticket, err)
	}
	return fmt.Sprintf("%s/%x/%d/%d", id.Entry, id.Incarnation, id.Seq, index)
}
