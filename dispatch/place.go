package dispatch

import (
	"cmp"
	"slices"
)

// lookahead is how many tasks that fit nowhere are skipped in one pass over
// the queue.
const lookahead = 8

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
	s.queueOrder(now, s.queue)
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

func (s *Scheduler) order(now Time, j *job, t *task, e *endpoint) {
	st := j.sub.Job.Steps[t.step]
	r := &run{
		order: s.orders.next(), ref: RunRef{Task: t.ref, Run: t.nextRun}, job: j, task: t, endpoint: e, need: st.Need,
		ordered: now, expected: s.estimateOf(j.sub.Route.Name).apply(st.Estimate),
		neighbours: s.interference.neighboursAt(e, j.sub.Route.Name),
	}
	t.run = r
	j.begun++
	j.load.running += st.Need.CPUMilli
	e.used = e.used.Add(st.Need)
	e.runs = append(e.runs, r)
	s.runs[r.order] = r
	s.emit(SchedulerAction{
		Kind: OrderRun, Agent: e.agent, Endpoint: e.id, Order: r.order, Run: r.ref, Need: st.Need,
		Payload: j.sub.Job.Payload, Job: j.sub.Job.ID,
	})
}
