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
