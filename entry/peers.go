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

func (p *peerLink) name() string { return p.id }

func (p *peerLink) close() { p.link.Close() }

// linkedTo reports whether the entry at addr is linked, by whichever side.
func (e *Entry) linkedTo(addr string) bool {
	return slices.ContainsFunc(e.peers.list(), func(p *peerLink) bool { return p.addr == addr })
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
	case *wire.PeerHeartbeat:
		e.beatOf(p, m)
	case *wire.CreditRequest:
		e.services.get(m.Service).asked(p, m)
	case *wire.CreditTransfer:
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
	case *wire.Successor:
		e.heirs.note(m)
	case *wire.HandoverAck:
		e.heirs.acked(m.Incarnation)
	default:
		e.log.Warn().Str("peer", p.id).Stringer("kind", wire.KindOf(m)).Msg("unexpected message")
	}
}
