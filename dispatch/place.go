package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bergamotwing.example/result"
)

const (
	// admitShare is the share of its slack for which a job may wait. The rest
	// covers wrong estimates.
	admitShare = 0.5
	// startGrace is how long a new scheduler admits jobs while it knows no
	// endpoint: after a restart of all processes, agents connect within this
	// time.
	startGrace = 600 * time.Millisecond
	// lookahead is how many tasks that fit nowhere are skipped in one pass over
	// the queue.
	lookahead = 8
	// minRetryAfter is the shortest time after which a refused client may retry.
	minRetryAfter = time.Second
)

// admit decides on arrival whether a job is admitted. It handles bursts: a job
// that would wait too long behind the work ahead of it is refused at once.
func (s *Scheduler) admit(now Time, j *job) (Outcome, bool) {
	capacity := s.hasCapacity(now)
	if !capacity && now < s.started+startGrace {
		return Outcome{}, false
	}
	if !capacity {
		return Outcome{Code: result.Overloaded, RetryAfter: minRetryAfter, Detail: "no endpoint takes tasks"}, true
	}
	for _, st := range j.sub.Job.Steps {
		if !s.everFits(st) {
			return Outcome{Code: result.NeverFits, Detail: "no endpoint has the size or the label that a task needs"}, true
		}
	}
	limit := Time(admitShare * float64(j.slack(now)))
	if wait := s.predictWait(now, j, limit); wait > 0 && wait > limit {
		return Outcome{Code: result.Overloaded, RetryAfter: max(wait, minRetryAfter), Detail: "last task would wait " + wait.String()}, true
	}
	return Outcome{}, false
}

// hasCapacity reports whether any endpoint takes tasks, even if only as probes.
func (s *Scheduler) hasCapacity(now Time) bool {
	return slices.ContainsFunc(s.endpoints, func(e *endpoint) bool {
		return e.healthy(s.evacuated) || e.health.ejected() && e.usable(now, s.evacuated)
	})
}

// everFits reports whether a step's tasks fit any endpoint while it is idle.
func (s *Scheduler) everFits(st Step) bool {
	return slices.ContainsFunc(s.endpoints, func(e *endpoint) bool {
		return !e.lost && !e.released && st.Need.Fits(e.status.Capacity) && (st.RequiredLabel == "" || slices.Contains(e.status.Labels, st.RequiredLabel))
	})
}

// compareJobs defines the order of the queue: jobs that have not begun and can
// no longer meet their objective come last; then the priority counts; then begun
// jobs come first, so that a wide job gets the capacity for all its tasks; then
// the latest start that meets the objective counts.
func compareJobs(now Time, a, b *job) int {
	return cmp.Or(
		cmp.Compare(boolRank(a.missesObjective(now)), boolRank(b.missesObjective(now))),
		cmp.Compare(a.sub.Route.Priority, b.sub.Route.Priority),
		cmp.Compare(boolRank(!a.hasBegun()), boolRank(!b.hasBegun())),
		cmp.Compare(a.latestStart(), b.latestStart()),
		cmp.Compare(a.sub.Job.ID, b.sub.Job.ID),
	)
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// place orders runs of waiting tasks at endpoints with free capacity.
func (s *Scheduler) place(now Time) {
	if len(s.queue) == 0 || now < s.holdUntil {
		return
	}
	s.sortQueue(now)
	misses := 0
	for _, j := range slices.Clone(s.queue) {
		misses += s.placeJob(now, j)
		if misses > lookahead {
			break
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(j *job) bool {
		j.queued = len(j.waiting) > 0
		return !j.queued
	})
}

func (s *Scheduler) sortQueue(now Time) {
	slices.SortFunc(s.queue, func(a, b *job) int { return compareJobs(now, a, b) })
}

// placeJob places a job's waiting tasks and returns how many fitted nowhere; it
// stops at the second.
func (s *Scheduler) placeJob(now Time, j *job) (misses int) {
	kept := j.waiting[:0:0]
	for i, t := range j.waiting {
		e := s.choose(now, j, t)
		if e == nil {
			kept = append(kept, t)
			if misses++; misses > 1 {
				kept = append(kept, j.waiting[i+1:]...)
				break
			}
			continue
		}
		s.order(now, j, t, e)
	}
	j.waiting = kept
	return misses
}

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
	expected := s.estimateOf(j.sub.Route.Name).apply(st.Estimate)
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
		if cost > expected && now+cost > j.objective && now < j.usefulUntil && s.anotherHealthy(e) {
			continue
		}
		cost = time.Duration(float64(cost) * e.health.expectedAttempts())
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

// enoughUnpenalized is how many endpoints at which a task ends as early as at
// any are compared. Choosing the most free one of 16 spreads the load about as
// evenly as choosing the most free one of all.
const enoughUnpenalized = 16

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

func (s *Scheduler) order(now Time, j *job, t *task, e *endpoint) {
	st := j.sub.Job.Steps[t.step]
	r := &run{
		order: s.orders.next(), ref: RunRef{Task: t.ref, Run: t.nextRun}, job: j, task: t, endpoint: e, need: st.Need,
		ordered: now, expected: s.estimateOf(j.sub.Route.Name).apply(st.Estimate),
	}
	t.run = r
	j.begun++
	e.used = e.used.Add(st.Need)
	e.runs = append(e.runs, r)
	s.runs[r.order] = r
	s.emit(SchedulerAction{
		Kind: OrderRun, Agent: e.agent, Endpoint: e.id, Order: r.order, Run: r.ref, Need: st.Need,
		Payload: j.sub.Job.Payload, Job: j.sub.Job.ID,
	})
}

// hasAlternative reports whether another endpoint of normal speed has free
// capacity for a run's task.
func (s *Scheduler) hasAlternative(now Time, r *run) bool {
	return slices.ContainsFunc(s.endpoints, func(o *endpoint) bool {
		return o != r.endpoint && o.usable(now, s.evacuated) && o.slowness() == 1 && r.need.Fits(o.free())
	})
}

// expireJobs answers the jobs that can no longer end in time. This matters after
// a loss of all endpoints, when jobs that were admitted before would wait in
// vain.
func (s *Scheduler) expireJobs(now Time) {
	for _, id := range s.jobIDs() {
		j := s.jobs[id]
		if j.closed {
			continue
		}
		if !j.hasBegun() {
			if now+j.criticalPath/2 > min(j.sub.Deadline, j.usefulUntil) {
				s.endJob(now, j, Outcome{Code: result.DeadlineUnmet, RetryAfter: minRetryAfter, Detail: "no room in time"})
			}
			continue
		}
		if now+j.criticalPath/2 <= j.sub.Deadline {
			continue // the work left is at most the whole critical path
		}
		if left := j.workLeft(s.estimateOf(j.sub.Route.Name)); now+left/2 > j.sub.Deadline {
			s.endJob(now, j, Outcome{Code: result.DeadlinePassed, Detail: "waiting tasks need " + left.String() + " more"})
		}
	}
}
