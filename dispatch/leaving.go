package dispatch

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// An endpoint that drains says how long it stays at least. What runs there when it
// leaves is lost; what runs at an endpoint that has turned slow ends late. These decisions
// answer endpoints that are taken away at short notice, or turn slow under load.

const (
	// leaveMargin is the number of mean deviations of its run time by which a task has to
	// end before an endpoint leaves, to be placed there: one in twenty takes longer.
	leaveMargin = 2
	// slowMoveGain is how many times as long a task has to take where it is as elsewhere, to be
	// moved from a slow endpoint: slowness is known by a few runs only.
	slowMoveGain = 1.5
	// deviation is the standard deviation of a normal distribution as a multiple of its
	// mean deviation.
	deviation = 1.2533
)

// setStatus takes over what the agent reports.
func (e *endpoint) setStatus(now Time, status EndpointStatus) {
	e.status = status
	e.leavesAt = 0
	if status.LeavesIn > 0 {
		e.leavesAt = now + status.LeavesIn
	}
}

// leaves reports whether it is known when the endpoint will leave.
func (e *endpoint) leaves() bool { return e.leavesAt != 0 }

// cutsOff reports whether the endpoint may leave before a task ends that starts now and is
// expected to take a time, of which spread is the mean deviation as a share.
func (e *endpoint) cutsOff(now, expected Time, spread float64) bool {
	return e.leaves() && now+Time((1+leaveMargin*spread)*float64(expected)) > e.leavesAt
}

// leavingRun is a run at an endpoint that leaves.
type leavingRun struct {
	left     Time    // until the endpoint leaves, at least
	rest     Time    // expected time until the run ends
	expected Time    // of a run of the task elsewhere
	spread   float64 // mean deviation of a run time from the expected one, as a share of that
	stop     Time    // that it takes to stop the run
}

// cutOffChance returns the chance that the run has not ended when its endpoint leaves.
func (r leavingRun) cutOffChance() float64 {
	sigma := max(deviation*r.spread*float64(r.expected), float64(time.Millisecond))
	return math.Erfc(float64(r.left-r.rest)/(sigma*math.Sqrt2)) / 2
}

// endsSoonerElsewhere reports whether the run will probably be lost, and its task is
// expected to end sooner if the run is stopped now and another one is started than if it is
// left alone and started again once it is lost.
func (r leavingRun) endsSoonerElsewhere() bool {
	lost := r.cutOffChance()
	if lost <= 0.5 {
		return false
	}
	alone := lost*float64(max(r.left, 0)+r.expected) + (1-lost)*float64(r.rest)
	return float64(r.stop+r.expected) < alone
}

// losesTime reports whether runs at the endpoint may do better elsewhere.
func (e *endpoint) losesTime() bool { return !e.lost && (e.leaves() || e.slowness() > 1) }

// moveRuns stops the runs at leaving and slow endpoints whose tasks are expected to end
// sooner elsewhere, where there is room for them now and their outcome is still of use then.
// A task is moved once. It is placed again once its run has ended.
func (s *Scheduler) moveRuns(now Time) {
	if len(s.queue) > 0 || !slices.ContainsFunc(s.endpoints, (*endpoint).losesTime) {
		return // tasks that wait get the room
	}
	room := s.normalRoom(now)
	for _, e := range s.endpoints {
		if !e.losesTime() {
			continue
		}
		for _, r := range e.runs {
			if !r.stopping && !r.task.moved && s.shouldMove(now, r) && s.takeRoom(room, r) {
				s.moveRun(now, r)
			}
		}
	}
}

func (s *Scheduler) shouldMove(now Time, r *run) bool {
	elsewhere := now + s.timing.StopTime + r.expected
	if elsewhere > min(r.job.usefulUntil, r.job.sub.Deadline) {
		return false
	}
	e := r.endpoint
	rest := e.restOf(now, r)
	if e.slowness() > 1 && float64(rest) > slowMoveGain*float64(s.timing.StopTime+r.expected) {
		return true
	}
	return e.leaves() && leavingRun{
		left: e.leavesAt - now, rest: rest, expected: r.expected,
		spread: s.estimateOf(r.job.sub.Route.Name).spread, stop: s.timing.StopTime,
	}.endsSoonerElsewhere()
}

// restOf returns the expected time until a run ends.
func (e *endpoint) restOf(now Time, r *run) Time {
	end := r.ordered + Time(float64(r.expected)*e.slowness())
	return max(end-now, overdueRest(now-r.ordered))
}

// normalRoom returns the free capacity of the usable endpoints of normal speed.
func (s *Scheduler) normalRoom(now Time) map[*endpoint]Resources {
	room := map[*endpoint]Resources{}
	for _, e := range s.endpoints {
		if e.usable(now, s.evacuated) && !e.leaves() && e.slowness() == 1 {
			room[e] = e.free()
		}
	}
	return room
}

// takeRoom takes the room for a run's task, if there is any. Each room is given out once,
// so that no more runs are stopped than find a place.
func (s *Scheduler) takeRoom(room map[*endpoint]Resources, r *run) bool {
	st := &r.job.sub.Job.Steps[r.task.step]
	for _, e := range s.endpoints { // in order, so that the outcome is the same each time
		if free, ok := room[e]; ok && r.need.Fits(free) && s.allowed(r.job, r.task, st, e) {
			room[e] = free.Sub(r.need)
			return true
		}
	}
	return false
}

func (s *Scheduler) moveRun(now Time, r *run) {
	r.task.moved = true
	e := r.endpoint
	why := fmt.Sprintf("endpoint leaves in %v", e.leavesAt-now)
	if !e.leaves() {
		why = fmt.Sprintf("endpoint is slow by %.1f", e.slowness())
		e.slow = max(e.slow, e.slowness()) // the run's end will not tell
	}
	s.stop(r)
	s.emit(SchedulerAction{
		Kind: LogDecision, Agent: r.endpoint.agent, Endpoint: r.endpoint.id, Job: r.ref.Task.Job, Run: r.ref, Event: "run_moved",
		Reason: fmt.Sprintf("%s, the run needs about %v more", why, e.restOf(now, r)),
	})
}
