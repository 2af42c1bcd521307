package agent

import (
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/wire"
)

// evidence is the last word of a home about a lifetime of the endpoint.
type evidence struct {
	word *dispatch.EndpointEvidence // nil: none
	from dispatch.Owner
	at   time.Duration // when it came
}

// isOfUse reports whether a home would still take the evidence.
func (v *evidence) isOfUse(now time.Duration) bool {
	return v.word != nil && now-v.at <= dispatch.EvidenceMaxAge
}

// addTo adds the evidence to a report.
func (v *evidence) addTo(now time.Duration, m *wire.EndpointReport) {
	if v.isOfUse(now) {
		m.Evidence, m.EvidenceAge = v.word, now-v.at
	}
}

// keepEvidence keeps a home's word about a lifetime that is known, in place of an earlier
// one.
func (s *state) keepEvidence(now time.Duration, from dispatch.Owner, m *wire.EndpointEvidence) {
	e := s.endpoints[m.Endpoint]
	if e == nil || !m.Evidence.Valid() {
		s.a.deps.Metrics.Count("bergamotwing_evidence_dropped_total", "Words of homes about another lifetime of the endpoint, or out of range.", 1)
		return
	}
	e.evidence = evidence{&m.Evidence, from, now}
	s.a.deps.Log.Info().Str("event", "evidence_kept").Str("endpoint", m.Endpoint.ID).Str("entry", from.Entry).Bool("ejected", m.Evidence.Ejected).
		Float64("failed", m.Evidence.Failed).Float64("unanswered", m.Evidence.Unanswered).Float64("slow", m.Evidence.Slow).Msg("word of a home about the endpoint kept for the next home")
}

// passEvidence reports the evidence of other entries to one that has become a home.
func (s *state) passEvidence(now time.Duration, p *mesh.Peer) {
	for _, e := range s.endpoints {
		if e.evidence.isOfUse(now) && e.evidence.from != p.Owner() {
			s.report(now, p, e)
		}
	}
}
