package entry

import (
	"testing"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

const testFreeze = 3500 * time.Millisecond

// wakeFrom has an entry pause, and returns when it wakes.
func wakeFrom(e *Entry, now, pause time.Duration) time.Duration {
	e.receive(now, control.Tick{})
	e.receive(now+pause, control.Tick{})
	return now + pause
}

// Guards against submitting a request that waited while the process paused: in a socket, in
// the goroutine that serves it, or in the actor's queue.
func TestARequestThatMayHaveComeBeforeAnEntryWokeIsNotSubmitted(t *testing.T) {
	for _, before := range []bool{true, false} {
		e := newTestState(t).e
		now := wakeFrom(e, 100*time.Second, testFreeze) + time.Second
		_, sent := linkAgentTo(e, now, "a")
		reply := make(chan dispatch.Outcome, 1)
		e.receive(now, submit{job: job("j"), route: testRoute, deadline: now + time.Minute, reply: reply, before: func() bool { return before }})
		if got := len(sent.orders()) == 0 && e.state.openJobs() == 0; got != before {
			t.Errorf("came before: %v; orders %+v, %d open jobs", before, sent.orders(), e.state.openJobs())
		}
		if before && (len(reply) == 0 || (<-reply).Code != result.OutcomeUnknown) {
			t.Error("not answered with outcome_unknown")
		}
	}
}

// Guards against going on with requests after two pauses in short order, each of which is
// short enough: the end of a connection may be sent again in neither of the times between.
func TestPausesInShortOrderEndRequestsAsOneLongPause(t *testing.T) {
	const pause = 400 * time.Millisecond
	for awake, want := range map[time.Duration]bool{2 * tickEvery: true, pause + closeResend: true, pause + closeResend + tickEvery: false} {
		e := newTestState(t).e
		p := &passing{t: t, now: 100 * time.Second, home: e}
		p.agent, p.toAgent = linkAgentTo(e, p.now, "a")
		reply := p.submit(e, "j")
		now := wakeFrom(e, p.now, pause)
		for at := now; at <= now+awake; at += tickEvery {
			e.receive(at, control.Tick{})
		}
		e.receive(now+awake+pause, control.Tick{})
		if answered := len(reply) > 0; answered != want {
			t.Errorf("%v between the pauses: answered %v, want %v", awake, answered, want)
		}
	}
}

// Guards against ending, at a later short pause, requests that came after a long one.
func TestAShortPauseAfterALongOneEndsNoRequests(t *testing.T) {
	e := newTestState(t).e
	p := &passing{t: t, now: wakeFrom(e, 100*time.Second, testFreeze) + 2*tickEvery, home: e}
	p.agent, p.toAgent = linkAgentTo(e, p.now, "a")
	reply := p.submit(e, "j")
	wakeFrom(e, p.now, 400*time.Millisecond)
	if len(reply) > 0 {
		t.Errorf("answered %+v", <-reply)
	}
}

// Guards against taking a link whose hello and first messages waited while the process paused.
func TestALinkThatBeganBeforeAnEntryWokeIsClosed(t *testing.T) {
	for _, role := range []string{wire.RoleEntry, wire.RoleAgent} {
		for _, early := range []bool{true, false} {
			e := newTestState(t).e
			e.cancelsKnown.Store(false)
			now := wakeFrom(e, 100*time.Second, testFreeze)
			conn := &closable{}
			l := &mesh.Link{Conn: conn, Hello: wire.NodeHello{Name: "x", Incarnation: 1, Role: role, NewestKind: wire.NewestKind}, Began: now}
			if early {
				l.Began -= testFreeze
			}
			e.receive(now, control.LinkUp{Link: l})
			e.receive(now, control.Received{Link: l, Message: &wire.JobsOpen{CancelsKnown: true}})
			linked := len(e.state.peers)+len(e.state.agents) > 0
			if linked == early || conn.closed != early {
				t.Errorf("%s, began before the wake %v: linked %v, closed %v", role, early, linked, conn.closed)
			}
			if want := !early && role == wire.RoleEntry; e.cancelsKnown.Load() != want {
				t.Errorf("%s, began before the wake %v: takes jobs %v", role, early, !want)
			}
		}
	}
}

// Guards against taking a read of the cancelled jobs that waited while the process paused for
// one that was made since.
func TestAReadOfTheCancelledJobsFromBeforeALongPauseDoesNotCount(t *testing.T) {
	e, _ := withStore(t)
	now := mesh.Now()
	doubts := e.cancelDoubts.Load()
	now = wakeFrom(e, now, removeAfter/2)
	e.receive(now, cancelsRead{jobs: []keptCancel{{job: "j", keep: time.Minute}}, doubts: doubts})
	if e.cancelsKnown.Load() || !e.state.wasDeleted(now, "j") {
		t.Errorf("a read from before: takes jobs %v, knows the id that was read %v", e.cancelsKnown.Load(), e.state.wasDeleted(now, "j"))
	}
	e.receive(now, cancelsRead{doubts: e.cancelDoubts.Load()})
	if !e.cancelsKnown.Load() {
		t.Error("a read from after: takes no jobs")
	}
}

// Guards against taking an agent's answer that waited while the process paused for one to a
// later request: the agent has dropped its link by then.
func TestAnAgentsReadFromBeforeALongPauseDoesNotCount(t *testing.T) {
	e, _ := withStore(t)
	now := mesh.Now()
	l, _ := linkAgentTo(e, now, "a")
	e.receive(now, storeServes{false})
	e.receive(now, control.Tick{})
	e.receive(now+removeAfter/2, control.Received{Link: l, Message: &wire.OperatorRows{Cancelled: true, Whole: true}})
	if len(e.state.agents) > 0 {
		t.Error("the agent is still linked, so its answer is applied")
	}
}

// Guards against two pauses, between which the entry had no time to be linked, hiding that it
// was away for long enough to be removed.
func TestPausesInShortOrderHaveTheCancelledJobsReadAnew(t *testing.T) {
	e, _ := withStore(t)
	now := wakeFrom(e, mesh.Now(), removeAfter/2-time.Second)
	wakeFrom(e, now, time.Second)
	if e.cancelsKnown.Load() {
		t.Error("takes jobs")
	}
}

// Guards against acknowledging a DELETE that was taken before a pause: an entry that has
// joined meanwhile may have read the table before its row was written.
func TestADeleteThatWasTakenBeforeAnEntryPausedIsNotAcknowledged(t *testing.T) {
	e, writes := withStore(t)
	now := mesh.Now()
	known := make(chan deleteResult, 1)
	e.receive(now, control.Tick{})
	e.receive(now, deleteJob{job: "j", known: known})
	if len(*writes) != 1 {
		t.Fatalf("%d writes", len(*writes))
	}
	e.receive(now+deleteTimeout-1, cancelsWritten{set: []string{"j"}})
	if len(known) == 0 {
		t.Fatal("not answered")
	}
	if got := <-known; got != deleteUnanswered {
		t.Errorf("answered %v, want %v", got, deleteUnanswered)
	}
}

// Guards against acknowledging a DELETE by a list of entries from before a pause.
func TestADeleteAfterAPauseWaitsUntilTheEntriesAreReadAnew(t *testing.T) {
	e, _ := withStore(t)
	began := mesh.Now()
	now := wakeFrom(e, began, time.Second)
	for _, tc := range []struct {
		what string
		read time.Duration // when the list of entries is read; 0: it is not
		want bool
	}{
		{"not read since", 0, false},
		{"read before the wake", now - 1, false},
		{"read after the wake", now + 1, true},
	} {
		if tc.read > 0 {
			e.receive(now+1, control.MembersRead{Began: tc.read})
		}
		known := make(chan deleteResult, 1)
		e.receive(now+1, deleteJob{job: "j", known: known})
		e.receive(now+1, cancelsWritten{set: []string{"j"}})
		if len(known) == 0 {
			t.Fatalf("%s: not answered", tc.what)
		}
		if got := <-known; (got == deleteNotOpen) != tc.want {
			t.Errorf("%s: answered %v", tc.what, got)
		}
	}
}

// Guards against removing the row of an entry that runs: a pause is no time in which the
// entry could have been linked.
func TestAPauseIsNoTimeWithoutALink(t *testing.T) {
	e, _ := withStore(t)
	now := mesh.Now()
	row := mesh.MemberRow{Member: wire.Member{Name: "x", Addr: "127.0.0.1:1"}}
	e.receive(now, control.Tick{})
	e.state.setMembers(now, []mesh.MemberRow{row})
	now = wakeFrom(e, now, removeAfter+time.Second)
	e.state.setMembers(now, []mesh.MemberRow{row})
	if since := e.state.unlinked["x"]; since != now {
		t.Errorf("without a link since %v before the wake, want since the wake", now-since)
	}
}

// Guards against leaving out, at a DELETE, an entry that has started since its address was
// dialed before a pause.
func TestADialThatWasRefusedBeforeAPauseDoesNotCount(t *testing.T) {
	for _, before := range []bool{true, false} {
		e, _ := withStore(t)
		began := mesh.Now()
		now := wakeFrom(e, began, time.Second/2)
		e.state.membersReadAt = now + 1
		e.state.members["x"] = mesh.MemberRow{Member: wire.Member{Name: "x", Addr: "127.0.0.1:1"}}
		dialed := now
		if before {
			dialed = began
		}
		e.receive(now+1, control.Refused{Addr: "127.0.0.1:1", Dialed: dialed})
		if missing := e.state.anyEntryMissing(now + 1); missing != before {
			t.Errorf("dialed before the wake %v: an entry is missing %v", before, missing)
		}
	}
}

// Guards against dropping the link of an agent that has been heard between two pauses.
func TestAnAgentThatWasLinkedBetweenTwoPausesStaysLinked(t *testing.T) {
	e := newTestState(t).e
	now := 100 * time.Second
	_, _ = linkAgentTo(e, now, "silent")
	now = wakeFrom(e, now, agentLinkTimeout+time.Millisecond)
	if len(e.state.agents) > 0 {
		t.Error("an agent that was silent for as long as both sides wait is still linked")
	}
	_, _ = linkAgentTo(e, now, "heard")
	wakeFrom(e, now, 400*time.Millisecond)
	if len(e.state.agents) != 1 {
		t.Error("the agent that was linked between the pauses has lost its link")
	}
}
