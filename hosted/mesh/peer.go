package mesh

import (
	"time"

	"bergamotwing.example/wire"
)

// Peer is the control actor's record of a linked process.
type Peer struct {
	*Link
	Up       time.Duration // when the link was made
	Clock    time.Duration // newest reading of the peer's clock; 0: none yet
	HeardAt  time.Duration // when the newest heartbeat came
	Echoed   time.Duration // newest own clock reading that the peer has confirmed
	LastSent time.Duration // when the newest heartbeat was sent
	Beat     wire.NodeBeat // newest heartbeat of the peer
	Sent     wire.NodeBeat // newest heartbeat to it, without clock and echo
	Urgent   time.Duration // since when either side holds jobs of the other; 0: neither does
	Quiet    bool          // misses heartbeats
	Told     uint64        // newest version of the operator's state that was sent
}

// NewPeer returns the record of a new link.
func NewPeer(l *Link, now time.Duration) *Peer {
	return &Peer{Link: l, Up: now, HeardAt: now, Echoed: now}
}

// Heard takes in a heartbeat. Readings never go back, so a late one does no harm.
func (p *Peer) Heard(now time.Duration, b *wire.NodeBeat) {
	p.HeardAt = now
	p.Clock = max(p.Clock, b.Clock)
	p.Echoed = max(p.Echoed, b.Echo)
	p.Beat = *b
}

// Silent reports whether the peer has confirmed nothing sent after now - limit.
func (p *Peer) Silent(now, limit time.Duration) bool { return now-p.Echoed > limit }

// SendBeat sends a heartbeat; b needs no clock or echo.
func (p *Peer) SendBeat(now time.Duration, b wire.NodeBeat) {
	p.Sent = b
	b.Clock = now
	b.Echo = p.Clock
	p.LastSent = now
	_ = p.Send(&b) // a closed link is reported as down
}
