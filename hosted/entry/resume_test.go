package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

const (
	passEvery = 50 * time.Millisecond // between heartbeats
	resend    = 1300 * time.Millisecond
)

// passing is a home, entries that are linked to it and an agent with an endpoint. The test
// passes on what they send.
type passing struct {
	t       *testing.T
	now     time.Duration
	home    *Entry
	entries []*Entry
	links   map[*Entry]*bothEnds
	agent   *mesh.Link
	toAgent *sentTo
	onStop  func()   // if set, called once the agent is sent a stop
	silent  []*Entry // to which nothing is delivered
}

// bothEnds is a link between an entry and the home.
type bothEnds struct {
	atEntry, atHome *mesh.Link
	toEntry, toHome *sentTo
}

func newPassing(t *testing.T, entries int) *passing {
	t.Helper()
	shard := dispatch.Shard{Service: "svc"}
	p := newPassingOf(t, shard, 1, "home")
	for i := range entries {
		e := newTestState(t).e
		e.self.Name = string(rune('1' + i))
		e.state.home[shard] = "home"
		p.entries = append(p.entries, e)
		p.link(e)
	}
	return p
}

// newPassingOf returns the home of a shard without entries.
func newPassingOf(t *testing.T, shard dispatch.Shard, shards int, name string) *passing {
	t.Helper()
	p := &passing{t: t, now: mesh.Now(), home: newTestState(t).e, links: map[*Entry]*bothEnds{}}
	p.home.self.Name = name
	p.home.state.home[shard] = name
	p.home.state.shardCounts = shardCounts{shard.Service: shards}
	agent := 0
	for dispatch.ShardIndex(fmt.Sprintf("endpoint of %s%d", name, agent), shards) != shard.Index {
		agent++
	}
	p.agent, p.toAgent = linkAgentTo(p.home, p.now, fmt.Sprintf("%s%d", name, agent))
	return p
}

// link links an entry to the home.
func (p *passing) link(e *Entry) {
	p.t.Helper()
	l := &bothEnds{toEntry: &sentTo{}, toHome: &sentTo{}}
	l.atEntry = &mesh.Link{Conn: l.toHome, Hello: p.home.self, Dialed: "x", Began: p.now}
	l.atHome = &mesh.Link{Conn: l.toEntry, Hello: e.self, Began: p.now}
	p.links[e] = l
	e.receive(p.now, control.LinkUp{Link: l.atEntry})
	p.home.receive(p.now, control.LinkUp{Link: l.atHome})
	p.pass()
}

// cut ends an entry's link. What has not been passed on is lost.
func (p *passing) cut(e *Entry) {
	l := p.links[e]
	delete(p.links, e)
	e.receive(p.now, control.LinkDown{Link: l.atEntry})
	p.home.receive(p.now, control.LinkDown{Link: l.atHome})
}

// pass delivers what has been sent, and what is sent because of it.
func (p *passing) pass() {
	defer p.checkStops()
	for delivered := true; delivered; {
		delivered = false
		for e, l := range p.links {
			delivered = p.deliver(p.home, l.atHome, l.toHome) || delivered
			delivered = p.deliver(e, l.atEntry, l.toEntry) || delivered
		}
	}
}

func (p *passing) checkStops() {
	if p.onStop != nil && len(sentOf[*wire.RunStop](p.toAgent)) > 0 {
		p.onStop()
		p.onStop = nil
	}
}

func (p *passing) deliver(to *Entry, l *mesh.Link, sent *sentTo) bool {
	messages := sent.messages
	sent.messages = nil
	if slices.Contains(p.silent, to) {
		return false
	}
	for _, m := range messages {
		to.receive(p.now, control.Received{Link: l, Message: m})
	}
	return len(messages) > 0
}

// wait advances the time, with heartbeats.
func (p *passing) wait(d time.Duration) {
	for until := p.now + d; p.now < until; {
		p.now += passEvery
		for _, e := range append([]*Entry{p.home}, p.entries...) {
			e.state.checkPeers(p.now)
		}
		p.home.receive(p.now, control.Received{Link: p.agent, Message: &wire.NodeHeartbeat{Clock: p.now, Echo: p.now - passEvery}})
		p.pass()
	}
}

// submit has a client send a job to an entry.
func (p *passing) submit(e *Entry, id string) chan dispatch.Outcome {
	reply := make(chan dispatch.Outcome, 1)
	e.receive(p.now, submit{job: job(id), route: testRoute, deadline: p.now + time.Minute, reply: reply})
	return reply
}

// ordered returns the only run that was ordered since the last call.
func (p *passing) ordered() wire.OrderedRun {
	p.t.Helper()
	orders := p.toAgent.orders()
	if len(orders) != 1 {
		p.t.Fatalf("%d orders, want one", len(orders))
	}
	p.toAgent.messages = nil
	return orders[0]
}

func (p *passing) end(r wire.OrderedRun, reason dispatch.EndReason) {
	p.home.receive(p.now, control.Received{Link: p.agent, Message: &wire.RunEnd{Ends: []wire.EndedRun{{Run: r.Run, Order: r.Order, Reason: reason}}}})
	p.pass()
}

// wantAnswer checks the answer that a client has received.
func (p *passing) wantAnswer(who string, reply <-chan dispatch.Outcome, want result.Code) {
	p.t.Helper()
	if len(reply) == 0 {
		p.t.Errorf("%s is not answered, want %v", who, want)
	} else if out := <-reply; out.Code != want {
		p.t.Errorf("%s is answered %v, want %v", who, out.Code, want)
	}
}

// An entry that has not noticed that its client left resumes its request on a new link,
// and cancels the job once it notices. The client waits at another entry by then.
func TestAResumedRequestDoesNotTakeAJobBackFromALaterEntry(t *testing.T) {
	for _, tc := range []struct {
		name           string
		cutBeforeJoins bool // the first entry's link is down when the job is sent again
	}{{"linked when the job is sent again", false}, {"not linked when the job is sent again", true}} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPassing(t, 2)
			first, second := p.entries[0], p.entries[1]
			early := p.submit(first, "j")
			p.pass()
			run := p.ordered()
			p.wait(resend)
			if tc.cutBeforeJoins {
				p.cut(first)
			}
			late := p.submit(second, "j")
			p.pass()
			if !tc.cutBeforeJoins {
				p.cut(first)
			}
			p.link(first)
			first.receive(p.now, abandonRequest{"j", early})
			p.pass()
			if stops := sentOf[*wire.RunStop](p.toAgent); len(stops) > 0 {
				t.Error("the run is stopped by the entry that the client has left")
			}
			p.end(run, dispatch.EndDone)
			p.wantAnswer("the client", late, result.OK)
			p.wantAnswer("the connection that the client has left", early, result.OutcomeUnknown)
		})
	}
}

// A request that no link has delivered yet is newer than those that the home knows.
func TestARequestThatWasLostWithItsLinkTakesTheJobOver(t *testing.T) {
	p := newPassing(t, 2)
	first, second := p.entries[0], p.entries[1]
	early := p.submit(first, "j")
	p.pass()
	run := p.ordered()
	p.wait(resend)
	late := p.submit(second, "j")
	p.cut(second)
	p.link(second)
	p.wantAnswer("the connection that the client has left", early, result.OutcomeUnknown)
	first.receive(p.now, abandonRequest{"j", early})
	p.pass()
	p.end(run, dispatch.EndDone)
	p.wantAnswer("the client", late, result.OK)
}

// A home answers the request that an entry has replaced on its client's behalf meanwhile.
func TestAnAnswerToAnEarlierRequestIsNoAnswerToTheNext(t *testing.T) {
	p := newPassing(t, 2)
	first, second := p.entries[0], p.entries[1]
	p.submit(first, "j")
	p.pass()
	run := p.ordered()
	elsewhere := p.submit(second, "j")
	p.deliver(p.home, p.links[second].atHome, p.links[second].toHome)
	again := p.submit(first, "j")
	p.pass()
	p.wantAnswer("the client at the other entry", elsewhere, result.OutcomeUnknown)
	p.end(run, dispatch.EndDone)
	p.wantAnswer("the client", again, result.OK)
}

// Entries of older builds number no requests.
func TestASubmissionWithoutANumberTakesAJobOverAndIsNotAnswered(t *testing.T) {
	e := newEntry(t)
	now := mesh.Now()
	_, orders := linkAgentTo(e, now, "a")
	sent := map[string]*sentTo{}
	for _, name := range []string{"1", "2"} {
		var l *mesh.Link
		l, sent[name] = recordedLink(name, wire.RoleEntry)
		e.receive(now, control.LinkUp{Link: l})
		e.receive(now, control.Received{Link: l, Message: &wire.NodeHeartbeat{Clock: 1, Echo: now, StoreVersion: 1}})
		e.receive(now, control.Received{Link: l, Message: &wire.JobSubmit{Job: job("j"), Route: testRoute, Wait: time.Minute}})
	}
	run := orders.orders()[0]
	e.receive(now, control.Received{Link: e.state.agents["a"].Link, Message: &wire.RunEnd{Ends: []wire.EndedRun{{Run: run.Run, Order: run.Order, Reason: dispatch.EndDone}}}})
	if a, b := len(sentOf[*wire.JobEnd](sent["1"])), len(sentOf[*wire.JobEnd](sent["2"])); a != 0 || b != 1 {
		t.Errorf("%d and %d answers, want one to the later entry", a, b)
	}
}

// A home keeps outcomes for entries whose links were lost. A client that was answered 502
// sends its job again, also at the same entry.
func TestAJobThatIsSentAgainAtTheSameEntryIsNotAnsweredWithItsLastOutcome(t *testing.T) {
	p := newPassing(t, 1)
	e := p.entries[0]
	early := p.submit(e, "j")
	p.pass()
	p.end(p.ordered(), dispatch.InvalidOrder) // after which nobody knows what ran
	p.wantAnswer("the client", early, result.OutcomeUnknown)
	p.wait(resend)
	late := p.submit(e, "j")
	p.pass()
	p.end(p.ordered(), dispatch.EndDone)
	p.wantAnswer("the client that has sent the job again", late, result.OK)
}

// The client may have lost its connection just before the answer.
func TestAJobThatIsDoneDoesNotRunAgainForALaterRequestOfTheSameEntry(t *testing.T) {
	p := newPassing(t, 1)
	e := p.entries[0]
	early := p.submit(e, "j")
	p.pass()
	p.end(p.ordered(), dispatch.EndDone)
	p.wantAnswer("the connection that the client has lost", early, result.OK)
	p.wait(resend)
	late := p.submit(e, "j")
	p.pass()
	p.wantAnswer("the client", late, result.OK)
	if orders := p.toAgent.orders(); len(orders) > 0 {
		t.Errorf("the job runs again: %+v", orders)
	}
}

func TestARequestWhoseOutcomeWasLostWithTheLinkGetsItOnTheNext(t *testing.T) {
	p := newPassing(t, 1)
	e := p.entries[0]
	reply := p.submit(e, "j")
	p.pass()
	p.home.receive(p.now, control.Received{Link: p.agent, Message: &wire.RunEnd{Ends: []wire.EndedRun{{Order: p.ordered().Order, Reason: dispatch.EndDone}}}})
	p.cut(e)
	p.link(e)
	p.wantAnswer("the client", reply, result.OK)
	if orders := p.toAgent.orders(); len(orders) > 0 {
		t.Errorf("the job runs again: %+v", orders)
	}
}
