package entry

import (
	"testing"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/wire"
)

// A link on which the agent has not reported its runs says nothing about their end.
func TestALinkWithoutAReportOfRunsEndsNoRun(t *testing.T) {
	e := newTestState(t).e
	began := mesh.Now()
	agents, sent := map[string]*mesh.Link{}, map[string]*sentTo{}
	for _, name := range []string{"a", "b"} {
		agents[name], sent[name] = linkAgentTo(e, began, name)
	}
	e.receive(began, submit{job: job("j"), route: testRoute, deadline: began + time.Minute, reply: make(chan dispatch.Outcome, 1)})
	at, other := "a", "b"
	if len(sent["b"].orders()) == 1 {
		at, other = other, at
	}
	e.receive(began, control.LinkDown{Link: agents[at]})
	for now := began + 20*time.Millisecond; now < began+850*time.Millisecond; now += 50 * time.Millisecond {
		l, relinked := recordedLink(at, wire.RoleAgent)
		e.receive(now, control.LinkUp{Link: l})
		e.receive(now, control.Received{Link: l, Message: &wire.NodeHeartbeat{Clock: now}})
		if n := len(sentOf[*wire.NodeHeartbeat](relinked)); n > 0 {
			t.Fatalf("%d heartbeats before the agent has reported its runs", n)
		}
		e.receive(now, control.LinkDown{Link: l})
		e.receive(now, control.Received{Link: agents[other], Message: &wire.NodeHeartbeat{Clock: now, Echo: now}})
		e.receive(now, control.Tick{})
		if n := len(sent[other].orders()); n > 0 {
			t.Fatalf("%v after the last heartbeat to its agent the task is ordered again", now-began)
		}
	}
	for now := began + 850*time.Millisecond; now < began+1100*time.Millisecond; now += 25 * time.Millisecond {
		e.receive(now, control.Received{Link: agents[other], Message: &wire.NodeHeartbeat{Clock: now, Echo: now}})
		e.receive(now, control.Tick{})
	}
	if n := len(sent[other].orders()); n != 1 {
		t.Errorf("%d orders once the run has ended", n)
	}
}
