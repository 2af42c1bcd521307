package entry

import (
	"time"

	"bergamotwing.example/wire"
)

func (e *Entry) beatOf(p *peerLink, m *wire.PeerHeartbeat) {
	now := time.Now()
	p.clocks.heard(m.Clock, now)
	if m.Clock > p.clock.Load() {
		p.clock.Store(m.Clock)
	}
	p.report.Store(&peerReport{version: m.Version, echo: m.Echo})
	p.fast.Store(m.Fast)
	p.leaving.Store(m.Leaving)
	e.control.send(holdAdded{holds: m.Holds})
	e.control.vouchedBy(m.Confirmation)
	if m.Version < e.control.view().version() {
		v := e.control.view()
		p.send(&wire.Config{State: v.State, Holds: v.Holds})
	}
	for _, c := range m.IdleCredits {
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
	p.send(&wire.PeerHeartbeat{
		Clock:        e.clock(),
		Echo:         echo,
		Version:      v.version(),
		Confirmation: e.control.vouch(&p.clocks),
		Holds:        v.Holds,
		IdleCredits:  spare,
		Fast:         e.control.storeLate(),
		Leaving:      e.stopping.Load(),
		Probe:        probe,
	})
}
