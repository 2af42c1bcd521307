package dispatch

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// coRunFactor is the factor by which a task is slower while it runs beside others at
// its endpoint, given their kinds.
type coRunFactor func(endpoint int, kind string, beside []string, at Time) float64

// coRuns are tasks that run at the speed that their neighbours leave them. Speeds
// change with each start and end.
type coRuns struct {
	factor coRunFactor
	now    func() Time
	after  func(Time, func())
	ended  func(kind string, work, took, at Time) // nil: not recorded
	at     map[int][]*coRun
}

type coRun struct {
	kind    string
	started Time
	updated Time
	work    Time // at full speed
	left    Time // of work
	slower  float64
	change  int // counts changes of the speed
	ended   func(took Time)
}

func newCoRuns(p *loadPattern, now func() Time, after func(Time, func())) *coRuns {
	return &coRuns{factor: p.coRun, ended: p.coRunEnded, now: now, after: after, at: map[int][]*coRun{}}
}

func (c *coRuns) start(endpoint int, kind string, work Time, ended func(Time)) {
	now := c.now()
	c.at[endpoint] = append(c.at[endpoint], &coRun{kind: kind, started: now, updated: now, work: work, left: work, ended: ended})
	c.changed(endpoint)
}

// changed sets the speeds at an endpoint anew.
func (c *coRuns) changed(endpoint int) {
	now := c.now()
	beside := make([]string, 0, len(c.at[endpoint]))
	for i, r := range c.at[endpoint] {
		beside = beside[:0]
		for k, o := range c.at[endpoint] {
			if k != i {
				beside = append(beside, o.kind)
			}
		}
		slower := c.factor(endpoint, r.kind, beside, now)
		if slower == r.slower {
			continue
		}
		if r.change > 0 {
			r.left -= Time(float64(now-r.updated) / r.slower)
		}
		r.updated, r.slower = now, slower
		r.change++
		change := r.change
		c.after(max(Time(float64(r.left)*r.slower), 0), func() {
			if r.change == change {
				c.end(endpoint, r)
			}
		})
	}
}

func (c *coRuns) end(endpoint int, r *coRun) {
	r.change++
	c.at[endpoint] = slices.DeleteFunc(c.at[endpoint], func(o *coRun) bool { return o == r })
	c.changed(endpoint)
	took := c.now() - r.started
	if c.ended != nil {
		c.ended(r.kind, r.work, took, c.now())
	}
	c.after(2*ms, func() { r.ended(took) })
}

// coRunMeter sums the times of tasks of one kind.
type coRunMeter struct{ work, took Time }

func (m *coRunMeter) record(kind string, from Time) func(string, Time, Time, Time) {
	return func(k string, work, took, at Time) {
		if k == kind && at >= from {
			m.work += work
			m.took += took
		}
	}
}

// mean returns the time that tasks take as a multiple of the one that they take alone.
func (m *coRunMeter) mean() float64 { return float64(m.took) / float64(m.work) }

// interferenceLoad is a load under which endpoints have room of a third on average.
func interferenceLoad(seed uint64, factor coRunFactor) loadPattern {
	p := bannerstroomLoad(seed, burst(1, 1))
	p.length, p.coRun, p.interference = time.Minute, factor, InterferenceKeepApart
	return p
}

// manyEndpointsLoad is that of the sheet of 76 endpoints of 32 cores.
func manyEndpointsLoad(seed uint64, factor coRunFactor) loadPattern {
	p := interferenceLoad(seed, factor)
	p.endpoints, p.capacity, p.length = 76, 32000, 20*time.Second
	p.classes = requestMix(3600)
	for i, perSecond := range []float64{206, 37.5, 600} {
		p.classes[i].perSecond = perSecond
	}
	return p
}

// shortBesideLong slows short tasks beside long ones.
func shortBesideLong(factor float64) coRunFactor {
	return func(_ int, kind string, beside []string, _ Time) float64 {
		if kind == "short" && slices.Contains(beside, "long") {
			return factor
		}
		return 1
	}
}

// playNoticed replays a pattern and returns when pairs were noticed, as "slowed by
// neighbour", and forgotten.
func playNoticed(t *testing.T, p loadPattern) (res *loadResult, noticed, forgotten map[string]Time) {
	t.Helper()
	noticed, forgotten = map[string]Time{}, map[string]Time{}
	p.logged = func(at Time, a SchedulerAction) {
		var neighbour, kind string
		if _, err := fmt.Sscanf(a.Reason, "%s slows %s", &neighbour, &kind); err != nil {
			return
		}
		pair := kind + " by " + neighbour
		switch a.Event {
		case "interference_noticed":
			if _, ok := noticed[pair]; !ok {
				noticed[pair] = at
			}
		case "interference_forgotten":
			forgotten[pair] = at
		}
		t.Logf("%v: %s: %s", at, a.Event, strings.TrimSpace(a.Reason))
	}
	return playLoad(p), noticed, forgotten
}

// noticeWithin is the time within which a pair is to be noticed, of the 34 s that the
// shortest known days last.
const noticeWithin = 12 * time.Second

// One kind slows another from the start, so that much of it is late.
func TestInterferenceIsNoticedAndTasksAreKeptApart(t *testing.T) {
	t.Parallel()
	for seed := range uint64(1) {
		slowed, since := map[InterferenceMode]float64{}, map[InterferenceMode]float64{}
		for _, mode := range []InterferenceMode{InterferenceNotice, InterferenceKeepApart} {
			p := manyEndpointsLoad(seed, shortBesideLong(2.5))
			p.interference = mode
			var meter coRunMeter
			p.coRunEnded = meter.record("short", noticeWithin)
			res, noticed, _ := playNoticed(t, p)
			slowed[mode] = meter.mean()
			since[mode] = (res.window(12*time.Second) + res.window(14*time.Second) + res.window(16*time.Second) + res.window(18*time.Second)) / 4
			t.Logf("seed %d, %s: from %v on short tasks take %.3f of their time alone, share %.3f; %v", seed, mode, noticeWithin, meter.mean(), since[mode], res)
			if at, ok := noticed["short by long"]; !ok || at > noticeWithin || len(noticed) > 1 {
				t.Errorf("seed %d, %s: noticed %v, want short by long alone within %v", seed, mode, noticed, noticeWithin)
			}
		}
		if since[InterferenceKeepApart] < ordinaryAim || since[InterferenceNotice] >= ordinaryAim {
			t.Errorf("seed %d: share of the value %v, want less than %.2f only where the tasks are not kept apart", seed, since, ordinaryAim)
		}
		if slowed[InterferenceKeepApart] > math.Exp(noticeEffect) {
			t.Errorf("seed %d: short tasks take %v of their time alone", seed, slowed)
		}
	}
}

// A pair is forgotten once it has stopped to slow each other down.
func TestInterferenceThatStopsIsForgotten(t *testing.T) {
	t.Parallel()
	const stops = 70 * time.Second
	p := interferenceLoad(1, nil)
	p.length = 4 * time.Minute
	p.coRun = func(endpoint int, kind string, beside []string, at Time) float64 {
		if at > stops {
			return 1
		}
		return shortBesideLong(1.8)(endpoint, kind, beside, at)
	}
	_, noticed, forgotten := playNoticed(t, p)
	if at, ok := forgotten["short by long"]; len(noticed) != 1 || !ok || at < stops {
		t.Errorf("noticed %v, forgotten %v", noticed, forgotten)
	}
}

// causesOfLongRunTimes are patterns in which run times vary for other reasons than
// interference.
func causesOfLongRunTimes(seed uint64) map[string]loadPattern {
	alone := func(p loadPattern, slower func(endpoint, beside int, at Time) float64) loadPattern {
		p.coRun = func(endpoint int, _ string, beside []string, at Time) float64 {
			return slower(endpoint, len(beside), at)
		}
		return p
	}
	few, many := interferenceLoad(seed, nil), manyEndpointsLoad(seed, nil)
	many.length = 14 * time.Second
	bursts := many
	bursts.rate = burst(1, 1.6)
	turnsSlow := func(endpoint, _ int, at Time) float64 {
		if endpoint < 10 && at > 5*time.Second && at < 11500*ms || endpoint >= 60 && at > 11*time.Second {
			return 5
		}
		return 1
	}
	return map[string]loadPattern{
		"none, few endpoints":  alone(few, func(int, int, Time) float64 { return 1 }),
		"none, burst":          alone(bursts, func(int, int, Time) float64 { return 1 }),
		"slow endpoints, few":  alone(few, func(e, _ int, _ Time) float64 { return 1 + 0.5*boolFactor(e < 3) }),
		"slow endpoints, many": alone(many, func(e, _ int, _ Time) float64 { return 1 + 0.5*boolFactor(e%4 == 0) }),
		"endpoints turn slow":  alone(many, turnsSlow),
		"turn slow in burst":   alone(bursts, turnsSlow),
		"by load in burst":     alone(bursts, func(_, n int, _ Time) float64 { return 1 + float64(n)/10 }),
		"by high load":         alone(few, func(_, n int, _ Time) float64 { return 1 + max(float64(n)-5, 0)/4 }),
	}
}

func boolFactor(b bool) float64 { return float64(boolRank(b)) }

func TestOtherCausesOfLongRunTimesAreNotNoticedAsInterference(t *testing.T) {
	const seed = 0
	for name, p := range causesOfLongRunTimes(seed) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if _, noticed, _ := playNoticed(t, p); len(noticed) > 0 {
				t.Errorf("noticed %v", noticed)
			}
		})
	}
}
