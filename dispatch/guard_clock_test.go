package dispatch

import (
	"testing"
	"time"
)

// The endpoint carries out what it is told, and its answers are lost. Its clock is 2% slow.
func TestALeaseByAnOldClockReadingDoesNotOutlastTheOwners(t *testing.T) {
	g, now := newGuard(t)
	run := ref("j", 0, 1)
	began := now
	clock := func(at Time) Time { return began - 5*time.Second + (at-began)*98/100 }
	g.Start(now, order(ownerA, run, now))
	g.StartAnswered(now+ms, run, CallResult{Clock: clock(now + ms)})
	g.Polled(now+10*ms, now+10*ms, Snapshot{Clock: clock(now + 10*ms), Running: []RunningRun{{Run: run}}})
	for at := now + 25*ms; at < now+6*time.Second; at += 25 * ms {
		owners := at + testTiming.OwnerLease
		g.RenewOwner(ownerA, owners)
		g.Announced(at, false, Resources{CPUMilli: 4000, MemoryMB: 100}) // its heartbeats come
		g.Tick(at)
		for _, a := range takeCalls(g) {
			if a.Kind == CallPoll && a.Until > clock(owners+endMargin) {
				t.Fatalf("%v after the last answer: lease %v longer than the owner's", at-now-10*ms, (a.Until-clock(owners))*100/98)
			}
		}
	}
}
