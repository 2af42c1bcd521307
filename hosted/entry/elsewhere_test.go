package entry

import (
	"fmt"
	"testing"
	"time"

	"bergamotwing.example/dispatch"
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

// fill has jobs wait at a home.
func (h *twoHomes) fill(home *passing) {
	for i := range 8 {
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

// The entry does not learn that its client has left: what would tell it is lost on the way.
func TestAJobWhoseEntryHasNotNoticedThatItsClientLeftIsNotStartedByAnotherShard(t *testing.T) {
	h := newTwoHomes(t)
	id := h.jobOf(0)
	p, other := h.homes[0], h.homes[1]
	p.submit(h.first, id)
	p.pass()
	run := p.ordered()
	h.fill(p)
	h.wait(resend)
	reply := make(chan dispatch.Outcome, 1)
	h.next.receive(p.now, submit{job: job(id), route: testRoute, deadline: p.now + time.Minute, reply: reply})
	h.wait(2 * passEvery)
	if stops := sentOf[*wire.RunStop](p.toAgent); len(stops) > 0 {
		t.Errorf("the run is stopped: %+v", stops)
	}
	for _, o := range other.toAgent.orders() {
		if o.Run.Task == run.Run.Task {
			t.Errorf("home1 orders %v while %v goes on for home0", o.Run, run.Run)
		}
	}
}
