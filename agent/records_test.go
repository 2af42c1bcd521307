package agent

import (
	"testing"
	"time"

	"bergamotwing.example/ledger"
	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

var testTicket = wire.TicketID{Entry: "entry0", Incarnation: 7, Seq: 1}

// startedAt returns records in which a task of testTicket began at a moment and
// has finished.
func startedAt(t *testing.T, at time.Duration) *records {
	t.Helper()
	r := newRecords(1 << 20)
	task := wire.TaskRef{Ticket: testTicket}
	if code := r.begin(task, [16]byte{1}, at); code != result.OK {
		t.Fatalf("begin: %s", code)
	}
	r.finish(&wire.Result{Task: task, Code: result.OK})
	return r
}

func TestStartsAreReportedAsLongAsSettlementsRelyOnThem(t *testing.T) {
	const at = time.Minute
	r := startedAt(t, at)
	last := at + ledger.StartRecordRetention
	r.sweep(last)
	if n := len(r.fence(testTicket, last)); n != 1 {
		t.Errorf("%d starts are reported at the end of their retention, want 1", n)
	}
}

func TestStartsAreForgottenAfterTheirRetention(t *testing.T) {
	r := startedAt(t, 0)
	r.sweep(startsKept + time.Second)
	if n := r.size(); n != 0 {
		t.Errorf("%d starts are kept", n)
	}
}

func TestFencedTicketIsRefused(t *testing.T) {
	r := newRecords(1 << 20)
	r.fence(testTicket, 0)
	r.sweep(fencesKept)
	if code := r.check(wire.TaskRef{Ticket: testTicket}); code != result.TicketFenced {
		t.Errorf("check gives %s", code)
	}
}
