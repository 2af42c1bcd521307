//go:build measure

package ledger

import (
	"runtime"
	"testing"
	"time"

	"bergamotwing.example/result"
)

// Run with
//
//	go test -tags measure -run TestCapacity -v ./ledger
func TestCapacityOfRecordsOfEndedJobs(t *testing.T) {
	for _, jobs := range []int{100_000, 300_000, 900_000} {
		before := heap()
		l := New("entry1", 1, 0)
		now := time.Now()
		for _, ticket := range l.Issue(jobs, now) {
			if _, isNew, err := l.Open(ticket, Digest{byte(ticket.Seq)}, now); !isNew || err != nil {
				t.Fatal(isNew, err)
			}
			l.Finish(ticket.Seq, &Outcome{Code: result.OK, Started: 8, Tasks: 8, Results: make([][]byte, 8)}, now)
		}
		t.Logf("%d records: %.0f bytes each", jobs, float64(heap()-before)/float64(jobs))
		runtime.KeepAlive(l)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
