package agent

import (
	"context"
	"sync/atomic"
	"time"

	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

// Times without a message on a link.
const (
	idlePingAfter = 15 * time.Second // from the entry, until it is pinged
	linkTimeout   = 20 * time.Second // from the entry, until the link is closed
	// busyPingAfter is the longest time without a message to an entry whose tasks
	// run here, so that the entry can distinguish long tasks from a lost agent.
	busyPingAfter = 1500 * time.Millisecond
)

// session is one link to an entry. The entry's hello sets entry, and joined if the
// hello is accepted.
type session struct {
	agent        *Agent
	link         *wire.Link
	entry        entryIncarnation
	joined       atomic.Bool
	lastReceived atomic.Int64 // time of the latest message from the entry
	lastPing     atomic.Int64 // time of the latest ping
	lastSent     atomic.Int64 // time of the latest message to the entry
}

// serve runs the session until the link ends. It returns whether the session joined:
// the entry accepted it, and no other session with the entry was linked.
func (s *session) serve(ctx context.Context) bool {
	s.lastReceived.Store(int64(s.agent.clock.now()))
	watchdog := time.AfterFunc(linkTimeout, s.closeUnlessJoined)
	defer watchdog.Stop()
	if s.link.Send(s.agent.hello()) != nil {
		return false
	}
	err := s.link.Serve(ctx, s.handle)
	if s.joined.Load() {
		s.leave()
	}
	s.agent.log.Debug().Err(err).Str("entry", s.entry.id).Bool("joined", s.joined.Load()).Msg("link ended")
	return s.joined.Load()
}

// closeUnlessJoined closes a link on which no hello was accepted.
func (s *session) closeUnlessJoined() {
	if !s.joined.Load() {
		s.link.Close()
	}
}

// handle handles a message. The first one, and no later one, must be EntryHello.
func (s *session) handle(m wire.Message) {
	now := s.agent.clock.now()
	s.lastReceived.Store(int64(now))
	hello, isHello := m.(*wire.EntryHello)
	joined := s.joined.Load()
	switch {
	case joined && !isHello:
		s.dispatch(m, now)
	case !joined && isHello && s.join(hello, now):
	default:
		s.link.Close()
	}
}

// join registers the session under the entry incarnation that the hello names.
func (s *session) join(hello *wire.EntryHello, now time.Duration) bool {
	if hello.Refused != result.OK {
		s.agent.log.Warn().Str("entry", hello.Self.ID).Stringer("reason", hello.Refused).Msg("link refused")
		return false
	}
	s.entry = entryIncarnation{id: hello.Self.ID, incarnation: hello.Self.Incarnation}
	if !s.agent.links.add(s) {
		return false
	}
	s.joined.Store(true)
	s.agent.slots.link(s.entry, now)
	s.agent.permission.update(hello.Confirmation, now)
	s.agent.control.send(&linkUp{session: s, hello: hello})
	return true
}

// leave removes the session and takes its credits back.
func (s *session) leave() {
	s.agent.links.remove(s)
	s.agent.slots.unlink(s.entry)
	s.agent.control.send(&slotsFreed{})
}

// dispatch passes a message after the hello to the part that handles it.
func (s *session) dispatch(m wire.Message, now time.Duration) {
	switch m := m.(type) {
	case *wire.Grant:
		s.agent.handleGrant(s, m, now)
	case *wire.EntryHeartbeat:
		s.agent.permission.update(m.Confirmation, now)
		s.agent.slots.acknowledge(s.entry, m.Held, now)
	default:
		s.agent.slots.acknowledge(s.entry, nil, now)
		s.dispatchControl(m, now)
	}
}

func (s *session) dispatchControl(m wire.Message, now time.Duration) {
	a := s.agent
	switch m := m.(type) {
	case *wire.ReturnCredits:
		a.slots.returnCredits(m.Credits)
		a.control.send(&slotsFreed{})
	case *wire.Config:
		a.control.send(&configReceived{session: s, config: m})
	case *wire.Resume:
		a.handleResume(s, m)
	case *wire.Cancel:
		a.running.cancelTicket(m.Ticket, errCancelled)
	case *wire.Fence:
		a.handleFence(s, m, now)
	default:
		a.log.Warn().Stringer("kind", wire.KindOf(m)).Msg("message of an unexpected kind ignored")
	}
}

func (s *session) send(m wire.Message) {
	s.lastSent.Store(int64(s.agent.clock.now()))
	_ = s.link.Send(m)
}

// watch pings an entry over an idle link, and closes the link if the entry has
// sent nothing for linkTimeout, not even an answer to a ping. It also pings an
// entry whose tasks run here, every busyPingAfter without another message to it.
func (s *session) watch(now time.Duration) {
	lastReceived := time.Duration(s.lastReceived.Load())
	lastPing := time.Duration(s.lastPing.Load())
	switch {
	case now-lastReceived >= linkTimeout && lastPing > lastReceived:
		s.agent.metrics.Count("bergamotwing_silent_links_total", "Links closed since the entry was silent.", 1)
		s.link.Close()
	case now-lastReceived >= idlePingAfter && now-lastPing >= idlePingAfter:
		s.ping(now)
	case now-time.Duration(s.lastSent.Load()) >= busyPingAfter && s.agent.running.hasTaskOf(s.entry):
		s.ping(now)
	}
}

// ping requests a fresh confirmation and reports the agent's condition.
func (s *session) ping(now time.Duration) {
	s.lastPing.Store(int64(now))
	busy, _ := s.agent.running.count()
	s.send(&wire.AgentPing{
		Clock:      now.Milliseconds(),
		Version:    s.agent.snapshot().version(),
		Leaving:    s.agent.snapshot().leaving,
		FailurePct: s.agent.failures.pct(),
		Busy:       busy,
	})
}
