package dispatch

import (
	"time"
)

// Resolution and horizon of predicted waits.
const (
	slotLength = 10 * time.Millisecond
	slotCount  = 500
)

// timeline holds the processors, in thousandths of a core, that are expected to
// become free in each slot of time from now on.
type timeline [slotCount + 1]int

func slotOf(d Time) int {
	return min(int((d+slotLength-1)/slotLength), slotCount)
}

// demand is a number of waiting tasks of the same size.
type demand struct {
	count    int
	cpu      int  // thousandths of a core that each needs
	expected Time // run time of each
}

// totalCPU returns the processors that all tasks together need, in thousandths
// of a core.
func totalCPU(demands []demand) int {
	sum := 0
	for _, d := range demands {
		sum += d.count * d.cpu
	}
	return sum
}

// predictWait returns how long the last task of a job that arrives now is
// expected to wait for capacity, if no job that goes ahead of it arrives later.
// It simulates the expected ends of runs and the queue ahead of the job on the
// pooled processors of all healthy endpoints, and stops once the wait exceeds
// limit.
func (s *Scheduler) predictWait(now Time, j *job, limit Time) Time {
	free, healthy := s.freeCPU()
	if !healthy {
		return 0 // the job's tasks are the probes
	}
	demands := append(s.demandBefore(now, j), s.firstDemand(j)...)
	if totalCPU(demands) <= free {
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

// freeCPU returns the free processors of healthy endpoints, in thousandths of a
// core, and whether there is such an endpoint.
func (s *Scheduler) freeCPU() (free int, healthy bool) {
	for _, e := range s.endpoints {
		if e.healthy(s.evacuated) {
			healthy = true
			free += max(e.free().CPUMilli, 0)
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

// overdueRest returns the expected remaining time of a run that is past its
// expected end.
func overdueRest(elapsed Time) Time { return elapsed / 4 }

// demandBefore returns the waiting tasks that go ahead of a job.
func (s *Scheduler) demandBefore(now Time, j *job) []demand {
	var demands []demand
	s.sortQueue(now)
	for _, o := range s.queue {
		if compareJobs(now, o, j) > 0 {
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
