package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

var (
	ownerA   = Owner{Entry: "a", Incarnation: 1}
	ownerB   = Owner{Entry: "b", Incarnation: 2}
	taskSize = Resources{CPUMilli: 1000, MemoryMB: 10}
)

func ref(job string, index, run int) RunRef {
	return RunRef{Task: TaskRef{Job: job, Index: index}, Run: run}
}

// newGuard returns the guard of an endpoint without earlier runs, with capacity
// for four tasks and a lease of owner a, at time 10 s. The endpoint's clock lags
// by 5 s.
func newGuard(t *testing.T) (*Guard, Time) {
	t.Helper()
	now := 10 * time.Second
	g := NewGuard(EndpointID{ID: "e", Born: 7}, "svc", "z1", Resources{CPUMilli: 4000, MemoryMB: 100}, nil, testTiming)
	g.Tick(now)
	for _, at := range []Time{now - recoveryTime, now} {
		g.Polled(at, at, Snapshot{Clock: at - 5*time.Second, Born: 7})
	}
	g.RenewOwner(ownerA, now+testTiming.OwnerLease)
	g.TakeActions()
	return g, now
}

func order(owner Owner, run RunRef, now Time) Order {
	return Order{Owner: owner, Run: run, Need: taskSize, Payload: "p", Echo: now}
}

// takeCalls returns the guard's actions except status reports.
func takeCalls(g *Guard) (calls []GuardAction) {
	for _, a := range g.TakeActions() {
		if a.Kind != StatusChanged {
			calls = append(calls, a)
		}
	}
	return calls
}

func ends(actions []GuardAction) map[RunRef]EndReason {
	out := map[RunRef]EndReason{}
	for _, a := range actions {
		if a.Kind == ReportEnd {
			out[a.Run] = a.Reason
		}
	}
	return out
}

func hasCall(actions []GuardAction, kind GuardActionKind, run RunRef) bool {
	for _, a := range actions {
		if a.Kind == kind && a.Run == run {
			return true
		}
	}
	return false
}

func wantEnds(t *testing.T, g *Guard, want map[RunRef]EndReason) {
	t.Helper()
	if diff := cmp.Diff(want, ends(g.TakeActions())); diff != "" {
		t.Errorf("reported ends (-want +got):\n%s", diff)
	}
}

func TestGuardStartsWithinTheOwnersLease(t *testing.T) {
	g, now := newGuard(t)
	run := ref("j", 0, 1)
	g.Start(now, order(ownerA, run, now))
	calls := takeCalls(g)
	if len(calls) != 1 || calls[0].Kind != CallStart {
		t.Fatalf("got %+v, want one start", calls)
	}
	if limit := now + testTiming.OwnerLease - 5*time.Second; calls[0].Until != limit {
		t.Errorf("start valid until %v of the endpoint's clock, want %v", calls[0].Until, limit)
	}
	g.StartAnswered(now+ms, run, CallResult{Clock: now - 5*time.Second})
	g.Polled(now+60*ms, now+60*ms, Snapshot{Clock: now - 5*time.Second + 60*ms, Ended: []EndedRun{{Seq: 1, Run: run, Reason: EndDone}}})
	wantEnds(t, g, map[RunRef]EndReason{run: EndDone})
	if g.Cursor() != 1 {
		t.Errorf("cursor %d, want 1", g.Cursor())
	}
}

func TestGuardRefusesAnOrderThatIsTooOld(t *testing.T) {
	g, now := newGuard(t)
	run := ref("j", 0, 1)
	g.Start(now, order(ownerA, run, now-orderMaxAge-ms))
	wantEnds(t, g, map[RunRef]EndReason{run: Expired})
}

func TestGuardRefusesAnOwnerWithoutLease(t *testing.T) {
	g, now := newGuard(t)
	run := ref("j", 0, 1)
	g.Start(now, order(ownerB, run, now))
	wantEnds(t, g, map[RunRef]EndReason{run: Expired})
}

func TestGuardRefusesWhatDoesNotFit(t *testing.T) {
	g, now := newGuard(t)
	for i := range 5 {
		g.Start(now, order(ownerA, ref("j", i, 1), now))
	}
	wantEnds(t, g, map[RunRef]EndReason{ref("j", 4, 1): NoRoom})
}

func TestGuardRefusesASecondRunOfATask(t *testing.T) {
	g, now := newGuard(t)
	g.Start(now, order(ownerA, ref("j", 0, 1), now))
	g.RenewOwner(ownerB, now+testTiming.OwnerLease)
	g.Start(now, order(ownerB, ref("j", 0, 2), now))
	wantEnds(t, g, map[RunRef]EndReason{ref("j", 0, 2): TaskBusy})
}

func TestGuardRefusesStartsWhileDrainingOrEvacuated(t *testing.T) {
	g, now := newGuard(t)
	g.SetEvacuated(now, true)
	g.Start(now, order(ownerA, ref("j", 0, 1), now))
	g.SetEvacuated(now, false)
	g.Announced(now, true, Resources{CPUMilli: 4000, MemoryMB: 100})
	g.Start(now, order(ownerA, ref("j", 1, 1), now))
	wantEnds(t, g, map[RunRef]EndReason{ref("j", 0, 1): NotAvailable, ref("j", 1, 1): NotAvailable})
}

// A start without an answer is followed by a poll. The run is adopted if the
// endpoint lists it.
func TestGuardAdoptsARunWhoseAnswerWasLost(t *testing.T) {
	g, now := newGuard(t)
	run := ref("j", 0, 1)
	g.Start(now, order(ownerA, run, now))
	g.TakeActions()
	g.StartUnanswered(now+80*ms, run)
	if calls := takeCalls(g); !hasCall(calls, CallPoll, RunRef{}) {
		t.Fatalf("got %+v, want a poll", calls)
	}
	clock := now - 5*time.Second + 90*ms
	g.Polled(now+90*ms, now+90*ms, Snapshot{Clock: clock, Running: []RunningRun{{Run: run}}})
	g.Polled(now+200*ms, now+200*ms, Snapshot{Clock: clock + 110*ms, Ended: []EndedRun{{Seq: 1, Run: run, Reason: EndDone}}})
	wantEnds(t, g, map[RunRef]EndReason{run: EndDone})
}

// A start without an answer may be carried out later, so its run is stopped
// first: the endpoint refuses a run that was stopped. Only then may the task run
// elsewhere.
func TestGuardReportsAnUnansweredRunOnlyOnceItCannotStart(t *testing.T) {
	g, now := newGuard(t)
	run := ref("j", 0, 1)
	clock := func(at Time) Time { return at - 5*time.Second }
	g.Start(now, order(ownerA, run, now))
	g.TakeActions()
	g.StartUnanswered(now+80*ms, run)
	g.Polled(now+82*ms, now+82*ms, Snapshot{Clock: clock(now + 82*ms)})
	calls := takeCalls(g)
	if !hasCall(calls, CallStop, run) {
		t.Fatalf("got %+v, want a stop", calls)
	}
	if len(ends(calls)) > 0 {
		t.Fatalf("reported %v before the stop was answered", ends(calls))
	}
	// The first stop has no answer either.
	g.Tick(now + 150*ms)
	if calls := takeCalls(g); !hasCall(calls, CallStop, run) {
		t.Fatalf("got %+v, want another stop", calls)
	}
	g.StopAnswered(now+152*ms, run, CallResult{Clock: clock(now + 152*ms)})
	g.Polled(now+151*ms, now+151*ms, Snapshot{Clock: clock(now + 151*ms)})
	if got := ends(g.TakeActions()); len(got) > 0 {
		t.Fatalf("reported %v from a snapshot taken before the stop", got)
	}
	g.Polled(now+154*ms, now+154*ms, Snapshot{Clock: clock(now + 154*ms)})
	wantEnds(t, g, map[RunRef]EndReason{run: Unanswered})
}

func TestGuardLetsNothingOutliveItsOwner(t *testing.T) {
	g, now := newGuard(t)
	run := ref("j", 0, 1)
	g.Start(now, order(ownerA, run, now))
	g.StartAnswered(now+ms, run, CallResult{Clock: now - 5*time.Second + ms})
	g.TakeActions()
	end := now + testTiming.OwnerLease
	for at := now; at < end+2*time.Second; at += 25 * ms {
		g.Tick(at)
		for _, a := range takeCalls(g) {
			if a.Kind == CallPoll && a.Until > end-5*time.Second {
				t.Fatalf("lease renewed to %v, owner's ends at %v", a.Until, end-5*time.Second)
			}
		}
	}
}

// A stop that the endpoint does not carry out ends the run with the lease, while
// the owner goes on renewing its own.
func TestARunWhoseStopIsNotCarriedOutLapses(t *testing.T) {
	g, now := newGuard(t)
	run := ref("j", 0, 1)
	g.Start(now, order(ownerA, run, now))
	clock := func(at Time) Time { return at - 5*time.Second }
	g.StartAnswered(now+ms, run, CallResult{Clock: clock(now + ms)})
	stopped := now + 100*ms
	end := stopped + testTiming.OwnerLease
	for at := now; at < now+4*time.Second; at += 25 * ms {
		g.RenewOwner(ownerA, at+testTiming.OwnerLease)
		if at == stopped {
			g.Stop(at, ownerA, run)
		}
		g.Polled(at, at, Snapshot{Clock: clock(at), Running: []RunningRun{{Run: run}}})
		g.Tick(at)
		for _, a := range takeCalls(g) {
			if a.Kind == CallPoll && a.Until > clock(end) {
				t.Fatalf("lease renewed to %v, %v after the stop", a.Until, at-stopped)
			}
		}
	}
}

// The client of a stopped run sends its job again soon after: 1.3 s after it lost its
// entry, which the home notices 0.3 s later, or as late as it thaws.
func TestARunWhoseStopIsNotCarriedOutGetsNoLongerLease(t *testing.T) {
	for _, frozen := range []Time{0, 300 * ms, 600 * ms} { // for which the home had sent no echo before the stop
		t.Run(frozen.String(), func(t *testing.T) {
			g, now := newGuard(t)
			run := ref("j", 0, 1)
			g.Start(now, order(ownerA, run, now))
			clock := func(at Time) Time { return at - 5*time.Second }
			g.StartAnswered(now+ms, run, CallResult{Clock: clock(now + ms)})
			echo, stopped := now+100*ms, now+100*ms+frozen
			for at := now; at < now+3*time.Second; at += 25 * ms {
				if at <= echo || at > stopped {
					g.RenewOwner(ownerA, at+testTiming.OwnerLease)
				}
				if at == stopped {
					g.Stop(at, ownerA, run)
				}
				g.Polled(at, at, Snapshot{Clock: clock(at), Running: []RunningRun{{Run: run}}})
				g.Tick(at)
				for _, a := range takeCalls(g) {
					if a.Kind == CallPoll && a.Until > clock(echo+testTiming.OwnerLease) {
						t.Fatalf("%v after the stop a lease until %v after the last echo before it; the owner's lease is %v", at-stopped, a.Until-clock(echo), testTiming.OwnerLease)
					}
				}
			}
		})
	}
}

func TestGuardStopsTheRunsOfALostOwner(t *testing.T) {
	g, now := newGuard(t)
	run := ref("j", 0, 1)
	g.Start(now, order(ownerA, run, now))
	g.StartAnswered(now+ms, run, CallResult{Clock: now - 5*time.Second + ms})
	g.TakeActions()
	g.OwnerLost(now+10*ms, ownerA)
	if calls := takeCalls(g); !hasCall(calls, CallStop, run) {
		t.Fatalf("got %+v, want a stop", calls)
	}
}

// A new agent incarnation finds the runs of its predecessor. It stops them, and
// the endpoint is available only once they have ended.
func TestGuardStopsRunsOfAnEarlierAgentFirst(t *testing.T) {
	now := 10 * time.Second
	run := ref("old", 0, 1)
	g := NewGuard(EndpointID{ID: "e"}, "svc", "z1", Resources{CPUMilli: 4000, MemoryMB: 100}, nil, testTiming)
	g.Polled(now, now, Snapshot{Clock: now, Running: []RunningRun{{Run: run}}})
	if calls := takeCalls(g); !hasCall(calls, CallStop, run) {
		t.Fatalf("got %+v, want a stop", calls)
	}
	if g.Status(ownerA).Available {
		t.Fatal("available while an unknown run is running")
	}
	g.Polled(now+recoveryTime/2, now+recoveryTime/2, Snapshot{Clock: now + recoveryTime/2, Ended: []EndedRun{{Seq: 3, Run: run, Reason: EndStopped}}})
	if g.Status(ownerA).Available {
		t.Fatal("available while a start of the earlier agent may be on its way")
	}
	g.Polled(now+recoveryTime, now+recoveryTime, Snapshot{Clock: now + recoveryTime})
	if !g.Status(ownerA).Available {
		t.Fatal("not available once the run has ended")
	}
}

// The start that the earlier agent sent may arrive after the stop, so the run is
// over only once the endpoint has answered the stop.
func TestGuardEndsARunOfAnEarlierAgentOnlyOnceItCannotStart(t *testing.T) {
	g, now := newGuard(t)
	run := ref("old", 0, 1)
	polled := func(at Time) { g.Polled(at, at, Snapshot{Clock: at - 5*time.Second}) }
	g.StopEarlier(now, ownerA, run, 7)
	if calls := takeCalls(g); !hasCall(calls, CallStop, run) {
		t.Fatalf("got %+v, want a stop", calls)
	}
	if orders := g.OrdersOf(ownerA); !cmp.Equal(orders, []uint64{7}) {
		t.Errorf("orders kept %v, want 7", orders)
	}
	polled(now + 2*ms)
	g.StopAnswered(now+5*ms, run, CallResult{Clock: now - 5*time.Second + 4*ms})
	polled(now + 3*ms)
	if got := ends(g.TakeActions()); len(got) > 0 {
		t.Fatalf("reported %v from a snapshot taken before the stop", got)
	}
	polled(now + 6*ms)
	want := []GuardAction{{Kind: ReportEnd, Owner: ownerA, Order: 7, Run: run, Reason: EndStopped, KnownBy: EvidenceStopped, StopAge: 6 * ms, MayStart: true}}
	if diff := cmp.Diff(want, takeCalls(g)); diff != "" {
		t.Errorf("actions (-want +got):\n%s", diff)
	}
}

func TestGuardReportsARunOfAnEarlierAgentThatStartsAfterAll(t *testing.T) {
	g, now := newGuard(t)
	run := ref("old", 0, 1)
	clock := now - 5*time.Second
	g.StopEarlier(now, ownerA, run, 7)
	g.Polled(now+10*ms, now+10*ms, Snapshot{Clock: clock + 10*ms, Running: []RunningRun{{Run: run}}})
	g.StopAnswered(now+30*ms, run, CallResult{Clock: clock + 29*ms})
	g.Polled(now+31*ms, now+31*ms, Snapshot{Clock: clock + 31*ms, Running: []RunningRun{{Run: run}}})
	if got := ends(g.TakeActions()); len(got) > 0 {
		t.Fatalf("reported %v while the run is listed", got)
	}
	g.Polled(now+80*ms, now+80*ms, Snapshot{Clock: clock + 80*ms, Ended: []EndedRun{{Seq: 1, Run: run, Reason: EndStopped}}})
	wantEnds(t, g, map[RunRef]EndReason{run: EndStopped})
}

// Without an answer to a stop, the run is over once the endpoint refuses its start
// because it is late.
func TestGuardEndsARunOfAnEarlierAgentWhoseStopsAreLost(t *testing.T) {
	g, now := newGuard(t)
	run := ref("old", 0, 1)
	g.StopEarlier(now, ownerA, run, 7)
	refused := now + testTiming.MaxLease + lateMargin
	for at := now; at <= refused+100*ms; at += 25 * ms {
		g.RenewOwner(ownerA, at+testTiming.OwnerLease)
		g.Tick(at)
		g.Polled(at, at, Snapshot{Clock: at - 5*time.Second})
		if got := ends(g.TakeActions()); len(got) > 0 {
			if at < now-recoveryTime+testTiming.MaxLease+lateMargin {
				t.Errorf("reported %v after %v, while its start may be accepted", got, at-now)
			}
			return
		}
	}
	t.Error("never reported")
}

// An earlier agent may have extended the lease of an endpoint that does not answer.
func TestGuardLapsesARunOfAnEarlierAgentOnlyAfterThatAgentsLease(t *testing.T) {
	g, now := newGuard(t)
	run := ref("old", 0, 1)
	g.StopEarlier(now, ownerA, run, 7)
	certain := now - recoveryTime + testTiming.MaxLease + lateMargin
	for at := now; at < certain+200*ms; at += 5 * ms {
		g.Tick(at)
		if got := ends(g.TakeActions()); len(got) > 0 {
			if at < certain {
				t.Errorf("reported %v %v before it is certain", got, certain-at)
			}
			return
		}
	}
	t.Error("never reported")
}

func TestGuardKeepsTheTaskOfARunBesideAnEarlierAgentsRunOfIt(t *testing.T) {
	g, now := newGuard(t)
	clock := now - 5*time.Second
	earlier, later := ref("j", 0, 1), ref("j", 0, 2)
	g.RenewOwner(ownerB, now+testTiming.OwnerLease)
	g.Start(now, order(ownerB, later, now))
	g.StartAnswered(now+ms, later, CallResult{Clock: clock + ms})
	g.StopEarlier(now+2*ms, ownerA, earlier, 7)
	g.StopAnswered(now+4*ms, earlier, CallResult{Clock: clock + 3*ms})
	g.Polled(now+5*ms, now+5*ms, Snapshot{Clock: clock + 5*ms, Running: []RunningRun{{Run: later}}})
	wantEnds(t, g, map[RunRef]EndReason{earlier: EndStopped})
	g.Start(now+6*ms, order(ownerA, ref("j", 0, 3), now))
	wantEnds(t, g, map[RunRef]EndReason{ref("j", 0, 3): TaskBusy})
}

func TestGuardIgnoresAnOlderSnapshot(t *testing.T) {
	g, now := newGuard(t)
	run := ref("j", 0, 1)
	clock := now - 5*time.Second
	g.Start(now, order(ownerA, run, now))
	g.StartAnswered(now+ms, run, CallResult{Clock: clock + ms})
	g.Polled(now+20*ms, now+20*ms, Snapshot{Clock: clock + 20*ms, Running: []RunningRun{{Run: run}}})
	g.Polled(now+21*ms, now+21*ms, Snapshot{Clock: clock})
	if got := ends(g.TakeActions()); len(got) > 0 {
		t.Errorf("reported %v from a snapshot that was overtaken", got)
	}
}

// newGuardWithRun returns a guard with a run that the endpoint lists as running.
func newGuardWithRun(t *testing.T, run RunRef) (*Guard, Time) {
	t.Helper()
	g, now := newGuard(t)
	g.Start(now, order(ownerA, run, now))
	clock := now - 5*time.Second
	g.StartAnswered(now+ms, run, CallResult{Clock: clock + ms})
	g.Polled(now+10*ms, now+10*ms, Snapshot{Clock: clock + 10*ms, Born: 7, Running: []RunningRun{{Run: run}}})
	g.TakeActions()
	return g, now
}

func TestGuardEndsListedRunsWithTheLifetime(t *testing.T) {
	run := ref("j", 0, 1)
	g, now := newGuardWithRun(t, run)
	g.Polled(now+20*ms, now+20*ms, Snapshot{Clock: 3 * ms, Born: 8})
	wantEnds(t, g, map[RunRef]EndReason{run: EndLapsed})
	if !g.Ended() {
		t.Error("the lifetime is not over")
	}
}

// The answer to a start does not say which lifetime it is from.
func TestGuardStopsARunThatWasAnsweredButNotListedBeforeTheNextLifetime(t *testing.T) {
	g, now := newGuard(t)
	run := ref("j", 0, 1)
	g.Start(now, order(ownerA, run, now))
	g.StartAnswered(now+ms, run, CallResult{Clock: now - 5*time.Second})
	g.TakeActions()
	g.Replaced(now+20*ms, 8)
	if calls := takeCalls(g); !hasCall(calls, CallStop, run) || len(ends(calls)) > 0 {
		t.Errorf("got %+v, want a stop and no end", calls)
	}
	// An answer of the earlier lifetime's snapshot that was overtaken ends nothing.
	g.Polled(now+25*ms, now+25*ms, Snapshot{Clock: now - 5*time.Second + 10*ms, Born: 7})
	if got := ends(g.TakeActions()); len(got) > 0 {
		t.Errorf("reported %v from a snapshot of the earlier lifetime", got)
	}
}

// A lifetime knows nothing of the stops that the one before it answered.
func TestGuardStopsARunAgainInEachFurtherLifetime(t *testing.T) {
	g, now := newGuard(t)
	run := ref("j", 0, 1)
	g.Start(now, order(ownerA, run, now))
	g.Replaced(now+20*ms, 8)
	g.StopAnswered(now+22*ms, run, CallResult{Clock: 2 * ms})
	g.TakeActions()
	g.Polled(now+30*ms, now+30*ms, Snapshot{Clock: 5 * ms, Born: 9})
	if calls := takeCalls(g); !hasCall(calls, CallStop, run) || len(ends(calls)) > 0 {
		t.Errorf("got %+v, want a stop and no end", calls)
	}
}

// The runs and the lease of the next lifetime are its own guard's.
func TestGuardLeavesTheRunsOfTheNextLifetimeAlone(t *testing.T) {
	g, now := newGuard(t)
	run, other := ref("j", 0, 1), ref("k", 0, 1)
	g.Start(now, order(ownerA, run, now))
	g.Replaced(now+20*ms, 8)
	for at := now + 20*ms; at < now+time.Second; at += 10 * ms {
		g.RenewOwner(ownerA, at+testTiming.OwnerLease)
		g.Tick(at)
		g.Polled(at, at, Snapshot{Clock: at - now, Born: 8, Running: []RunningRun{{Run: other}}, Ended: []EndedRun{{Seq: 1, Run: ref("k", 1, 1), Reason: EndDone}}})
		for _, a := range g.TakeActions() {
			if a.Kind == CallStop && a.Run == other || a.Kind == CallPoll && a.Until != 0 {
				t.Fatalf("got %+v", a)
			}
		}
	}
	if g.Cursor() != 0 {
		t.Errorf("acknowledges ends up to %d, which are the other guard's", g.Cursor())
	}
	g.Start(now+time.Second, order(ownerA, ref("j", 1, 1), now+time.Second))
	wantEnds(t, g, map[RunRef]EndReason{ref("j", 1, 1): NotAvailable})
}

// A start that is on its way when a lifetime begins anew under the same id may be
// carried out in the new one, so reporting its run as ended at once lets the task run twice.
func TestGuardEndsAnUnansweredRunOnlyOnceTheNextLifetimeRefusesIt(t *testing.T) {
	g, now := newGuard(t)
	run := ref("j", 0, 1)
	g.Start(now, order(ownerA, run, now))
	g.TakeActions()
	born := now + 50*ms
	snapshot := func(at Time, running ...RunningRun) Snapshot {
		return Snapshot{Clock: at - born, Born: 8, Running: running}
	}
	g.Polled(now+60*ms, now+60*ms, snapshot(now+60*ms))
	calls := takeCalls(g)
	if got := ends(calls); len(got) > 0 {
		t.Fatalf("reported %v before the new lifetime refuses the run", got)
	}
	if !hasCall(calls, CallStop, run) {
		t.Fatalf("got %+v, want a stop", calls)
	}
	if g.Status(ownerA).Available || g.Ended() {
		t.Errorf("available %v, ended %v; want neither", g.Status(ownerA).Available, g.Ended())
	}
	// The stop has no answer; the lease of the earlier lifetime does not matter any more.
	for at := now + 60*ms; at < now+3*time.Second; at += 25 * ms {
		g.Tick(at)
		if calls := takeCalls(g); len(ends(calls)) > 0 {
			t.Fatalf("reported %v after %v without an answer to a stop", ends(calls), at-now)
		}
	}
	now += 3 * time.Second
	g.StopAnswered(now, run, CallResult{Clock: now - born})
	g.Polled(now+5*ms, now+5*ms, snapshot(now))
	if got := ends(g.TakeActions()); len(got) > 0 {
		t.Fatalf("reported %v from a snapshot that is no later than the stop", got)
	}
	g.Polled(now+10*ms, now+10*ms, snapshot(now+8*ms))
	wantEnds(t, g, map[RunRef]EndReason{run: EndLapsed})
	if !g.Ended() {
		t.Error("the lifetime is not over")
	}
}

// The endpoint has one lease for all runs, which never becomes shorter. If the agent is
// lost, an owner places its tasks again at RunsEndBy.
func TestGuardStartsNothingUnderALeaseThatOutlastsItsOwner(t *testing.T) {
	g, now := newGuard(t)
	g.Start(now, order(ownerA, ref("a", 0, 1), now)) // grants a lease up to the end of ownerA's
	echo := now - 400*ms
	g.RenewOwner(ownerB, echo+testTiming.OwnerLease)
	run := ref("b", 0, 1)
	o := order(ownerB, run, now)
	o.Echo = echo
	g.Start(now, o)
	var lease Time // end of the endpoint's lease by the host's clock
	started := false
	for _, a := range takeCalls(g) {
		lease = max(lease, a.Until+5*time.Second)
		started = started || a.Kind == CallStart && a.Run == run
	}
	lease += (lease - now) * clockDriftPercent / 100
	if by := testTiming.RunsEndBy(echo); started && lease > by {
		t.Errorf("ownerB counts on the end of its run after %v, the endpoint's lease ends after %v", by-now, lease-now)
	}
	// The owner's next heartbeat ends the refusals.
	g.RenewOwner(ownerB, now+ms+testTiming.OwnerLease)
	g.Start(now+2*ms, order(ownerB, ref("b", 1, 1), now+ms))
	if calls := takeCalls(g); !hasCall(calls, CallStart, ref("b", 1, 1)) {
		t.Errorf("got %+v, want a start", calls)
	}
}

// An owner's lease never becomes shorter either, whatever the endpoint's clock does.
func TestGuardNeverRefusesASingleOwnerForTheLeaseGrantedToIt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g, now := newGuard(t)
		rate := 1 - 0.02*rapid.Float64Range(0, 1).Draw(rt, "drift")
		clock := func(at Time) Time { return Time(float64(at) * rate) }
		lease := now + testTiming.OwnerLease
		for i := range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now += Time(rapid.IntRange(0, 300).Draw(rt, "pause")) * ms
			echo := now - Time(rapid.IntRange(0, 450).Draw(rt, "age"))*ms
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				lease = max(lease, echo+testTiming.OwnerLease)
				g.RenewOwner(ownerA, echo+testTiming.OwnerLease)
			case 1:
				g.Polled(now, now, Snapshot{Clock: clock(now - Time(rapid.IntRange(0, 30).Draw(rt, "delay"))*ms), Born: 7})
			case 2:
				g.Tick(now)
			case 3:
				run := ref("j", i, 1)
				o := order(ownerA, run, now)
				o.Echo = echo
				g.TakeActions()
				g.Start(now, o)
				stopping := false // such runs keep the lease from being extended
				for _, r := range g.runs {
					stopping = stopping || r.stopRequested && r.stopBy-testTiming.StopLead() <= now
				}
				if ends(g.TakeActions())[run] == Expired && lease-testTiming.StopLead() > now && !stopping {
					rt.Fatalf("refused %v before the end of the owner's lease", lease-now)
				}
			}
		}
	})
}

// While the endpoint's lease follows the heartbeats of the old home, which still has a
// run there, a new home's orders may be refused until its own next heartbeat.
func TestGuardRefusesANewHomeForAtMostOneHeartbeat(t *testing.T) {
	const every = 150 * ms // hosted/agent homeHeartbeatEvery
	longest := Time(0)
	for phase := Time(0); phase < every; phase += 5 * ms {
		for wait := Time(0); wait < every; wait += 5 * ms {
			g, now := newGuard(t)
			g.Start(now, order(ownerA, ref("a", 0, 1), now))
			begin, echo := now+phase, now+phase // the new home's first heartbeat
			for at := now; ; at += ms {
				if (at-now)%every == 0 {
					g.RenewOwner(ownerA, at+testTiming.OwnerLease)
				}
				if at >= begin && (at-begin)%every == 0 {
					echo = at
					g.RenewOwner(ownerB, echo+testTiming.OwnerLease)
				}
				g.Tick(at)
				run := ref("b", int(at/ms), 1)
				if at < begin+wait {
					continue
				}
				o := order(ownerB, run, at)
				o.Echo = echo
				g.TakeActions()
				g.Start(at, o)
				if hasCall(g.TakeActions(), CallStart, run) {
					longest = max(longest, at-begin-wait)
					break
				}
				if at > begin+time.Second {
					t.Fatal("refused for a second")
				}
			}
		}
	}
	if longest >= every {
		t.Errorf("refused for %v", longest)
	}
	t.Logf("refused for at most %v", longest)
}

// The lease of an endpoint that does not answer has ended once the endpoint's
// clock, 2% slow at worst, is past the end of the last lease granted.
func TestGuardReportsLapsedRunsOfAnUnreachableEndpoint(t *testing.T) {
	g, now := newGuard(t)
	now += testTiming.MaxLease // calls before the guard's extend the lease no longer
	g.Polled(now, now, Snapshot{Clock: now - 5*time.Second, Born: 7})
	g.RenewOwner(ownerA, now+testTiming.OwnerLease)
	run := ref("j", 0, 1)
	g.Start(now, order(ownerA, run, now))
	g.StartAnswered(now+ms, run, CallResult{Clock: now - 5*time.Second + ms})
	g.TakeActions()
	certain := now + testTiming.OwnerLease + testTiming.OwnerLease*clockDriftPercent/100 + lateMargin
	var at Time
	for at = now; at < now+5*time.Second; at += 5 * ms {
		g.Tick(at)
		if reason, ok := ends(g.TakeActions())[run]; ok {
			if reason != EndLapsed {
				t.Errorf("reported %v, want lapsed", reason)
			}
			break
		}
	}
	if at < certain {
		t.Errorf("reported %v after the start, before it is certain at %v", at-now, certain-now)
	}
	if at > certain+100*ms {
		t.Errorf("reported only %v after the start", at-now)
	}
}

// A renewal that was sent to an earlier lifetime, or by an earlier agent, may be carried out
// just before the guard's first poll, and its time is far in the future of a clock that
// has begun anew: the endpoint shortens it to the longest lease.
func TestGuardLapsesNoRunUnderALeaseThatACallForAnEarlierLifetimeExtended(t *testing.T) {
	g, now := newGuard(t)
	run := ref("j", 0, 1)
	g.Start(now, order(ownerA, run, now))
	g.TakeActions()
	leaseEnd := now - recoveryTime + testTiming.MaxLease
	for at := now; at < leaseEnd+200*ms; at += 5 * ms {
		g.Tick(at)
		if _, ended := ends(g.TakeActions())[run]; ended {
			if at < leaseEnd {
				t.Errorf("reported as ended %v before the lease may end", leaseEnd-at)
			}
			return
		}
	}
	t.Error("not reported as ended")
}

// A run whose number cannot be read may be the one kept: it must not count as ended.
func TestGuardKeepsARunThatIsListedWithoutItsNumber(t *testing.T) {
	g, now := newGuard(t)
	run := ref("j", 0, 1)
	g.Start(now, order(ownerA, run, now))
	g.StartAnswered(now+ms, run, CallResult{Clock: now - 5*time.Second})
	listed := RunningRun{Run: RunRef{Task: run.Task}}
	g.Polled(now+60*ms, now+60*ms, Snapshot{Clock: now - 5*time.Second + 60*ms, Running: []RunningRun{listed}, Odd: 1})
	wantEnds(t, g, map[RunRef]EndReason{})
	g.Polled(now+120*ms, now+120*ms, Snapshot{Clock: now - 5*time.Second + 120*ms})
	wantEnds(t, g, map[RunRef]EndReason{run: EndLapsed})
}

// The next lifetime of an id lists a run without its number, after the stop was answered.
func TestGuardKeepsARunThatTheNextLifetimeListsWithoutItsNumber(t *testing.T) {
	g, now := newGuard(t)
	run := ref("j", 0, 1)
	g.Start(now, order(ownerA, run, now))
	born := now + 50*ms
	snapshot := func(at Time, running ...RunningRun) Snapshot {
		return Snapshot{Clock: at - born, Born: 8, Running: running}
	}
	g.Polled(now+60*ms, now+60*ms, snapshot(now+60*ms))
	g.StopAnswered(now+70*ms, run, CallResult{Clock: now + 70*ms - born})
	g.Polled(now+80*ms, now+80*ms, snapshot(now+80*ms, RunningRun{Run: RunRef{Task: run.Task}}))
	wantEnds(t, g, map[RunRef]EndReason{})
	g.Polled(now+90*ms, now+90*ms, snapshot(now+90*ms))
	wantEnds(t, g, map[RunRef]EndReason{run: EndLapsed})
}

// A guard that has no answer of its endpoint yet does not know the endpoint's clock,
// so any time that it sends extends the lease by an unknown time.
func TestGuardExtendsNoLeaseBeforeItKnowsTheEndpointsClock(t *testing.T) {
	g := NewGuard(EndpointID{ID: "e", Born: 1}, "svc", "z", Resources{CPUMilli: 4000}, nil, testTiming)
	now := 1000 * time.Second
	g.Announced(now, false, Resources{CPUMilli: 4000})
	g.RenewOwner(callerA, now+testTiming.OwnerLease)
	g.StopEarlier(now, callerA, RunRef{Task: TaskRef{Job: "j"}, Run: 1}, 1)
	g.Tick(now)
	for _, a := range g.TakeActions() {
		if a.Kind == CallPoll && a.Until != 0 {
			t.Errorf("extends the lease to %v on the endpoint's clock, which is not known", a.Until)
		}
	}
}

// The lease that was sent before must not keep the guard from seeing that a lease
// has run out.
func TestGuardLapsesRunsThoughItHadARunBeforeTheFirstAnswer(t *testing.T) {
	g := NewGuard(EndpointID{ID: "e", Born: 1}, "svc", "z", Resources{CPUMilli: 4000}, nil, testTiming)
	now := 1000 * time.Second // the host is up for longer than the endpoint
	g.Announced(now, false, Resources{CPUMilli: 4000})
	g.RenewOwner(callerA, now+testTiming.OwnerLease)
	earlier := RunRef{Task: TaskRef{Job: "j"}, Run: 1}
	g.StopEarlier(now, callerA, earlier, 1)
	g.Tick(now)
	clock := 5 * time.Second
	g.Polled(now, now, Snapshot{Clock: clock, Born: 1})
	g.StopAnswered(now, earlier, CallResult{Clock: clock})
	now, clock = now+60*ms, clock+60*ms
	g.Polled(now, now, Snapshot{Clock: clock, Born: 1})
	g.Tick(now)
	if g.Runs() != 0 || !g.Status(callerA).Available {
		t.Fatalf("%d runs, available %v", g.Runs(), g.Status(callerA).Available)
	}
	g.Start(now, Order{Owner: callerA, Number: 2, Run: RunRef{Task: TaskRef{Job: "k"}, Run: 1}, Need: Resources{CPUMilli: 1000}, Echo: now})
	if g.Runs() != 1 {
		t.Fatal("not started")
	}
	for end := now + 3*time.Second; now < end; now += 25 * ms { // the endpoint no longer answers
		g.Tick(now)
	}
	if g.Runs() != 0 {
		t.Error("the run has not lapsed 3 s after the endpoint's last answer")
	}
}

// A snapshot of an earlier lifetime says nothing about a later one.
func TestGuardIgnoresAnAnswerOfAnEarlierLifetime(t *testing.T) {
	g := NewGuard(EndpointID{ID: "e", Born: 2}, "svc", "z", Resources{CPUMilli: 4000}, nil, testTiming)
	now := 1000 * time.Second
	g.Announced(now, false, Resources{CPUMilli: 4000})
	g.Polled(now, now, Snapshot{Clock: 5 * time.Second, Born: 1})
	if g.Ended() {
		t.Error("the lifetime is taken as over")
	}
}

// An endpoint says that it ends without saying which lifetime does. The message of an
// earlier one may come after the next one has announced itself.
func TestALifetimeThatAnnouncesItselfAfterTheEndOfAnEarlierOneTakesTasks(t *testing.T) {
	g, now := newGuard(t)
	g.Left(now)
	if g.Status(ownerA).Available {
		t.Error("takes tasks after it has said that it ends")
	}
	g.Announced(now+ms, false, g.capacity)
	if !g.Status(ownerA).Available {
		t.Error("takes no tasks though it has announced itself as ready")
	}
	g.Announced(now+2*ms, true, g.capacity)
	g.Announced(now+3*ms, false, g.capacity) // sent before the one that says that it drains
	if g.Status(ownerA).Available {
		t.Error("takes tasks while it drains")
	}
}

// The guard goes on renewing the lease of an endpoint whose answers are lost, so the runs
// of a lifetime that is given up outlast that moment.
func TestRunsOfALifetimeThatIsGivenUpAreReportedOnlyOnceItsLeaseHasRunOut(t *testing.T) {
	run := ref("j", 0, 1)
	g, now := newGuardWithRun(t, run)
	givenUp, lease := now+2*time.Second, Time(0)
	for at := now; at < now+6*time.Second; at += 25 * ms {
		g.RenewOwner(ownerA, at+testTiming.OwnerLease)
		g.Tick(at)
		if at >= givenUp {
			g.End(at)
		}
		for _, a := range takeCalls(g) {
			switch {
			case a.Kind == CallPoll && a.Until != 0:
				lease = max(lease, a.Until+5*time.Second)
				if at > givenUp {
					t.Fatalf("lease renewed %v after the lifetime was given up", at-givenUp)
				}
			case a.Kind == ReportEnd && at < lease+(at-now)*clockDriftPercent/100:
				t.Fatalf("reported as %v %v before the endpoint's lease has run out", a.Reason, lease+(at-now)*clockDriftPercent/100-at)
			case a.Kind == ReportEnd:
				if !g.Ended() || g.Status(ownerA).Available {
					t.Errorf("ended %v, available %v after the last run", g.Ended(), g.Status(ownerA).Available)
				}
				return
			}
		}
		if at > givenUp && (g.Ended() || !g.HasTask(run.Task) || g.Status(ownerA).Available) {
			t.Fatalf("ended %v, has the task %v, available %v while the run may go on", g.Ended(), g.HasTask(run.Task), g.Status(ownerA).Available)
		}
	}
	t.Error("never reported")
}

// Neither guard knows the clock of the lifetime that may carry out the start.
func TestRunsOfALifetimeThatNeverAnsweredAreReportedOnlyOnceNoLeaseCanGoOn(t *testing.T) {
	run := ref("j", 0, 1)
	for name, prepare := range map[string]func(now Time) *Guard{
		"no answer": func(now Time) *Guard {
			g := NewGuard(EndpointID{ID: "e", Born: 1}, "svc", "z", Resources{CPUMilli: 4000}, nil, testTiming)
			g.Tick(now)
			g.StopEarlier(now, ownerA, run, 1)
			return g
		},
		"replaced": func(Time) *Guard {
			g, now := newGuard(t)
			g.Start(now, order(ownerA, run, now))
			g.Replaced(now, 8)
			return g
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := 10 * time.Second
			g := prepare(now)
			givenUp := now + 2*time.Second
			for at := now; at < givenUp+3*time.Second; at += 25 * ms {
				g.RenewOwner(ownerA, at+testTiming.OwnerLease)
				g.Tick(at)
				if at >= givenUp {
					g.End(at)
				}
				if got := ends(g.TakeActions()); len(got) > 0 {
					if at < givenUp+testTiming.MaxLease*(100+clockDriftPercent)/100 {
						t.Errorf("reported %v %v after the lifetime was given up; a lease lasts up to %v", got, at-givenUp, testTiming.MaxLease)
					}
					if !g.Ended() {
						t.Error("the lifetime is not over")
					}
					return
				}
			}
			t.Error("never reported")
		})
	}
}

// The lifetime that follows one that was given up may carry out a start of that one.
func TestRunsOfALifetimeThatIsGivenUpWaitForTheNextOne(t *testing.T) {
	g, now := newGuard(t)
	run := ref("j", 0, 1)
	g.Start(now, order(ownerA, run, now))
	g.End(now + 500*ms)
	g.Replaced(now+600*ms, 8)
	for at := now + 600*ms; at < now+5*time.Second; at += 25 * ms {
		g.Tick(at)
		if got := ends(g.TakeActions()); len(got) > 0 {
			t.Fatalf("reported %v %v after the next lifetime was found, which has answered no stop", got, at-now-600*ms)
		}
	}
}

// The host's clock counts the time for which the host is suspended, the endpoint's does not.
func TestRunsOfASuspendedHostLapseOnlyByTheEndpointsClock(t *testing.T) {
	const before = 100 * ms // until the host is suspended; the endpoint answers no more
	for _, suspended := range []Time{300 * ms, 900 * ms, 3 * time.Second} {
		t.Run(suspended.String(), func(t *testing.T) {
			run := ref("j", 0, 1)
			g, now := newGuardWithRun(t, run)
			lease, clock := now-5*time.Second+testTiming.OwnerLease, Time(0)
			for passed := Time(0); passed < 6*time.Second; passed += 25 * ms {
				clock = now - 5*time.Second + passed
				at := now + passed
				if passed > before {
					at += suspended
				}
				g.Tick(at)
				for _, a := range takeCalls(g) {
					if a.Kind == CallPoll {
						lease = max(lease, min(a.Until, clock+testTiming.MaxLease))
					}
					if a.Kind == ReportEnd {
						if clock < lease {
							t.Errorf("reported as %v %v before the lease ends by the endpoint's clock", a.Reason, lease-clock)
						}
						return
					}
				}
			}
			t.Error("never reported")
		})
	}
}

// The sample of the endpoint's clock from before the host was suspended is too high.
func TestASuspendedHostGrantsNoLongerLeaseByTheEndpointsClock(t *testing.T) {
	const suspended = 700 * ms
	for name, received := range map[string]Time{"answered before": 0, "answered after": suspended + ms} {
		t.Run(name, func(t *testing.T) {
			g, now := newGuard(t)
			clock := func(at Time) Time { return at - 5*time.Second - suspended }
			thawed := now + suspended
			if received == 0 { // an answer that is handled only after the thaw
				g.Polled(thawed, now+ms, Snapshot{Clock: now - 5*time.Second, Born: 7})
			} else {
				g.Polled(thawed+2*ms, now+received, Snapshot{Clock: clock(now + received), Born: 7})
			}
			at := thawed + 5*ms
			g.RenewOwner(ownerA, at+testTiming.OwnerLease)
			run := ref("j", 0, 1)
			g.Start(at, order(ownerA, run, at))
			g.Tick(at)
			for _, a := range takeCalls(g) {
				if a.Until > clock(at+testTiming.OwnerLease) {
					t.Errorf("%v until %v after the owner's lease", a.Kind, a.Until-clock(at+testTiming.OwnerLease))
				}
			}
		})
	}
}

// The time of day at which a lifetime is born may have jumped back. Polls that were sent
// once a lifetime was known are answered by no earlier one.
func TestRunsAtALifetimeBornEarlierByTheTimeOfDayAreNotReportedWhileTheyGoOn(t *testing.T) {
	g, now := newGuard(t)
	run := ref("j", 0, 1)
	g.Polled(now, now, Snapshot{Clock: now - 5*time.Second, Born: 7, Sent: now - ms})
	g.Start(now, order(ownerA, run, now))
	born := now // of the lifetime that carries out the start
	g.StartAnswered(now+ms, run, CallResult{Clock: ms})
	lease := testTiming.MaxLease // on its clock; what is sent is far ahead of that
	for at := now + 25*ms; at < now+6*time.Second; at += 25 * ms {
		g.RenewOwner(ownerA, at+testTiming.OwnerLease)
		g.Polled(at, at, Snapshot{Clock: at - born, Born: 5, Sent: at - ms, Running: []RunningRun{{Run: run}}})
		g.Tick(at)
		if at > now+2*time.Second {
			g.End(at)
		}
		for _, a := range takeCalls(g) {
			switch {
			case a.Kind == CallStop:
				return // its answer is of that lifetime
			case a.Kind == CallPoll && a.Until != 0:
				lease = at - born + testTiming.MaxLease
			case a.Kind == ReportEnd && at-born < lease:
				t.Fatalf("reported as %v %v before the lease of the lifetime that has the run ends", a.Reason, lease-(at-born))
			}
		}
	}
	t.Error("neither stopped nor reported")
}

func TestGuardIgnoresAnswersToPollsFromBeforeALifetimeBornEarlierByTheTimeOfDay(t *testing.T) {
	g, now := newGuard(t)
	run := ref("j", 0, 1)
	g.Start(now, order(ownerA, run, now))
	g.Polled(now+20*ms, now+20*ms, Snapshot{Clock: 3 * ms, Born: 5, Sent: now + 18*ms})
	if g.Born() != 5 {
		t.Fatalf("lifetime born at %d, want 5", g.Born())
	}
	g.StopAnswered(now+22*ms, run, CallResult{Clock: 4 * ms})
	g.Polled(now+25*ms, now+25*ms, Snapshot{Clock: now - 5*time.Second + 10*ms, Born: 7, Sent: now + 10*ms})
	if got := ends(g.TakeActions()); len(got) > 0 || g.Born() != 5 {
		t.Errorf("reported %v, lifetime born at %d, from an answer of the earlier lifetime", got, g.Born())
	}
	g.Polled(now+30*ms, now+30*ms, Snapshot{Clock: 12 * ms, Born: 5, Sent: now + 28*ms})
	wantEnds(t, g, map[RunRef]EndReason{run: EndLapsed})
}

// The endpoint's clock has whole milliseconds, and answers overtake each other: an older
// list of the same millisecond has a run whose end a newer one lists.
func TestGuardStopsNoEndedRunThatAnOlderSnapshotOfTheSameMillisecondLists(t *testing.T) {
	run, other := ref("j", 0, 1), ref("k", 0, 1)
	for _, acknowledged := range []bool{false, true} {
		t.Run(fmt.Sprintf("acknowledged %v", acknowledged), func(t *testing.T) {
			g, now := newGuardWithRun(t, run)
			clock := now - 5*time.Second + 20*ms
			g.Polled(now+20*ms, now+20*ms, Snapshot{Clock: clock, Born: 7, Ended: []EndedRun{{Seq: 1, Run: run, Reason: EndDone}}})
			if acknowledged {
				g.Polled(now+21*ms, now+21*ms, Snapshot{Clock: clock, Born: 7, Acknowledged: g.Cursor()})
			}
			wantEnds(t, g, map[RunRef]EndReason{run: EndDone})
			g.Polled(now+22*ms, now+22*ms, Snapshot{Clock: clock, Born: 7, Running: []RunningRun{{Run: run}}})
			if calls := takeCalls(g); len(calls) > 0 {
				t.Errorf("got %+v for a run whose end is known", calls)
			}
			// A newer one of that millisecond is used.
			g.Polled(now+23*ms, now+23*ms, Snapshot{Clock: clock, Born: 7, Acknowledged: g.Cursor(), Running: []RunningRun{{Run: other}}})
			if calls := takeCalls(g); !hasCall(calls, FoundUnknown, other) || !hasCall(calls, CallStop, other) {
				t.Errorf("got %+v, want a stop of the run that is not known", calls)
			}
		})
	}
}

// Answers of an endpoint whose clock has whole milliseconds arrive in any order.
func TestGuardReportsEachEndOnceWhateverTheOrderOfSnapshots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g, now := newGuard(t)
		running, ended := map[RunRef]bool{}, map[RunRef]bool{}
		var list []EndedRun
		var waiting []Snapshot
		acknowledged, next := int64(0), 0
		reported := map[RunRef]bool{}
		check := func() {
			for _, a := range g.TakeActions() {
				switch {
				case a.Kind == FoundUnknown, a.Kind == CallStop:
					rt.Fatalf("got %+v for an ordered run", a)
				case a.Kind == ReportEnd && (!ended[a.Run] || reported[a.Run] || a.Reason != EndDone):
					rt.Fatalf("reported %+v; ended %v, reported before %v", a, ended[a.Run], reported[a.Run])
				case a.Kind == ReportEnd:
					reported[a.Run] = true
				}
			}
		}
		poll := func() Snapshot {
			ack := g.Cursor()
			acknowledged = max(acknowledged, ack)
			s := Snapshot{Clock: (now - 5*time.Second).Truncate(ms), Born: 7, Sent: now, Acknowledged: ack}
			for run := range running {
				s.Running = append(s.Running, RunningRun{Run: run})
			}
			for _, e := range list {
				if e.Seq > acknowledged {
					s.Ended = append(s.Ended, e)
				}
			}
			return s
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += Time(rapid.IntRange(0, 700).Draw(rt, "pause")) * time.Microsecond
			g.RenewOwner(ownerA, now+testTiming.OwnerLease)
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0: // a run starts
				run := ref("j", next, 1)
				next++
				g.Start(now, order(ownerA, run, now))
				if g.runs[run] != nil {
					running[run] = true
					g.StartAnswered(now, run, CallResult{Clock: (now - 5*time.Second).Truncate(ms)})
				}
				g.TakeActions()
			case 1: // the first one ends
				for i := range next {
					if run := ref("j", i, 1); running[run] {
						delete(running, run)
						ended[run] = true
						list = append(list, EndedRun{Seq: int64(len(list) + 1), Run: run, Reason: EndDone})
						break
					}
				}
			case 2, 3:
				waiting = append(waiting, poll())
			case 4:
				if len(waiting) > 0 {
					i := rapid.IntRange(0, len(waiting)-1).Draw(rt, "answer")
					g.Polled(now, now, waiting[i])
					waiting = slices.Delete(waiting, i, i+1)
				}
			}
			check()
		}
		now += 10 * ms
		g.Polled(now, now, poll())
		check()
		if len(reported) != len(ended) {
			rt.Fatalf("%d ends reported of %d", len(reported), len(ended))
		}
	})
}

func TestGuardSaysHowItKnowsThatARunHasEnded(t *testing.T) {
	run := ref("j", 0, 1)
	absent := func(g *Guard, at Time) { g.Polled(at, at, Snapshot{Clock: at - 5*time.Second, Born: 7}) }
	silence := func(g *Guard, from Time) {
		for at := from; at < from+3*time.Second; at += 25 * ms {
			g.Tick(at)
		}
	}
	tests := map[string]struct {
		accepted bool // the start was answered, and the run listed
		then     func(g *Guard, now Time)
		want     Evidence
		stopAge  Time
	}{
		"refused": {false, func(g *Guard, now Time) { g.StartAnswered(now, run, CallResult{Refusal: NoRoom}) }, EvidenceRefused, 0},
		"listed": {true, func(g *Guard, now Time) {
			g.Stop(now+20*ms, ownerA, run)
			g.Polled(now+50*ms, now+50*ms, Snapshot{Clock: now - 5*time.Second + 50*ms, Born: 7, Ended: []EndedRun{{Seq: 1, Run: run, Reason: EndStopped}}})
		}, EvidenceListed, 30 * ms},
		"absent": {true, func(g *Guard, now Time) { absent(g, now+50*ms) }, EvidenceAbsent, 0},
		"absent after a stop": {true, func(g *Guard, now Time) {
			g.Stop(now+20*ms, ownerA, run)
			g.StopAnswered(now+22*ms, run, CallResult{Clock: now - 5*time.Second + 21*ms})
			absent(g, now+50*ms)
		}, EvidenceStopped, 30 * ms},
		"start refused as late": {false, func(g *Guard, now Time) {
			g.StartUnanswered(now+20*ms, run)
			absent(g, now+testTiming.OwnerLease+2*lateMargin)
		}, EvidenceLate, 0},
		"lease over":   {true, func(g *Guard, now Time) { silence(g, now) }, EvidenceLease, 225 * ms},
		"new lifetime": {true, func(g *Guard, now Time) { g.Replaced(now, 8) }, EvidenceNewLifetime, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g, now := newGuard(t)
			now += testTiming.MaxLease // calls before the guard's extend the lease no longer
			g.Polled(now, now, Snapshot{Clock: now - 5*time.Second, Born: 7})
			g.RenewOwner(ownerA, now+testTiming.OwnerLease)
			g.Start(now, order(ownerA, run, now))
			if test.accepted {
				g.StartAnswered(now+ms, run, CallResult{Clock: now - 5*time.Second + ms})
				g.Polled(now+10*ms, now+10*ms, Snapshot{Clock: now - 5*time.Second + 10*ms, Born: 7, Running: []RunningRun{{Run: run}}})
			}
			g.TakeActions()
			test.then(g, now)
			for _, a := range g.TakeActions() {
				if a.Kind != ReportEnd {
					continue
				}
				if a.KnownBy != test.want || a.StopAge != test.stopAge {
					t.Errorf("known by %v, stop requested %v before; want %v, %v", a.KnownBy, a.StopAge, test.want, test.stopAge)
				}
				return
			}
			t.Error("no end reported")
		})
	}
}

// The run was reported by an earlier lifetime's guard; its task may run elsewhere.
func TestGuardStopsALateStartSilentlyUntilItIsRefused(t *testing.T) {
	g, now := newGuard(t)
	run := ref("j", 0, 1)
	snapshot := func(at Time) { g.Polled(at, at, Snapshot{Clock: at - 5*time.Second, Born: 7}) }
	g.StopLate(now, run)
	if calls := takeCalls(g); !hasCall(calls, CallStop, run) {
		t.Fatalf("got %+v, want a stop", calls)
	}
	// No answer to the stop: neither the time nor a silence of the endpoint ends the wait.
	for passed := Time(0); passed < 3*time.Second; passed += 25 * ms {
		at := now + passed
		g.RenewOwner(ownerA, at+testTiming.OwnerLease)
		if passed < time.Second || passed > 2*time.Second {
			snapshot(at)
		}
		g.Tick(at)
		if calls := takeCalls(g); !g.HasTask(run.Task) || len(ends(calls)) > 0 {
			t.Fatalf("%v after the stop: task busy %v, got %+v", passed, g.HasTask(run.Task), calls)
		}
	}
	now += 3 * time.Second
	g.Start(now, order(ownerA, ref("j", 0, 2), now))
	wantEnds(t, g, map[RunRef]EndReason{ref("j", 0, 2): TaskBusy})
	g.Start(now, order(ownerA, ref("k", 0, 1), now))
	for _, a := range takeCalls(g) {
		if a.Kind == CallStart && a.Until < now-5*time.Second+testTiming.OwnerLease/2 {
			t.Errorf("another run's start is valid for %v only", a.Until-(now-5*time.Second))
		}
	}
	g.StartAnswered(now, ref("k", 0, 1), CallResult{Clock: now - 5*time.Second})
	g.StopAnswered(now+ms, run, CallResult{Clock: now - 5*time.Second + ms})
	g.Polled(now+5*ms, now+5*ms, Snapshot{Clock: now - 5*time.Second + 5*ms, Born: 7, Running: []RunningRun{{Run: ref("k", 0, 1)}}})
	if calls := takeCalls(g); g.HasTask(run.Task) || len(ends(calls)) > 0 {
		t.Errorf("after the answer: task busy %v, got %+v", g.HasTask(run.Task), calls)
	}
}
