package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// flap has the endpoint of a name go down and up some times, up for a time each.
func (b *testBed) flap(name string, times int, up Time) {
	status := b.s.find(agentOf(name), EndpointID{ID: name}).status
	for range times {
		b.now += up
		status.Available = false
		b.s.Report(b.now, agentOf(name), status)
		b.now += 100 * ms
		status.Available = true
		b.s.Report(b.now, agentOf(name), status)
	}
}

func TestALongTaskKeepsAwayFromAnEndpointThatIsOftenInterrupted(t *testing.T) {
	for name, c := range map[string]struct {
		times    int
		up       Time
		estimate Time
		room     int // of the other endpoint, in thousandths of a core; the interrupted one has 4,000
		want     string
	}{
		"a long task":                      {3, 400 * ms, 500 * ms, 2000, "e2"},
		"a long task without other room":   {3, 400 * ms, 500 * ms, 500, "e1"},
		"a short task":                     {3, 400 * ms, 20 * ms, 2000, "e1"},
		"one crash after a long time":      {1, time.Minute, 500 * ms, 2000, "e1"},
		"many crashes with long pauses":    {3, time.Minute, 500 * ms, 2000, "e1"},
		"two crashes, a long time between": {2, 20 * time.Second, 500 * ms, 2000, "e1"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, "e1", "e2")
			b.flap("e1", c.times, c.up)
			b.report("e2", EndpointStatus{Available: true, Capacity: Resources{CPUMilli: c.room, MemoryMB: 1000}})
			st := step(1)
			st.Estimate = c.estimate
			b.submit("j", callerA, 0, st)
			if orders, _, _ := b.take(); len(orders) != 1 || orders[0].Endpoint.ID != c.want {
				t.Errorf("orders %+v, want one at %s", orders, c.want)
			}
		})
	}
}

func TestAnEndpointThatHasStayedUpIsUsedAgain(t *testing.T) {
	b := newBed(t, "e1")
	b.flap("e1", 5, 400*ms)
	p := b.s.endpoints[0].presence
	if n := p.expectedRuns(b.now, 500*ms); n < 1.5 {
		t.Errorf("%.2f runs expected after five short times up", n)
	}
	if n := p.expectedRuns(b.now+8*interruptionHalfLife, 500*ms); n != 1 {
		t.Errorf("%.2f runs expected after a long time up", n)
	}
}

// An endpoint whose lifetimes are short is the same endpoint's host.
func TestInterruptionsAreKnownInTheNextLifetime(t *testing.T) {
	b := newBed(t, "e1")
	status := b.s.endpoints[0].status
	for range 3 {
		b.now += 400 * ms
		b.s.EndpointGone(b.now, agentOf("e1"), status.Endpoint)
		b.now += 100 * ms
		status.Endpoint.Born++
		b.s.Report(b.now, agentOf("e1"), status)
	}
	if n := b.s.endpoints[0].presence.expectedRuns(b.now, 500*ms); n < 1.5 {
		t.Errorf("%.2f runs expected in the fourth lifetime", n)
	}
}

func TestRecordsOfHostsThatAreGoneAreDropped(t *testing.T) {
	b := newBed(t)
	for i := range 100 {
		name := fmt.Sprintf("e%d", i)
		b.report(name, EndpointStatus{Available: true, Capacity: Resources{CPUMilli: 4000, MemoryMB: 1000}})
		b.now += 10 * time.Second
		b.s.EndpointGone(b.now, agentOf(name), EndpointID{ID: name})
	}
	if n := len(b.s.presences); n > int(presenceRetention/(10*time.Second))+2 {
		t.Errorf("%d records of hosts", n)
	}
}
