package entry

import (
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/result"
)

const (
	// closeResend is the first pause after which TCP sends the end of a connection again that
	// the other side has not acknowledged; the pauses double.
	closeResend = 200 * time.Millisecond
	// stopReserve is for the stops of runs to be carried out.
	stopReserve = 200 * time.Millisecond
)

// longestPause is the longest pause of this process after which it goes on with the requests
// that it had taken. A client that has left during a pause sends its job elsewhere
// ResendAfter later. The end of its connection is sent again at the latest after twice the
// pause and closeResend, and its runs are stopped then.
func (s *state) longestPause() time.Duration {
	return max(s.timing.EntryLease, (s.timing.ResendAfter-closeResend-stopReserve)/2)
}

// endPaused ends the requests that were taken before a pause of this process after which
// its clients may have left and sent their jobs to other entries, without their connections'
// ends having arrived. The other entries count this one as lost by then.
func (s *state) endPaused(now, pause time.Duration) {
	if len(s.requests) == 0 || pause <= s.longestPause() {
		return
	}
	s.e.deps.Metrics.Count("bergamotwing_requests_paused_total", "Requests that were ended since the process had paused for so long that their clients may have sent their jobs elsewhere.", int64(len(s.requests)))
	s.e.deps.Log.Warn().Str("event", "requests_paused").Int("requests", len(s.requests)).Dur("pause_ms", pause).Msg("requests taken before a pause of the process are ended")
	for id, r := range s.requests {
		s.cancelAtHome(now, r)
		s.answer(id, dispatch.Outcome{Code: result.OutcomeUnknown, Detail: "the entry has paused for " + pause.String()})
	}
}
