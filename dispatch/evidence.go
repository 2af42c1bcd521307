package dispatch

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// What a home knows of an endpoint survives the home: it sends the agent its word when that
// changes notably, and the agent repeats the last word to the next home. These decisions
// answer the loss of a home while endpoints fail tasks or are slow.

// Limits of evidence that is passed on.
const (
	EvidenceMaxAge = 10 * time.Second       // of evidence that is used: less than a tenth is left of it then
	shareEvery     = 500 * time.Millisecond // shortest time between two words about an endpoint
	notableShare   = 0.2                    // change of a share that is passed on: more than one failed run
	notableSlow    = 4.0 / 3                // factor between two values of slowness that is passed on
	maxSlow        = 100.0                  // greatest slowness that is believed
)

// EndpointEvidence is a home's word about an endpoint.
type EndpointEvidence struct {
	Failed     float64       `cbor:"1,keyasint,omitempty"` // share of recent runs that failed
	Unanswered float64       `cbor:"2,keyasint,omitempty"` // share of recent orders without an answer
	Slow       float64       `cbor:"3,keyasint,omitempty"` // run times as a multiple of the expected ones; 0 or 1: normal
	Ejected    bool          `cbor:"4,keyasint,omitempty"`
	Pause      time.Duration `cbor:"5,keyasint,omitempty"` // of an ejected endpoint: before its next probe
	GoodProbes int           `cbor:"6,keyasint,omitempty"` // of an ejected endpoint: in a row
}

// Valid reports whether all values are in range.
func (v *EndpointEvidence) Valid() bool {
	isShare := func(x float64) bool { return x >= 0 && x <= 1 } // false for NaN
	return isShare(v.Failed) && isShare(v.Unanswered) && v.Slow >= 0 && v.Slow <= maxSlow &&
		v.Pause >= 0 && v.Pause <= ejectMax && v.GoodProbes >= 0 && v.GoodProbes < restoreAfter
}

// after returns what is left of evidence after a time.
func (v *EndpointEvidence) after(age Time) EndpointEvidence {
	left := math.Exp2(-float64(age) / float64(halfLife))
	old := *v
	old.Failed *= left
	old.Unanswered *= left
	old.Slow = 1 + (max(v.Slow, 1)-1)*left
	return old
}

// differsNotably reports whether evidence differs from what the agent has by so much that
// the next home would decide otherwise.
func (v *EndpointEvidence) differsNotably(o *EndpointEvidence) bool {
	slow, other := max(v.Slow, 1), max(o.Slow, 1)
	return v.Ejected != o.Ejected || math.Abs(v.Failed-o.Failed) >= notableShare || math.Abs(v.Unanswered-o.Unanswered) >= notableShare ||
		max(slow, other) >= notableSlow*min(slow, other)
}

// evidence returns what is known of the endpoint.
func (e *endpoint) evidence() EndpointEvidence {
	v := EndpointEvidence{Failed: e.health.failed, Unanswered: e.health.unanswered, Slow: min(e.slowness(), maxSlow)}
	if e.health.ejected() {
		v.Ejected, v.Pause, v.GoodProbes = true, e.health.pause, e.health.goodProbes
	}
	return v
}

// shareEvidence emits the evidence of the endpoints of which the agents' word is out of
// date.
func (s *Scheduler) shareEvidence(now Time) {
	for _, e := range s.endpoints {
		if e.lost || e.released || now < e.sharedAt+shareEvery {
			continue
		}
		known, v := e.shared.after(now-e.sharedAt), e.evidence()
		if v.differsNotably(&known) {
			e.shared, e.sharedAt = v, now
			s.emit(SchedulerAction{Kind: ShareEvidence, Agent: e.agent, Endpoint: e.id, Evidence: v})
		}
	}
}

// Evidence returns what is known of an endpoint, if that is notable.
func (s *Scheduler) Evidence(agent AgentID, id EndpointID) (v EndpointEvidence, notable bool) {
	if e := s.find(agent, id); e != nil {
		v = e.evidence()
	}
	return v, v.differsNotably(&EndpointEvidence{})
}

// Inherit takes over the evidence of another scheduler about a lifetime of an endpoint, if
// it is newer than what is known here. It counts less the older it is, and ejects no more
// endpoints than failures here would.
func (s *Scheduler) Inherit(now Time, agent AgentID, id EndpointID, v EndpointEvidence, age Time) {
	e := s.find(agent, id)
	if e == nil || e.judgedAt >= now-age {
		return
	}
	if !v.Valid() || age < 0 || age > EvidenceMaxAge {
		s.logInherited(e, "evidence_refused", v, age)
		return
	}
	left := v.after(age)
	e.shared, e.sharedAt, e.judgedAt = left, now, now-age
	e.slow = left.Slow
	e.health.failed, e.health.unanswered = left.Failed, left.Unanswered
	switch {
	case !v.Ejected:
		e.health.ejectedAt, e.health.ejectedUntil = 0, 0
	case !e.health.ejected() && !s.limitsFor(e).noMoreEjections:
		e.health.ejectedAt, e.health.goodProbes = now, v.GoodProbes
		e.health.pause = max(v.Pause, ejectFirst)
		e.health.ejectedUntil = now + max(e.health.pause-age, 0)
	}
	s.raiseMaxFreeCPU(e)
	s.logInherited(e, "evidence_inherited", v, age)
}

func (s *Scheduler) logInherited(e *endpoint, event string, v EndpointEvidence, age Time) {
	s.emit(SchedulerAction{
		Kind: LogDecision, Agent: e.agent, Endpoint: e.id, Event: event,
		Reason: fmt.Sprintf("%v old: failed %.2f, unanswered %.2f, slow %.1f, ejected %v", age, v.Failed, v.Unanswered, v.Slow, v.Ejected),
	})
}

// replaceBy drops the record of an endpoint as an earlier incarnation of its agent reported
// it. What is known of the lifetime goes on.
func (s *Scheduler) replaceBy(old, next *endpoint) {
	if old.judgedAt > next.judgedAt {
		next.health, next.slow, next.judgedAt = old.health, old.slow, old.judgedAt
	}
	s.endpoints = slices.DeleteFunc(s.endpoints, func(o *endpoint) bool { return o == old })
}

// lose marks the endpoint's agent as lost. What it was sent last may be lost too.
func (e *endpoint) lose(runsEndBy Time) {
	e.lost, e.runsEndBy = true, runsEndBy
	e.shared, e.sharedAt = EndpointEvidence{}, 0
}
