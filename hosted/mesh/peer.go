package mesh

import (
	"time"

	"bergamotwing.example/wire"
)

// Peer is the control actor's record of a linked process.
type Peer struct {
	*Link
	ConnectedAt      time.Duration      // when the link was made
	Clock            time.Duration      // newest clock reading received from the peer; 0: none yet
	LastReceived     time.Duration      // when the newest heartbeat was received
	Echoed           time.Duration      // newest own clock reading that the peer has echoed
	LastSent         time.Duration      // when the newest heartbeat was sent
	LastHeartbeat    wire.NodeHeartbeat // newest heartbeat of the peer
	SentHeartbeat    wire.NodeHeartbeat // newest heartbeat to the peer, without clock and echo
	BusySince        time.Duration      // since when either side may hold jobs of the other; 0: neither does
	Suspect          bool               // misses heartbeats
	RunsReported     bool               // of an agent: has reported the runs that it keeps
	HeartbeatDue     bool               // a heartbeat to the peer was put off
	SentStateVersion uint64             // newest version of the operator's state sent to the peer
}

// NewPeer returns the record of a new link.
func NewPeer(l *Link, now time.Duration) *Peer {
	return &Peer{Link: l, ConnectedAt: now, LastReceived: now, Echoed: now}
}

// ReceiveHeartbeat records a heartbeat of the peer. Clock and Echoed never decrease,
// so a late heartbeat does no harm to them.
func (p *Peer) ReceiveHeartbeat(now time.Duration, b *wire.NodeHeartbeat) {
	p.LastReceived = now
	p.Clock = max(p.Clock, b.Clock)
	p.Echoed = max(p.Echoed, b.Echo)
	p.LastHeartbeat = *b
}

// EchoOverdue reports whether the peer has echoed nothing that was sent after now - limit.
func (p *Peer) EchoOverdue(now, limit time.Duration) bool { return now-p.Echoed > limit }

// SendHeartbeat sends the heartbeat b; it sets b's clock and echo.
func (p *Peer) SendHeartbeat(now time.Duration, b wire.NodeHeartbeat) {
	p.SentHeartbeat = b
	b.Clock = now
	b.Echo = p.Clock
	p.LastSent = now
	_ = p.Send(&b) // a closed link is reported as down
}
