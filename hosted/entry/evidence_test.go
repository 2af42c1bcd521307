package entry

import (
	"testing"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/wire"
)

// statusOf returns the status of an agent's endpoint as linkAgentTo reports it.
func statusOf(agent string) dispatch.EndpointStatus {
	return dispatch.EndpointStatus{
		Endpoint: dispatch.EndpointID{ID: "endpoint of " + agent, Born: 1}, Service: "svc", Available: true,
		Capacity: dispatch.Resources{CPUMilli: 4000},
	}
}

func TestANewHomePlacesNothingOnAnEndpointThatTheLastOneHadEjected(t *testing.T) {
	e := newTestState(t).e
	now := mesh.Now()
	l, sent := linkAgentTo(e, now, "a")
	e.receive(now, control.Received{Link: l, Message: &wire.EndpointReport{
		Status: statusOf("a"), Evidence: &dispatch.EndpointEvidence{Failed: 0.9, Ejected: true}, EvidenceAge: 100 * time.Millisecond,
	}})
	e.receive(now, submit{job: job("j"), route: testRoute, deadline: now + time.Minute, reply: make(chan dispatch.Outcome, 1)})
	if orders := sent.orders(); len(orders) > 0 {
		t.Errorf("orders %+v", orders)
	}
	later := now + 450*time.Millisecond // the pause before the first probe is over, less the evidence's age
	e.receive(later, control.Received{Link: l, Message: &wire.NodeHeartbeat{Clock: later, Echo: now}})
	e.receive(later+3*tickEvery, control.Tick{})
	if orders := sent.orders(); len(orders) != 1 {
		t.Errorf("%d probes after the pause", len(orders))
	}
}

// evidenceSentTo ejects the endpoint of an agent by failed runs and returns what the agent
// is told.
func evidenceSentTo(t *testing.T, newest wire.Kind) []*wire.EndpointEvidence {
	t.Helper()
	e := newTestState(t).e
	now := mesh.Now()
	l, sent := recordedLink("a", wire.RoleAgent)
	l.Hello.NewestKind = newest
	linkAgentBy(e, now, l)
	for range 8 {
		id := "j" + string(rune('a'+len(sent.orders())))
		e.receive(now, submit{job: job(id), route: testRoute, deadline: now + time.Minute, reply: make(chan dispatch.Outcome, 1)})
		for _, o := range sent.orders() {
			e.receive(now, control.Received{Link: l, Message: &wire.RunEnd{Ends: []wire.EndedRun{{Run: o.Run, Order: o.Order, Reason: dispatch.EndFailed}}}})
		}
	}
	e.receive(now+tickEvery, control.Tick{})
	return sentOf[*wire.EndpointEvidence](sent)
}

func TestAgentsOfThisBuildAreToldOfTheirEndpointsTrouble(t *testing.T) {
	words := evidenceSentTo(t, wire.NewestKind)
	if len(words) != 1 || words[0].Endpoint.ID != "endpoint of a" || words[0].Evidence.Failed == 0 {
		t.Errorf("words %+v", words)
	}
	if words := evidenceSentTo(t, wire.KindOperatorRows); len(words) != 0 {
		t.Errorf("an older build is told %+v", words)
	}
}
