package dispatch

import (
	"fmt"
	"slices"
	"time"
)

// Times and limits that keep tasks away from full, failing and slow endpoints.
const (
	staleRunSkip = 3                      // run numbers skipped after a stale one
	noRoomPause  = 20 * time.Millisecond  // after an endpoint refused a task for lack of capacity that it was expected to have
	expiredPause = 100 * time.Millisecond // until a heartbeat renews the lease and the clock reading by which an agent accepts orders
	busyPause    = 50 * time.Millisecond  // the time an endpoint takes to stop a run
	checkEvery   = 20 * time.Millisecond  // between two checks for overdue runs and jobs
	slowWeight   = 0.2                    // of one run in the slowness of an endpoint
	slowFrom     = 1.7                    // slowness from which an endpoint counts as slow; less is noise of the estimates
	overdueFrom  = 2.2                    // times the expected run time
	stuckFrom    = 4.0                    // times the expected run time
	stuckMin     = 400 * time.Millisecond // past the expected run time
)

// endpoint is one lifetime of an endpoint as one incarnation of its agent
// reports it.
type endpoint struct {
	agent       AgentID
	id          EndpointID
	status      EndpointStatus
	used        Resources
	runs        []*run // not known to have ended, oldest order first
	suspect     bool   // the agent has missed heartbeats
	lost        bool   // nothing is received from the agent any more
	gone        bool   // the lifetime is over; kept for runs that were handed over
	released    bool   // another scheduler has the endpoint
	runsEndBy   Time   // if lost: the runs have ended by then
	pausedUntil Time   // gets no task before
	leavesAt    Time   // earliest time at which the endpoint leaves; 0: it does not, or the time is not known

	slow    float64 // moving average of run times as a multiple of the expected ones
	overdue int     // runs that take much longer than expected
	health  health

	judgedAt Time             // when a run last ended here, or as of when evidence was taken over; 0: nothing is known
	shared   EndpointEvidence // as the agent has it
	sharedAt Time             // as of when
}

// free returns the capacity that is not in use.
func (e *endpoint) free() Resources {
	return e.status.Capacity.Sub(e.used).Sub(e.status.Others)
}

// usable reports whether the endpoint takes a new task now. Its lease is not extended
// before the runs that were handed over have ended.
func (e *endpoint) usable(now Time, evacuated []string) bool {
	if e.lost || e.suspect || !e.status.Available || now < e.pausedUntil || slices.Contains(evacuated, e.status.Zone) {
		return false
	}
	if slices.ContainsFunc(e.runs, (*run).handedOver) {
		return false
	}
	return !e.health.ejected() || len(e.runs) < e.health.runsAllowed(now)
}

// healthy reports whether the endpoint counts as capacity.
func (e *endpoint) healthy(evacuated []string) bool {
	return !e.lost && e.status.Available && !e.health.ejected() && !slices.Contains(evacuated, e.status.Zone)
}

// slowness returns the factor by which a task is expected to take longer here: 1
// if the endpoint does not count as slow.
func (e *endpoint) slowness() float64 {
	slow := e.slow
	if e.overdue >= 2 && 2*e.overdue >= len(e.runs) {
		slow = max(slow, overdueFrom)
	}
	if slow < slowFrom {
		return 1
	}
	return slow
}

func (s *Scheduler) find(agent AgentID, id EndpointID) *endpoint {
	for _, e := range s.endpoints {
		if e.agent == agent && e.id == id {
			return e
		}
	}
	return nil
}

// recordEnd updates the health of a run's endpoint and the estimates by how the
// run ended.
func (s *Scheduler) recordEnd(now Time, r *run, reason EndReason, age Time) {
	e := r.endpoint
	if r.stuck {
		e.overdue = max(e.overdue-1, 0)
	}
	if e.leaves() && reason != EndDone {
		return // its end says nothing about the tasks before
	}
	e.judgedAt = now
	switch reason {
	case EndDone:
		s.recordRunTime(r, age)
		s.recordInterference(now, r, age)
		if e.health.countGoodRun(r.ordered) {
			s.logEndpoint(e, "endpoint_restored", "tasks end well")
		}
	case EndFailed:
		s.recordFailure(now, r)
	case Unanswered, Unhealthy, NotStarted:
		if e.health.countUnanswered(now, r.ordered, s.limitsFor(e)) {
			s.logEndpoint(e, "endpoint_ejected", reason.String())
		}
	}
}

// recordFailure counts only the first failure of a task against its endpoint: a
// task that fails wherever it runs is no evidence against any. A second failure at
// another endpoint takes back the count of the first.
func (s *Scheduler) recordFailure(now Time, r *run) {
	e := r.endpoint
	switch failedAt := r.task.failedAt; len(failedAt) {
	case 0:
		if e.health.countFailedRun(now, r.ordered, s.limitsFor(e)) {
			s.logEndpoint(e, "endpoint_ejected", "tasks fail")
		}
	case 1:
		for _, o := range s.endpoints {
			if o.id == failedAt[0] && o.id != e.id {
				o.health.retractFailure()
			}
		}
	}
}

// limitsFor returns the limits at which an endpoint is ejected, given the other
// endpoints that could take its tasks.
func (s *Scheduler) limitsFor(e *endpoint) healthLimits {
	var others []health
	for _, o := range s.endpoints {
		if o != e && !o.lost && o.status.Available {
			others = append(others, o.health)
		}
	}
	return ejectionLimits(others)
}

func (s *Scheduler) recordRunTime(r *run, age Time) {
	declared := r.job.sub.Job.Steps[r.task.step].Estimate
	if age <= 0 || declared <= 0 {
		return
	}
	est := s.estimateOf(r.job.sub.Route.Name)
	expected := est.apply(declared)
	e := r.endpoint
	e.slow += slowWeight * (float64(age)/float64(max(expected, time.Millisecond)) - e.slow)
	if e.slowness() == 1 {
		est.observe(declared, age)
	}
}

func (s *Scheduler) logEndpoint(e *endpoint, event, reason string) {
	s.emit(SchedulerAction{
		Kind: LogDecision, Agent: e.agent, Endpoint: e.id, Event: event,
		Reason: fmt.Sprintf("%s; of its recent runs %.2f failed, of the orders %.2f had no answer", reason, e.health.failed, e.health.unanswered),
	})
}

// checkEndpoints lets the failure shares decay, restores ejected endpoints that
// are no worse than the others, counts overdue runs and stops the ones that make
// no progress.
func (s *Scheduler) checkEndpoints(now Time) {
	for _, e := range s.endpoints {
		e.health.decay(checkEvery)
		if e.health.ejected() && e.health.restoreIfNoWorse(s.limitsFor(e)) {
			s.logEndpoint(e, "endpoint_restored", "the others are no better")
		}
		e.countOverdue(now)
		if e.overdue > 0 && !e.lost {
			s.stopStuck(now, e)
		}
	}
	s.moveRuns(now)
	s.shareEvidence(now)
}

// countOverdue counts the runs that take much longer than expected.
func (e *endpoint) countOverdue(now Time) {
	e.overdue = 0
	for _, r := range e.runs {
		if !r.stopping && !e.lost && float64(now-r.ordered) > overdueFrom*float64(r.expected) {
			e.overdue++
		}
	}
}

// stopStuck stops the runs at an endpoint that make no progress, if another
// endpoint has free capacity for them.
func (s *Scheduler) stopStuck(now Time, e *endpoint) {
	for _, r := range e.runs {
		if r.stopping || !r.isStuck(now) || !s.hasAlternative(now, r) {
			continue
		}
		r.stuck = true
		s.stop(r)
		if e.health.countFailedRun(now, r.ordered, s.limitsFor(e)) {
			s.logEndpoint(e, "endpoint_ejected", "tasks make no progress")
		}
		s.emit(SchedulerAction{
			Kind: LogDecision, Agent: e.agent, Endpoint: e.id, Job: r.ref.Task.Job, Run: r.ref,
			Event: "run_stuck", Reason: "no progress",
		})
	}
}

// isStuck reports whether a run has taken so long that it counts as making no
// progress.
func (r *run) isStuck(now Time) bool {
	elapsed := now - r.ordered
	return float64(elapsed) >= stuckFrom*float64(r.expected) && elapsed >= r.expected+stuckMin
}
