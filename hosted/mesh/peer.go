package mesh

import (
	"time"

	"bergamotwing.example/wire"
)

// Peer is the control actor's record of a linked process.
type Peer struct {
	*Link
	ConnectedAt      time.Duration      // when the link was made
	Clock            time.Duration      // newest reading of the peer's clock; 0: none yet
	LastReceived     time.Duration      // when the newest heartbeat came
	Echoed           time.Duration      // newest own clock reading that the peer has confirmed
	LastSent         time.Duration      // when the newest heartbeat was sent
	LastHeartbeat    wire.NodeHeartbeat // newest heartbeat of the peer
	SentHeartbeat    wire.NodeHeartbeat // newest heartbeat to it, without clock and echo
	BusySince        time.Duration      // since when either side holds jobs of the other; 0: neither does
	Suspect          bool               // misses heartbeats
	SentStateVersion uint64             // newest version of the operator's state that was sent
}

// NewPeer returns the record of a new link.
func NewPeer(l *Link, now time.Duration) *Peer {
	return &Peer{Link: l, ConnectedAt: now, LastReceived: now, Echoed: now}
}

// ReceiveHeartbeat takes in a heartbeat. Readings never go back, so a late one does no harm.
func (p *Peer) ReceiveHeartbeat(now time.Duration, b *wire.NodeHeartbeat) {
	p.LastReceived = now
	p.Clock = max(p.Clock, b.Clock)
	p.Echoed = max(p.Echoed, b.Echo)
	p.LastHeartbeat = *b
}

// LeaseExpired reports whether the peer has echoed nothing that was sent after now - lease.
func (p *Peer) LeaseExpired(now, lease time.Duration) bool { return now-p.Echoed > lease }

// SendHeartbeat sends a heartbeat; b needs no clock or echo.
func (p *Peer) SendHeartbeat(now time.Duration, b wire.NodeHeartbeat) {
	p.SentHeartbeat = b
	b.Clock = now
	b.Echo = p.Clock
	p.LastSent = now
	_ = p.Send(&b) // a closed link is reported as down
}
