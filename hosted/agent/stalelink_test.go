package agent

import (
	"testing"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/wire"
)

// closable records whether it was closed.
type closable struct{ closed bool }

func (*closable) Send(wire.Message) error { return nil }
func (c *closable) Close()                { c.closed = true }

// An earlier link that comes late, of the same entry's process or of one that has ended,
// stops no run ordered on a later one, and does not replace that.
func TestALateHelloOnAnEarlierLinkStopsNoRun(t *testing.T) {
	const earlier, current = 1, 2 // incarnations of the entry
	for _, tc := range []struct {
		name        string
		incarnation wire.Incarnation
	}{
		{"same process", current},
		{"earlier process", earlier},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := newPumpedAgent(t)
			a.owner.Incarnation = current
			id := a.pumpUntilAvailable(dispatch.EndpointID{})
			now := mesh.Now()
			link := func(incarnation wire.Incarnation, number uint64, began time.Duration) (*mesh.Link, *closable) {
				c := &closable{}
				hello := wire.NodeHello{Name: a.owner.Entry, Incarnation: incarnation, Role: wire.RoleEntry, Link: number}
				return &mesh.Link{Conn: c, Hello: hello, Number: number, Began: began}, c
			}
			inUse, conn := link(current, 2, now)
			a.receive(now, control.LinkUp{Link: inUse})
			a.order(id, lateRun)
			late, lateConn := link(tc.incarnation, 1, now-time.Millisecond)
			a.receive(now+10*time.Millisecond, control.LinkUp{Link: late})
			if conn.closed || !lateConn.closed {
				t.Errorf("late link closed: %v, link in use closed: %v", lateConn.closed, conn.closed)
			}
			a.pump("the end of the run", func() bool { return len(a.state.ends) > 0 })
			if got := a.state.ends[0].end.Reason; got != dispatch.EndDone {
				t.Errorf("run ended as %v", got)
			}
		})
	}
}
