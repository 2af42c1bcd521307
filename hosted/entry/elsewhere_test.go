package entry

import (
	"fmt"
	"testing"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

// twoHomes are the homes of a service's two shards, and two entries that are linked to both.
type twoHomes struct {
	homes       [2]*passing
	first, next *Entry // where a client submits a job first, and where it sends it again
}

func newTwoHomes(t *testing.T) *twoHomes {
	t.Helper()
	h := &twoHomes{first: newTestState(t).e, next: newTestState(t).e}
	h.first.self.Name, h.next.self.Name = "first", "next"
	for i := range h.homes {
		shard := dispatch.Shard{Service: "svc", Index: i}
		name := fmt.Sprintf("home%d", i)
		h.homes[i] = newPassingOf(t, shard, len(h.homes), name)
		for _, e := range []*Entry{h.first, h.next} {
			e.state.shardCounts = shardCounts{"svc": len(h.homes)}
			e.state.home[shard] = name
			h.homes[i].entries = append(h.homes[i].entries, e)
		}
	}
	for _, p := range h.homes {
		p.now = h.homes[0].now
		p.link(h.first)
		p.link(h.next)
	}
	return h
}

// wait advances the time, with heartbeats.
func (h *twoHomes) wait(d time.Duration) {
	for range d / passEvery {
		for _, p := range h.homes {
			p.wait(passEvery)
		}
	}
}

// jobOf returns the id of a job that names a shard.
func (h *twoHomes) jobOf(shard int) string {
	for i := 0; ; i++ {
		if id := fmt.Sprintf("j%d", i); dispatch.ShardIndex(id, len(h.homes)) == shard {
			return id
		}
	}
}

const fillers = 8 // twice as many as an endpoint takes

// fill has jobs wait at a home.
func (h *twoHomes) fill(home *passing) {
	for i := range fillers {
		home.home.receive(home.now, submit{
			job: job(fmt.Sprintf("filler%d", i)), route: testRoute, deadline: home.now + time.Minute, reply: make(chan dispatch.Outcome, 1),
		})
	}
}

// A job that a client sends again through another entry may go to the home of another
// shard, where jobs wait at that of the first. Nothing joins the two then, so the runs of
// the first are over before the job comes again.
func TestTheFirstHomeStopsAJobInTimeForAnotherShardToStartIt(t *testing.T) {
	type setting struct {
		*twoHomes
		left func() // the entry learns that its client has left
	}
	for _, tc := range []struct {
		name  string
		lose  func(s setting)
		limit time.Duration // from the client's loss until the stop is sent
	}{
		{"the entry cancels", func(s setting) { s.left(); s.homes[0].pass() }, 0},
		{"the cancel is lost with a link that is restored", func(s setting) {
			s.homes[0].cut(s.first)
			s.left()
			s.wait(200 * time.Millisecond)
			s.homes[0].link(s.first)
		}, 200 * time.Millisecond},
		{"the cancel is lost with a link that stays down", func(s setting) {
			s.homes[0].cut(s.first)
			s.left()
			s.wait(time.Second)
		}, 300*time.Millisecond + passEvery},
		{"the entry exits and its address does not answer", func(s setting) {
			s.homes[0].cut(s.first)
			s.wait(time.Second)
		}, 300*time.Millisecond + passEvery},
		{"the entry freezes", func(s setting) {
			for _, p := range s.homes {
				p.entries = p.entries[1:]
				delete(p.links, s.first)
			}
			s.wait(time.Second)
		}, 300*time.Millisecond + passEvery},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newTwoHomes(t)
			id := h.jobOf(0)
			p := h.homes[0]
			reply := p.submit(h.first, id)
			p.pass()
			p.ordered()
			h.wait(passEvery)
			lost := p.now
			stopped := time.Duration(-1)
			p.onStop = func() { stopped = p.now - lost }
			tc.lose(setting{h, func() { h.first.receive(p.now, abandonRequest{id, reply}) }})
			p.wantStopped(stopped, tc.limit)
		})
	}
}

// submit has a client submit a job to an entry, and passes on what follows.
func (h *twoHomes) submit(e *Entry, id string) chan dispatch.Outcome {
	reply := make(chan dispatch.Outcome, 1)
	e.receive(h.homes[0].now, submit{job: job(id), route: testRoute, deadline: h.homes[0].now + time.Minute, reply: reply})
	for range len(h.homes) {
		for _, p := range h.homes {
			p.pass()
		}
	}
	return reply
}

// The entry does not learn that its client has left: what would tell it is lost on the way.
func TestAJobWhoseEntryHasNotNoticedThatItsClientLeftIsNotStartedByAnotherShard(t *testing.T) {
	for _, tc := range []struct {
		name          string
		first, before func(h *twoHomes) // before the job is submitted first, and before it is sent again
		at            int               // home that takes it
	}{
		{"jobs wait at its shard when it is sent again", func(*twoHomes) {}, func(h *twoHomes) { h.fill(h.homes[0]) }, 0},
		{"jobs wait at its shard when it is first sent", func(h *twoHomes) { h.fill(h.homes[0]) }, func(h *twoHomes) { h.empty(h.homes[0]) }, 1},
		{"its shard has refused it", func(h *twoHomes) {
			h.setAvailable(h.homes[0], false)
			h.wait(time.Second) // a new scheduler admits jobs without endpoints
		}, func(h *twoHomes) { h.setAvailable(h.homes[0], true) }, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newTwoHomes(t)
			id := h.jobOf(0)
			tc.first(h)
			h.wait(2 * passEvery)
			for _, p := range h.homes {
				p.toAgent.messages = nil
			}
			h.submit(h.first, id)
			h.wait(2 * passEvery)
			run := h.homes[tc.at].ordered()
			tc.before(h)
			h.wait(resend)
			reply := h.submit(h.next, id)
			h.wait(2 * passEvery)
			for i, p := range h.homes {
				for _, o := range p.toAgent.orders() {
					if o.Run.Task == run.Run.Task {
						t.Errorf("home%d orders %v while %v goes on for home%d", i, o.Run, run.Run, tc.at)
					}
				}
			}
			if stops := sentOf[*wire.RunStop](h.homes[tc.at].toAgent); len(stops) > 0 {
				t.Errorf("the run is stopped: %+v", stops)
			}
			h.homes[tc.at].end(run, dispatch.EndDone)
			h.homes[tc.at].wantAnswer("the client", reply, result.OK)
		})
	}
}

// A client that all shards have refused may come again while they still name each other.
func TestAJobThatAllShardsHaveRefusedIsServedWhenItComesAgain(t *testing.T) {
	h := newTwoHomes(t)
	id := h.jobOf(0)
	for _, p := range h.homes {
		h.setAvailable(p, false)
	}
	h.wait(time.Second) // a new scheduler admits jobs without endpoints
	h.homes[0].wantAnswer("the client", h.submit(h.first, id), result.Overloaded)
	for _, p := range h.homes {
		h.setAvailable(p, true)
	}
	h.wait(2 * passEvery)
	for _, p := range h.homes {
		p.toAgent.messages = nil
	}
	h.submit(h.first, id)
	h.wait(2 * passEvery)
	if n := len(h.homes[0].toAgent.orders()) + len(h.homes[1].toAgent.orders()); n != 1 {
		t.Errorf("%d orders, want one", n)
	}
}

// empty has no jobs wait at a home that fill has filled.
func (h *twoHomes) empty(p *passing) {
	for i := range fillers {
		p.home.receive(p.now, deleteJob{job: fmt.Sprintf("filler%d", i), known: make(chan deleteResult, 1)})
	}
	for order := range uint64(2 * fillers) {
		p.home.receive(p.now, control.Received{Link: p.agent, Message: &wire.RunEnd{Ends: []wire.EndedRun{{Order: order, Reason: dispatch.EndStopped}}}})
	}
	p.toAgent.messages = nil
}

func (h *twoHomes) setAvailable(p *passing, available bool) {
	for id, v := range p.home.state.endpoints {
		v.status.Endpoint, v.status.Available = id, available
		p.home.receive(p.now, control.Received{Link: p.agent, Message: &wire.EndpointReport{Status: v.status}})
	}
}
