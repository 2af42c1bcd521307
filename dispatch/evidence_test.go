package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// shared returns the words that were shared since the last call.
func (b *testBed) shared() (words []SchedulerAction) {
	for _, a := range b.s.TakeActions() {
		if a.Kind == ShareEvidence {
			words = append(words, a)
		}
	}
	return words
}

// failRuns has an endpoint fail the first runs of some tasks.
func (b *testBed) failRuns(name string, n int) {
	e := b.s.find(agentOf(name), EndpointID{ID: name})
	for range n {
		e.judgedAt = b.now
		e.health.countFailedRun(b.now, b.now, b.s.limitsFor(e))
	}
}

// check lets time pass in steps of a check.
func (b *testBed) check(d Time) {
	for end := b.now + d; b.now < end; {
		b.now += checkEvery
		b.s.Tick(b.now)
	}
}

func TestAHomeSharesWhatItKnowsOfAnEndpointOnceThatChangesNotably(t *testing.T) {
	b := newBed(t, "e1", "e2", "e3")
	b.check(time.Second)
	b.failRuns("e1", 1)
	b.check(time.Second)
	if words := b.shared(); len(words) != 0 {
		t.Fatalf("one failed run is shared: %+v", words)
	}
	b.failRuns("e1", 4)
	b.check(5 * time.Second) // what decay alone changes is not shared
	words := b.shared()
	if len(words) != 1 || words[0].Endpoint.ID != "e1" || words[0].Agent != agentOf("e1") || !words[0].Evidence.Ejected || words[0].Evidence.Failed < failedLimit {
		t.Fatalf("words %+v", words)
	}
	b.s.endpoints[0].health.restore(0)
	b.check(time.Second)
	if words := b.shared(); len(words) != 1 || words[0].Evidence.Ejected {
		t.Errorf("words %+v", words)
	}
	b.s.endpoints[1].slow = 5
	b.check(time.Second)
	if words := b.shared(); len(words) != 1 || words[0].Evidence.Slow != 5 {
		t.Errorf("words %+v", words)
	}
}

func TestWordsAboutAnEndpointAreFewHoweverOftenItChanges(t *testing.T) {
	b := newBed(t, "e1", "e2", "e3")
	const span = 10 * time.Second
	for i := range int(span / checkEvery) {
		b.s.endpoints[0].slow = float64(1 + 5*(i%2))
		b.check(checkEvery)
	}
	if n := len(b.shared()); n > int(span/shareEvery)+1 {
		t.Errorf("%d words in %v", n, span)
	}
}

func TestInheritedEvidenceCountsLessTheOlderItIs(t *testing.T) {
	word := EndpointEvidence{Failed: 0.8, Unanswered: 0.4, Slow: 5, Ejected: true, Pause: ejectMax, GoodProbes: 2}
	for _, age := range []Time{0, halfLife, 2 * halfLife} {
		b := newBed(t, "e1", "e2", "e3")
		b.s.Inherit(b.now, agentOf("e1"), EndpointID{ID: "e1"}, word, age)
		e := b.s.endpoints[0]
		left := math.Exp2(-float64(age / halfLife))
		if math.Abs(e.health.failed-0.8*left) > 1e-9 || math.Abs(e.health.unanswered-0.4*left) > 1e-9 || math.Abs(e.slow-1-4*left) > 1e-9 {
			t.Errorf("%v old: %+v, slow %v", age, e.health, e.slow)
		}
		if !e.health.ejected() || e.health.goodProbes != 2 || e.health.runsAllowed(b.now+max(ejectMax-age, 0)) != 4 {
			t.Errorf("%v old: %+v", age, e.health)
		}
		if usable := e.usable(b.now, nil); usable != (age >= ejectMax) {
			t.Errorf("%v old: usable %v before the pause is over", age, usable)
		}
	}
}

func TestEvidenceThatIsOfNoUseChangesNothing(t *testing.T) {
	good := EndpointEvidence{Failed: 0.9, Slow: 3, Ejected: true, Pause: ejectFirst}
	with := func(change func(*EndpointEvidence)) EndpointEvidence {
		v := good
		change(&v)
		return v
	}
	for name, c := range map[string]struct {
		word EndpointEvidence
		age  Time
		id   EndpointID
	}{
		"too old":          {good, EvidenceMaxAge + ms, EndpointID{ID: "e1"}},
		"of the future":    {good, -ms, EndpointID{ID: "e1"}},
		"another lifetime": {good, 0, EndpointID{ID: "e1", Born: 7}},
		"another endpoint": {good, 0, EndpointID{ID: "e9"}},
		"not a number":     {with(func(v *EndpointEvidence) { v.Failed = math.NaN() }), 0, EndpointID{ID: "e1"}},
		"no share":         {with(func(v *EndpointEvidence) { v.Unanswered = 1.5 }), 0, EndpointID{ID: "e1"}},
		"below 0":          {with(func(v *EndpointEvidence) { v.Failed = -0.1 }), 0, EndpointID{ID: "e1"}},
		"infinitely slow":  {with(func(v *EndpointEvidence) { v.Slow = math.Inf(1) }), 0, EndpointID{ID: "e1"}},
		"a long pause":     {with(func(v *EndpointEvidence) { v.Pause = time.Hour }), 0, EndpointID{ID: "e1"}},
		"many probes":      {with(func(v *EndpointEvidence) { v.GoodProbes = 63 }), 0, EndpointID{ID: "e1"}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, "e1", "e2", "e3")
			b.s.Inherit(b.now, agentOf("e1"), c.id, c.word, c.age)
			if e := b.s.endpoints[0]; e.health != (health{}) || e.slow != 1 || e.judgedAt != 0 {
				t.Errorf("%+v, slow %v", e.health, e.slow)
			}
		})
	}
}

func TestTheNewerOfTwoWordsCounts(t *testing.T) {
	b := newBed(t, "e1", "e2", "e3")
	id := EndpointID{ID: "e1"}
	b.failRuns("e1", 1)
	own := b.s.endpoints[0].health
	b.s.Inherit(b.now+time.Second, agentOf("e1"), id, EndpointEvidence{Failed: 0.9, Ejected: true}, time.Second)
	if b.s.endpoints[0].health != own {
		t.Errorf("older evidence taken: %+v", b.s.endpoints[0].health)
	}
	b.s.Inherit(b.now+2*time.Second, agentOf("e1"), id, EndpointEvidence{Failed: 0.9, Ejected: true}, time.Second)
	if !b.s.endpoints[0].health.ejected() {
		t.Fatal("newer evidence not taken")
	}
	b.s.Inherit(b.now+3*time.Second, agentOf("e1"), id, EndpointEvidence{}, time.Second)
	if b.s.endpoints[0].health.ejected() {
		t.Error("ejected, though a newer word says that it was restored")
	}
}

func TestWhatIsKnownOfALifetimeOutlastsItsAgent(t *testing.T) {
	b := newBed(t, "e1", "e2", "e3")
	b.failRuns("e1", 6)
	b.s.endpoints[0].slow = 4
	b.check(100 * ms)
	b.shared()
	status := b.s.endpoints[0].status
	next := AgentID{Name: agentOf("e1").Name, Incarnation: 2}
	b.s.Report(b.now, next, status)
	e := b.s.find(next, status.Endpoint)
	if e == nil || !e.health.ejected() || e.slow != 4 || len(b.s.endpoints) != 3 {
		t.Fatalf("%d endpoints, %+v", len(b.s.endpoints), e)
	}
	b.check(100 * ms)
	if words := b.shared(); len(words) != 1 || words[0].Agent != next {
		t.Errorf("the next incarnation is told %+v", words)
	}
	status.Endpoint.Born++
	b.s.Report(b.now, next, status)
	if e := b.s.find(next, status.Endpoint); e.health != (health{}) || e.slow != 1 {
		t.Errorf("of another lifetime: %+v, slow %v", e.health, e.slow)
	}
}

func TestAWordThatWasLostWithItsLinkIsSentAgain(t *testing.T) {
	b := newBed(t, "e1", "e2", "e3")
	b.failRuns("e1", 6)
	b.check(100 * ms)
	if n := len(b.shared()); n != 1 {
		t.Fatalf("%d words", n)
	}
	b.s.AgentLost(b.now, agentOf("e1"), b.now+time.Second)
	b.check(100 * ms)
	if n := len(b.shared()); n != 0 {
		t.Errorf("%d words to a lost agent", n)
	}
	status := b.s.endpoints[0].status
	b.s.AgentReconnected(b.now, agentOf("e1"), nil)
	b.s.Report(b.now, agentOf("e1"), status)
	b.check(100 * ms)
	if n := len(b.shared()); n != 1 {
		t.Errorf("%d words on the new link", n)
	}
}

// However many words a home inherits, and whatever fails there as well, it ejects no more
// endpoints than the limit.
func TestInheritedEvidenceEjectsNoMoreEndpointsThanTheLimit(t *testing.T) {
	share := rapid.Float64Range(0, 1)
	words := rapid.Custom(func(t *rapid.T) EndpointEvidence {
		return EndpointEvidence{
			Failed: share.Draw(t, "failed"), Unanswered: share.Draw(t, "unanswered"), Slow: rapid.Float64Range(0, 10).Draw(t, "slow"),
			Ejected: rapid.Bool().Draw(t, "ejected"), Pause: Time(rapid.Int64Range(0, int64(ejectMax)).Draw(t, "pause")),
			GoodProbes: rapid.IntRange(0, restoreAfter-1).Draw(t, "probes"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(rt, "endpoints")
		names := make([]string, 0, n)
		for i := range n {
			names = append(names, fmt.Sprintf("e%d", i))
		}
		b := newBed(t, names...)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			b.now += Time(rapid.IntRange(0, 2000).Draw(rt, "ms")) * ms
			name := rapid.SampledFrom(names).Draw(rt, "endpoint")
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0, 1:
				b.s.Inherit(b.now, agentOf(name), EndpointID{ID: name}, words.Draw(rt, "word"), Time(rapid.IntRange(0, 12000).Draw(rt, "age"))*ms)
			case 2:
				b.failRuns(name, rapid.IntRange(1, 8).Draw(rt, "runs"))
			default:
				b.check(checkEvery)
			}
			ejected := 0
			for _, e := range b.s.endpoints {
				if e.health.ejected() {
					ejected++
				}
			}
			if most := max(1, int(ejectMaxShare*float64(n))); ejected > most {
				rt.Fatalf("%d of %d endpoints are ejected", ejected, n)
			}
		}
	})
}
