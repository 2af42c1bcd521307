package entry

import (
	"testing"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
)

// The goroutine that would tell that a client has left may run later than a thawed home
// places tasks.
func TestAThawedHomeOrdersNothingForClientsThatLeftWhileItWasFrozen(t *testing.T) {
	e := newTestState(t).e
	began := mesh.Now()
	gone := false
	e.receive(began, control.Tick{})
	e.receive(began, submit{
		job: job("j"), route: testRoute, deadline: began + time.Minute,
		reply: make(chan dispatch.Outcome, 1), left: func() bool { return gone },
	})
	if e.state.openJobs() == 0 {
		t.Fatal("the job of a client that waits was not taken")
	}
	gone = true
	now := began + time.Second
	for range 4 { // longer than a thawed home holds its tasks
		e.receive(now, control.Tick{})
		now += tickEvery
	}
	_, sent := linkAgentTo(e, now, "a")
	e.receive(now, control.Tick{})
	if orders := sent.orders(); len(orders) > 0 {
		t.Errorf("orders %+v for a client that has left", orders)
	}
}

// A home gives a job to its newest caller, so a request that is submitted too late takes it
// from the client that waits.
func TestARequestWhoseClientHasLeftIsNotSubmitted(t *testing.T) {
	e := newTestState(t).e
	now := mesh.Now()
	_, sent := linkAgentTo(e, now, "a")
	reply := make(chan dispatch.Outcome, 1)
	e.receive(now, submit{job: job("j"), route: testRoute, deadline: now + time.Minute, reply: reply, left: func() bool { return true }})
	if orders := sent.orders(); len(orders) > 0 || e.state.openJobs() > 0 {
		t.Errorf("orders %+v, %d open jobs for a client that has left", orders, e.state.openJobs())
	}
	select {
	case <-reply:
	default:
		t.Error("the request is not answered")
	}
}
