package dispatch

import (
	"testing"
	"time"
)

// A start would extend the lease of a run that was handed over and may not stop.
func TestNoTaskStartsBesideARunThatIsHandedOverBeforeItIsOver(t *testing.T) {
	g, now := newGuard(t)
	clock := func(at Time) Time { return at - 5*time.Second }
	earlier, next := ref("earlier", 0, 1), ref("j", 0, 1)
	g.StopEarlier(now, ownerA, earlier, 7)
	g.Start(now, order(ownerA, next, now))
	wantEnds(t, g, map[RunRef]EndReason{next: Expired})
	g.StopAnswered(now+ms, earlier, CallResult{Clock: clock(now + ms)})
	now += 5 * ms
	g.Polled(now, now, Snapshot{Clock: clock(now)})
	wantEnds(t, g, map[RunRef]EndReason{earlier: EndStopped})
	g.Start(now, order(ownerA, next, now))
	calls := takeCalls(g)
	if !hasCall(calls, CallStart, next) || calls[len(calls)-1].Until < clock(now+testTiming.StopLead()) {
		t.Errorf("got %+v, want a start once the earlier run is over", calls)
	}
}

// A guard that has granted nothing has no lease to renew for a run that was handed over.
func TestNoRenewalNamesATimeBeforeTheEndpointsBeginning(t *testing.T) {
	g, now := newGuard(t)
	g.StopEarlier(now, ownerA, ref("earlier", 0, 1), 7)
	for at := now; at < now+time.Second; at += 25 * ms {
		g.RenewOwner(ownerA, at+testTiming.OwnerLease)
		g.Tick(at)
		for _, a := range takeCalls(g) {
			if a.Kind == CallPoll && a.Until < 0 {
				t.Fatalf("a poll until %v", a.Until)
			}
		}
	}
}
