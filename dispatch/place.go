package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bergamotwing.example/result"
)

const (
	// admitShare is the share of the time that a job can spare for which it may
	// wait. The rest covers estimates that are off.
	admitShare = 0.5
	// startGrace is how long a new scheduler takes jobs before it knows an
	// endpoint: after a restart of everything agents link within this time.
	startGrace = 600 * time.Millisecond
	// lookahead is how many tasks that fit nowhere are passed over.
	lookahead = 8
	// minRetryAfter is the least time after which a refused client may return.
	minRetryAfter = time.Second
)

// admit decides on arrival whether a job is taken. It answers bursts: a job that
// would wait too long behind the work ahead of it is refused at once.
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
	limit := Time(admitShare * float64(j.spare(now)))
	if wait := s.predictWait(now, j, limit); wait > 0 && wait > limit {
		return Outcome{Code: result.Overloaded, RetryAfter: max(wait, minRetryAfter), Detail: "last task would wait " + wait.String()}, true
	}
	return Outcome{}, false
}

// hasCapacity reports whether an endpoint takes tasks, be it a probe.
func (s *Scheduler) hasCapacity(now Time) bool {
	return slices.ContainsFunc(s.endpoints, func(e *endpoint) bool {
		return e.healthy(s.evacuated) || e.health.ejected() && e.usable(now, s.evacuated)
	})
}

// everFits reports whether a step's tasks fit an empty endpoint.
func (s *Scheduler) everFits(st Step) bool {
	return slices.ContainsFunc(s.endpoints, func(e *endpoint) bool {
		return !e.lost && !e.released && st.Need.Fits(e.status.Capacity) && (st.RequiredLabel == "" || slices.Contains(e.status.Labels, st.RequiredLabel))
	})
}

// before orders jobs: those that miss their objective anyway last, then by
// priority, begun ones first, so that a wide job gathers its room, then by the
// latest start that meets the objective.
func before(now Time, a, b *job) int {
	return cmp.Or(
		cmp.Compare(boolRank(a.tooLate(now)), boolRank(b.tooLate(now))),
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

// place starts waiting tasks where there is room.
func (s *Scheduler) place(now Time) {
	if len(s.queue) == 0 {
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
	slices.SortFunc(s.queue, func(a, b *job) int { return before(now, a, b) })
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

// choose returns the endpoint for a task, or nil. Among those with room it
// prefers the soonest end, then the most free room. An endpoint known to be
// slow is used only if the job still meets its objective there. The search ends
// once enough endpoints are found at which the task ends as soon as anywhere,
// and begins at another endpoint each time.
func (s *Scheduler) choose(now Time, j *job, t *task) *endpoint {
	st := &j.sub.Job.Steps[t.step]
	if now < t.notBefore || st.Need.CPUMilli > s.mostRoom {
		return nil
	}
	expected := s.estimateOf(j.sub.Route.Name).apply(st.Estimate)
	var best *endpoint
	var bestCost Time
	good, mostRoom, n := 0, 0, len(s.endpoints)
	for i := 0; i < n && good < goodChoices; i++ {
		e := s.endpoints[(s.searchFrom+i)%n]
		if !e.usable(now, s.evacuated) {
			continue
		}
		room := e.room()
		mostRoom = max(mostRoom, room.CPUMilli)
		if !st.Need.Fits(room) || !s.allowed(j, t, st, e) {
			continue
		}
		cost := time.Duration(float64(expected) * s.penalty(st, e))
		if cost > expected && now+cost > j.objective && now < j.lateBy && s.anyHealthy(e) {
			continue
		}
		cost = time.Duration(float64(cost) * e.health.attempts())
		if cost <= expected {
			good++
		}
		if best == nil || cost < bestCost || cost == bestCost && room.CPUMilli > best.room().CPUMilli {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		s.mostRoom = mostRoom
		return nil
	}
	s.searchFrom = (s.searchFrom + 1) % n
	return best
}

// goodChoices is how many endpoints at which a task ends as soon as anywhere
// are compared: with the most room of 16 the load is about as even as with the
// most of all.
const goodChoices = 16

// roomGrew says that an endpoint may have more room than was seen by the last
// search; nil stands for any endpoint.
func (s *Scheduler) roomGrew(e *endpoint) {
	if e == nil {
		s.mostRoom = math.MaxInt
		return
	}
	s.mostRoom = max(s.mostRoom, e.room().CPUMilli)
}

// penalty is how much longer a task takes at an endpoint than at a sound one
// near its data.
func (s *Scheduler) penalty(st *Step, e *endpoint) float64 {
	p := e.slowness()
	if st.DataRack != "" && !slices.Contains(e.status.Labels, st.DataRack) {
		p *= farFactor
	}
	return p
}

// farFactor is by how much longer a task runs away from its data.
const farFactor = 1.5

// anyHealthy reports whether a task may get a better place than e by waiting.
func (s *Scheduler) anyHealthy(e *endpoint) bool {
	return slices.ContainsFunc(s.endpoints, func(o *endpoint) bool {
		return o != e && o.healthy(s.evacuated) && o.slowness() == 1
	})
}

// allowed reports whether a task may run at an endpoint that has room for it.
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

// anyUntried reports whether a task that failed may yet run at a healthy
// endpoint where it has not. It waits for that one's room: an endpoint that
// fails its tasks has free room soon, and would use up the task's attempts.
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
	s.do(SchedulerAction{
		Kind: OrderRun, Agent: e.agent, Endpoint: e.id, Order: r.order, Run: r.ref, Need: st.Need,
		Payload: j.sub.Job.Payload, Job: j.sub.Job.ID,
	})
}

// elsewhere reports whether a run's task has room at another sound endpoint.
func (s *Scheduler) elsewhere(now Time, r *run) bool {
	return slices.ContainsFunc(s.endpoints, func(o *endpoint) bool {
		return o != r.endpoint && o.usable(now, s.evacuated) && o.slowness() == 1 && r.need.Fits(o.room())
	})
}

// giveUp answers the jobs that cannot end in time any more. It answers losses of
// all endpoints, for which jobs that were taken before would wait.
func (s *Scheduler) giveUp(now Time) {
	for _, id := range s.jobIDs() {
		j := s.jobs[id]
		if j.over {
			continue
		}
		if !j.hasBegun() {
			if now+j.chain/2 > min(j.sub.Deadline, j.lateBy) {
				s.end(now, j, Outcome{Code: result.DeadlineUnmet, RetryAfter: minRetryAfter, Detail: "no room in time"})
			}
			continue
		}
		if now+j.chain/2 <= j.sub.Deadline {
			continue // the work left is at most all of it
		}
		if left := j.workLeft(s.estimateOf(j.sub.Route.Name)); now+left/2 > j.sub.Deadline {
			s.end(now, j, Outcome{Code: result.DeadlinePassed, Detail: "waiting tasks need " + left.String() + " more"})
		}
	}
}
