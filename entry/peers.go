package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bergamotwing.example/placement"
	"bergamotwing.example/wire"
)

// Times of the links between entries.
const (
	peerBeatEach   = 1500 * time.Millisecond // between two beats, for each peer that there is
	peerBeatFast   = 200 * time.Millisecond  // while one of the two cannot read the store
	peerQuietAfter = 800 * time.Millisecond  // a peer that requests wait for is probed
	peerQuietBeats = 2                       // any other peer is probed after so many beats' time
	probeTimeout   = 1200 * time.Millisecond // a peer that does not answer a probe counts as gone
	peerPoll       = 50 * time.Millisecond
	redialFirst    = 100 * time.Millisecond
	redialLongest  = 3 * time.Second
)

// peerReport is what a peer said of its configuration: Version was its newest
// at a moment not earlier than this entry's clock reading echo.
type peerReport struct {
	version uint64
	echo    int64
}

// peerLink is another entry's run, linked.
type peerLink struct {
	id          string
	incarnation wire.Incarnation
	addr        string
	zone        string
	link        *wire.Link
	clocks      clockRing

	report   atomic.Pointer[peerReport]
	acked    atomic.Uint64 // version it has confirmed
	clock    atomic.Int64  // newest clock reading received from it
	heardAt  atomic.Int64  // entry clock, ms
	beatAt   atomic.Int64  // entry clock, ms, of the last beat sent: no other message carries its report
	probedAt atomic.Int64  // entry clock, ms, of the last probe
	fast     atomic.Bool   // it asked for frequent beats
	leaving  atomic.Bool   // it is stopping
}

// send queues m; it returns false if the link is closed.
func (p *peerLink) send(m wire.Message) bool { return p.link.Send(m) == nil }

// peerSet holds the entries linked now.
type peerSet struct {
	mu   sync.RWMutex
	byID map[string]*peerLink
}

func newPeerSet() *peerSet { return &peerSet{byID: map[string]*peerLink{}} }

func (s *peerSet) get(id string) *peerLink {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byID[id]
}

func (s *peerSet) swap(p *peerLink) *peerLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.byID[p.id]
	s.byID[p.id] = p
	return old
}

func (s *peerSet) remove(p *peerLink) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[p.id] != p {
		return false
	}
	delete(s.byID, p.id)
	return true
}

func (s *peerSet) list() []*peerLink {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]*peerLink, 0, len(s.byID))
	for _, p := range s.byID {
		out = append(out, p)
	}
	return out
}

func (s *peerSet) each(f func(*peerLink)) {
	for _, p := range s.list() {
		f(p)
	}
}

// linkedTo reports whether the entry at addr is linked, by whichever side.
func (s *peerSet) linkedTo(addr string) bool {
	return slices.ContainsFunc(s.list(), func(p *peerLink) bool { return p.addr == addr })
}

func (s *peerSet) closeAll() { s.each(func(p *peerLink) { p.link.Close() }) }

// dialPeers keeps a dialling goroutine for each address heard of, and sends
// beats. Of two entries the one with the smaller id dials.
func (e *Entry) dialPeers(ctx context.Context) {
	var dialled sync.Map // addresses with a dialling goroutine
	for _, addr := range e.cfg.Peers {
		e.startDialling(ctx, &dialled, addr)
	}
	for pause(ctx, peerPoll) {
		for _, p := range e.control.view().Peers {
			e.startDialling(ctx, &dialled, p.Addr)
		}
		e.beatPeers()
	}
}

func (e *Entry) startDialling(ctx context.Context, dialled *sync.Map, addr string) {
	if addr == e.self.Addr || addr == "" {
		return
	}
	if _, running := dialled.LoadOrStore(addr, true); running {
		return
	}
	e.background(ctx, func(ctx context.Context) {
		defer dialled.Delete(addr)
		e.dialPeer(ctx, addr)
	})
}

// dialPeer keeps a link to one address, with jittered back-off.
func (e *Entry) dialPeer(ctx context.Context, addr string) {
	wait := redialFirst
	for ctx.Err() == nil && e.knowsAddr(addr) {
		if e.peers.linkedTo(addr) {
			pause(ctx, redialFirst)
			continue
		}
		link, err := wire.Dial(ctx, addr, "/link/peer", wire.LinkToken(e.secrets[0]), e.linkTLS, e.obs)
		if err == nil {
			began := time.Now()
			_ = link.Send(&wire.PeerHello{Self: e.self, Peers: e.control.view().Peers, State: e.control.view().State})
			e.readPeer(ctx, link, true)
			if time.Since(began) > redialLongest {
				wait = redialFirst
			}
		}
		if !pause(ctx, wait/2+rand.N(wait)) { //nolint:gosec // spreads load, keeps no secret
			return
		}
		wait = min(2*wait, redialLongest)
	}
}

// knowsAddr reports whether an entry is still expected at addr.
func (e *Entry) knowsAddr(addr string) bool {
	return slices.Contains(e.cfg.Peers, addr) ||
		slices.ContainsFunc(e.control.view().Peers, func(p wire.Peer) bool { return p.Addr == addr })
}

func (e *Entry) servePeer(ctx context.Context, link *wire.Link) { e.readPeer(ctx, link, false) }

// readPeer reads one link to a peer until it ends.
func (e *Entry) readPeer(ctx context.Context, link *wire.Link, dialled bool) {
	var p *peerLink
	hello := time.AfterFunc(helloTimeout, link.Close)
	defer hello.Stop()
	err := link.Serve(ctx, func(m wire.Message) {
		if p != nil {
			e.fromPeer(p, m)
			return
		}
		hello.Stop()
		p = e.greetPeer(link, m, dialled)
		if p == nil {
			link.Close()
		}
	})
	if p == nil || !e.peers.remove(p) {
		return
	}
	e.log.Warn().Err(err).Str("peer", p.id).Msg("peer link ended")
	e.services.each(func(s *service) { s.peerGone(p.id) })
	e.forwards.peerGone(p)
}

// greetPeer handles the first message of a link; nil means the link is not used.
func (e *Entry) greetPeer(link *wire.Link, m wire.Message, dialled bool) *peerLink {
	switch m := m.(type) {
	case *wire.PeerHello:
		if dialled {
			return nil
		}
		e.control.send(peerHeard{peers: append(m.Peers, m.Self)})
		e.control.send(stateHeard{state: m.State})
		if m.Self.ID > e.self.ID {
			return nil // this entry has the smaller id: it dials
		}
		v := e.control.view()
		_ = link.Send(&wire.EntryHello{Self: e.self, Peers: v.Peers, State: v.State, Holds: v.Holds})
		return e.linkPeer(link, m.Self)
	case *wire.EntryHello:
		if !dialled || m.Self.ID == e.self.ID {
			return nil
		}
		e.control.send(peerHeard{peers: append(m.Peers, m.Self)})
		e.control.send(stateHeard{state: m.State})
		e.control.send(holdAdded{holds: m.Holds})
		return e.linkPeer(link, m.Self)
	default:
		return nil
	}
}

func (e *Entry) linkPeer(link *wire.Link, self wire.Peer) *peerLink {
	p := &peerLink{id: self.ID, incarnation: self.Incarnation, addr: self.Addr, zone: self.Zone, link: link}
	p.report.Store(&peerReport{})
	p.heardAt.Store(e.clock())
	if old := e.peers.swap(p); old != nil {
		old.link.Close()
		e.forwards.peerGone(old)
	}
	e.log.Info().Str("peer", p.id).Msg("peer linked")
	e.services.each(func(s *service) { s.peerLinked(p.id) })
	e.beatPeer(p, false)
	return p
}

// fromPeer handles one message of a peer.
func (e *Entry) fromPeer(p *peerLink, m wire.Message) {
	p.heardAt.Store(e.clock())
	switch m := m.(type) {
	case *wire.PeerBeat:
		e.beatOf(p, m)
	case *wire.CreditAsk:
		e.services.get(m.Service).asked(p, m)
	case *wire.CreditGive:
		e.services.get(m.Service).given(p, m)
	case *wire.Config:
		e.control.send(stateHeard{state: m.State})
		e.control.send(holdAdded{holds: m.Holds})
		if m.State != nil {
			e.control.send(ackTo{peer: p})
		}
	case *wire.ConfigAck:
		p.acked.Store(m.Version)
	case *wire.Forward:
		if m.Method == methodTickets {
			e.issueToPeer(p, m)
			return
		}
		e.background(context.Background(), func(context.Context) { e.answerForward(p, m) })
	case *wire.ForwardReply:
		e.forwards.reply(m)
	case *wire.Handover:
		e.heirs.receive(e, p, m)
	case *wire.Heir:
		e.heirs.note(m)
	case *wire.HandoverAck:
		e.heirs.acked(m.Incarnation)
	default:
		e.log.Warn().Str("peer", p.id).Stringer("kind", wire.KindOf(m)).Msg("unexpected message")
	}
}

func (e *Entry) beatOf(p *peerLink, m *wire.PeerBeat) {
	now := time.Now()
	p.clocks.heard(m.Clock, now)
	if m.Clock > p.clock.Load() {
		p.clock.Store(m.Clock)
	}
	p.report.Store(&peerReport{version: m.Version, echo: m.Echo})
	p.fast.Store(m.Fast)
	p.leaving.Store(m.Leaving)
	e.control.send(holdAdded{holds: m.Holds})
	e.control.vouchedBy(m.Vouch)
	if m.Version < e.control.view().version() {
		v := e.control.view()
		p.send(&wire.Config{State: v.State, Holds: v.Holds})
	}
	for _, c := range m.Spare {
		e.services.get(c.Service).peerSpare(p.id, c.Count)
	}
	if m.Probe {
		e.beatPeer(p, false)
	}
}

// beatPeers sends the beats that are due, probes quiet peers and closes links
// on which a probe was not answered.
func (e *Entry) beatPeers() {
	peers := e.peers.list()
	regular := peerBeatEach * time.Duration(max(1, len(peers)))
	for _, p := range peers {
		now := e.clock()
		if p.probedAt.Load() > p.heardAt.Load() && now-p.probedAt.Load() >= probeTimeout.Milliseconds() {
			e.log.Warn().Str("peer", p.id).Msg("peer is silent")
			p.link.Close()
			continue
		}
		every := regular
		if p.fast.Load() || e.control.storeLate() {
			every = peerBeatFast
		}
		probe := e.probeDue(p, now, regular)
		if probe || now-p.beatAt.Load() >= every.Milliseconds() {
			e.beatPeer(p, probe)
		}
	}
}

// probeDue reports whether a peer must show now that it is alive.
func (e *Entry) probeDue(p *peerLink, now int64, regular time.Duration) bool {
	if p.probedAt.Load() > p.heardAt.Load() {
		return false // one is under way
	}
	quiet := peerQuietBeats * regular
	if e.forwards.waitFor(p) {
		quiet = peerQuietAfter
	}
	return now-p.heardAt.Load() >= quiet.Milliseconds()
}

// beatPeer sends a beat; a probe is answered with a beat at once.
func (e *Entry) beatPeer(p *peerLink, probe bool) {
	if probe {
		p.probedAt.Store(e.clock())
	}
	// The echo is read before the version: the version is then at least as new
	// as the moment the echo stands for.
	p.beatAt.Store(e.clock())
	echo := p.clock.Load()
	v := e.control.view()
	var spare []wire.ServiceCount
	e.services.each(func(s *service) { spare = append(spare, s.spare()) })
	p.send(&wire.PeerBeat{
		Clock:   e.clock(),
		Echo:    echo,
		Version: v.version(),
		Vouch:   e.control.vouch(&p.clocks),
		Holds:   v.Holds,
		Spare:   spare,
		Fast:    e.control.storeLate(),
		Leaving: e.stopping.Load(),
		Probe:   probe,
	})
}

func (s *service) peerLinked(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetPeer(id)
}

func (s *service) peerGone(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.RemovePeer(id)
}

func (s *service) peerSpare(id string, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetPeer(id)
	s.queue.PeerSpare(id, count)
}

func (s *service) spare() wire.ServiceCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wire.ServiceCount{Service: s.name, Count: s.queue.Spare()}
}

// asked handles a peer's ask for credits.
func (s *service) asked(p *peerLink, m *wire.CreditAsk) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetPeer(p.id)
	s.queue.PeerWants(now, p.id, m.Want, time.Duration(m.OldestMS)*time.Millisecond)
	s.dispatch(now)
}

// given takes credits a peer passed on. Those of agents not linked here are
// left to their lease.
func (s *service) given(p *peerLink, m *wire.CreditGive) {
	credits := make([]placement.Credit, 0, len(m.Credits))
	for _, c := range m.Credits {
		if a := s.e.agents.get(c.Agent); a != nil && a.incarnation == c.Incarnation {
			credits = append(credits, a.credit(c.Credit))
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetPeer(p.id)
	s.queue.PeerGave(p.id, credits)
	for _, c := range m.Spare {
		s.queue.PeerSpare(p.id, c.Count)
	}
	s.dispatch(time.Now())
}
