package entry

import (
	"testing"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/control"
)

// An entry answers a client 502, after which the job comes again, and the home's runs go on
// until it learns of that. Then they have an owner's lease at most.
func TestTheHomeStopsAJobInTimeAfterItsEntryHasAnsweredThatItIsUnknown(t *testing.T) {
	type client struct {
		e     *Entry
		reply chan dispatch.Outcome
	}
	answers := []struct {
		name   string
		answer func(p *passing, c client)
	}{
		{"its deadline is over", func(p *passing, c client) { c.e.receive(p.now, abandonRequest{"j", c.reply}) }},
		{"it was deleted", func(p *passing, c client) { c.e.receive(p.now, deleteJob{job: "j", known: make(chan deleteResult, 1)}) }},
		{"the entry's time to stop is over", func(p *passing, c client) {
			c.e.receive(p.now, control.Stop{})
			c.e.receive(p.now, endRequests{})
		}},
	}
	links := []struct {
		name          string
		before, after func(p *passing, e *Entry)
		limit         time.Duration
	}{
		{"linked", nil, nil, 0},
		{"link lost and restored", (*passing).cut, func(p *passing, e *Entry) {
			p.wait(200 * time.Millisecond)
			p.link(e)
		}, 200 * time.Millisecond},
		{"link lost", (*passing).cut, func(p *passing, _ *Entry) { p.wait(time.Second) }, 300*time.Millisecond + passEvery},
	}
	for _, a := range answers {
		for _, l := range links {
			t.Run(a.name+", "+l.name, func(t *testing.T) {
				p := newPassing(t, 1)
				c := client{e: p.entries[0]}
				c.reply = p.submit(c.e, "j")
				p.pass()
				p.ordered()
				p.wait(passEvery)
				answered, stopped := p.now, time.Duration(-1)
				p.onStop = func() { stopped = p.now - answered }
				if l.before != nil {
					l.before(p, c.e)
				}
				a.answer(p, c)
				p.pass()
				if l.after != nil {
					l.after(p, c.e)
				}
				p.wantStopped(stopped, l.limit)
			})
		}
	}
}

// The entry counts its home as lost while that goes on, in one direction or both.
func TestTheHomeStopsAJobInTimeAfterItsEntryHasAnsweredThatTheHomeIsLost(t *testing.T) {
	for _, tc := range []struct {
		name   string
		silent func(p *passing, e *Entry) []*Entry // to which nothing is delivered
	}{
		{"partitioned", func(p *passing, e *Entry) []*Entry { return []*Entry{p.home, e} }},
		{"the home is not heard", func(_ *passing, e *Entry) []*Entry { return []*Entry{e} }},
		{"the entry is not heard", func(p *passing, _ *Entry) []*Entry { return []*Entry{p.home} }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPassing(t, 1)
			e := p.entries[0]
			reply := p.submit(e, "j")
			p.pass()
			p.ordered()
			p.wait(200 * time.Millisecond)
			p.silent = tc.silent(p, e)
			answered, stopped := time.Duration(-1), time.Duration(-1)
			p.onStop = func() { stopped = p.now }
			for range 20 {
				p.wait(passEvery)
				if answered < 0 && len(reply) > 0 {
					answered = p.now
				}
			}
			if answered < 0 || stopped < 0 {
				t.Fatalf("answered at %v, stopped at %v (-1ns: not)", answered, stopped)
			}
			p.wantStopped(max(stopped-answered, 0), 300*time.Millisecond+passEvery)
		})
	}
}

// wantStopped checks how long after a client's answer the home has stopped its run.
func (p *passing) wantStopped(after, limit time.Duration) {
	p.t.Helper()
	if after < 0 || after > limit {
		p.t.Fatalf("the run is stopped after %v (-1ns: not), want at most %v", after, limit)
	}
	timing := p.home.state.timing
	if over := timing.RunsEndBy(after); over > timing.ResendAfter {
		p.t.Errorf("a run whose agent or endpoint does not take the stop may go on for %v, the job comes again after %v", over, timing.ResendAfter)
	}
}
