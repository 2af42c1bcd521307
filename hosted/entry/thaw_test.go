package entry

import (
	"fmt"
	"testing"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/wire"
)

// sentTo records what is sent on a link.
type sentTo struct{ messages []wire.Message }

func (s *sentTo) Send(m wire.Message) error {
	s.messages = append(s.messages, m)
	return nil
}

func (*sentTo) Close() {}

func (s *sentTo) orders() (orders []wire.OrderedRun) {
	for _, m := range s.messages {
		if o, ok := m.(*wire.RunOrder); ok {
			orders = append(orders, o.Runs...)
		}
	}
	return orders
}

func recordedLink(name, role string) (*mesh.Link, *sentTo) {
	sent := &sentTo{}
	return &mesh.Link{Conn: sent, Hello: wire.NodeHello{Name: name, Incarnation: 1, Role: role, NewestKind: wire.NewestKind}}, sent
}

// linkAgentTo links an agent with an endpoint.
func linkAgentTo(e *Entry, now time.Duration, name string) (*mesh.Link, *sentTo) {
	l, sent := recordedLink(name, wire.RoleAgent)
	l.Began = now
	linkAgentBy(e, now, l)
	return l, sent
}

// linkAgentBy links an agent with an endpoint by the given link.
func linkAgentBy(e *Entry, now time.Duration, l *mesh.Link) {
	e.receive(now, control.LinkUp{Link: l})
	for _, m := range []wire.Message{
		&wire.NodeHeartbeat{Clock: now, Echo: now},
		&wire.RunsKept{},
		&wire.EndpointReport{Status: dispatch.EndpointStatus{
			Endpoint: dispatch.EndpointID{ID: "endpoint of " + l.Hello.Name, Born: 1}, Service: "svc", Available: true,
			Capacity: dispatch.Resources{CPUMilli: 4000},
		}},
	} {
		e.receive(now, control.Received{Link: l, Message: m})
	}
}

// A link may be reset when a lifetime of an endpoint ends, so that the entry does not
// learn of it.
func TestAnEntryForgetsALifetimeThatARelinkedAgentNoLongerHas(t *testing.T) {
	e := newEntry(t)
	now := mesh.Now()
	l, _ := linkAgentTo(e, now, "a")
	e.receive(now, control.LinkDown{Link: l})
	l, sent := recordedLink("a", wire.RoleAgent)
	e.receive(now, control.LinkUp{Link: l})
	e.receive(now, control.Received{Link: l, Message: &wire.NodeHeartbeat{Clock: now, Echo: now}})
	e.receive(now, control.Received{Link: l, Message: &wire.RunsKept{Endpoints: []dispatch.EndpointID{}}})
	e.receive(now, submit{job: job("j"), route: testRoute, deadline: now + time.Minute, reply: make(chan dispatch.Outcome, 1)})
	if orders := sent.orders(); len(orders) > 0 {
		t.Errorf("orders %+v to an endpoint that is gone", orders)
	}
}

// Agents send heartbeats to their home more often. With many shards each home would get
// those of all agents, though it places tasks on its own shard's.
func TestOnlyTheHomeOfAnAgentsShardAsksForFrequentHeartbeats(t *testing.T) {
	e := newEntry(t)
	now := mesh.Now()
	e.state.shardCounts = shardCounts{"svc": 2}
	sent := map[int]*sentTo{}
	links := map[int]*mesh.Link{}
	for i := 0; len(sent) < 2; i++ {
		name := fmt.Sprintf("agent-%d", i)
		shard := dispatch.ShardIndex("endpoint of "+name, 2)
		if sent[shard] == nil {
			links[shard], sent[shard] = linkAgentTo(e, now, name)
		}
	}
	e.state.home = map[dispatch.Shard]string{{Service: "svc", Index: 0}: e.self.Name, {Service: "svc", Index: 1}: "another"}
	beats := func(shard int) bool {
		sent[shard].messages = nil
		e.receive(now, control.Received{Link: links[shard], Message: &wire.NodeHeartbeat{Clock: now, Echo: now}})
		return sentOf[*wire.NodeHeartbeat](sent[shard])[0].Home
	}
	if !beats(0) || beats(1) {
		t.Errorf("as a home to the agents of shards 0 and 1: %v, %v; want true, false", beats(0), beats(1))
	}
}

// Agents send rare heartbeats to an entry that is not their home, so its reading of their
// clocks is too old for orders when it becomes the home.
func TestANewHomePlacesTasksOnceItsAgentsHaveAnswered(t *testing.T) {
	e := newTestState(t).e
	now := mesh.Now()
	l, sent := linkAgentTo(e, now, "a")
	shard := dispatch.Shard{Service: "svc"}
	e.state.home[shard] = "another"
	e.state.checkAgents(now)
	now += agentSuspect + tickEvery
	e.state.checkAgents(now)
	e.state.home[shard] = e.self.Name
	sent.messages = nil
	e.state.checkAgents(now)
	if beats := sentOf[*wire.NodeHeartbeat](sent); len(beats) != 1 || !beats[0].Home {
		t.Errorf("heartbeats %+v, want one that says that this is the home", beats)
	}
	late := now + e.state.timing.OwnerLease // counts from when this entry became the home
	e.receive(now, submit{job: job("j"), route: testRoute, deadline: now + time.Minute, reply: make(chan dispatch.Outcome, 1)})
	if orders := sent.orders(); len(orders) > 0 {
		t.Errorf("orders %+v by an old reading of the agent's clock", orders)
	}
	for at := now + tickEvery; at < late; at += tickEvery { // a pause would end the request
		e.receive(at, control.Tick{})
		if orders := sent.orders(); len(orders) > 0 {
			t.Fatalf("orders %+v before the agent has answered", orders)
		}
	}
	e.receive(late, control.Received{Link: l, Message: &wire.NodeHeartbeat{Clock: late, Echo: now}})
	e.receive(late, control.Tick{})
	e.receive(late+3*tickEvery, control.Tick{}) // as after any pause between two checks of leases
	if orders := sent.orders(); len(orders) != 1 {
		t.Errorf("%d orders once the agent has answered", len(orders))
	}
}

// A process that was frozen may handle the end of a run before a tick.
func TestNoRunIsOrderedForAnEntryWhoseLeaseHasEnded(t *testing.T) {
	e := newEntry(t)
	began := mesh.Now()
	entry, _ := recordedLink(other.Entry, wire.RoleEntry)
	e.receive(began, control.LinkUp{Link: entry})
	e.receive(began, control.Received{Link: entry, Message: &wire.NodeHeartbeat{Clock: 1, Echo: began, StoreVersion: 1}})
	agents, sent := [2]*mesh.Link{}, [2]*sentTo{}
	for i, name := range []string{"a", "b"} {
		agents[i], sent[i] = linkAgentTo(e, began, name)
	}
	e.receive(began, control.Received{Link: entry, Message: &wire.JobSubmit{Job: job("j"), Route: testRoute, Wait: time.Minute}})
	e.state.checkPeers(began) // the lease counts from here on
	first := append(sent[0].orders(), sent[1].orders()...)
	if len(first) != 1 {
		t.Fatalf("%d orders", len(first))
	}
	at := 0
	if len(sent[1].orders()) == 1 {
		at = 1
	}
	thaw := began + 1200*time.Millisecond // four leases of the entry later
	for i := range agents {
		sent[i].messages = nil
		e.receive(thaw, control.Received{Link: agents[i], Message: &wire.NodeHeartbeat{Clock: thaw - 20*time.Millisecond, Echo: began}})
	}
	e.receive(thaw, control.Received{Link: agents[at], Message: &wire.RunEnd{Ends: []wire.EndedRun{
		{Run: first[0].Run, Order: first[0].Order, Reason: dispatch.EndStopped},
	}}})
	if again := append(sent[0].orders(), sent[1].orders()...); len(again) > 0 {
		t.Errorf("run %d ordered %v after the entry's last echo; its lease is %v", again[0].Run.Run, thaw-began, e.state.timing.EntryLease)
	}
}

// A run whose stop is not carried out ends with the lease that its agent last had.
func TestAThawedHomeSendsStopsBeforeItRenewsTheLease(t *testing.T) {
	e := newEntry(t)
	began := mesh.Now()
	entry, _ := recordedLink(other.Entry, wire.RoleEntry)
	e.receive(began, control.LinkUp{Link: entry})
	e.receive(began, control.Received{Link: entry, Message: &wire.NodeHeartbeat{Clock: 1, Echo: began, StoreVersion: 1}})
	agent, sent := linkAgentTo(e, began, "a")
	e.receive(began, control.Received{Link: entry, Message: &wire.JobSubmit{Job: job("j"), Route: testRoute, Wait: time.Minute}})
	if len(sent.orders()) != 1 {
		t.Fatalf("%d orders", len(sent.orders()))
	}
	e.state.checkPeers(began)
	sent.messages = nil
	thaw := began + 700*time.Millisecond
	e.receive(thaw, control.Received{Link: agent, Message: &wire.NodeHeartbeat{Clock: thaw - 20*time.Millisecond, Echo: began}})
	for _, m := range sent.messages {
		switch m.(type) {
		case *wire.RunStop:
			return
		case *wire.NodeHeartbeat:
			t.Fatal("the agent's lease is renewed before the run is stopped")
		}
	}
	t.Fatal("the run is not stopped")
}

// A home learns only after a thaw which of its own clients have left. A run whose stop is not
// carried out keeps the lease that it had before, not one that the home has just renewed.
func TestAThawedHomeRenewsNoLeaseBeforeItKnowsWhichClientsHaveLeft(t *testing.T) {
	e := newTestState(t).e
	began := mesh.Now()
	agent, sent := linkAgentTo(e, began, "a")
	reply := make(chan dispatch.Outcome, 1)
	e.receive(began, submit{job: job("j"), route: testRoute, deadline: began + time.Minute, reply: reply})
	if len(sent.orders()) != 1 {
		t.Fatalf("%d orders", len(sent.orders()))
	}
	e.receive(began, control.Tick{})
	sent.messages = nil
	thaw := began + 550*time.Millisecond
	e.receive(thaw, control.Received{Link: agent, Message: &wire.NodeHeartbeat{Clock: thaw - 20*time.Millisecond, Echo: began}})
	e.receive(thaw+time.Millisecond, control.Tick{})
	e.receive(thaw+tickEvery, control.Tick{})
	e.receive(thaw+tickEvery+time.Millisecond, abandonRequest{"j", reply})
	stopped := false
	for now := thaw + 2*tickEvery; now <= thaw+4*tickEvery; now += tickEvery {
		e.receive(now, control.Tick{})
	}
	for _, m := range sent.messages {
		switch m := m.(type) {
		case *wire.RunStop:
			stopped = true
		case *wire.NodeHeartbeat:
			if !stopped {
				t.Fatal("the agent's lease is renewed before the run is stopped")
			}
			if m.Echo == thaw-20*time.Millisecond {
				return
			}
		}
	}
	t.Errorf("the run is stopped: %v; the agent's heartbeat is not answered", stopped)
}

// A link that is lost before its first heartbeat says nothing about the leases that earlier
// links have renewed.
func TestRunsOfAnAgentWhoseNewLinkIsLostAtOnceAreNotOver(t *testing.T) {
	e := newTestState(t).e
	began := mesh.Now()
	links, sent := [2]*mesh.Link{}, [2]*sentTo{}
	for i, name := range []string{"a", "b"} {
		links[i], sent[i] = linkAgentTo(e, began, name)
	}
	e.receive(began, submit{job: job("j"), route: testRoute, deadline: began + time.Minute, reply: make(chan dispatch.Outcome, 1)})
	at, orders := 0, sent[0].orders()
	if len(orders) == 0 {
		at, orders = 1, sent[1].orders()
	}
	if len(orders) != 1 {
		t.Fatalf("%d orders", len(orders))
	}
	e.receive(began, control.Tick{})
	thaw := began + 500*time.Millisecond
	e.receive(thaw, control.Received{Link: links[1-at], Message: &wire.NodeHeartbeat{Clock: thaw, Echo: began}})
	e.receive(thaw, control.LinkDown{Link: links[at]})
	again, _ := recordedLink(links[at].Hello.Name, wire.RoleAgent)
	e.receive(thaw, control.LinkUp{Link: again})
	e.receive(thaw, control.Received{Link: again, Message: &wire.RunsKept{Orders: []uint64{orders[0].Order}}})
	e.receive(thaw, control.LinkDown{Link: again})
	over := began + e.state.timing.RunsEndBy(0) // the newest heartbeat to the agent was sent at began
	for now := thaw; now < over; now += tickEvery {
		e.receive(now, control.Received{Link: links[1-at], Message: &wire.NodeHeartbeat{Clock: now, Echo: now}})
		e.receive(now, control.Tick{})
		if len(sent[1-at].orders()) > 0 {
			t.Fatalf("the task is ordered again %v before its run is over", over-now)
		}
	}
}

// An echo before the stop would renew the lease of the run that is to stop.
func TestAnAgentThatIsLinkedAgainGetsStopsBeforeItsLeaseIsRenewed(t *testing.T) {
	e := newEntry(t)
	now := mesh.Now()
	l, sent := linkAgentTo(e, now, "a")
	reply := make(chan dispatch.Outcome, 1)
	e.receive(now, submit{job: job("j"), route: testRoute, deadline: now + time.Minute, reply: reply})
	orders := sent.orders()
	if len(orders) != 1 {
		t.Fatalf("%d orders", len(orders))
	}
	e.receive(now, control.LinkDown{Link: l})
	e.receive(now, abandonRequest{"j", reply})
	l, sent = recordedLink("a", wire.RoleAgent)
	e.receive(now, control.LinkUp{Link: l})
	e.receive(now, control.Received{Link: l, Message: &wire.NodeHeartbeat{Clock: now, Echo: now}})
	e.receive(now, control.Received{Link: l, Message: &wire.RunsKept{Orders: []uint64{orders[0].Order}, Endpoints: []dispatch.EndpointID{}}})
	e.receive(now, control.Received{Link: l, Message: &wire.NodeHeartbeat{Clock: now + 1, Echo: now}})
	for _, m := range sent.messages {
		switch m := m.(type) {
		case *wire.RunStop:
			return
		case *wire.NodeHeartbeat:
			if m.Echo > 0 {
				t.Fatal("the agent's lease is renewed before the run is stopped")
			}
		}
	}
	t.Fatal("the run is not stopped")
}

// An agent refuses orders while its lease has ended, as it has after a long loss of the link.
func TestAnAgentThatIsLinkedAgainGetsNoOrderBeforeItsLeaseIsRenewed(t *testing.T) {
	e := newEntry(t)
	now := mesh.Now()
	l, _ := linkAgentTo(e, now, "a")
	e.receive(now, control.LinkDown{Link: l})
	e.receive(now, submit{job: job("j"), route: testRoute, deadline: now + time.Minute, reply: make(chan dispatch.Outcome, 1)})
	l, sent := linkAgentTo(e, now, "a")
	if len(sent.orders()) != 1 {
		t.Fatalf("%d orders", len(sent.orders()))
	}
	for _, m := range sent.messages {
		switch m := m.(type) {
		case *wire.NodeHeartbeat:
			if m.Echo > 0 {
				return
			}
		case *wire.RunOrder:
			t.Fatalf("%s is ordered to run a task before its lease is renewed", l.Hello.Name)
		}
	}
}

// thawCase is a simulation in which a job's tasks run, and the entries in their parts.
type thawCase struct {
	*sim
	home   *simEntry
	others []*simEntry
}

// newThawCase submits a job at its home, or at another entry, and lets its tasks start.
func newThawCase(t *testing.T, seed uint64, atHome bool) *thawCase {
	t.Helper()
	c := &thawCase{sim: newSim(seed)}
	c.play(12 * time.Second)
	c.now = 12 * time.Second
	for _, n := range c.entries {
		if n.hello.Name == c.entries[0].e.state.home[dispatch.Shard{Service: simService}] {
			c.home = n
		} else {
			c.others = append(c.others, n)
		}
	}
	c.entries = c.others[:1] // that the client may choose
	if atHome {
		c.entries = []*simEntry{c.home}
	}
	c.submit("job", 0, c.now+8*time.Second)
	c.play(c.now + 50*ms)
	c.now = 12*time.Second + 50*ms
	if len(c.running) != 2 {
		t.Fatalf("seed %d: %d tasks run", seed, len(c.running))
	}
	c.entries = c.others[1:] // where the client sends the job again
	return c
}

// finish plays the case to its end and reports a violation.
func (c *thawCase) finish(t *testing.T, what string) {
	t.Helper()
	c.play(c.now + 3*time.Second)
	for _, n := range append(c.others, c.home) {
		if n.e != nil {
			n.e.actor.Shutdown()
		}
	}
	if c.violation != "" {
		t.Errorf("%s: %s", what, c.violation)
	}
}

// A job's entry exits while its home is frozen, or its client loses the connection to the
// home itself. The home thaws shortly before the client sends the job again.
func TestAThawedHomeStartsNothingBesideTheNextHome(t *testing.T) {
	for seed := uint64(20); seed < 50; seed++ {
		for _, thaw := range []time.Duration{1270 * ms, 1280 * ms, 1290 * ms} {
			for _, atHome := range []bool{false, true} {
				c := newThawCase(t, seed, atHome)
				c.home.freeze(thaw)
				if atHome {
					attempt := c.home.waits["job"]
					delete(c.home.waits, "job")
					attempt.broken()
					c.after(thaw+c.rng.between(0, 5*ms), func() { c.home.receive(abandonRequest{"job", attempt.reply}) })
				} else {
					c.others[0].exit(600 * ms)
				}
				c.finish(t, fmt.Sprintf("seed %d, submitted at its home %v, thawed after %v", seed, atHome, thaw))
			}
		}
	}
}

// A job's entry is partitioned from the home when the client disconnects, and the home
// freezes before the entry's lease has ended.
func TestAThawedHomeStartsNothingForAnEntryThatItWasPartitionedFrom(t *testing.T) {
	for seed := uint64(20); seed < 30; seed++ {
		for _, freeze := range []time.Duration{200 * ms, 240 * ms} {
			for _, thaw := range []time.Duration{1270 * ms, 1280 * ms, 1290 * ms, 1300 * ms} {
				c := newThawCase(t, seed, false)
				entry := c.others[0]
				c.partition[simPair(c.home, entry)] = c.now + 3*time.Second
				entry.waits["job"].disconnect()
				c.after(freeze, func() { c.home.freeze(thaw - freeze) })
				c.finish(t, fmt.Sprintf("seed %d, frozen after %v, thawed after %v", seed, freeze, thaw))
			}
		}
	}
}
