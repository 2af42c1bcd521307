package entry

import (
	"time"

	"bergamotwing.example/wire"
)

func (e *Entry) handlePeerHeartbeat(p *peerLink, m *wire.PeerHeartbeat) {
	now := time.Now()
	p.clocks.add(m.Clock, now)
	if m.Clock > p.clock.Load() {
		p.clock.Store(m.Clock)
	}
	p.report.Store(&peerReport{version: m.Version, echo: m.Echo})
	p.fast.Store(m.Fast)
	p.leaving.Store(m.Leaving)
	e.control.send(holdAdded{holds: m.Holds})
	e.control.handleConfirmation(m.Confirmation)
	if m.Version < e.control.view().version() {
		v := e.control.view()
		p.send(&wire.Config{State: v.State, Holds: v.Holds})
	}
	for _, c := range m.IdleCredits {
		e.services.get(c.Service).setPeerIdle(p.id, c.Count)
	}
	if m.Probe {
		e.sendPeerHeartbeat(p, false)
	}
}

// sendPeerHeartbeats sends the heartbeats that are due, probes the peers that have
// sent nothing for a while and closes the links on which a probe was not answered.
func (e *Entry) sendPeerHeartbeats() {
	peers := e.peers.list()
	regular := peerHeartbeatPerPeer * time.Duration(max(1, len(peers)))
	for _, p := range peers {
		now := e.clock()
		if p.probedAt.Load() > p.lastReceived.Load() && now-p.probedAt.Load() >= probeTimeout.Milliseconds() {
			e.log.Warn().Str("peer", p.id).Msg("peer did not answer a probe")
			p.link.Close()
			continue
		}
		every := regular
		if p.fast.Load() || e.control.storeLate() {
			every = peerHeartbeatFast
		}
		probe := e.probeDue(p, now, regular)
		if probe || now-p.heartbeatAt.Load() >= every.Milliseconds() {
			e.sendPeerHeartbeat(p, probe)
		}
	}
}

// probeDue reports whether a peer must be probed now.
func (e *Entry) probeDue(p *peerLink, now int64, regular time.Duration) bool {
	if p.probedAt.Load() > p.lastReceived.Load() {
		return false // a probe is pending
	}
	idleLimit := probeIdleIntervals * regular
	if e.forwards.hasPendingFor(p) {
		idleLimit = probeAwaitedAfter
	}
	return now-p.lastReceived.Load() >= idleLimit.Milliseconds()
}

// sendPeerHeartbeat sends a heartbeat. If it is a probe, the peer answers with a
// heartbeat at once.
func (e *Entry) sendPeerHeartbeat(p *peerLink, probe bool) {
	if probe {
		p.probedAt.Store(e.clock())
	}
	// The echo is read before the version, so the version is at least as new as
	// the one in force at the moment of the echo.
	p.heartbeatAt.Store(e.clock())
	echo := p.clock.Load()
	v := e.control.view()
	var idleCredits []wire.ServiceCount
	e.services.each(func(s *service) { idleCredits = append(idleCredits, s.idleCredits()) })
	p.send(&wire.PeerHeartbeat{
		Clock:        e.clock(),
		Echo:         echo,
		Version:      v.version(),
		Confirmation: e.control.confirmation(&p.clocks),
		Holds:        v.Holds,
		IdleCredits:  idleCredits,
		Fast:         e.control.storeLate(),
		Leaving:      e.stopping.Load(),
		Probe:        probe,
	})
}
