package placement

import (
	"slices"
	"time"
)

// Outlier ejection.
const (
	ejectAtPct      = 50 // share of failed tasks among the recent ones
	ejectFirst      = 5 * time.Second
	ejectLongest    = 60 * time.Second
	defaultEjectPct = 30
	probationTasks  = 3 // good tasks in a row that end probation
)

// ejector keeps agents whose endpoints fail most tasks from getting work, but
// never more than a fixed part of them. After its time an ejected agent is on
// probation: one task at a time until a few in a row were good. A task that
// fails on probation ejects the agent for twice as long.
type ejector struct {
	maxPct int
	states map[string]*ejectState
}

type ejectState struct {
	failurePct int
	until      time.Time
	period     time.Duration
	probation  bool
	good       int // tasks in a row, on probation
	running    int
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

// observe notes the end of a task and its agent's share of failed tasks. A good
// task ejects nobody: after probation, the share still counts old failures.
func (e *ejector) observe(now time.Time, agent string, failed bool, failurePct int) {
	s := e.state(agent)
	s.failurePct = failurePct
	switch {
	case now.Before(s.until): // a task from before the ejection
	case failed && (s.probation || failurePct >= ejectAtPct):
		s.period = min(max(ejectFirst, 2*s.period), ejectLongest)
		s.until = now.Add(s.period)
		s.probation, s.good = true, 0
	case !failed && s.probation:
		s.good++
		if s.good >= probationTasks {
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
	return ok && now.Before(s.until)
}

// allows reports whether an agent may get a task now.
func (e *ejector) allows(now time.Time, agent string) bool {
	s, ok := e.states[agent]
	if !ok || !s.probation {
		return true
	}
	return !now.Before(s.until) && s.running == 0
}

// refresh lets the least bad agents back in while more than the allowed part is
// ejected.
func (e *ejector) refresh(now time.Time, agents int) {
	var out []*ejectState
	for _, s := range e.states {
		if now.Before(s.until) {
			out = append(out, s)
		}
	}
	excess := len(out) - agents*e.maxPct/100
	if excess <= 0 {
		return
	}
	slices.SortFunc(out, func(a, b *ejectState) int { return a.failurePct - b.failurePct })
	for _, s := range out[:excess] {
		s.until, s.probation, s.period = time.Time{}, false, 0
	}
}
