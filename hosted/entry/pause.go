package entry

import (
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/result"
)

// endPaused ends the requests that were taken before a pause of this process that was longer
// than an entry's lease: the other entries count this one as lost, and its clients may have
// left and sent their jobs to them. The end of a client's connection may come seconds later.
func (s *state) endPaused(now, pause time.Duration) {
	if len(s.requests) == 0 {
		return
	}
	s.e.deps.Metrics.Count("bergamotwing_requests_paused_total", "Requests that were ended since the process had paused for longer than an entry's lease.", int64(len(s.requests)))
	s.e.deps.Log.Warn().Str("event", "requests_paused").Int("requests", len(s.requests)).Dur("pause_ms", pause).Msg("requests taken before a pause of the process are ended")
	for id, r := range s.requests {
		s.cancelAtHome(now, r)
		s.answer(id, dispatch.Outcome{Code: result.OutcomeUnknown, Detail: "the entry has paused for " + pause.String()})
	}
}
