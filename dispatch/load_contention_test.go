package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// The replays of contention: three kinds of request that compete for endpoints of which
// two in three have the capacity of the pattern, and the others half as much again. The
// base load is two thirds of the room.

func contentionMix(scale float64) []jobClass {
	route := func(name string, priority int) Route {
		return Route{Name: name, Priority: priority, MaxAttempts: 3, Stretch: 1.6, TargetLatency: 60 * ms}
	}
	return []jobClass{
		{route: route("short", 0), perSecond: 226 * scale, width: 8, work: 60 * ms, cpu: 3600, value: 0.00485},
		{route: route("long", 2), perSecond: 41 * scale, width: 4, work: 900 * ms, cpu: 3600, value: 0.0267},
		{route: route("middle", 1), perSecond: 660 * scale, width: 2, work: 200 * ms, cpu: 3600, value: 0.00167},
	}
}

// contentionLoad scales the mix to a number of endpoints.
func contentionLoad(seed uint64, endpoints int) loadPattern {
	return loadPattern{
		seed: seed, length: 20 * time.Second, endpoints: endpoints, capacity: 32000,
		classes: contentionMix(float64(endpoints) / 76), rate: func(Time) float64 { return 1 },
	}
}

// between reports whether a time lies in the seconds from one to another.
func between(at Time, from, to float64) bool { return at.Seconds() >= from && at.Seconds() < to }

// unevenHardLoad swings, has the long jobs burst while endpoints flap, then endpoints
// leave, others turn slow, and the short jobs burst.
func unevenHardLoad(seed uint64) loadPattern {
	p := contentionLoad(seed, 76)
	p.classRate = func(route string, at Time) float64 {
		switch {
		case route == "long" && between(at, 3.1, 9.2):
			return 2.1
		case route == "short" && between(at, 13, 16.2):
			return 1.9
		}
		return 1
	}
	p.rate = func(at Time) float64 { return 1 + 0.15*math.Sin(2*math.Pi*(at.Seconds()-9)/11) }
	p.lost = func(endpoint int, at Time) bool {
		flaps := endpoint%12 == 5 && between(at, 5.2, 11.3) && int(at.Seconds()/1.4)%2 == 0
		return flaps || endpoint%8 == 3 && between(at, 8.6, 20)
	}
	p.slow = func(endpoint int, at Time) float64 {
		if endpoint%7 == 2 && between(at, 10, 16.4) {
			return 6.9
		}
		return 1
	}
	return p
}

const (
	// contentionAim is the users' aim for a day of hard load, as a share of the offered value.
	contentionAim = 0.90
	// toldInTimeAim is the users' aim for the unserved jobs of which no task was ordered: so
	// many of them are refused within a quarter of their objective.
	toldInTimeAim = 0.9
)

func TestJobsUnderContentionAreServedOrRefusedInTime(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		res := playLoad(unevenHardLoad(seed))
		told := float64(res.untriedInTime) / float64(max(res.untried, 1))
		t.Logf("seed %d: %v; %d untried, %.3f of them told in time", seed, res, res.untried, told)
		for name, c := range res.classes {
			t.Logf("seed %d: %s: %v", seed, name, c)
			if c.share() < contentionAim {
				t.Errorf("seed %d: %s: %v", seed, name, c)
			}
		}
		if res.share() < contentionAim || told < toldInTimeAim {
			t.Errorf("seed %d: %v; %d untried, %.3f of them told in time", seed, res, res.untried, told)
		}
	}
}

// One kind of request bursts while endpoints are away. The room that is left would do for
// the usual load of all kinds: none of the others may be starved.
func TestNoKindIsStarvedByAnothersBurst(t *testing.T) {
	for _, bursting := range []string{"short", "long", "middle"} {
		for _, times := range []float64{2, 4} {
			for _, away := range []int{0, 9} {
				t.Run(fmt.Sprintf("%s_bursts_%g_times_%d_of_38_away", bursting, times, away), func(t *testing.T) {
					t.Parallel()
					noKindIsStarved(t, bursting, times, away)
				})
			}
		}
	}
}

// noKindIsStarved replays a burst of one kind while some of 38 endpoints are away.
func noKindIsStarved(t *testing.T, bursting string, times float64, away int) {
	t.Helper()
	p := contentionLoad(uint64(away)+uint64(times), 38)
	p.length = 10 * time.Second
	p.classRate = func(route string, at Time) float64 {
		if route == bursting && between(at, 6, 10) {
			return times
		}
		return 1
	}
	p.lost = func(endpoint int, at Time) bool { return endpoint < away && between(at, 6, 10) }
	res := playLoad(p)
	for name, c := range res.classes {
		share := c.between(6*time.Second, 10*time.Second)
		t.Logf("%s: share %.3f in the burst", name, share)
		if name != bursting && share < burstAim {
			t.Errorf("%s: share %.3f in the burst", name, share)
		}
	}
}
