package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/drain/draintest"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/wire"
)

// newRunningEntry returns an entry whose ticks and goroutines may send messages, which go
// nowhere.
func newRunningEntry(t *testing.T) *Entry {
	t.Helper()
	e := newEntry(t)
	e.ctx = t.Context()
	e.actor.Start(func(time.Duration, any) {})
	t.Cleanup(e.actor.Shutdown)
	return e
}

// relayed is an entry with linked agents, one linked entry, and a state of the operator's.
type relayed struct {
	*Entry
	now    time.Duration
	agents map[string]*mesh.Link
	sent   map[string]*sentTo
	peer   *mesh.Link
	// peerLost is what the other entry says of its store, unless it is silent.
	peerLost, peerSilent bool
	read                 chan any // what goroutines send the control actor
	cancels              chan any // cancelled jobs among it
}

func newRelayed(t *testing.T, agents ...string) *relayed {
	t.Helper()
	r := &relayed{Entry: newEntry(t), now: mesh.Now(), agents: map[string]*mesh.Link{}, sent: map[string]*sentTo{}, read: make(chan any, 100), cancels: make(chan any, 100)}
	r.node.ConfigApply = 2 * time.Second
	r.ctx = t.Context()
	r.actor.Start(func(_ time.Duration, m any) {
		if _, ok := m.(operatorRead); ok {
			r.read <- m
		}
		if _, ok := m.(cancelsRead); ok {
			r.cancels <- m
		}
	})
	t.Cleanup(r.actor.Shutdown)
	r.receive(r.now, operatorRead{state: dispatch.OperatorState{StoreVersion: 1, Config: dispatch.Config{Version: 1}}, hasConfig: true})
	for _, name := range agents {
		r.agents[name], r.sent[name] = linkAgentTo(r.Entry, r.now, name)
	}
	r.peer, _ = recordedLink(other.Entry, wire.RoleEntry)
	r.receive(r.now, control.LinkUp{Link: r.peer})
	return r
}

// run lets time pass, and returns the agents that are asked, in order. answer answers
// each request; nil: nobody does.
func (r *relayed) run(d time.Duration, answer func(m *wire.OperatorRead) *wire.OperatorRows) (asked []string) {
	for end := r.now + d; r.now < end; r.now += tickEvery {
		if !r.peerSilent {
			r.receive(r.now, control.Received{Link: r.peer, Message: &wire.NodeHeartbeat{Clock: r.now, Echo: r.now, StoreVersion: 1, StoreLost: r.peerLost}})
		}
		for _, l := range r.agents {
			r.receive(r.now, control.Received{Link: l, Message: &wire.NodeHeartbeat{Clock: r.now, Echo: r.now, StoreVersion: 1}})
		}
		r.receive(r.now, control.Tick{})
		for name, sent := range r.sent {
			requests := sentOf[*wire.OperatorRead](sent)
			sent.messages = nil
			for _, m := range requests {
				asked = append(asked, name)
				if answer != nil {
					r.receive(r.now, control.Received{Link: r.agents[name], Message: answer(m)})
				}
			}
		}
	}
	return asked
}

func failedRead(m *wire.OperatorRead) *wire.OperatorRows {
	return &wire.OperatorRows{After: m.After, Failed: true}
}

// An agent's read is a call of the store more, which is priced.
func TestNoAgentReadsWhileTheStoreOrAnotherEntryDelivers(t *testing.T) {
	r := newRelayed(t, "a", "b", "c")
	if asked := r.run(10*time.Second, failedRead); len(asked) > 0 {
		t.Errorf("%v asked while the store answers", asked)
	}
	r.receive(r.now, storeServes{false})
	if asked := r.run(10*time.Second, failedRead); len(asked) > 0 {
		t.Errorf("%v asked while another entry reads the store", asked)
	}
	r.peerLost = true
	if asked := r.run(time.Second, failedRead); len(asked) == 0 {
		t.Error("no agent asked while the store serves no entry")
	}
	r.peerLost = false
	r.run(tickEvery, nil)
	if asked := r.run(5*time.Second, failedRead); len(asked) > 0 {
		t.Errorf("%v asked though another entry reads the store again", asked)
	}
	r.peerSilent = true
	if asked := r.run(storeReportMaxAge+time.Second, failedRead); len(asked) == 0 {
		t.Error("no agent asked after the entry that reads the store fell silent")
	}
	r.receive(r.now, storeServes{true})
	if asked := r.run(5*time.Second, failedRead); len(asked) > 0 {
		t.Errorf("%v asked once the store answered again", asked)
	}
}

func TestAnEntrySaysThatTheStoreDoesNotServeIt(t *testing.T) {
	e := newRunningEntry(t)
	now := mesh.Now()
	l, sent := recordedLink(other.Entry, wire.RoleEntry)
	e.receive(now, control.LinkUp{Link: l})
	a, sentToAgent := linkAgentTo(e, now, "a")
	for i, ok := range []bool{false, true} {
		sent.messages, sentToAgent.messages = nil, nil
		now += time.Second
		e.receive(now, control.Received{Link: l, Message: &wire.NodeHeartbeat{Clock: now, Echo: now}})
		e.receive(now, storeServes{ok})
		now += 2 * busyHeartbeatEvery
		e.receive(now, control.Received{Link: a, Message: &wire.NodeHeartbeat{Clock: now, Echo: now}})
		e.receive(now, control.Tick{})
		beats := sentOf[*wire.NodeHeartbeat](sent)
		if len(beats) == 0 || beats[len(beats)-1].StoreLost == ok {
			t.Errorf("%d: heartbeats %+v", i, beats)
		}
		for _, b := range sentOf[*wire.NodeHeartbeat](sentToAgent) {
			if b.StoreLost {
				t.Error("an agent is told")
			}
		}
	}
}

func TestAgentsReadOneAfterTheOther(t *testing.T) {
	r := newRelayed(t, "a", "b", "c")
	r.peerLost = true
	r.receive(r.now, storeServes{false})
	if asked := r.run(askAgentsAfter, nil); len(asked) > 0 {
		t.Errorf("%v asked within %v", asked, askAgentsAfter)
	}
	first := r.run(agentReadSlack, nil)
	if len(first) != 1 {
		t.Fatalf("%v asked at once", first)
	}
	asked := slices.Concat(first, r.run(5*agentReadSlack, nil)) // nobody answers
	if len(asked) < 3 || asked[0] == asked[1] || asked[1] == asked[2] || asked[0] == asked[2] {
		t.Errorf("asked %v, want another one each time", asked)
	}
	r.receive(r.now, storeServes{true})
	r.receive(r.now, storeServes{false})
	r.run(askAgentsAfter, nil)
	if asked := r.run(10*time.Second, failedRead); len(asked) < 5 || len(asked) > 8 {
		t.Errorf("%d requests in 10 s while no agent can read, want one each %v in the end", len(asked), storePauseMax)
	}
}

// A link ends at a message of an unknown kind.
func TestOlderAndDrainingAgentsAreNotAskedToRead(t *testing.T) {
	r := newRelayed(t, "a", "b", "c")
	r.agents["a"].Hello.NewestKind = wire.KindOperatorRequest
	delete(r.agents, "b") // sends no further heartbeat
	r.receive(r.now, control.Received{Link: r.state.agents["b"].Link, Message: &wire.NodeHeartbeat{Clock: r.now, Draining: true}})
	r.peerLost = true
	r.receive(r.now, storeServes{false})
	if asked := r.run(4*time.Second, failedRead); len(asked) == 0 || slices.Contains(asked, "a") || slices.Contains(asked, "b") {
		t.Errorf("asked %v, want c alone", asked)
	}
}

func TestAnEntryWithoutStateHasAnAgentReadAtOnce(t *testing.T) {
	e := newRunningEntry(t)
	now := mesh.Now()
	_, sent := linkAgentTo(e, now, "a")
	e.receive(now, storeServes{false})
	e.receive(now, control.Tick{})
	if requests := sentOf[*wire.OperatorRead](sent); len(requests) != 1 || requests[0].After != 0 {
		t.Errorf("requests %+v, want one for all rows", requests)
	}
}

func TestWhatAgentsReadIsInForceAndNeverTakesTheStateBack(t *testing.T) {
	r := newRelayed(t, "a")
	config := func(version uint64, text string) wire.StoreRow {
		return wire.StoreRow{Key: "config", Value: []byte(text), Version: version}
	}
	zone := func(version uint64, removed bool) wire.StoreRow {
		return wire.StoreRow{Key: "evacuate/z1", Version: version, Removed: removed}
	}
	for i, tc := range []struct {
		rows    wire.OperatorRows
		applied bool
		version uint64
		config  int64
		zones   []string
	}{
		{wire.OperatorRows{Whole: true, Version: 20, Rows: []wire.StoreRow{config(10, `{"Version":2}`)}}, true, 10, 2, nil},
		{wire.OperatorRows{After: 20, Version: 35, Rows: []wire.StoreRow{zone(30, false)}}, true, 30, 2, []string{"z1"}},
		{wire.OperatorRows{After: 20, Version: 35, Rows: []wire.StoreRow{zone(30, false)}}, false, 30, 2, []string{"z1"}}, // again
		{wire.OperatorRows{After: 35, Version: 40, Rows: []wire.StoreRow{zone(40, true)}}, true, 40, 2, nil},
		{wire.OperatorRows{After: 20, Version: 35, Rows: []wire.StoreRow{zone(30, false)}}, false, 40, 2, nil}, // late
		{wire.OperatorRows{Whole: true, Version: 35, Rows: []wire.StoreRow{config(10, `{"Version":2}`), zone(30, false)}}, false, 40, 2, nil},
		{wire.OperatorRows{After: 45, Version: 50, Rows: []wire.StoreRow{config(50, `{"Version":5}`)}}, false, 40, 2, nil},     // may lack changes
		{wire.OperatorRows{After: 35, Version: 55, Rows: []wire.StoreRow{config(52, `no text`)}}, true, 52, 2, nil},            // cannot be read: the one in force stays so
		{wire.OperatorRows{After: 55, Version: 60, Rows: []wire.StoreRow{config(60, `{"Version":6}`)}}, true, 60, 6, nil},      //
		{wire.OperatorRows{Failed: true, Whole: true, Version: 99, Rows: []wire.StoreRow{zone(99, false)}}, false, 60, 6, nil}, //
	} {
		rows := tc.rows
		if !rows.Failed {
			r.applyAgentRead(&rows)
		} else {
			r.receive(r.now, control.Received{Link: r.agents["a"], Message: &rows})
		}
		if tc.applied {
			r.receive(r.now, <-r.read)
		}
		want := dispatch.OperatorState{StoreVersion: tc.version, Config: dispatch.Config{Version: tc.config, MaxBodyBytes: 1 << 20}, Evacuated: tc.zones}
		if diff := cmp.Diff(want, *r.operator.Load()); diff != "" {
			t.Errorf("%d: %s", i, diff)
		}
	}
	if len(r.read) > 0 {
		t.Errorf("%d states more", len(r.read))
	}
}

// The store turns all entries away, also one that has just started.
func TestAgentsReadTheCancelledJobsForAnEntryThatDoesNotKnowThem(t *testing.T) {
	r := newRelayed(t, "a", "b")
	r.peerLost = true
	r.cancelsKnown.Store(false)
	r.receive(r.now, storeServes{false})
	row := platform.CancelledRow(platform.CancelledJob{Job: "0011223344556677", Entry: "gone", At: time.Minute})
	asked := 0
	r.run(2*time.Second, func(m *wire.OperatorRead) *wire.OperatorRows {
		if !m.Cancelled || m.Wait > 0 {
			t.Errorf("asked for %+v", m)
		}
		if asked++; asked < 3 {
			return &wire.OperatorRows{Cancelled: true, Failed: true}
		}
		return &wire.OperatorRows{Cancelled: true, Whole: true, Now: time.Minute, Rows: []wire.StoreRow{{Key: row.Key, Value: row.Value}, {Key: "odd"}}}
	})
	select {
	case m := <-r.cancels:
		r.receive(r.now, m)
	case <-time.After(draintest.Timeout):
		t.Fatal("nothing is read")
	}
	if !r.cancelsKnown.Load() || !r.state.wasDeleted(r.now, "0011223344556677") {
		t.Errorf("knows the cancelled jobs: %v, the one that was read: %v", r.cancelsKnown.Load(), r.state.wasDeleted(r.now, "0011223344556677"))
	}
	r.run(2*time.Second, func(m *wire.OperatorRead) *wire.OperatorRows {
		if m.Cancelled {
			t.Error("asked for the cancelled jobs once they were known")
		}
		return failedRead(m)
	})
}
