package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/wire"
)

func configRow(version uint64, text string) platform.Row {
	return platform.Row{Table: platform.OperatorTable, Key: "config", Value: []byte(text), Version: version}
}

func zoneRow(version uint64, zone string, removed bool) platform.Row {
	return platform.Row{Table: platform.OperatorTable, Key: "evacuate/" + zone, Version: version, Removed: removed}
}

func mustState(t *testing.T, rows *operatorRows) operatorRead {
	t.Helper()
	read, err := rows.state()
	if err != nil {
		t.Fatal(err)
	}
	return read
}

// Other rows of the store change all the time. If the state's version changed with
// them, each entry would have another version of the same state.
func TestEntriesNameTheSameStateByTheSameVersion(t *testing.T) {
	config := configRow(7, `{"Version":3}`)
	first := newOperatorRows(platform.Rows{Rows: []platform.Row{config}, Version: 20})
	later := newOperatorRows(platform.Rows{Rows: []platform.Row{config}, Version: 31})
	if a, b := mustState(t, first), mustState(t, later); a.state.StoreVersion != 7 || b.state.StoreVersion != 7 {
		t.Errorf("versions %d and %d, want 7", a.state.StoreVersion, b.state.StoreVersion)
	}
	first.apply(platform.Rows{Rows: []platform.Row{zoneRow(40, "z1", false)}, Version: 45})
	read := newOperatorRows(platform.Rows{Rows: []platform.Row{config, zoneRow(40, "z1", false)}, Version: 50})
	if diff := cmp.Diff(mustState(t, read).state, mustState(t, first).state); diff != "" {
		t.Errorf("followed (+) and read at once (-): %s", diff)
	}
	first.apply(platform.Rows{Rows: []platform.Row{zoneRow(60, "z1", true)}, Version: 60})
	if got := mustState(t, first); len(got.state.Evacuated) > 0 || got.state.StoreVersion != 60 {
		t.Errorf("after the zone's return: %+v", got.state)
	}
}

func TestAReadThatIsOlderThanTheStateInForceChangesNothing(t *testing.T) {
	s := newTestState(t)
	s.adopt(0, dispatch.OperatorState{StoreVersion: 40, Config: dispatch.Config{Version: 4}, Evacuated: []string{"z1"}}, "peer")
	for _, tc := range []struct {
		readAt, changedAt uint64
		config            int64
		zones             []string
		want              dispatch.OperatorState
	}{
		{39, 30, 3, nil, dispatch.OperatorState{StoreVersion: 40, Config: dispatch.Config{Version: 4}, Evacuated: []string{"z1"}}},
		{50, 40, 4, []string{"z1"}, dispatch.OperatorState{StoreVersion: 40, Config: dispatch.Config{Version: 4}, Evacuated: []string{"z1"}}},
		{55, 30, 4, nil, dispatch.OperatorState{StoreVersion: 55, Config: dispatch.Config{Version: 4}}}, // the zone's row was removed
		{60, 58, 5, nil, dispatch.OperatorState{StoreVersion: 58, Config: dispatch.Config{Version: 5}}},
	} {
		s.operatorRead(0, operatorRead{
			state:     dispatch.OperatorState{StoreVersion: tc.changedAt, Config: dispatch.Config{Version: tc.config}, Evacuated: tc.zones},
			hasConfig: true, readAt: tc.readAt,
		})
		if diff := cmp.Diff(tc.want, *s.e.operator.Load()); diff != "" {
			t.Errorf("read at %d: %s", tc.readAt, diff)
		}
	}
}

// sentOf returns the messages of a type on a link.
func sentOf[M wire.Message](s *sentTo) (found []M) {
	for _, m := range s.messages {
		if m, ok := m.(M); ok {
			found = append(found, m)
		}
	}
	return found
}

// All entries read a change from the store at about the same time. If each sent it to
// each that has not reported it yet, a large configuration would hold up the heartbeats
// on small links until entries count as lost.
func TestAChangeIsNotSentToEntriesThatReadItFromTheStore(t *testing.T) {
	e := newEntry(t)
	now := mesh.Now()
	l, sent := recordedLink(other.Entry, wire.RoleEntry)
	e.receive(now, operatorRead{state: dispatch.OperatorState{StoreVersion: 1}, hasConfig: true})
	e.receive(now, control.LinkUp{Link: l})
	e.receive(now, control.Received{Link: l, Message: &wire.NodeHeartbeat{Clock: 1, StoreVersion: 1}})
	e.receive(now, operatorRead{state: dispatch.OperatorState{StoreVersion: 2}, hasConfig: true})
	e.receive(now, control.Received{Link: l, Message: &wire.NodeHeartbeat{Clock: 2, StoreVersion: 1}})
	if updates := sentOf[*wire.OperatorUpdate](sent); len(updates) > 0 {
		t.Errorf("%d updates sent", len(updates))
	}
	e.receive(now, control.Received{Link: l, Message: &wire.OperatorRequest{}})
	if updates := sentOf[*wire.OperatorUpdate](sent); len(updates) != 1 || updates[0].State.StoreVersion != 2 {
		t.Errorf("updates %+v after a request", updates)
	}
}

// Builds that do not ask for the state are sent it.
func TestAnEntryOfAnEarlierBuildIsSentAChange(t *testing.T) {
	e := newEntry(t)
	now := mesh.Now()
	l, sent := recordedLink(other.Entry, wire.RoleEntry)
	l.Hello.NewestKind = wire.KindJobsOpen
	e.receive(now, operatorRead{state: dispatch.OperatorState{StoreVersion: 2}, hasConfig: true})
	e.receive(now, control.LinkUp{Link: l})
	e.receive(now, control.Received{Link: l, Message: &wire.NodeHeartbeat{Clock: 1, StoreVersion: 1}})
	if updates := sentOf[*wire.OperatorUpdate](sent); len(updates) != 1 {
		t.Errorf("%d updates sent", len(updates))
	}
}

// A host may be cut off from the store alone.
func TestAnEntryThatTheStoreDoesNotServeAsksOneEntryAfterAnother(t *testing.T) {
	e := newEntry(t)
	e.ctx = t.Context()
	e.actor.Start(func(time.Duration, any) {})
	t.Cleanup(e.actor.Shutdown)
	now := mesh.Now()
	e.receive(now, operatorRead{state: dispatch.OperatorState{StoreVersion: 1}, hasConfig: true})
	links, sent := map[string]*mesh.Link{}, map[string]*sentTo{}
	for _, name := range []string{"a", "b", "c"} {
		links[name], sent[name] = recordedLink(name, wire.RoleEntry)
		e.receive(now, control.LinkUp{Link: links[name]})
	}
	var asked []string
	began := now
	for ; now < began+2*time.Second; now += tickEvery {
		for name, l := range links {
			e.receive(now, control.Received{Link: l, Message: &wire.NodeHeartbeat{Clock: now, Echo: now, StoreVersion: 2}})
			sent[name].messages = nil
		}
		e.receive(now, control.Tick{})
		for name := range links {
			if len(sentOf[*wire.OperatorRequest](sent[name])) > 0 {
				asked = append(asked, name)
				if now-began < catchUpAfter {
					t.Errorf("asked after %v", now-began)
				}
			}
		}
	}
	if len(asked) < 2 || len(asked) > 3 {
		t.Errorf("asked %v in 2 s, want one entry each %v from %v on", asked, catchUpRetry, catchUpAfter)
	}
	e.receive(now, control.Received{Link: links["a"], Message: &wire.OperatorUpdate{State: dispatch.OperatorState{StoreVersion: 2, Config: dispatch.Config{Version: 9}}}})
	if got := e.operator.Load(); got.StoreVersion != 2 || got.Config.Version != 9 {
		t.Errorf("in force: %+v", got)
	}
	asked = slices.Delete(asked, 0, len(asked))
	for end := now + time.Second; now < end; now += tickEvery {
		e.receive(now, control.Tick{})
		for name := range links {
			asked = append(asked, make([]string, len(sentOf[*wire.OperatorRequest](sent[name])))...)
			sent[name].messages = nil
		}
	}
	if len(asked) > 0 {
		t.Errorf("%d requests after the state was caught up with", len(asked))
	}
}
