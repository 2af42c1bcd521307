package dispatch

import (
	"time"
)

// Precision and reach of predicted waits.
const (
	slotLength = 10 * time.Millisecond
	slotCount  = 500
)

// timeline holds the processors that are expected to become free in each slot
// of time from now on.
type timeline [slotCount + 1]int

func slotOf(d Time) int {
	return min(int((d+slotLength-1)/slotLength), slotCount)
}

// demand is tasks of one size that wait.
type demand struct {
	count    int
	cpu      int
	expected Time
}

func total(demands []demand) int {
	sum := 0
	for _, d := range demands {
		sum += d.count * d.cpu
	}
	return sum
}

// predictWait returns how long the last task of a job that arrives now is
// expected to wait for room, if nothing that goes before it arrives later. It
// plays the expected ends of runs and the queue before the job against the
// processors of all healthy endpoints taken together, and stops once the wait
// is beyond limit.
func (s *Scheduler) predictWait(now Time, j *job, limit Time) Time {
	free, healthy := s.freeCPU()
	if !healthy {
		return 0 // the job's tasks are the probes
	}
	demands := append(s.demandBefore(now, j), s.firstDemand(j)...)
	if total(demands) <= free {
		return 0
	}
	ends := s.expectedEnds(now)
	slot := 0
	for _, d := range demands {
		for range d.count {
			for free < d.cpu {
				slot++
				wait := Time(slot) * slotLength
				if slot > slotCount || wait > limit {
					return wait
				}
				free += ends[slot]
			}
			free -= d.cpu
			ends[min(slot+max(slotOf(d.expected), 1), slotCount)] += d.cpu
		}
	}
	return Time(slot) * slotLength
}

// freeCPU returns the free processors of healthy endpoints, and whether there
// is such an endpoint.
func (s *Scheduler) freeCPU() (free int, healthy bool) {
	for _, e := range s.endpoints {
		if e.healthy(s.evacuated) {
			healthy = true
			free += max(e.room().CPUMilli, 0)
		}
	}
	return free, healthy
}

// expectedEnds returns when runs at healthy endpoints are expected to end.
func (s *Scheduler) expectedEnds(now Time) *timeline {
	var ends timeline
	for _, e := range s.endpoints {
		if !e.healthy(s.evacuated) {
			continue
		}
		slow := e.slowness()
		for _, r := range e.runs {
			end := r.ordered + time.Duration(float64(r.expected)*slow)
			left := max(end-now, overdueRest(now-r.ordered))
			ends[max(slotOf(left), 1)] += r.need.CPUMilli
		}
	}
	return &ends
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
			st := &o.sub.Job.Steps[t.step]
			demands = append(demands, demand{1, st.Need.CPUMilli, est.apply(st.Estimate)})
		}
	}
	return demands
}

// firstDemand returns the tasks with which a job begins.
func (s *Scheduler) firstDemand(j *job) []demand {
	var demands []demand
	est := s.estimateOf(j.sub.Route.Name)
	for i := range j.sub.Job.Steps {
		st := &j.sub.Job.Steps[i]
		if len(st.After) == 0 {
			demands = append(demands, demand{st.Count, st.Need.CPUMilli, est.apply(st.Estimate)})
		}
	}
	return demands
}
