package dispatch

import (
	"fmt"
	"slices"
	"time"
)

// Times and limits that keep work away from endpoints in trouble.
const (
	staleRunSkip = 3                      // run numbers passed over after a stale one
	fullPause    = 20 * time.Millisecond  // no task for an endpoint without room that should have had it
	expiredPause = 100 * time.Millisecond // until a heartbeat renews what an agent goes by
	busyPause    = 50 * time.Millisecond  // the time an endpoint takes to stop a run
	checkEvery   = 20 * time.Millisecond  // between two checks of overdue runs and jobs
	slowWeight   = 0.2                    // of one run in the slowness of an endpoint
	slowFrom     = 1.7                    // slowness that counts; below it, it is noise of the estimates
	overdueFrom  = 2.2                    // times the expected run time
	stuckFrom    = 4.0                    // times the expected run time
	stuckMin     = 400 * time.Millisecond // past the expected run time
)

// endpoint is one lifetime of an endpoint as one run of its agent reports it.
type endpoint struct {
	agent       AgentID
	id          EndpointID
	status      EndpointStatus
	used        Resources
	runs        []*run // that are not known to be over, by order
	silent      bool   // the agent has missed heartbeats
	lost        bool   // the agent is not heard
	released    bool   // another scheduler has the endpoint
	goneBy      Time   // runs are over then
	pausedUntil Time   // takes no task before

	slow    float64 // run times as a multiple of what is expected
	overdue int     // runs that take much longer than expected
	health  health
}

// room returns what is free.
func (e *endpoint) room() Resources {
	return e.status.Capacity.Sub(e.used).Sub(e.status.Others)
}

// usable reports whether the endpoint takes a new task now.
func (e *endpoint) usable(now Time, evacuated []string) bool {
	if e.lost || e.silent || !e.status.Available || now < e.pausedUntil || slices.Contains(evacuated, e.status.Zone) {
		return false
	}
	return !e.health.ejected() || len(e.runs) < e.health.runsAllowed(now)
}

// healthy reports whether the endpoint counts as capacity.
func (e *endpoint) healthy(evacuated []string) bool {
	return !e.lost && e.status.Available && !e.health.ejected() && !slices.Contains(evacuated, e.status.Zone)
}

// slowness returns by how much longer a task is expected to take here.
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

// learn takes in how a run ended.
func (s *Scheduler) learn(now Time, r *run, reason EndReason, age Time) {
	e := r.endpoint
	if r.stuck {
		e.overdue = max(e.overdue-1, 0)
	}
	switch reason {
	case EndDone:
		s.learnTime(r, age)
		if e.health.goodRun(r.ordered) {
			s.logEndpoint(e, "endpoint_restored", "tasks end well")
		}
	case EndFailed:
		s.learnFailure(now, r)
	case Unanswered, Unhealthy, NotStarted:
		if e.health.unansweredOrder(now, r.ordered, s.limitsFor(e)) {
			s.logEndpoint(e, "endpoint_ejected", reason.String())
		}
	}
}

// learnFailure blames an endpoint for a failed run, unless the task fails
// wherever it runs: the second failure clears the endpoint of the first.
func (s *Scheduler) learnFailure(now Time, r *run) {
	e := r.endpoint
	switch failedAt := r.task.failedAt; len(failedAt) {
	case 0:
		if e.health.failedRun(now, r.ordered, s.limitsFor(e)) {
			s.logEndpoint(e, "endpoint_ejected", "tasks fail")
		}
	case 1:
		for _, o := range s.endpoints {
			if o.id == failedAt[0] && o.id != e.id {
				o.health.forgive()
			}
		}
	}
}

// limitsFor returns from when on an endpoint is ejected, by the others that could take its tasks.
func (s *Scheduler) limitsFor(e *endpoint) limits {
	var others []health
	for _, o := range s.endpoints {
		if o != e && !o.lost && o.status.Available {
			others = append(others, o.health)
		}
	}
	return ejectionLimits(others)
}

func (s *Scheduler) learnTime(r *run, age Time) {
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
	s.do(SchedulerAction{
		Kind: LogDecision, Agent: e.agent, Endpoint: e.id, Event: event,
		Reason: fmt.Sprintf("%s; of its recent runs %.2f failed, of the orders %.2f had no answer", reason, e.health.failed, e.health.unanswered),
	})
}

// watch lets health fade, marks overdue runs and stops the ones that make no
// progress.
func (s *Scheduler) watch(now Time) {
	for _, e := range s.endpoints {
		e.health.fade(checkEvery)
		if e.health.ejected() && e.health.restoreIfNoWorse(s.limitsFor(e)) {
			s.logEndpoint(e, "endpoint_restored", "the others are no better")
		}
		e.countOverdue(now)
		if e.overdue > 0 && !e.lost {
			s.stopStuck(now, e)
		}
	}
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

// stopStuck stops the runs at an endpoint that make no progress and have room
// elsewhere.
func (s *Scheduler) stopStuck(now Time, e *endpoint) {
	for _, r := range e.runs {
		if r.stopping || !r.isStuck(now) || !s.elsewhere(now, r) {
			continue
		}
		r.stuck = true
		s.stop(r)
		if e.health.failedRun(now, r.ordered, s.limitsFor(e)) {
			s.logEndpoint(e, "endpoint_ejected", "tasks make no progress")
		}
		s.do(SchedulerAction{
			Kind: LogDecision, Agent: e.agent, Endpoint: e.id, Job: r.ref.Task.Job, Run: r.ref,
			Event: "run_stuck", Reason: "no progress",
		})
	}
}

// isStuck reports whether a run takes so long that it makes no progress.
func (r *run) isStuck(now Time) bool {
	elapsed := now - r.ordered
	return float64(elapsed) >= stuckFrom*float64(r.expected) && elapsed >= r.expected+stuckMin
}
