package dispatch

import (
	"testing"
	"time"
)

// A client leaves and sends its job again while the link to the only agent is down. The
// agent has ended the run by the time that it is linked again.
func TestAJobThatIsSentAgainIsNotRefusedWhenItsAgentIsLinkedAgain(t *testing.T) {
	b := newBed(t, "e")
	b.submit("j", ownerA, 1, step(1))
	if orders := first(b.take()); len(orders) != 1 {
		t.Fatalf("%d orders", len(orders))
	}
	b.now += 700 * time.Millisecond // past startGrace
	b.s.AgentLost(b.now, agentOf("e"), b.now+time.Second)
	b.s.Cancel(b.now, "j", ownerA)
	b.submit("j", ownerB, 1, step(1))
	b.now += 50 * ms
	b.s.AgentReconnected(b.now, agentOf("e"), nil)
	orders, outcomes, _ := b.take()
	if code, refused := outcomes["j"]; refused {
		t.Fatalf("refused with %v", code)
	}
	b.s.Tick(b.now + 25*ms)
	again, _, _ := b.take()
	if len(orders)+len(again) != 1 {
		t.Errorf("%d orders", len(orders)+len(again))
	}
}
