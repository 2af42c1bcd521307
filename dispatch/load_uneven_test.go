package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// simLifetime is how an endpoint is at a moment of a replay.
type simLifetime struct {
	born     int64 // names the lifetime; the runs of an earlier one are lost
	down     bool
	drains   bool
	leavesIn Time // after which it leaves; 0: not known
}

// simLifetimes holds the lifetimes that the schedulers of a replay were told of.
type simLifetimes map[int]simLifetime

// report tells the schedulers what has changed. A replay with lifetimes has one shard.
func (l simLifetimes) report(now Time, shards []*Scheduler, p loadPattern) {
	s := shards[0]
	for i := range p.endpoints {
		old, known := l[i]
		next := p.lifetime(i, now)
		l[i] = next
		agent := AgentID{Name: fmt.Sprintf("a%02d", i), Incarnation: 1}
		id := func(born int64) EndpointID { return EndpointID{ID: fmt.Sprintf("e%02d", i), Born: born} }
		if known && !old.down && (next.down || next.born != old.born) {
			s.EndpointGone(now, agent, id(old.born))
		}
		if next.down || known && !old.down && next.born == old.born && next.drains == old.drains {
			continue
		}
		s.Report(now, agent, EndpointStatus{
			Endpoint: id(next.born), Service: "svc", Available: !next.drains, LeavesIn: next.leavesIn,
			Capacity: Resources{CPUMilli: simCapacity(p, i), MemoryMB: 1 << 20},
		})
	}
}

// simCapacity returns the processors of an endpoint: those of each third are larger by half.
func simCapacity(p loadPattern, endpoint int) int {
	if endpoint%3 == 2 {
		return p.capacity + p.capacity/2
	}
	return p.capacity
}

// orderOf returns the order of a run and the scheduler that has it.
func orderOf(shards []*Scheduler, run RunRef) (uint64, *Scheduler) {
	for _, s := range shards {
		for order, r := range s.runs {
			if r.ref == run {
				return order, s
			}
		}
	}
	return 0, shards[0]
}

// leavingAt returns the lifetimes of a service of which the first n endpoints are
// given notice at a time.
func leavingAt(n int, at, notice Time) func(int, Time) simLifetime {
	return func(endpoint int, now Time) simLifetime {
		switch {
		case endpoint >= n || now < at:
			return simLifetime{born: 1}
		case now < at+notice:
			return simLifetime{born: 1, drains: true, leavesIn: at + notice - now}
		default:
			return simLifetime{born: 1, down: true}
		}
	}
}

// Three of eleven endpoints, which have turned slow just before, leave after a notice that
// is shorter than many runs. The homes that are told when they leave serve more of the jobs
// of those seconds, and lose few runs.
func TestRunsThatALeavingEndpointWouldCutOffArePlacedElsewhereAtOnce(t *testing.T) {
	const seeds = 6
	for _, notice := range []Time{600 * ms, time.Second} {
		var window [2]float64
		var lost [2]int
		for told := range 2 {
			for seed := range uint64(seeds) {
				p := bannerstroomLoad(seed, burst(0.7, 1))
				p.slow = slowFirst(3, 5, 4*time.Second, 8*time.Second)
				p.lifetime = leavingAt(3, 4500*ms, notice)
				if told == 0 {
					p.lifetime = withoutNotice(p.lifetime)
				}
				res := playLoad(p)
				window[told] += res.window(4*time.Second) / seeds
				lost[told] += res.events["run_presumed_ended"]
			}
		}
		t.Logf("notice of %v: served in the two seconds %.3f, told %.3f; runs lost %d, told %d", notice, window[0], window[1], lost[0], lost[1])
		if window[1] <= window[0] || lost[1] > lost[0]/4 {
			t.Errorf("notice of %v: served in the two seconds %.3f, told %.3f; runs lost %d, told %d", notice, window[0], window[1], lost[0], lost[1])
		}
	}
}

// slowFirst returns the factor by which the first n endpoints are slow for a time.
func slowFirst(n int, factor float64, from, until Time) func(int, Time) float64 {
	return func(endpoint int, at Time) float64 {
		if endpoint < n && at > from && at < until {
			return factor
		}
		return 1
	}
}

// withoutNotice returns the lifetimes of endpoints that drain without saying how long they
// stay.
func withoutNotice(l func(int, Time) simLifetime) func(int, Time) simLifetime {
	return func(endpoint int, at Time) simLifetime {
		next := l(endpoint, at)
		next.leavesIn = 0
		return next
	}
}
