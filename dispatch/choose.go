package dispatch

import (
	"math"
	"slices"
	"time"
)

// enoughUnpenalized is how many endpoints at which a task ends as early as at
// any are compared. Choosing the most free one of 16 spreads the load about as
// evenly as choosing the most free one of all.
const enoughUnpenalized = 16

// choose returns the endpoint for a task, or nil. Among the endpoints with
// enough free capacity it prefers the earliest expected end, then the most free
// processors. An endpoint that is known to be slow, or is away from the task's
// data, is used only if the job still meets its objective there, or if the outcome
// is no longer of use or no other endpoint is healthy and of normal speed. The
// search begins at another endpoint each time, and stops once it has found enough
// endpoints at which the task ends as early as at any.
func (s *Scheduler) choose(now Time, j *job, t *task) *endpoint {
	st := &j.sub.Job.Steps[t.step]
	if now < t.notBefore || st.Need.CPUMilli > s.maxFreeCPU {
		return nil
	}
	est := s.estimateOf(j.sub.Route.Name)
	expected := est.apply(st.Estimate)
	var best *endpoint
	var bestCost Time
	unpenalized, maxFreeCPU, n := 0, 0, len(s.endpoints)
	for i := 0; i < n && unpenalized < enoughUnpenalized; i++ {
		e := s.endpoints[(s.searchFrom+i)%n]
		if !e.usable(now, s.evacuated) {
			continue
		}
		free := e.free()
		maxFreeCPU = max(maxFreeCPU, free.CPUMilli)
		if !st.Need.Fits(free) || !s.allowed(j, t, st, e) {
			continue
		}
		cost := time.Duration(float64(expected) * s.penalty(st, e))
		if e.cutsOff(now, cost, est.spread) {
			continue
		}
		if cost > expected && now+cost > j.objective && now < j.usefulUntil && s.anotherHealthy(e) {
			continue
		}
		cost = time.Duration(float64(cost) * e.health.expectedAttempts() * s.interference.slowdown(now, e, j.sub.Route.Name, st.Need, expected))
		if cost <= expected {
			unpenalized++
		}
		if best == nil || cost < bestCost || cost == bestCost && free.CPUMilli > best.free().CPUMilli {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		s.maxFreeCPU = maxFreeCPU
		return nil
	}
	s.searchFrom = (s.searchFrom + 1) % n
	return best
}

// raiseMaxFreeCPU notes that an endpoint may have more free capacity than the
// last search saw; nil stands for any endpoint.
func (s *Scheduler) raiseMaxFreeCPU(e *endpoint) {
	if e == nil {
		s.maxFreeCPU = math.MaxInt
		return
	}
	s.maxFreeCPU = max(s.maxFreeCPU, e.free().CPUMilli)
}

// penalty returns the factor by which a task takes longer at an endpoint than at
// one of normal speed near its data.
func (s *Scheduler) penalty(st *Step, e *endpoint) float64 {
	p := e.slowness()
	if st.DataRack != "" && !slices.Contains(e.status.Labels, st.DataRack) {
		p *= s.timing.RemoteDataFactor
	}
	return p
}

// anotherHealthy reports whether an endpoint other than e is healthy and of
// normal speed, so that a task may get a better place by waiting.
func (s *Scheduler) anotherHealthy(e *endpoint) bool {
	return slices.ContainsFunc(s.endpoints, func(o *endpoint) bool {
		return o != e && o.healthy(s.evacuated) && o.slowness() == 1
	})
}

// allowed reports whether a task may run at an endpoint that has the capacity
// for it.
func (s *Scheduler) allowed(j *job, t *task, st *Step, e *endpoint) bool {
	if slices.Contains(t.failedAt, e.id) && s.anyUntried(t, st) {
		return false
	}
	if st.RequiredLabel != "" && !slices.Contains(e.status.Labels, st.RequiredLabel) {
		return false
	}
	if st.MaxPerEndpoint == 0 {
		return true
	}
	here := 0
	for _, o := range j.tasks {
		if o.step == t.step && o.run != nil && o.run.endpoint.id == e.id {
			here++
		}
	}
	return here < st.MaxPerEndpoint
}

// anyUntried reports whether a failed task may still run at a healthy endpoint
// where it has not failed. The task then waits for capacity there: an endpoint
// that fails its tasks soon has free capacity, and would use up the task's
// attempts.
func (s *Scheduler) anyUntried(t *task, st *Step) bool {
	return slices.ContainsFunc(s.endpoints, func(e *endpoint) bool {
		return e.healthy(s.evacuated) && !slices.Contains(t.failedAt, e.id) && st.Need.Fits(e.status.Capacity) &&
			(st.RequiredLabel == "" || slices.Contains(e.status.Labels, st.RequiredLabel))
	})
}

// hasAlternative reports whether another endpoint of normal speed has free
// capacity for a run's task.
func (s *Scheduler) hasAlternative(now Time, r *run) bool {
	return slices.ContainsFunc(s.endpoints, func(o *endpoint) bool {
		return o != r.endpoint && o.usable(now, s.evacuated) && o.slowness() == 1 && r.need.Fits(o.free())
	})
}
