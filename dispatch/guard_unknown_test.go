package dispatch

import (
	"testing"
	"time"
)

// A start of the earlier agent incarnation that is carried out after recoveryTime, at an
// endpoint that carries out no stop and has another run.
func TestTheLeaseOfARunThatIsNotKnownIsNotRenewed(t *testing.T) {
	g, now := newGuard(t)
	known, unknown := ref("known", 0, 1), ref("unknown", 0, 1)
	clock := func(at Time) Time { return at - 5*time.Second }
	g.Start(now, order(ownerA, known, now))
	g.StartAnswered(now+ms, known, CallResult{Clock: clock(now + ms)})
	found := now + 100*ms
	for at := now; at < now+3*time.Second; at += 25 * ms {
		g.RenewOwner(ownerA, at+testTiming.OwnerLease)
		running := []RunningRun{{Run: known}}
		if at >= found {
			running = append(running, RunningRun{Run: unknown})
		}
		g.Polled(at, at, Snapshot{Clock: clock(at), Running: running})
		g.Tick(at)
		for _, a := range takeCalls(g) {
			if a.Kind == CallPoll && a.Until > clock(at) && at > found+2*testTiming.OwnerLease {
				t.Fatalf("%v after the run was found its lease is renewed until %v after that", at-found, a.Until-clock(found))
			}
		}
	}
}

// The start of an earlier lifetime is carried out in the next one, which carries out no stop.
func TestTheLeaseOfARunOfAnEarlierLifetimeIsNotRenewed(t *testing.T) {
	old, now := newGuard(t)
	late := ref("late", 0, 1)
	old.Start(now, order(ownerA, late, now))
	next := NewGuard(EndpointID{ID: "e", Born: 8}, "svc", "z1", Resources{CPUMilli: 4000, MemoryMB: 100}, nil, testTiming)
	old.Replaced(now, 8)
	clock := func(at Time) Time { return at - 5*time.Second }
	for _, at := range []Time{now, now + recoveryTime + ms} {
		next.Polled(at, at, Snapshot{Clock: clock(at), Born: 8})
	}
	now += 60 * ms
	known, found := ref("known", 0, 1), now+100*ms
	next.RenewOwner(ownerB, now+testTiming.OwnerLease)
	next.Start(now, order(ownerB, known, now))
	next.StartAnswered(now, known, CallResult{Clock: clock(now)})
	for at := now; at < now+3*time.Second; at += 25 * ms {
		next.RenewOwner(ownerB, at+testTiming.OwnerLease)
		if at == now+100*ms {
			old.OwnerLost(at, ownerA) // its client sends the job again 1.3 s after that
		}
		running := []RunningRun{{Run: known}}
		if at >= found {
			running = append(running, RunningRun{Run: late})
		}
		s := Snapshot{Clock: clock(at), Born: 8, Running: running}
		old.Polled(at, at, s)
		next.Polled(at, at, s)
		old.Tick(at)
		next.Tick(at)
		for _, a := range append(takeCalls(next), takeCalls(old)...) {
			if a.Kind == CallPoll && a.Until > clock(at) && at > found+2*testTiming.OwnerLease {
				t.Fatalf("%v after the run was found its lease is renewed until %v after that", at-found, a.Until-clock(found))
			}
		}
	}
}
