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
	host     int64 // names the host, with the endpoint
	drains   bool
	leavesIn Time // after which it leaves; 0: not known
}

// simLifetimes holds the lifetimes that were reported to the schedulers of a replay.
type simLifetimes map[int]simLifetime

// report tells the schedulers what has changed. A replay with lifetimes has one shard.
func (l simLifetimes) report(now Time, shards []*Scheduler, p loadPattern) {
	s := shards[0]
	for i := range p.endpoints {
		old, known := l[i]
		next := p.lifetime(i, now)
		l[i] = next
		agent := func(host int64) AgentID { return AgentID{Name: fmt.Sprintf("a%02d-%d", i, host), Incarnation: 1} }
		id := func(born int64) EndpointID { return EndpointID{ID: fmt.Sprintf("e%02d", i), Born: born} }
		if known && !old.down && (next.down || next.born != old.born) {
			s.EndpointGone(now, agent(old.host), id(old.born))
		}
		if next.down || known && !old.down && next.born == old.born && next.drains == old.drains {
			continue
		}
		s.Report(now, agent(next.host), EndpointStatus{
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

// Three of eleven endpoints leave after a notice that is shorter than many runs. The homes
// that know when they leave serve more of the jobs of those seconds, and lose few runs.
func TestRunsThatALeavingEndpointWouldCutOffArePlacedElsewhereAtOnce(t *testing.T) {
	t.Parallel()
	for _, notice := range []Time{300 * ms, 600 * ms} {
		without, with := playLeaving(0.9, notice, 1)
		t.Logf("notice of %v: unknown %v, known %v", notice, without, with)
		if with.served <= without.served || with.lost > without.lost/2 {
			t.Errorf("notice of %v: unknown %v, known %v", notice, without, with)
		}
	}
}

// The endpoints that leave have turned slow just before, so that most of their runs would be
// cut off.
func TestRunsThatASlowLeavingEndpointWouldCutOffArePlacedElsewhereAtOnce(t *testing.T) {
	t.Parallel()
	for _, notice := range []Time{600 * ms, time.Second} {
		without, with := playLeaving(0.7, notice, 5)
		t.Logf("notice of %v: unknown %v, known %v", notice, without, with)
		if with.served < ordinaryAim || with.lost > without.lost/4 {
			t.Errorf("notice of %v: unknown %v, known %v", notice, without, with)
		}
	}
}

// leavingResult is what a replay of leaving endpoints has served in the two seconds around
// the notice, on average, and how many runs it has lost.
type leavingResult struct {
	served float64
	lost   int
}

func (r leavingResult) String() string {
	return fmt.Sprintf("served %.3f, %d runs lost", r.served, r.lost)
}

// playLeaving replays three leaving endpoints that are slow by a factor, with homes that do
// not know when they leave, and with homes that do.
func playLeaving(load float64, notice Time, slow float64) (without, with leavingResult) {
	const seeds = 8
	for seed := range uint64(seeds) {
		p := bannerstroomLoad(seed, burst(load, 1))
		p.slow = slowFirst(3, slow, 4*time.Second, 8*time.Second)
		p.lifetime = leavingAt(3, 4500*ms, notice)
		count := func(r *leavingResult, p loadPattern) {
			res := playLoad(p)
			r.served += res.window(4*time.Second) / seeds
			r.lost += res.events["run_presumed_ended"]
		}
		count(&with, p)
		p.lifetime = withoutNotice(p.lifetime)
		count(&without, p)
	}
	return without, with
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

// sharedEvidence is the last word about an endpoint, as its agent keeps it.
type sharedEvidence struct {
	agent AgentID
	word  EndpointEvidence
	at    Time
}

// inherit passes the words that the agents keep to new schedulers.
func inherit(now Time, shards []*Scheduler, shared map[EndpointID]sharedEvidence) {
	for id, v := range shared {
		for _, s := range shards {
			s.Inherit(now, v.agent, id, v.word, now-v.at)
		}
	}
}

// The home is lost while two of eleven endpoints are slow, or fail most of their tasks. The
// next home serves more of the jobs of its first two seconds if it knows which.
func TestTheNextHomeKnowsWhichEndpointsAreInTrouble(t *testing.T) {
	t.Parallel()
	const seeds = 6
	for name, trouble := range map[string]func(*loadPattern){
		"slow": func(p *loadPattern) { p.slow = slowFirst(2, 6, 4*time.Second, 12*time.Second) },
		"fail": func(p *loadPattern) {
			p.fails = func(endpoint int, at Time) float64 {
				return 0.8 * (slowFirst(2, 2, 4*time.Second, 12*time.Second)(endpoint, at) - 1)
			}
		},
	} {
		var served [2]float64
		words := 0
		for inherits := range 2 {
			for seed := range uint64(seeds) {
				p := bannerstroomLoad(seed, burst(0.6, 1))
				trouble(&p)
				p.outage = outage{from: 7900 * ms, until: 8 * time.Second}
				p.inherits = inherits == 1
				res := playLoad(p)
				served[inherits] += res.window(8*time.Second) / seeds
				words += res.shared
				if most := int(ejectMaxShare * float64(p.endpoints)); res.mostEjected > most {
					t.Errorf("%s, seed %d: %d endpoints ejected at the same time", name, seed, res.mostEjected)
				}
			}
		}
		perSecond := float64(words) / (2 * seeds * 16)
		t.Logf("%s: served %.3f, with evidence %.3f; %.2f words a second", name, served[0], served[1], perSecond)
		if served[1] <= served[0] || served[1] < ordinaryAim || perSecond > maxWords {
			t.Errorf("%s: served %.3f, with evidence %.3f; %.2f words a second", name, served[0], served[1], perSecond)
		}
	}
}

// maxWords is how many words about two endpoints in trouble a home may send in a second:
// what the shortest time between two allows.
const maxWords = 2 * float64(time.Second/shareEvery)

// Two of eleven endpoints turn slow, also for what runs there by then. The jobs of those
// seconds, and of the two before, are served as under ordinary load.
func TestRunsAtAnEndpointThatTurnsSlowArePlacedElsewhere(t *testing.T) {
	t.Parallel()
	const seeds = 6
	moved, stuck := 0, 0
	var worst float64
	for seed := range uint64(seeds) {
		p := bannerstroomLoad(seed, burst(0.8, 1))
		p.slow = slowFirst(2, 7, 4*time.Second, 8*time.Second)
		p.lifetime = allStay
		res := playLoad(p)
		worst += min(res.window(2*time.Second), res.window(4*time.Second)) / seeds
		moved += res.events["run_moved"]
		stuck += res.events["run_stuck"]
		t.Logf("seed %d: %v; windows %.3f %.3f", seed, res, res.window(2*time.Second), res.window(4*time.Second))
	}
	t.Logf("worst windows %.3f on average, %d runs moved, %d stopped as stuck", worst, moved, stuck)
	if worst < ordinaryAim {
		t.Errorf("the worst windows earn %.3f on average, want %.2f as under ordinary load", worst, ordinaryAim)
	}
}

func TestAnEndpointThatWasSlowIsBackInUse2sAfterItsRecovery(t *testing.T) {
	t.Parallel()
	const recovered = 10 * time.Second
	var before, after float64
	for _, load := range []float64{0.6, 0.8, 0.95} {
		for seed := range uint64(4) {
			p := bannerstroomLoad(seed, burst(load, 1))
			p.slow = slowFirst(2, 7, 4*time.Second, recovered)
			p.lifetime = allStay
			res := playLoad(p)
			before += res.startsAt("e00", 0, 4*time.Second)
			after += res.startsAt("e00", recovered+returnAim, p.length)
		}
	}
	t.Logf("share of the tasks: %.3f before, %.3f from 2 s after its recovery on", before/12, after/12)
	if after < before/2 {
		t.Errorf("share of the tasks: %.3f before, %.3f from 2 s after its recovery on", before/12, after/12)
	}
}

// Run times differ from the estimates on healthy endpoints too.
func TestHardlyAnyRunIsMovedWhileAllEndpointsAreOfNormalSpeed(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{0.6, 1, 1.2} {
		moved, starts := 0, 0
		for seed := range uint64(2) {
			p := bannerstroomLoad(seed, burst(load, 1))
			p.lifetime = allStay
			res := playLoad(p)
			moved += res.events["run_moved"]
			for _, s := range res.starts {
				starts += len(s)
			}
		}
		t.Logf("load %v: %d of %d runs moved", load, moved, starts)
		if moved > starts/1000 {
			t.Errorf("load %v: %d of %d runs moved", load, moved, starts)
		}
	}
}

// allStay are the lifetimes of endpoints that neither leave nor begin anew.
func allStay(int, Time) simLifetime { return simLifetime{born: 1} }

// slowedRunTime returns how long a run takes from a time on at an endpoint whose speed
// changes meanwhile, for all that runs there.
func slowedRunTime(p loadPattern, endpoint int, from, work Time) Time {
	const resolution = 5 * ms
	at := from
	for left := float64(work); left > 0; at += resolution {
		left -= float64(resolution) / p.slow(endpoint, at)
	}
	return at - from
}

// flapping returns the lifetimes of a service of which the first n endpoints go down and up
// by turns.
func flapping(n int, from, until, gap Time) func(int, Time) simLifetime {
	return func(endpoint int, at Time) simLifetime {
		if endpoint >= n || at < from {
			return simLifetime{born: 1}
		}
		turn := (min(at, until) - from) / gap
		return simLifetime{born: 1 + int64(turn+1)/2, down: turn%2 == 0 && at < until}
	}
}

// Two of eleven endpoints go down and up every 1.4 s. A home that remembers how long they
// were up serves more of the jobs of those seconds than one to which they are new each time.
func TestEndpointsThatGoDownAndUpGetFewTasksThatTheyWouldInterrupt(t *testing.T) {
	t.Parallel()
	const seeds = 12
	for _, load := range []float64{0.6, 0.8, 0.95} {
		var unserved [2]float64
		for remembers := range 2 {
			for seed := range uint64(seeds) {
				p := bannerstroomLoad(seed, burst(load, 1))
				p.lifetime = flapping(2, 4*time.Second, 10500*ms, 1400*ms)
				if remembers == 0 {
					p.lifetime = onNewHosts(p.lifetime)
				}
				unserved[remembers] += (1 - playLoad(p).share()) / seeds
			}
		}
		t.Logf("load %v: unserved %.4f, with memory %.4f", load, unserved[0], unserved[1])
		if unserved[1] >= unserved[0] {
			t.Errorf("load %v: unserved %.4f, with memory %.4f", load, unserved[0], unserved[1])
		}
	}
}

// onNewHosts returns the lifetimes on another host each.
func onNewHosts(l func(int, Time) simLifetime) func(int, Time) simLifetime {
	return func(endpoint int, at Time) simLifetime {
		next := l(endpoint, at)
		next.host = next.born
		return next
	}
}
