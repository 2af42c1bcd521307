package agent

import (
	"context"
	"net"
	"testing"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
)

// The agent's earlier incarnation has used higher numbers. If they were not raised, the
// endpoint would do nothing for this one for as long as it lives.
func TestAnAgentIsServedAfterTheTimeOfDayHasJumpedBack(t *testing.T) {
	a := newPumpedAgent(t)
	id := a.pumpUntilAvailable(dispatch.EndpointID{})
	addr := a.state.endpoints[id].announced.Addr
	a.exit()
	client := platform.NewEndpointClient(addr, id.ID).WithFence(time.Now().Add(time.Minute).UnixMicro())
	defer client.Close()
	if _, err := client.Poll(t.Context(), 0, 0, 0); err != nil {
		t.Fatal(err)
	}
	next := newPumpedAgentOf(t, a.endpoint, a.record)
	next.order(next.pumpUntilAvailable(dispatch.EndpointID{}), lateRun)
	next.pump("the end of the run", func() bool { return len(next.state.ends) > 0 })
	if got := next.state.ends[0].end.Reason; got != dispatch.EndDone {
		t.Errorf("run ended as %v", got)
	}
}

// A lower number after a higher one would break a rule there.
func TestWhereEndpointsCheckNoGenerationNumbersNoneIsUsed(t *testing.T) {
	a := newPumpedAgent(t)
	a.node.EnforceFencing = false
	earlier := a.pumpUntilAvailable(dispatch.EndpointID{})
	a.endpoint.Restart()
	a.announce()
	a.pumpUntilAvailable(earlier)
	if n := a.state.fence.Number(); n != 0 {
		t.Errorf("number %d", n)
	}
}

// The number in use has been seen by the earlier lifetime, and starts with it may be on
// their way to the next one.
func TestEachLifetimeHasAHigherGenerationNumber(t *testing.T) {
	for name, announce := range map[string]bool{"announced": true, "found by a poll": false} {
		t.Run(name, func(t *testing.T) {
			a := newPumpedAgent(t)
			a.pumpUntilAvailable(dispatch.EndpointID{})
			number := a.state.fence.Number()
			if number == 0 {
				t.Fatal("no number")
			}
			a.endpoint.Restart()
			if announce {
				a.announce()
			}
			a.pump("a higher number", func() bool { return a.state.fence.Number() > number })
		})
	}
}

// The first call to the next lifetime is to have a number above those of all earlier calls.
func TestAnAddressWhereNothingListensIsToldFromAnAnswerThatIsLate(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := platform.NewEndpointClient(listener.Addr().String(), "i-0")
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := client.Poll(ctx, 0, 0, 0); err == nil || isGone(err) {
		t.Errorf("no answer in time: error %v counts as gone", err)
	}
	_ = listener.Close()
	if _, err := client.Poll(t.Context(), 0, 0, 0); !isGone(err) {
		t.Errorf("nothing listens: error %v does not count as gone", err)
	}
}

// The process was frozen between the decision and the call: the run may count as ended, and
// another lifetime have the id.
func TestAStartIsNotSentLongAfterItsDecision(t *testing.T) {
	a := newPumpedAgent(t)
	id := a.pumpUntilAvailable(dispatch.EndpointID{})
	client := a.state.endpoints[id].client.WithFence(a.state.fence.Number())
	action := dispatch.GuardAction{Kind: dispatch.CallStart, Run: lateRun, Payload: "100", Until: time.Hour}
	a.callStart(client, id, action, mesh.Now()-startMaxDelay-time.Millisecond, startTimeout)
	for answered := false; !answered; {
		if m, ok := (<-a.messages).(startAnswered); ok {
			answered = true
			if m.err != nil || m.res.Refusal != dispatch.Expired {
				t.Errorf("answer %+v, error %v", m.res, m.err)
			}
		}
	}
	if n := a.record.Starts(lateRun.Task.Job); n != 0 {
		t.Errorf("%d runs started", n)
	}
}
