package agent

import (
	"context"
	"sync/atomic"
	"time"

	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

// Times after which a quiet entry is pinged and a silent one's link is closed.
const (
	quietAfter  = 15 * time.Second
	silentAfter = 20 * time.Second
	// An entry whose tasks run here hears from this agent at least this often, so
	// that it can tell long tasks from a lost agent.
	busyPingAfter = 1500 * time.Millisecond
)

// session is one link to an entry, from its hello on.
type session struct {
	agent  *Agent
	link   *wire.Link
	run    entryRun
	joined atomic.Bool
	heard  atomic.Int64 // time of the latest message
	pinged atomic.Int64 // time of the latest ping
	sent   atomic.Int64 // time of the latest message to the entry
}

// serve runs the session until the link ends. It returns whether the entry
// accepted it.
func (s *session) serve(ctx context.Context) bool {
	s.heard.Store(int64(s.agent.clock.now()))
	watchdog := time.AfterFunc(silentAfter, s.closeUnlessJoined)
	defer watchdog.Stop()
	if s.link.Send(s.agent.hello()) != nil {
		return false
	}
	err := s.link.Serve(ctx, s.handle)
	if s.joined.Load() {
		s.leave()
	}
	s.agent.log.Debug().Err(err).Str("entry", s.run.id).Bool("joined", s.joined.Load()).Msg("link ended")
	return s.joined.Load()
}

// closeUnlessJoined closes a link on which no hello came.
func (s *session) closeUnlessJoined() {
	if !s.joined.Load() {
		s.link.Close()
	}
}

// handle takes a message. The first one must be EntryHello.
func (s *session) handle(m wire.Message) {
	now := s.agent.clock.now()
	s.heard.Store(int64(now))
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

// join registers the session under the run that the hello names.
func (s *session) join(hello *wire.EntryHello, now time.Duration) bool {
	if hello.Refused != result.OK {
		s.agent.log.Warn().Str("entry", hello.Self.ID).Stringer("reason", hello.Refused).Msg("link refused")
		return false
	}
	s.run = entryRun{id: hello.Self.ID, incarnation: hello.Self.Incarnation}
	if !s.agent.links.add(s) {
		return false
	}
	s.joined.Store(true)
	s.agent.slots.link(s.run, now)
	s.agent.permission.hear(hello.Confirmation, now)
	s.agent.control.tell(&linkUp{session: s, hello: hello})
	return true
}

// leave takes the session's credits back and forgets it.
func (s *session) leave() {
	s.agent.links.remove(s)
	s.agent.slots.unlink(s.run)
	s.agent.control.tell(&slotsFreed{})
}

// dispatch hands a message after the hello to what it concerns.
func (s *session) dispatch(m wire.Message, now time.Duration) {
	switch m := m.(type) {
	case *wire.Grant:
		s.agent.handleGrant(s, m, now)
	case *wire.EntryHeartbeat:
		s.agent.permission.hear(m.Confirmation, now)
		s.agent.slots.confirm(s.run, m.Held, now)
	default:
		s.agent.slots.confirm(s.run, nil, now)
		s.dispatchControl(m, now)
	}
}

func (s *session) dispatchControl(m wire.Message, now time.Duration) {
	a := s.agent
	switch m := m.(type) {
	case *wire.ReturnCredits:
		a.slots.giveBack(m.Credits)
		a.control.tell(&slotsFreed{})
	case *wire.Config:
		a.control.tell(&configHeard{session: s, config: m})
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
	s.sent.Store(int64(s.agent.clock.now()))
	_ = s.link.Send(m)
}

// watch pings a quiet entry and closes the link of a silent one.
func (s *session) watch(now time.Duration) {
	heard := time.Duration(s.heard.Load())
	pinged := time.Duration(s.pinged.Load())
	switch {
	case now-heard >= silentAfter && pinged > heard:
		s.agent.metrics.Count("bergamotwing_silent_links_total", "Links closed since the entry was silent.", 1)
		s.link.Close()
	case now-heard >= quietAfter && now-pinged >= quietAfter:
		s.ping(now)
	case now-time.Duration(s.sent.Load()) >= busyPingAfter && s.agent.running.hasOf(s.run):
		s.ping(now)
	}
}

// ping asks for a fresh vouch and tells the agent's condition.
func (s *session) ping(now time.Duration) {
	s.pinged.Store(int64(now))
	busy, _ := s.agent.running.count()
	s.send(&wire.AgentPing{
		Clock:      now.Milliseconds(),
		Version:    s.agent.snapshot().version(),
		Leaving:    s.agent.snapshot().leaving,
		FailurePct: s.agent.failures.pct(),
		Busy:       busy,
	})
}
