package placement

import (
	"slices"
	"time"
)

// Limits of outlier ejection.
const (
	ejectFailurePct = 50               // share of failed tasks among an agent's recent ones that ejects it
	ejectMin        = 5 * time.Second  // length of the first ejection
	ejectMax        = 60 * time.Second // upper limit for the doubled length
	defaultEjectPct = 30               // share of the agents that may be ejected at once
	probationTasks  = 3                // successful tasks in a row that end probation
)

// ejector keeps tasks away from agents whose endpoints fail most of them, but
// never ejects more than maxPct of the agents. When its ejection is over, an agent
// is on probation: it gets one task at a time until probationTasks in a row have
// succeeded. A task that fails on probation ejects the agent for twice as long.
type ejector struct {
	maxPct int
	states map[string]*ejectState
}

type ejectState struct {
	failurePct   int
	ejectedUntil time.Time
	period       time.Duration // length of the last ejection; 0: the next one lasts ejectMin
	probation    bool
	successes    int // in a row, on probation
	running      int
}

func newEjector() ejector {
	return ejector{maxPct: defaultEjectPct, states: map[string]*ejectState{}}
}

func (e *ejector) state(agent string) *ejectState {
	s, ok := e.states[agent]
	if !ok {
		s = &ejectState{}
		e.states[agent] = s
	}
	return s
}

// observe records the end of a task and its agent's share of failed tasks. A
// successful task never ejects its agent: after probation, the share still counts
// old failures.
func (e *ejector) observe(now time.Time, agent string, failed bool, failurePct int) {
	s := e.state(agent)
	s.failurePct = failurePct
	switch {
	case now.Before(s.ejectedUntil): // a task that started before the ejection
	case failed && (s.probation || failurePct >= ejectFailurePct):
		s.period = min(max(ejectMin, 2*s.period), ejectMax)
		s.ejectedUntil = now.Add(s.period)
		s.probation, s.successes = true, 0
	case !failed && s.probation:
		s.successes++
		if s.successes >= probationTasks {
			s.probation, s.period = false, 0
		}
	}
}

func (e *ejector) started(agent string) { e.state(agent).running++ }

func (e *ejector) finished(agent string) {
	if s := e.state(agent); s.running > 0 {
		s.running--
	}
}

// runningTasks returns how many tasks run on all agents.
func (e *ejector) runningTasks() int {
	n := 0
	for _, s := range e.states {
		n += s.running
	}
	return n
}

func (e *ejector) remove(agent string) { delete(e.states, agent) }

func (e *ejector) ejected(now time.Time, agent string) bool {
	s, ok := e.states[agent]
	return ok && now.Before(s.ejectedUntil)
}

// allows reports whether an agent may get a task now.
func (e *ejector) allows(now time.Time, agent string) bool {
	s, ok := e.states[agent]
	if !ok || !s.probation {
		return true
	}
	return !now.Before(s.ejectedUntil) && s.running == 0
}

// enforceLimit ends the ejection of the agents with the smallest share of failed
// tasks while more than maxPct of all agents are ejected.
func (e *ejector) enforceLimit(now time.Time, agents int) {
	var ejected []*ejectState
	for _, s := range e.states {
		if now.Before(s.ejectedUntil) {
			ejected = append(ejected, s)
		}
	}
	excess := len(ejected) - agents*e.maxPct/100
	if excess <= 0 {
		return
	}
	slices.SortFunc(ejected, func(a, b *ejectState) int { return a.failurePct - b.failurePct })
	for _, s := range ejected[:excess] {
		s.ejectedUntil, s.probation, s.period = time.Time{}, false, 0
	}
}
