package dispatch

import (
	"testing"
	"time"

	"bergamotwing.example/result"
)

// When endpoints fail tasks in greyLoad, and by when this has to be detected: it
// shows when the first tasks end, and the longest tasks take 1.5 s.
const (
	greyFrom       = 4 * time.Second
	greyDetectedBy = greyFrom + 1500*ms
	greyUntil      = 10 * time.Second
)

// greyLoad is an ordinary load on endpoints that fail a share of their tasks.
func greyLoad(seed uint64, share func(endpoint int) float64) loadPattern {
	p := bannerstroomLoad(seed, burst(0.8, 1))
	p.fails = func(endpoint int, at Time) float64 {
		if at > greyFrom && at < greyUntil {
			return share(endpoint)
		}
		return 0
	}
	return p
}

// oneOf makes the first endpoint fail a share of its tasks.
func oneOf(share float64) func(int) float64 {
	return func(endpoint int) float64 {
		if endpoint == 0 {
			return share
		}
		return 0
	}
}

// An endpoint that fails only a part of its tasks has good runs in between. It
// has to lose its share of the load nevertheless, and must not be ejected and
// restored alternately.
func TestAnEndpointThatFailsAPartOfItsTasksLosesItsShare(t *testing.T) {
	for seed := range uint64(5) {
		for _, share := range []float64{0.4, 0.7, 1} {
			res := playLoad(greyLoad(seed, oneOf(share)))
			before := res.startsAt("e00", 0, greyFrom)
			during := res.startsAt("e00", greyDetectedBy, greyUntil)
			t.Logf("seed %d, %.0f %% fail: share %.3f before, %.3f during, %d ejections", seed, 100*share, before, during, res.ejections)
			if during > before/4 {
				t.Errorf("seed %d, %.0f %% fail: the endpoint keeps %.3f of the tasks, had %.3f", seed, 100*share, during, before)
			}
		}
	}
}

// returnAim is the time in which a recovered endpoint has to be back in use.
const returnAim = 2 * time.Second

func TestAnEndpointIsBackInUse2sAfterItsRecovery(t *testing.T) {
	for seed := range uint64(5) {
		res := playLoad(greyLoad(seed, oneOf(1)))
		before := res.startsAt("e00", 0, greyFrom)
		after := res.startsAt("e00", greyUntil+returnAim, 16*time.Second)
		if after < before/2 {
			t.Errorf("seed %d: share %.3f before, %.3f from 2 s after its recovery on", seed, before, after)
		}
	}
}

func TestFaultsOfAllEndpointsEjectFew(t *testing.T) {
	for seed := range uint64(3) {
		p := greyLoad(seed, func(int) float64 { return 0.4 })
		p.unanswered = 0.4
		res := playLoad(p)
		t.Logf("seed %d: %d ejections, most at once %d; %v", seed, res.ejections, res.mostEjected, res)
		if res.mostEjected > int(ejectMaxShare*float64(p.endpoints)) {
			t.Errorf("seed %d: %d of %d endpoints were ejected at the same time", seed, res.mostEjected, p.endpoints)
		}
	}
}

// A service whose only endpoint was ejected recovers: jobs are admitted as
// probes.
func TestAServiceWithAllEndpointsEjectedIsProbed(t *testing.T) {
	p := greyLoad(1, func(int) float64 { return 1 })
	p.endpoints = 1
	p.rate = burst(0.05, 1)
	res := playLoad(p)
	if res.ejections == 0 {
		t.Fatal("the endpoint was not ejected")
	}
	if after := res.startsAt("e00", greyUntil+returnAim, 16*time.Second); after == 0 {
		t.Error("no task was started after the endpoint's recovery")
	}
}

func TestOnlyProbesRestoreAnEjectedEndpoint(t *testing.T) {
	var h health
	now := 10 * time.Second
	for !h.countFailedRun(now, now, healthLimits{failed: failedLimit, unanswered: unansweredLimit}) {
		now += 10 * ms
	}
	ejected := now
	if h.countGoodRun(ejected - ms) {
		t.Fatal("restored by a run ordered before the ejection")
	}
	if h.runsAllowed(now) != 0 {
		t.Error("runs are allowed before the first probe")
	}
	now += ejectFirst
	for probe := 1; probe < restoreAfter; probe++ {
		if h.countGoodRun(now) {
			t.Fatalf("restored after %d probes", probe)
		}
	}
	if !h.countGoodRun(now) {
		t.Errorf("not restored after %d good probes", restoreAfter)
	}
}

func TestAnEndpointThatIsAloneAndEjectedHasJobsRefusedBetweenProbes(t *testing.T) {
	b := newBed(t, "e")
	for !b.s.endpoints[0].health.countFailedRun(b.now, b.now, healthLimits{failed: failedLimit, unanswered: unansweredLimit}) {
		b.now += ms
	}
	b.submit("early", callerA, 0, step(1))
	if orders, outcomes, _ := b.take(); len(orders) > 0 || outcomes["early"] != result.Overloaded {
		t.Errorf("%d orders, outcomes %v", len(orders), outcomes)
	}
	b.now += ejectFirst
	b.submit("probe", callerA, 0, step(1))
	b.submit("late", callerA, 0, step(1))
	if orders, outcomes, _ := b.take(); len(orders) != 1 || outcomes["late"] != result.Overloaded {
		t.Errorf("%d orders, outcomes %v", len(orders), outcomes)
	}
}
