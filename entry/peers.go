package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"bergamotwing.example/wire"
)

// Times of the links between entries.
const (
	peerHeartbeatPerPeer = 1500 * time.Millisecond // interval of heartbeats, multiplied by the number of peers
	peerHeartbeatFast    = 200 * time.Millisecond  // interval of heartbeats while one of the two entries cannot read the store
	probeAwaitedAfter    = 800 * time.Millisecond  // a peer on which requests wait is probed after this time without a message
	probeIdleIntervals   = 2                       // any other peer is probed after this many intervals without a message
	probeTimeout         = 1200 * time.Millisecond // the link to a peer that does not answer a probe is closed after this time
	peerPoll             = 50 * time.Millisecond   // between two checks for addresses to dial and heartbeats that are due
	redialFirst          = 100 * time.Millisecond  // pause before the first redial, before jitter
	redialLongest        = 3 * time.Second         // longest pause before a redial, before jitter
)

// peerReport is a peer's report on its configuration: version was its newest at a
// moment not earlier than this entry's clock reading echo.
type peerReport struct {
	version uint64
	echo    int64
}

// peerLink is a link to an incarnation of another entry.
type peerLink struct {
	id          string
	incarnation wire.Incarnation
	addr        string
	zone        string
	link        *wire.Link
	clocks      clockRing

	report       atomic.Pointer[peerReport]
	acked        atomic.Uint64 // version that the peer has acknowledged
	clock        atomic.Int64  // newest clock reading received from the peer
	lastReceived atomic.Int64  // entry clock, ms
	heartbeatAt  atomic.Int64  // entry clock, ms, of the last heartbeat sent; no other message carries this entry's report
	probedAt     atomic.Int64  // entry clock, ms, of the last probe
	fast         atomic.Bool   // the peer asked for frequent heartbeats
	leaving      atomic.Bool   // the peer is stopping
}

// send queues m; it returns false if the link is closed.
func (p *peerLink) send(m wire.Message) bool { return p.link.Send(m) == nil }

func (p *peerLink) name() string { return p.id }

func (p *peerLink) close() { p.link.Close() }

// linkedTo reports whether the entry at addr is linked, whichever side dialled.
func (e *Entry) linkedTo(addr string) bool {
	return slices.ContainsFunc(e.peers.list(), func(p *peerLink) bool { return p.addr == addr })
}

func (e *Entry) linkPeer(link *wire.Link, self wire.Peer) *peerLink {
	p := &peerLink{id: self.ID, incarnation: self.Incarnation, addr: self.Addr, zone: self.Zone, link: link}
	p.report.Store(&peerReport{})
	p.lastReceived.Store(e.clock())
	if old := e.peers.swap(p); old != nil {
		old.link.Close()
		e.forwards.peerDisconnected(old)
	}
	e.log.Info().Str("peer", p.id).Msg("peer linked")
	e.services.each(func(s *service) { s.peerLinked(p.id) })
	e.sendPeerHeartbeat(p, false)
	return p
}

// fromPeer handles one message of a peer.
func (e *Entry) fromPeer(p *peerLink, m wire.Message) {
	p.lastReceived.Store(e.clock())
	switch m := m.(type) {
	case *wire.PeerHeartbeat:
		e.handlePeerHeartbeat(p, m)
	case *wire.CreditRequest:
		e.services.get(m.Service).handleCreditRequest(p, m)
	case *wire.CreditTransfer:
		e.services.get(m.Service).handleCreditTransfer(p, m)
	case *wire.Config:
		e.control.send(stateReceived{state: m.State})
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
		e.forwards.handleReply(m)
	case *wire.Handover:
		e.successors.handleHandover(e, p, m)
	case *wire.Successor:
		e.successors.handleSuccessor(m)
	case *wire.HandoverAck:
		e.successors.handleHandoverAck(m.Incarnation)
	default:
		e.log.Warn().Str("peer", p.id).Stringer("kind", wire.KindOf(m)).Msg("unexpected message")
	}
}
