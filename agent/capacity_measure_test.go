//go:build measure

package agent

import (
	"runtime"
	"testing"

	"bergamotwing.example/wire"
)

// Run with
//
//	go test -tags measure -run TestCapacity -v ./agent
func TestCapacityOfStartRecords(t *testing.T) {
	for _, perJob := range []int{1, 8} { // tasks of one job that started at this agent
		for _, starts := range []int{30_000, 90_000, 270_000} {
			before := heap()
			r := newRecords(1) // no result is held
			for i := range starts {
				ticket := wire.TicketID{Entry: "entry1", Incarnation: 7, Seq: uint64(i / perJob)} //nolint:gosec // small
				task := wire.TaskRef{Ticket: ticket, Index: i % perJob}
				r.begin(task, [16]byte{}, 0)
				r.finish(&wire.Result{Task: task})
			}
			t.Logf("%d starts, %d of a job: %.0f bytes each", starts, perJob, float64(heap()-before)/float64(starts))
			runtime.KeepAlive(r)
		}
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
