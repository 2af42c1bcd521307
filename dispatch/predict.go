package dispatch

import (
	"container/heap"
	"time"
)

// release is processor room that becomes free at a time.
type release struct {
	at  Time
	cpu int
}

type releases []release

func (r releases) Len() int           { return len(r) }
func (r releases) Less(i, j int) bool { return r[i].at < r[j].at }
func (r releases) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *releases) Push(x any) { *r = append(*r, x.(release)) }

// Pop implements heap.Interface.
func (r *releases) Pop() any {
	old := *r
	last := old[len(old)-1]
	*r = old[:len(old)-1]
	return last
}

// demand is tasks of one size that wait.
type demand struct {
	count    int
	cpu      int
	expected Time
}

// predictWait returns how long the last task of a job that arrives now is
// expected to wait for room, if nothing that goes before it arrives later. It
// plays the expected ends of runs and the queue before the job against the
// processors of all endpoints taken together.
func (s *Scheduler) predictWait(now Time, j *job) Time {
	free, frees := s.expectedRoom(now)
	var wait Time
	place := func(d demand) {
		for range d.count {
			for free < d.cpu && len(frees) > 0 {
				next := heap.Pop(&frees).(release)
				free += next.cpu
				wait = max(wait, next.at-now)
			}
			free -= d.cpu
			heap.Push(&frees, release{now + wait + d.expected, d.cpu})
		}
	}
	for _, d := range s.demandBefore(now, j) {
		place(d)
	}
	for _, st := range j.sub.Job.Steps {
		if len(st.After) == 0 {
			place(demand{st.Count, st.Need.CPUMilli, s.estimateOf(j.sub.Route.Name).apply(st.Estimate)})
		}
	}
	return wait
}

// expectedRoom returns the free processors of healthy endpoints and when runs
// are expected to free more.
func (s *Scheduler) expectedRoom(now Time) (free int, frees releases) {
	for _, e := range s.endpoints {
		if e.healthy(s.evacuated) {
			free += max(e.room().CPUMilli, 0)
		}
	}
	frees = make(releases, 0, len(s.runs))
	for _, r := range s.runs {
		if !r.endpoint.healthy(s.evacuated) {
			continue
		}
		expected := time.Duration(float64(r.expected) * r.endpoint.slowness())
		end := max(r.ordered+expected, now+overdueRest(now-r.ordered))
		frees = append(frees, release{end, r.need.CPUMilli})
	}
	heap.Init(&frees)
	return free, frees
}

// overdueRest is the rest expected of a run that is past its expected end.
func overdueRest(elapsed Time) Time { return elapsed / 4 }

// demandBefore returns what waits and goes before a job.
func (s *Scheduler) demandBefore(now Time, j *job) []demand {
	var demands []demand
	s.sortQueue(now)
	for _, o := range s.queue {
		if before(now, o, j) > 0 {
			break
		}
		est := s.estimateOf(o.sub.Route.Name)
		for _, t := range o.waiting {
			st := o.sub.Job.Steps[t.step]
			demands = append(demands, demand{1, st.Need.CPUMilli, est.apply(st.Estimate)})
		}
	}
	return demands
}
