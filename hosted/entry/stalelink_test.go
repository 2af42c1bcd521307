package entry

import (
	"testing"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/wire"
)

// closable records whether it was closed.
type closable struct {
	sentTo
	closed bool
}

func (c *closable) Close() { c.closed = true }

// numberedLink returns a link of a process's incarnation.
func numberedLink(name, role string, incarnation wire.Incarnation, number uint64, began time.Duration) (*mesh.Link, *closable) {
	c := &closable{}
	hello := wire.NodeHello{Name: name, Incarnation: incarnation, Role: role, NewestKind: wire.NewestKind, Link: number}
	return &mesh.Link{Conn: c, Hello: hello, Number: number, Began: began}, c
}

// receiveAll receives a link and the messages on it.
func receiveAll(e *Entry, now time.Duration, l *mesh.Link, messages ...wire.Message) {
	e.receive(now, control.LinkUp{Link: l})
	for _, m := range messages {
		e.receive(now, control.Received{Link: l, Message: m})
	}
}

// An earlier link that comes late, of the same process or of one that has ended, ends no
// run ordered on a later one.
func TestALateReportOnAnEarlierLinkEndsNoRun(t *testing.T) {
	const earlier, current = 1, 2 // incarnations of the agent
	for _, tc := range []struct {
		name        string
		incarnation wire.Incarnation
		report      func(order uint64, id dispatch.EndpointID) wire.Message
	}{
		{"no run kept", current, func(uint64, dispatch.EndpointID) wire.Message { return &wire.RunsKept{} }},
		{"endpoint not listed", current, func(order uint64, _ dispatch.EndpointID) wire.Message {
			return &wire.RunsKept{Orders: []uint64{order}, Endpoints: []dispatch.EndpointID{}}
		}},
		{"earlier process", earlier, func(_ uint64, id dispatch.EndpointID) wire.Message {
			return &wire.EndpointReport{Status: dispatch.EndpointStatus{Endpoint: id, Service: "svc"}}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newTestState(t).e
			began := mesh.Now()
			agents, conns := map[string]*mesh.Link{}, map[string]*closable{}
			for _, name := range []string{"a", "b"} {
				agents[name], conns[name] = numberedLink(name, wire.RoleAgent, current, 2, began)
				linkAgentBy(e, began, agents[name])
			}
			e.receive(began, submit{job: job("j"), route: testRoute, deadline: began + time.Minute, reply: make(chan dispatch.Outcome, 1)})
			at, other := "a", "b"
			if len(conns["b"].orders()) == 1 {
				at, other = other, at
			}
			order, id := conns[at].orders()[0], sentOf[*wire.RunOrder](&conns[at].sentTo)[0].Endpoint
			now := began + 50*time.Millisecond
			late, conn := numberedLink(at, wire.RoleAgent, tc.incarnation, 1, began-time.Millisecond)
			receiveAll(e, now, late, &wire.NodeHeartbeat{Clock: began - 100*time.Millisecond}, tc.report(order.Order, id))
			if !conn.closed || conns[at].closed || e.state.agents[at].Link != agents[at] {
				t.Errorf("late link closed: %v, link in use closed: %v", conn.closed, conns[at].closed)
			}
			for ; now < began+400*time.Millisecond; now += 25 * time.Millisecond {
				for _, name := range []string{at, other} {
					e.receive(now, control.Received{Link: agents[name], Message: &wire.NodeHeartbeat{Clock: now, Echo: now}})
				}
				e.receive(now, control.Tick{})
				if n := len(conns[other].orders()); n > 0 {
					t.Fatalf("%v after the order the task is ordered again elsewhere", now-began)
				}
				if n := len(sentOf[*wire.RunStop](&conns[at].sentTo)) + len(sentOf[*wire.RunStop](&conn.sentTo)); n > 0 {
					t.Fatalf("%v after the order the run is stopped", now-began)
				}
			}
		})
	}
}

// An earlier link between entries that comes late, of the same process or of one that has
// ended, cancels no job submitted on a later one.
func TestALateListOfJobsOnAnEarlierLinkCancelsNoJob(t *testing.T) {
	const earlier, current = 1, 2 // incarnations of the other entry
	for _, tc := range []struct {
		name        string
		incarnation wire.Incarnation
	}{
		{"no job open", current},
		{"earlier process", earlier},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newTestState(t).e
			now := mesh.Now()
			beat := &wire.NodeHeartbeat{Clock: 1, Echo: now, StoreVersion: 1}
			inUse, conn := numberedLink(other.Entry, wire.RoleEntry, current, 2, now)
			receiveAll(e, now, inUse, beat, &wire.JobSubmit{Job: job("j"), Route: testRoute, Wait: time.Minute})
			if open := e.state.openJobs(); open != 1 {
				t.Fatalf("%d open jobs", open)
			}
			late, lateConn := numberedLink(other.Entry, wire.RoleEntry, tc.incarnation, 1, now-time.Millisecond)
			receiveAll(e, now+50*time.Millisecond, late, beat, &wire.JobsOpen{})
			if open := e.state.openJobs(); open != 1 {
				t.Errorf("%d open jobs after the late list", open)
			}
			if !lateConn.closed || conn.closed {
				t.Errorf("late link closed: %v, link in use closed: %v", lateConn.closed, conn.closed)
			}
		})
	}
}

// A late hello of an earlier process of the home does not have its jobs answered as lost.
func TestALateHelloOfAnEarlierProcessDoesNotLoseTheHome(t *testing.T) {
	const earlier, current = 1, 2 // incarnations of the home
	e := newTestState(t).e
	now := mesh.Now()
	home, _ := numberedLink(other.Entry, wire.RoleEntry, current, 2, now)
	receiveAll(e, now, home, &wire.NodeHeartbeat{Clock: 1, Echo: now, StoreVersion: 1})
	e.state.home[dispatch.Shard{Service: "svc"}] = other.Entry
	reply := make(chan dispatch.Outcome, 1)
	e.receive(now, submit{job: job("j"), route: testRoute, deadline: now + time.Minute, reply: reply})
	late, _ := numberedLink(other.Entry, wire.RoleEntry, earlier, 1, now-time.Millisecond)
	receiveAll(e, now+50*time.Millisecond, late)
	if len(reply) > 0 {
		t.Errorf("answered %+v", <-reply)
	}
}

// A process that was started again is linked, though its numbers begin anew, and so is
// one whose link was refused in error once it dials again.
func TestAProcessThatWasStartedAgainIsLinked(t *testing.T) {
	e := newTestState(t).e
	now := mesh.Now()
	first, _ := numberedLink(other.Entry, wire.RoleEntry, 1, 9, now)
	receiveAll(e, now, first)
	waited, _ := numberedLink(other.Entry, wire.RoleEntry, 2, 1, now-time.Millisecond) // beside the first one, at a frozen process
	receiveAll(e, now+time.Millisecond, waited)
	again, _ := numberedLink(other.Entry, wire.RoleEntry, 2, 2, now+2*time.Millisecond)
	receiveAll(e, now+3*time.Millisecond, again)
	if p := e.state.peers[other.Entry]; p == nil || p.Link != again {
		t.Error("the process that was started again is not linked")
	}
}

// Two entries that dial each other at once and keep different links have none.
func TestOfTwoLinksMadeAtOnceBothSidesKeepTheSame(t *testing.T) {
	for _, dialed := range [][2]string{{"x", ""}, {"", "x"}} {
		for _, order := range [][2]int{{0, 1}, {1, 0}} {
			e := newTestState(t).e
			now := mesh.Now()
			var conns [2]*closable
			for _, i := range order {
				l, conn := numberedLink(other.Entry, wire.RoleEntry, 1, uint64(i+1), now) //nolint:gosec // 1 or 2
				l.Dialed, conns[i] = dialed[i], conn
				receiveAll(e, now+time.Millisecond, l)
			}
			if !conns[0].closed || conns[1].closed {
				t.Errorf("dialed %q, in the order %v: closed %v and %v, want the first", dialed, order, conns[0].closed, conns[1].closed)
			}
		}
	}
}
