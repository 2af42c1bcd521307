package agent

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/platform/fake"
	"bergamotwing.example/wire"
)

func TestAnAgentReadsTheChangesThatAnEntryLacks(t *testing.T) {
	server, addr := startStore(t)
	a := newTestAgent(t, testNode(t, addr))
	a.ctx = t.Context()
	server.PutBytes(platform.OperatorTable, "config", []byte("first"))
	server.PutBytes(platform.OperatorTable, "config", []byte("second"))
	server.Evacuate("z1")
	server.PutBytes("another", "row", nil)
	second, zone := wire.StoreRow{Key: "config", Value: []byte("second"), Version: 2}, wire.StoreRow{Key: "evacuate/z1", Value: []byte("{}"), Version: 3}
	removed := wire.StoreRow{Key: "evacuate/z1", Version: 5, Removed: true}
	check := func(what string, after uint64, want wire.OperatorRows) {
		t.Helper()
		want.After = after
		if diff := cmp.Diff(&want, a.readOperatorRows(wire.OperatorRead{After: after})); diff != "" {
			t.Errorf("%s: %s", what, diff)
		}
	}
	check("all", 0, wire.OperatorRows{Version: 4, Whole: true, Rows: []wire.StoreRow{second, zone}})
	check("newest of two", 1, wire.OperatorRows{Version: 4, Rows: []wire.StoreRow{second, zone}})
	check("none", 4, wire.OperatorRows{Version: 4})
	server.EndEvacuation("z1")
	check("removed", 2, wire.OperatorRows{Version: 5, Rows: []wire.StoreRow{removed}})
	server.DropHistory()
	check("history lost", 4, wire.OperatorRows{Version: 5, Whole: true, Rows: []wire.StoreRow{second}})
	server.PutText(platform.OperatorTable, "odd", `{"Table":"op","Key":7}`)
	check("row without a key", 5, wire.OperatorRows{Version: 6, Whole: true, Rows: []wire.StoreRow{second}})
	server.PutBytes(platform.OperatorTable, "evacuate/large", bytes.Repeat([]byte("x"), operatorBytesMax))
	check("too large", 6, wire.OperatorRows{Failed: true})
	server.SetFault(func(string) fake.StoreFault { return fake.StoreBusy })
	check("store refuses", 5, wire.OperatorRows{Failed: true})
	check("store refuses all rows", 0, wire.OperatorRows{Failed: true})
}

// sentRows passes on the answers that are sent on a link.
type sentRows chan *wire.OperatorRows

func (s sentRows) Send(m wire.Message) error {
	if m, ok := m.(*wire.OperatorRows); ok {
		s <- m
	}
	return nil
}

func (sentRows) Close() {}

// While the store is silent a call takes as long as the control actor may not stand still.
func TestAReadForAnEntryHoldsUpNothing(t *testing.T) {
	server, addr := startStore(t)
	server.Evacuate("z1")
	a := newTestAgent(t, testNode(t, addr))
	a.ctx = t.Context()
	a.actor.Start(a.receive)
	t.Cleanup(a.actor.Shutdown)
	answers := []sentRows{make(sentRows, 10), make(sentRows, 10)}
	links := make([]*mesh.Link, 0, len(answers))
	for i, name := range []string{"e", "f"} {
		links = append(links, &mesh.Link{Conn: answers[i], Hello: wire.NodeHello{Name: name, Role: wire.RoleEntry, Incarnation: 1}})
		a.actor.Send(control.LinkUp{Link: links[i]})
	}
	request := &wire.OperatorRead{After: 1, Wait: 10 * time.Minute}
	a.actor.Send(control.Received{Link: links[0], Message: request})
	a.actor.Send(control.Received{Link: links[0], Message: request})
	a.actor.Send(control.Received{Link: links[1], Message: &wire.OperatorRead{}})
	if m := <-answers[0]; !m.Failed {
		t.Errorf("second read for an entry: %+v", m)
	}
	if m := <-answers[1]; m.Failed || len(m.Rows) != 1 {
		t.Errorf("read for another entry: %+v", m)
	}
	if len(answers[0]) > 0 {
		t.Error("the first read did not wait")
	}
	server.EndEvacuation("z1")
	if m := <-answers[0]; m.Failed || len(m.Rows) != 1 || !m.Rows[0].Removed {
		t.Errorf("first read: %+v", m)
	}
	a.actor.Send(control.Received{Link: links[0], Message: &wire.OperatorRead{After: 2, Wait: 10 * time.Minute}})
	select {
	case m := <-answers[0]:
		if m.Failed || len(m.Rows) > 0 {
			t.Errorf("read without a change: %+v", m)
		}
	case <-time.After(operatorWaitMax + watchSlack):
		t.Error("an entry's wait is not bounded")
	}
}

// The store may turn all entries away when they start.
func TestAnAgentReadsTheCancelledJobsForAnEntry(t *testing.T) {
	server, addr := startStore(t)
	a := newTestAgent(t, testNode(t, addr))
	a.ctx = t.Context()
	server.PutBytes(platform.OperatorTable, "config", []byte("first"))
	row := platform.CancelledRow(platform.CancelledJob{Job: "0011223344556677", Entry: "e", At: time.Second})
	server.PutBytes(platform.CancelledTable, row.Key, row.Value)
	got := a.readOperatorRows(wire.OperatorRead{Cancelled: true})
	if got.Failed || !got.Cancelled || !got.Whole || len(got.Rows) != 1 || got.Rows[0].Key != row.Key || string(got.Rows[0].Value) != string(row.Value) {
		t.Errorf("read %+v", got)
	}
	server.SetFault(func(string) fake.StoreFault { return fake.StoreBusy })
	if got := a.readOperatorRows(wire.OperatorRead{Cancelled: true}); !got.Failed || !got.Cancelled {
		t.Errorf("while the store refuses: %+v", got)
	}
}
