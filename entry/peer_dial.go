package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bergamotwing.example/wire"
)

// dialPeers keeps a dialling goroutine for each known peer address, and sends the
// heartbeats. Of two entries the one with the smaller id dials.
func (e *Entry) dialPeers(ctx context.Context) {
	var dialled sync.Map // addresses with a dialling goroutine
	for _, addr := range e.cfg.Peers {
		e.startDialling(ctx, &dialled, addr)
	}
	for pause(ctx, peerPoll) {
		for _, p := range e.control.view().Peers {
			e.startDialling(ctx, &dialled, p.Addr)
		}
		e.sendPeerHeartbeats()
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

// dialPeer keeps a link to one address and redials with jittered back-off.
func (e *Entry) dialPeer(ctx context.Context, addr string) {
	wait := redialFirst
	for ctx.Err() == nil && e.expectsAddr(addr) {
		if e.linkedTo(addr) {
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

// expectsAddr reports whether an entry is still expected at addr.
func (e *Entry) expectsAddr(addr string) bool {
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
		p = e.acceptPeer(link, m, dialled)
		if p == nil {
			link.Close()
		}
	})
	if p == nil || !e.peers.remove(p) {
		return
	}
	e.log.Warn().Err(err).Str("peer", p.id).Msg("peer link ended")
	e.services.each(func(s *service) { s.peerDisconnected(p.id) })
	e.forwards.peerDisconnected(p)
}

// acceptPeer handles the first message of a link; nil means the link is not used.
func (e *Entry) acceptPeer(link *wire.Link, m wire.Message, dialled bool) *peerLink {
	switch m := m.(type) {
	case *wire.PeerHello:
		if dialled {
			return nil
		}
		e.control.send(peersReceived{peers: append(m.Peers, m.Self)})
		e.control.send(stateReceived{state: m.State})
		if m.Self.ID > e.self.ID {
			return nil // this entry has the smaller id, so it dials
		}
		v := e.control.view()
		_ = link.Send(&wire.EntryHello{Self: e.self, Peers: v.Peers, State: v.State, Holds: v.Holds})
		return e.linkPeer(link, m.Self)
	case *wire.EntryHello:
		if !dialled || m.Self.ID == e.self.ID {
			return nil
		}
		e.control.send(peersReceived{peers: append(m.Peers, m.Self)})
		e.control.send(stateReceived{state: m.State})
		e.control.send(holdAdded{holds: m.Holds})
		return e.linkPeer(link, m.Self)
	default:
		return nil
	}
}
