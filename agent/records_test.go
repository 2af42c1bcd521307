package agent

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/ledger"
	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

func taskOf(seq uint64, index int) wire.TaskRef {
	return wire.TaskRef{Ticket: wire.TicketID{Entry: "a", Incarnation: 1, Seq: seq}, Index: index}
}

func TestTaskIsRecordedAsStartedOnlyOnceWithinTheRetention(t *testing.T) {
	r := newRecords(1 << 20)
	task, other := taskOf(1, 0), taskOf(1, 1)
	steps := []struct {
		at   time.Duration
		task wire.TaskRef
		want result.Code
	}{
		{0, task, result.OK},
		{1, task, result.AlreadyStarted},
		{10 * time.Minute, other, result.OK},
		{startRetention + time.Minute, task, result.AlreadyStarted}, // the ticket has a later start
		{10*time.Minute + startRetention, other, result.AlreadyStarted},
		{10*time.Minute + startRetention + 2, task, result.OK},
	}
	for _, s := range steps {
		r.sweep(s.at)
		got := r.begin(s.task, [16]byte{1}, s.at)
		r.finish(&wire.Result{Task: s.task})
		if got != s.want {
			t.Errorf("begin of %d at %v: %v, want %v", s.task.Index, s.at, got, s.want)
		}
	}
}

func TestRunningTaskIsNeverForgotten(t *testing.T) {
	r := newRecords(1 << 20)
	r.begin(taskOf(1, 0), [16]byte{}, 0)
	r.sweep(2 * startRetention)
	r.sweep(4 * startRetention)
	if got := r.check(taskOf(1, 0)); got != result.AlreadyStarted {
		t.Errorf("check of a running task: %v", got)
	}
}

func TestFencedTicketIsRefusedAndItsStartsAreReported(t *testing.T) {
	r := newRecords(1 << 20)
	digest := [16]byte{7}
	for i := range 3 {
		r.begin(taskOf(1, i), digest, 0)
	}
	r.finish(&wire.Result{Task: taskOf(1, 0), Code: result.OK, Body: []byte("x")})
	r.undo(taskOf(1, 2))
	want := []wire.StartedTask{
		{Index: 0, Finished: true, Held: true, Body: []byte("x"), Digest: digest},
		{Index: 1, Digest: digest},
	}
	if diff := cmp.Diff(want, r.fence(taskOf(1, 0).Ticket, 0)); diff != "" {
		t.Error(diff)
	}
	if got := r.begin(taskOf(1, 2), digest, 0); got != result.TicketFenced {
		t.Errorf("begin after the fence: %v", got)
	}
	r.sweep(fenceRetention)
	if got := r.check(taskOf(1, 2)); got != result.TicketFenced {
		t.Errorf("check at the end of the fence's retention: %v", got)
	}
}

func TestOldestResultsAreDroppedFirst(t *testing.T) {
	r := newRecords(2 * (resultOverhead + 10))
	for i := range 3 {
		r.begin(taskOf(1, i), [16]byte{}, 0)
		r.finish(&wire.Result{Task: taskOf(1, i), Body: make([]byte, 10)})
	}
	r.begin(taskOf(1, 3), [16]byte{}, 0)
	want := []wire.TaskState{
		wire.TaskForgotten, wire.TaskFinished, wire.TaskFinished, wire.TaskRunning, wire.TaskNeverSeen,
	}
	got := make([]wire.TaskState, 0, len(want))
	for i := range want {
		state, _ := r.lookup(taskOf(1, i))
		got = append(got, state)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestResultOverTheLimitIsNotHeld(t *testing.T) {
	r := newRecords(1024)
	r.begin(taskOf(1, 0), [16]byte{}, 0)
	r.finish(&wire.Result{Task: taskOf(1, 0), Body: make([]byte, 2048)})
	if state, _ := r.lookup(taskOf(1, 0)); state != wire.TaskForgotten || r.results.bytes != 0 {
		t.Errorf("state %v with %d bytes held", state, r.results.bytes)
	}
}

// settlementReach is how old a ticket may be for settlement to rely on records.
const settlementReach = ledger.StartRecordRetention

func TestStartsAreReportedAsLongAsSettlementReliesOnTheirRecords(t *testing.T) {
	r := newRecords(1)
	task := wire.TaskRef{Ticket: wire.TicketID{Entry: "entry1", Incarnation: 7, Seq: 1}}
	r.begin(task, [16]byte{}, 0)
	r.finish(&wire.Result{Task: task})
	r.sweep(settlementReach)
	if started := r.fence(task.Ticket, settlementReach); len(started) != 1 {
		t.Errorf("after %s the fence reports %d starts", settlementReach, len(started))
	}
	r.sweep(2*settlementReach + time.Second)
	if n := r.size(); n != 0 {
		t.Errorf("%d starts are kept forever", n)
	}
}
