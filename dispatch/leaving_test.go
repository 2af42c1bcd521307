package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// leave reports that an endpoint drains and leaves after a time; 0: not known.
func (b *testBed) leave(name string, in Time) {
	b.report(name, EndpointStatus{Capacity: Resources{CPUMilli: 4000, MemoryMB: 1000}, LeavesIn: in})
}

// startAt submits a job of one task of 500 ms and returns its order, for which the other
// endpoints have no room.
func startAt(b *testBed, name string) SchedulerAction {
	b.t.Helper()
	s := step(1)
	s.Estimate = 500 * ms
	s.RequiredLabel = "only-" + name
	b.report(name, EndpointStatus{Available: true, Capacity: Resources{CPUMilli: 4000, MemoryMB: 1000}, Labels: []string{s.RequiredLabel}})
	b.submit("j", callerA, 0, s)
	orders, _, _ := b.take()
	if len(orders) != 1 || orders[0].Endpoint.ID != name {
		b.t.Fatalf("orders %v", orders)
	}
	return orders[0]
}

func TestARunThatALeavingEndpointCutsOffIsStoppedAndPlacedElsewhere(t *testing.T) {
	b := newBed(t, "e1", "e2")
	order := startAt(b, "e1")
	other := EndpointStatus{Available: true, Capacity: Resources{CPUMilli: 4000, MemoryMB: 1000}, Labels: []string{"only-e1"}}
	b.report("e2", other)
	b.now += 50 * ms
	b.leave("e1", 300*ms)
	b.s.Tick(b.now)
	orders, _, cancels := b.take()
	if len(cancels) != 1 || len(orders) != 0 {
		t.Fatalf("%d stops, %d orders before the run has ended", len(cancels), len(orders))
	}
	b.end(order, EndStopped)
	orders, _, _ = b.take()
	if len(orders) != 1 || orders[0].Endpoint.ID != "e2" || orders[0].Run.Run <= order.Run.Run {
		t.Fatalf("orders %v", orders)
	}
	// A task is moved once.
	b.report("e3", other)
	b.report("e2", EndpointStatus{Capacity: other.Capacity, Labels: other.Labels, LeavesIn: 200 * ms})
	b.now += checkEvery
	b.s.Tick(b.now)
	if _, _, cancels = b.take(); len(cancels) != 0 {
		t.Errorf("moved again: %v", cancels)
	}
}

func TestARunAtASlowEndpointIsMovedAndTheEndpointStaysSlow(t *testing.T) {
	b := newBed(t, "e1", "e2")
	order := startAt(b, "e1")
	b.report("e2", EndpointStatus{Available: true, Capacity: Resources{CPUMilli: 4000, MemoryMB: 1000}, Labels: []string{"only-e1"}})
	b.now += 100 * ms
	b.s.endpoints[0].slow = 4
	b.s.checkEndpoints(b.now)
	if _, _, cancels := b.take(); len(cancels) != 1 {
		t.Fatalf("%d stops", len(cancels))
	}
	b.end(order, EndStopped)
	if orders, _, _ := b.take(); len(orders) != 1 || orders[0].Endpoint.ID != "e2" {
		t.Fatalf("orders %v", orders)
	}
	if e := b.s.endpoints[0]; e.slowness() != 4 || e.health != (health{}) {
		t.Errorf("slowness %v, %+v", e.slowness(), e.health)
	}
}

func TestARunIsLeftAloneWhereItEndsSoonerSo(t *testing.T) {
	for name, play := range map[string]func(b *testBed){
		"the notice is long":        func(b *testBed) { b.leave("e1", 2*time.Second) },
		"the time is not known":     func(b *testBed) { b.leave("e1", 0) },
		"it leaves now":             func(b *testBed) { b.leave("e1", ms) },
		"no room elsewhere":         func(b *testBed) { b.report("e2", EndpointStatus{}); b.leave("e1", 300*ms) },
		"the job is late by then":   func(b *testBed) { b.now += 1600 * ms; b.leave("e1", 300*ms) },
		"the run has nearly ended":  func(b *testBed) { b.now += 420 * ms; b.leave("e1", 300*ms) },
		"tasks wait for the room":   func(b *testBed) { b.submit("large", callerA, 0, step(9)); b.leave("e1", 300*ms) },
		"the agent's link is lost":  func(b *testBed) { b.leave("e1", 300*ms); b.s.AgentLost(b.now, agentOf("e1"), b.now+time.Second) },
		"the other leaves as well":  func(b *testBed) { b.leave("e2", time.Minute); b.leave("e1", 300*ms) },
		"both are slow":             func(b *testBed) { b.s.endpoints[0].slow, b.s.endpoints[1].slow = 3, 3 },
		"it is slow by a little":    func(b *testBed) { b.now += 300 * ms; b.s.endpoints[0].slow = 1.8 },
		"the other is slow":         func(b *testBed) { b.s.endpoints[1].slow = 3; b.leave("e1", 300*ms) },
		"it stays, as is known now": func(b *testBed) { b.leave("e1", 300*ms); b.leave("e1", time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, "e1", "e2")
			startAt(b, "e1")
			b.report("e2", EndpointStatus{Available: true, Capacity: Resources{CPUMilli: 4000, MemoryMB: 1000}, Labels: []string{"only-e1"}})
			play(b)
			b.take()
			b.s.checkEndpoints(b.now)
			if _, _, cancels := b.take(); len(cancels) != 0 {
				t.Errorf("stopped: %v", cancels)
			}
		})
	}
}

func TestRunsLostWithALeavingEndpointAreNoEvidenceAgainstIt(t *testing.T) {
	b := newBed(t, "e1", "e2")
	for i := range 12 {
		b.submit(fmt.Sprintf("j%d", i), callerA, 0, step(1))
	}
	orders, _, _ := b.take()
	b.leave("e1", 300*ms)
	b.leave("e2", 300*ms)
	for i, o := range orders {
		b.s.Ended(b.now, o.Order, []EndReason{EndFailed, Unanswered, Unhealthy, NotStarted, EndLapsed}[i%5], 0)
	}
	for _, e := range b.s.endpoints {
		if e.health != (health{}) {
			t.Errorf("%s: %+v", e.id.ID, e.health)
		}
	}
}

// What the decisions promise, whatever happens: a task runs once at a time and is moved
// once, no task is placed where the notice ends before its expected end, and none is moved
// while tasks wait for room.
func TestLeavingEndpointsKeepTheirPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBed(t, "e0", "e1", "e2", "e3")
		open := map[TaskRef]SchedulerAction{}
		moved := map[TaskRef]bool{}
		jobs := 0
		names := rapid.SampledFrom([]string{"e0", "e1", "e2", "e3"})
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			b.now += Time(rapid.IntRange(0, 60).Draw(rt, "ms")) * ms
			switch rapid.IntRange(0, 5).Draw(rt, "what") {
			case 0, 1:
				st := step(rapid.IntRange(1, 4).Draw(rt, "tasks"))
				st.Estimate = Time(rapid.IntRange(20, 900).Draw(rt, "estimate")) * ms
				b.submit(fmt.Sprintf("j%d", jobs), callerA, 0, st)
				jobs++
			case 2:
				b.report(names.Draw(rt, "endpoint"), EndpointStatus{
					Available: rapid.Bool().Draw(rt, "available"), Capacity: Resources{CPUMilli: 4000, MemoryMB: 1000},
					LeavesIn: Time(rapid.IntRange(0, 1000).Draw(rt, "notice")) * ms,
				})
			case 3:
				if len(open) == 0 {
					continue
				}
				o := rapid.SampledFrom(slices.SortedFunc(maps.Values(open), func(a, b SchedulerAction) int {
					return cmp.Compare(a.Order, b.Order)
				})).Draw(rt, "run")
				delete(open, o.Run.Task)
				b.s.Ended(b.now, o.Order, rapid.SampledFrom([]EndReason{EndDone, EndStopped, EndLapsed, EndFailed}).Draw(rt, "end"), 100*ms)
			default:
				waiting := b.s.WaitingJobs()
				b.s.checkEndpoints(b.now)
				for _, a := range b.s.out {
					if a.Event == "run_moved" && waiting > 0 {
						rt.Errorf("moved while %d jobs waited", waiting)
					}
				}
				b.s.Tick(b.now)
			}
			for _, a := range b.s.TakeActions() {
				switch {
				case a.Kind == OrderRun:
					if before, runs := open[a.Run.Task]; runs {
						rt.Fatalf("%v ordered while %v is open", a.Run, before.Run)
					}
					open[a.Run.Task] = a
					e, r := b.s.find(a.Agent, a.Endpoint), b.s.runs[a.Order]
					if !e.status.Available || e.leaves() && b.now+r.expected > e.leavesAt {
						rt.Errorf("placed where the endpoint leaves in %v: %v", e.leavesAt-b.now, r.expected)
					}
				case a.Event == "run_moved":
					if moved[a.Run.Task] {
						rt.Errorf("%v moved twice", a.Run.Task)
					}
					moved[a.Run.Task] = true
				}
			}
		}
	})
}
