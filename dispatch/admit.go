package dispatch

import (
	"slices"
	"time"

	"bergamotwing.example/result"
)

const (
	// admitShare is the share of its slack for which a job may wait. The rest
	// covers wrong estimates, and arrivals that go ahead.
	admitShare = 0.75
	// startGrace is how long a new scheduler admits jobs while it knows no
	// endpoint: after a restart of all processes, agents connect within this
	// time.
	startGrace = 600 * time.Millisecond
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
	if wait := s.predictWait(now, j, limit); wait > 0 && wait > limit && !s.fitsNow(now, j) {
		return s.refusal(now, j, wait), true
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

// fitsNow reports whether all tasks with which a job begins would be placed now. A job
// is not refused while there is room that fits.
func (s *Scheduler) fitsNow(now Time, j *job) bool {
	for i := range j.sub.Job.Steps {
		if st := &j.sub.Job.Steps[i]; len(st.After) == 0 && s.fittingNow(now, j, st) < st.Count {
			return false
		}
	}
	return true
}

// fittingNow returns how many tasks of a step would be placed now, as choose decides.
func (s *Scheduler) fittingNow(now Time, j *job, st *Step) int {
	expected := s.estimateOf(j.sub.Route.Name).apply(st.Estimate)
	n := 0
	for _, e := range s.endpoints {
		if !e.usable(now, s.evacuated) || st.RequiredLabel != "" && !slices.Contains(e.status.Labels, st.RequiredLabel) {
			continue
		}
		cost := Time(float64(expected) * s.penalty(st, e))
		if cost > expected && now+cost > j.objective && now < j.usefulUntil && s.anotherHealthy(e) {
			continue
		}
		here := st.Count
		if st.MaxPerEndpoint > 0 {
			here = min(here, st.MaxPerEndpoint)
		}
		for free := e.free(); here > 0 && st.Need.Fits(free); here-- {
			free = free.Sub(st.Need)
			n++
		}
	}
	return n
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
