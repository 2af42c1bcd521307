package agent

import (
	"cmp"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rotisserie/eris"

	"bergamotwing.example/release"
	"bergamotwing.example/wire"
)

// Times of the control actor.
const (
	tickInterval   = 50 * time.Millisecond
	sweepInterval  = time.Second
	requestTimeout = time.Second
)

// Times of the pings that request a fresh confirmation.
const (
	renewBefore        = 900 * time.Millisecond // before the permission lapses
	pingInterval       = 450 * time.Millisecond // entries answer after they next read the version
	lapsedPingInterval = 400 * time.Millisecond // once the permission has lapsed: possibly no entry can confirm a version
)

// Messages of the control actor.
type (
	tick   struct{}
	linkUp struct {
		session *session
		hello   *wire.EntryHello
	}
	configReceived struct {
		session *session
		config  *wire.Config
	}
	slotsFreed   struct{}
	registration struct{}
	leaveRequest struct {
		leaving bool
		final   bool // the process stops: later requests to return are ignored
	}
	leaveReply struct{ leaving bool }
)

// control is the actor that owns the control state. Only the actor uses the
// fields below published.
type control struct {
	agent     *Agent
	system    *actor.ActorSystem
	pid       *actor.PID
	published atomic.Pointer[snapshot]

	next      snapshot // current state; publish copies it
	holds     *holdSet
	stopping  bool
	lapsed    bool // the permission, when last checked
	lastPing  time.Duration
	pingTurn  int
	lastSweep time.Duration
}

func newControl(a *Agent) *control {
	c := &control{agent: a, holds: newHoldSet(), lapsed: true}
	c.published.Store(&snapshot{})
	return c
}

func (c *control) start() error {
	c.system = actor.NewActorSystem(
		actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }),
		// Messages to a stopped actor start a goroutine that lives this long.
		actor.WithDeadLetterThrottleInterval(time.Millisecond),
	)
	props := actor.PropsFromProducer(func() actor.Actor { return c })
	pid, err := c.system.Root.SpawnNamed(props, "control")
	c.pid = pid
	return eris.Wrap(err, "start control actor")
}

// stop ends the actor. No message may be sent to it afterwards.
func (c *control) stop() {
	_ = c.system.Root.PoisonFuture(c.pid).Wait()
	c.system.Shutdown()
}

// send queues a message and returns at once.
func (c *control) send(m any) { c.system.Root.Send(c.pid, m) }

// setLeaving sends a leaveRequest, waits until it is in force and returns whether
// the endpoint is leaving. Goroutines that carry traffic must not call it, as
// they never wait for the actor.
func (c *control) setLeaving(leaving, final bool) (bool, error) {
	request := &leaveRequest{leaving: leaving, final: final}
	reply, err := c.system.Root.RequestFuture(c.pid, request, requestTimeout).Result()
	if err != nil {
		return false, eris.Wrap(err, "control actor")
	}
	return reply.(*leaveReply).leaving, nil
}

// Receive handles the actor's messages.
func (c *control) Receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case *tick:
		c.tick(c.agent.clock.now())
	case *linkUp:
		c.linkUp(m)
	case *configReceived:
		c.adopt(m.session, m.config.State, m.config.Holds, m.config.Peers)
	case *slotsFreed:
		c.offer(c.agent.clock.now())
	case *registration:
		c.next.registered = true
		c.publish()
	case *leaveRequest:
		ctx.Respond(&leaveReply{leaving: c.leave(m)})
	}
}

func (c *control) linkUp(m *linkUp) {
	c.adopt(m.session, m.hello.State, m.hello.Holds, m.hello.Peers)
	if c.next.leaving {
		m.session.ping(c.agent.clock.now())
	}
}

// adopt puts a state with a higher version in force, replaces the holds that the
// sender reports, acknowledges the version in force, and dials new peers.
func (c *control) adopt(s *session, state *release.State, holds []release.Hold, peers []wire.Peer) {
	if state != nil && state.Version > c.next.version() {
		c.next.state = state
		c.holds.dropUnlinked(func(entry entryIncarnation) bool { return c.agent.links.get(entry) != nil })
	}
	c.holds.replace(s.entry, holds)
	c.publish()
	s.send(&wire.ConfigAck{Version: c.next.version()})
	for _, p := range peers {
		c.agent.dialers.addPeer(p)
	}
}

// leave sets whether the endpoint is leaving and notifies the entries. It returns
// whether the endpoint is leaving now.
func (c *control) leave(m *leaveRequest) bool {
	if c.stopping && !m.leaving {
		return true
	}
	c.stopping = c.stopping || m.final
	c.next.leaving = m.leaving
	c.agent.running.setClosed(m.leaving)
	c.publish()
	now := c.agent.clock.now()
	for _, s := range c.agent.links.all() {
		s.ping(now)
	}
	return m.leaving
}

// publish publishes a snapshot of the control state and opens or shuts the slots
// accordingly.
func (c *control) publish() {
	c.next.inService = c.next.state.InService(c.agent.cfg.Zone, c.holds.all())
	published := c.next
	c.published.Store(&published)
	now := c.agent.clock.now()
	if !published.mayOffer() {
		c.agent.slots.shut()
		return
	}
	c.agent.slots.open(now)
	c.offer(now)
}

// offer sends credits of the free slots to entries, if grants on them could start.
func (c *control) offer(now time.Duration) {
	if !c.next.mayOffer() || c.permissionRemaining(now) <= 0 {
		return
	}
	for entry, credits := range c.agent.slots.offer(now) {
		c.agent.links.send(entry, &wire.Offer{Credits: credits, Clock: now.Milliseconds()})
	}
}

func (c *control) permissionRemaining(now time.Duration) time.Duration {
	return c.agent.permission.remaining(c.next.version(), now)
}

func (c *control) tick(now time.Duration) {
	c.renewPermission(now)
	if n := c.agent.slots.expire(now); n > 0 {
		c.agent.metrics.Count("bergamotwing_credit_leases_lapsed_total", "Credits taken back unconfirmed.", int64(n))
	}
	c.offer(now)
	for _, s := range c.agent.links.all() {
		s.watch(now)
	}
	if now-c.lastSweep >= sweepInterval {
		c.lastSweep = now
		c.agent.records.sweep(now)
	}
}

// renewPermission requests a fresh confirmation before the permission lapses. It
// pings one entry at a time, in turn.
func (c *control) renewPermission(now time.Duration) {
	if !c.next.mayOffer() {
		return
	}
	remaining := c.permissionRemaining(now)
	c.countLapse(remaining <= 0)
	interval := pingInterval
	if c.lapsed {
		interval = lapsedPingInterval
	}
	if remaining >= renewBefore || now-c.lastPing < interval {
		return
	}
	if s := c.nextInTurn(); s != nil {
		c.lastPing = now
		s.ping(now)
	}
}

func (c *control) countLapse(lapsed bool) {
	if lapsed && !c.lapsed {
		c.agent.metrics.Count("bergamotwing_permission_lapses_total", "Times the permission to start lapsed.", 1)
	}
	c.lapsed = lapsed
}

func (c *control) nextInTurn() *session {
	sessions := c.agent.links.all()
	if len(sessions) == 0 {
		return nil
	}
	slices.SortFunc(sessions, func(a, b *session) int { return cmp.Compare(a.entry.id, b.entry.id) })
	c.pingTurn++
	return sessions[c.pingTurn%len(sessions)]
}
