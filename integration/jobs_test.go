package integration

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/result"
)

func TestJobRunsWholeThroughSeparateProcesses(t *testing.T) {
	d := deploy(t, harness.Options{})
	for _, e := range d.Entries {
		answer := submitNew(t, d, e, harness.NewJob(e.ID, 40, 50*time.Millisecond))
		wantCode(t, answer, result.OK)
	}
	d.Oracle.Check(t)
}

func TestResubmitThroughOtherEntryJoinsRunningJob(t *testing.T) {
	d := deploy(t, harness.Options{})
	job := harness.NewJob("joined", 3, time.Second)
	ticket := mustTicket(t, newCaller(t), d.Entries[0])
	first := submit(t.Context(), d.Entries[0], ticket, job)
	waitStarted(t, d, len(job.Tasks))
	second := submit(t.Context(), d.Entries[1], ticket, job)
	third := submit(t.Context(), d.Entries[2], ticket, job)
	want := await(t, d, ticket, job, first)
	wantCode(t, want, result.OK)
	for _, other := range []<-chan reply{second, third} {
		if diff := cmp.Diff(want, await(t, d, ticket, job, other)); diff != "" {
			t.Errorf("answers differ (-issuer +other entry):\n%s", diff)
		}
	}
	d.Oracle.Check(t)
}

func TestResubmitAfterLostAnswerStartsNothingTwice(t *testing.T) {
	d := deploy(t, harness.Options{})
	job := harness.NewJob("lost", 5, 300*time.Millisecond)
	entry := d.Entries[0]
	ticket := mustTicket(t, newCaller(t), entry)
	entry.Callers.DropDirection(harness.FromTarget)
	lost := submit(t.Context(), entry, ticket, job)
	waitStarted(t, d, len(job.Tasks))
	entry.Callers.Cut()
	if r := <-lost; r.err == nil {
		t.Fatalf("the answer was not lost: %s", r.answer.Name)
	}
	entry.Callers.Heal()
	for _, e := range d.Entries {
		wantCode(t, submitUntilKnown(t, d, e, ticket, job), result.OK)
	}
	d.Oracle.Check(t)
}

func TestSameTicketWithDifferentBodyIsRefused(t *testing.T) {
	d := deploy(t, harness.Options{})
	job := harness.NewJob("first", 2, 50*time.Millisecond)
	ticket := mustTicket(t, newCaller(t), d.Entries[0])
	wantCode(t, await(t, d, ticket, job, submit(t.Context(), d.Entries[0], ticket, job)), result.OK)
	other := harness.NewJob("second", 2, 50*time.Millisecond)
	for _, e := range d.Entries {
		r := <-submit(t.Context(), e, ticket, other)
		if r.err != nil {
			t.Fatal(r.err)
		}
		wantCode(t, r.answer, result.TicketReused)
	}
	if n := len(d.Oracle.MustStarts(t)); n != len(job.Tasks) {
		t.Errorf("%d tasks started, want the %d of the first body", n, len(job.Tasks))
	}
	d.Oracle.Check(t)
}

func TestAnswersThatCrossReachTheirOwnCallers(t *testing.T) {
	d := deploy(t, harness.Options{})
	entry := d.Entries[0]
	early, late := harness.NewJob("early", 4, 100*time.Millisecond), harness.NewJob("late", 4, 100*time.Millisecond)
	tickets := []string{mustTicket(t, newCaller(t), entry), mustTicket(t, newCaller(t), entry)}
	held := submit(t.Context(), entry, tickets[0], early)
	waitStarted(t, d, 1)
	entry.Callers.Hold()
	wantCode(t, await(t, d, tickets[1], late, submit(t.Context(), entry, tickets[1], late)), result.OK)
	entry.Callers.Release()
	wantCode(t, await(t, d, tickets[0], early, held), result.OK)
	d.Oracle.Check(t)
}

func TestAgentKilledDuringTask(t *testing.T) {
	d := deploy(t, harness.Options{})
	job := harness.NewJob("agent", 24, time.Second)
	ticket := mustTicket(t, newCaller(t), d.Entries[0])
	running := submit(t.Context(), d.Entries[0], ticket, job)
	waitStartAfter(t, d, time.Time{}, harness.OfAgent(d.Agents[0].ID))
	d.Agents[0].Kill()
	wantCode(t, await(t, d, ticket, job, running), result.AgentLost)
	wantCode(t, submitNew(t, d, d.Entries[1], harness.NewJob("others", 8, 50*time.Millisecond)), result.OK)
	d.Agents[0].Restart(t)
	d.WaitReady(t, 1)
	wantCode(t, submitNew(t, d, d.Entries[2], harness.NewJob("again", 24, 50*time.Millisecond)), result.OK)
	d.Oracle.Check(t)
}
