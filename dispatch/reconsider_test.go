package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotwing.example/result"
)

// checkAfter lets the scheduler look at its jobs after a while.
func (b *testBed) checkAfter(after Time) {
	b.now += after
	b.s.Tick(b.now)
}

func TestJobsThatWaitAreRefusedOnceTheirRoomIsLost(t *testing.T) {
	b := newBed(t, "e1", "e2")
	b.submit("running", callerA, 0, step(8))
	b.submit("waits", callerA, 0, step(4))
	b.checkAfter(checkEvery)
	if _, outcomes, _ := b.take(); len(outcomes) > 0 {
		t.Fatalf("outcomes %v before any room was lost", outcomes)
	}
	b.s.EndpointGone(b.now, agentOf("e1"), EndpointID{ID: "e1"}) // 4 more tasks wait, and half of the room is left
	b.submit("urgent", callerA, -1, step(4))
	b.checkAfter(checkEvery)
	b.checkAfter(checkEvery)
	_, outcomes, _ := b.take()
	if outcomes["waits"] != result.Overloaded {
		t.Errorf("outcomes %v, want that the waiting job is refused", outcomes)
	}
	if _, ended := outcomes["running"]; ended {
		t.Errorf("outcomes %v: a job that has begun is not refused", outcomes)
	}
}

// The run times of few endpoints do not even out, so their forecast refuses no job that waits.
func TestJobsThatWaitForFewEndpointsAreNotRefusedByAForecast(t *testing.T) {
	for _, few := range []bool{false, true} {
		b := newBed(t, "e1", "e2")
		if few {
			b.s.forecastEndpoints = forecastEndpoints
		}
		b.submit("running", callerA, 0, step(8))
		b.submit("waits", callerA, 0, step(4))
		b.s.EndpointGone(b.now, agentOf("e1"), EndpointID{ID: "e1"})
		b.submit("urgent", callerA, -1, step(4))
		b.checkAfter(checkEvery)
		b.checkAfter(checkEvery)
		_, outcomes, _ := b.take()
		if _, refused := outcomes["waits"]; refused == few {
			t.Errorf("few endpoints %v: outcomes %v", few, outcomes)
		}
	}
}

func TestAJobThatMayHaveRunIsNotRefusedWhileItWaits(t *testing.T) {
	b := newBed(t, "e1")
	b.submit("running", callerA, -1, Step{Count: 4, Need: Resources{CPUMilli: 1000}, Estimate: time.Second})
	for _, id := range []string{"again", "new"} {
		b.s.Submit(b.now, Submission{
			Caller: callerA, Job: Job{ID: id, Steps: []Step{step(1)}}, Deadline: b.now + 9*time.Second, MayHaveRun: id == "again",
			Route: Route{Name: "r", MaxAttempts: 3, Stretch: 2, TargetLatency: 1500 * ms},
		})
	}
	for range 75 { // the job that runs takes half as long again as expected
		b.checkAfter(checkEvery)
	}
	if _, outcomes, _ := b.take(); len(outcomes) != 1 || outcomes["new"] != result.Overloaded {
		t.Errorf("outcomes %v, want that only the new one is refused", outcomes)
	}
}

// mixedRoutes are routes that differ in priority and in how long their jobs may wait.
func mixedRoutes() []Route {
	routes := make([]Route, 3)
	for i := range routes {
		routes[i] = Route{Name: fmt.Sprint("r", i), Priority: i, MaxAttempts: 3, Stretch: 1.6, TargetLatency: Time(60+60*i) * ms}
	}
	return routes
}

// TestNoJobIsRefusedBesideRoomThatFits submits, ends and checks jobs at random, while
// endpoints come and go.
func TestNoJobIsRefusedBesideRoomThatFits(t *testing.T) {
	refusals := 0
	rapid.Check(t, func(rt *rapid.T) {
		b := newBed(t, "e1", "e2", "e3")
		routes := mixedRoutes()
		steps := map[string]Step{}
		var running []SchedulerAction
		for i := range rapid.IntRange(1, 120).Draw(rt, "events") {
			b.now += Time(rapid.IntRange(0, 15).Draw(rt, "pause")) * ms
			name := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(rt, "endpoint")
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0:
				b.report(name, EndpointStatus{Available: rapid.Bool().Draw(rt, "available"), Capacity: Resources{CPUMilli: 4000, MemoryMB: 1000}})
			case 1, 2, 3, 4:
				st := step(rapid.IntRange(1, 5).Draw(rt, "tasks"))
				st.Need.CPUMilli = rapid.SampledFrom([]int{400, 1000, 1700}).Draw(rt, "size")
				id := fmt.Sprint("j", i)
				steps[id] = st
				b.s.Submit(b.now, Submission{
					Caller: callerA, Job: Job{ID: id, Steps: []Step{st}}, Deadline: b.now + 2*time.Second,
					Route: rapid.SampledFrom(routes).Draw(rt, "route"),
				})
			case 5, 6, 7:
				if len(running) > 0 {
					b.s.Ended(b.now, running[0].Order, EndDone, 100*ms)
					running = running[1:]
				}
			default:
				b.s.Tick(b.now)
			}
			for _, a := range b.s.TakeActions() {
				switch {
				case a.Kind == OrderRun:
					running = append(running, a)
				case a.Kind == FinishJob && a.Outcome.Code == result.Overloaded && a.Outcome.Detail != "no endpoint takes tasks":
					refusals++
					st := steps[a.Job]
					if fits := roomFor(b.s, b.now, st.Need.CPUMilli); fits >= st.Count {
						rt.Fatalf("%s with %d tasks refused (%s) beside room for %d", a.Job, st.Count, a.Outcome.Detail, fits)
					}
				}
			}
			// Nothing waits beside room: the first of the queue fits nowhere.
			if len(b.s.queue) > 0 {
				j := slices.MinFunc(b.s.queue, func(x, y *job) int { return compareJobs(b.now, x, y) })
				if need := j.sub.Job.Steps[0].Need.CPUMilli; len(j.waiting) > 0 && j.waiting[0].notBefore <= b.now && roomFor(b.s, b.now, need) > 0 && b.s.allNormal() {
					rt.Fatalf("%s waits beside room", j.sub.Job.ID)
				}
			}
		}
	})
	if refusals == 0 {
		t.Error("no job was refused")
	}
}

// roomFor returns how many tasks of a size have room.
func roomFor(s *Scheduler, now Time, cpu int) int {
	n := 0
	for _, e := range s.endpoints {
		if e.usable(now, nil) && e.slowness() == 1 {
			n += max(e.free().CPUMilli, 0) / cpu
		}
	}
	return n
}

// allNormal reports whether no endpoint is slow, or may have been before a task was placed there.
func (s *Scheduler) allNormal() bool {
	return !slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return e.overdue > 0 || e.slow >= slowFrom })
}

// TestNoJobIsDroppedForALaterOneOfLessBenefit lets jobs of the same size wait, and looks
// at each check that refuses some: of two jobs on the same side of their shares, the one that goes
// ahead is refused and the other kept only if the other has more time to start.
func TestNoJobIsDroppedForALaterOneOfLessBenefit(t *testing.T) {
	refusals := 0
	rapid.Check(t, func(rt *rapid.T) {
		b := newBed(t, "e1", "e2", "e3")
		routes := mixedRoutes()
		for i := range rapid.IntRange(8, 40).Draw(rt, "jobs") {
			b.s.Submit(b.now, Submission{
				Caller: callerA, Job: Job{ID: fmt.Sprint("j", i), Steps: []Step{step(2)}}, Deadline: b.now + 2*time.Second,
				Route: rapid.SampledFrom(routes).Draw(rt, "route"),
			})
			b.now += Time(rapid.IntRange(0, 8).Draw(rt, "pause")) * ms
		}
		b.s.EndpointGone(b.now, agentOf("e1"), EndpointID{ID: "e1"})
		for range 6 {
			b.now += checkEvery
			b.s.place(b.now)
			before := slices.Clone(b.s.queueOrder(b.now, b.s.queue))
			b.s.reconsider(b.now)
			for i, j := range before {
				if !j.closed {
					continue
				}
				refusals++
				if j.hasBegun() {
					rt.Fatalf("%s has begun and is refused", j.sub.Job.ID)
				}
				for _, o := range before[i+1:] {
					if !o.closed && !o.hasBegun() && o.mayWait(b.now) < j.mayWait(b.now) {
						rt.Fatalf("%s, which may wait for %v, is refused, and %s after it, which may wait for %v, is kept",
							j.sub.Job.ID, j.mayWait(b.now), o.sub.Job.ID, o.mayWait(b.now))
					}
				}
			}
			b.s.Tick(b.now)
		}
	})
	if refusals == 0 {
		t.Error("no job was refused in any check")
	}
}

func TestRefusalsAreCountedAndLogged(t *testing.T) {
	b := newBed(t, "e1", "e2")
	b.submit("running", callerA, 0, step(8))
	b.submit("waits", callerA, 0, step(4))
	b.s.EndpointGone(b.now, agentOf("e1"), EndpointID{ID: "e1"})
	b.submit("urgent", callerA, -1, step(4))
	b.checkAfter(checkEvery)
	b.checkAfter(checkEvery)
	for _, a := range b.s.TakeActions() {
		if a.Kind == LogDecision && a.Event == "job_refused_waiting" && a.Job == "waits" && a.Reason != "" {
			return
		}
	}
	t.Error("no event job_refused_waiting")
}
