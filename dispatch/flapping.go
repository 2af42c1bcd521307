package dispatch

import (
	"maps"
	"math"
	"time"
)

// Endpoints that go down and up by turns lose what runs there each time. These decisions
// keep tasks away that would probably not end before the next time.

const (
	interruptionWeight   = 0.8                    // of the newest time up in the rate of interruptions: one that flaps does so for seconds only
	interruptionHalfLife = 5 * time.Second        // of the rate while an endpoint is up: some times as long as a task
	presenceRetention    = time.Minute            // of the record of an endpoint that does not come back
	minUp                = 100 * time.Millisecond // shortest time up that is believed
	interruptedFrom      = 1.1                    // expected number of runs of a task from which an endpoint is avoided; less is noise
)

// presence is when the endpoint of an agent took tasks. It outlasts the endpoint's
// lifetimes.
type presence struct {
	up          bool
	upSince     Time
	interrupted Time    // when it last ceased to take tasks
	rate        float64 // of interruptions, per second
	ratedAt     Time
}

// note notes whether the endpoint takes tasks. An interruption counts once the endpoint is
// back: one that drains does not come back.
func (p *presence) note(now Time, up bool) {
	switch {
	case up == p.up:
		return
	case !up:
		p.interrupted = now
	default:
		if p.interrupted > 0 {
			lasted := max(p.interrupted-p.upSince, minUp).Seconds()
			p.rate = p.rateAt(now) + interruptionWeight*(1/lasted-p.rateAt(now))
			p.ratedAt = now
		}
		p.upSince = now
	}
	p.up = up
}

// rateAt returns the rate of interruptions, which halves while there are none.
func (p *presence) rateAt(now Time) float64 {
	return p.rate * math.Exp2(-float64(now-p.ratedAt)/float64(interruptionHalfLife))
}

// expectedRuns returns how many runs a task is expected to need until one is not
// interrupted.
func (p *presence) expectedRuns(now, expected Time) float64 {
	if p.rate == 0 {
		return 1 // as at nearly all endpoints: choose asks often
	}
	n := math.Exp(p.rateAt(now) * expected.Seconds())
	if n < interruptedFrom {
		return 1
	}
	return n
}

// presenceOf returns the record of an agent's endpoint.
func (s *Scheduler) presenceOf(now Time, agent string) *presence {
	p := s.presences[agent]
	if p == nil {
		maps.DeleteFunc(s.presences, func(_ string, o *presence) bool { return !o.up && now-o.interrupted > presenceRetention })
		p = &presence{}
		s.presences[agent] = p
	}
	return p
}
