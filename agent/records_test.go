package agent

import (
	"testing"
	"time"

	"bergamotwing.example/wire"
)

// settlementReach is ledger.StartRecordRetention, which this module does not require.
const settlementReach = 30 * time.Minute

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
		t.Errorf("%d starts are kept without end", n)
	}
}
