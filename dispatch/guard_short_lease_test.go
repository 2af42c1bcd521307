package dispatch

import (
	"testing"
	"time"
)

// A run that does not stop keeps the endpoint's lease short. A task that starts there would
// lapse with it.
func TestNoTaskStartsWhereTheLeaseIsAboutToEnd(t *testing.T) {
	g, now := newGuard(t)
	run := ref("stuck", 0, 1)
	clock := func(at Time) Time { return at - 5*time.Second }
	g.Start(now, order(ownerA, run, now))
	g.StartAnswered(now+ms, run, CallResult{Clock: clock(now + ms)})
	g.Stop(now+10*ms, ownerA, run)
	for at := now + 10*ms; at < now+testTiming.OwnerLease+200*ms; at += 10 * ms {
		g.RenewOwner(ownerA, at+testTiming.OwnerLease)
		g.Polled(at, at, Snapshot{Clock: clock(at), Running: []RunningRun{{Run: run}}})
		g.Tick(at)
		g.TakeActions()
		if at < now+700*ms {
			continue
		}
		next := ref("next", int(at/ms), 1)
		g.Start(at, order(ownerA, next, at))
		for _, a := range takeCalls(g) {
			if a.Kind == CallStart && a.Until < clock(at+testTiming.StopLead()) {
				t.Fatalf("a start is sent that is valid for %v, %v after the stop", a.Until-clock(at), at-now-10*ms)
			}
		}
		if r := g.runs[next]; r != nil {
			g.StartAnswered(at, next, CallResult{Refusal: Expired})
		}
	}
}
