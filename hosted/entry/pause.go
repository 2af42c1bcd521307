package entry

import (
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/mesh"
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

// pauses joins pauses of this process that follow each other closely.
type pauses struct{ began, ended time.Duration }

// add adds a pause, and returns the time from the beginning of the first of the pauses that
// count as one to the end of this one. TCP sends again what was sent during a pause at the
// latest after the length of that pause and closeResend, so in a shorter time between two
// pauses it may not have arrived.
func (p *pauses) add(began, ended time.Duration) time.Duration {
	if p.ended == 0 || began-p.ended > p.ended-p.began+closeResend {
		p.began = began
	}
	p.ended = ended
	return p.ended - p.began
}

// wake handles the end of a pause of this process, before anything else is handled. The
// other entries have counted this one as lost, and its clients may have sent their jobs to
// them, without the ends of their connections having arrived. So this entry does not act on
// what it was sent before it woke, except where that does no harm (docs/design/cancels.md).
func (s *state) wake(now, began time.Duration) {
	silence := agentLinkTimeout
	if s.doubtCancels(s.absences.add(began, now)) {
		silence = 0 // any of them may have been asked for the cancelled jobs before
	}
	s.dropSilentAgents(now, silence)
	pause := s.pauses.add(began, now)
	if pause <= s.longestPause() {
		return
	}
	s.pauses = pauses{}
	s.wokeAt = now
	clear(s.unlinked)   // their time without a link is to be one in which this process ran
	s.e.arrivals.Mark() // requests that were received before are refused by submit
	s.e.deps.Metrics.Count("bergamotwing_pauses_total", "Pauses of the process after which it did not go on with what it had been sent before.", 1)
	s.e.deps.Log.Warn().Str("event", "paused").Dur("pause_ms", pause).Dur("last_pause_ms", now-began).Int("deletes", len(s.deletes)).
		Msg("the process has paused; what it was sent before is refused")
	s.endPaused(now, pause)
	select {
	case s.e.woke <- struct{}{}: // the registered entries are read anew
	default:
	}
}

// endPaused ends the requests that were taken before a pause, and the DELETEs: entries may
// have joined meanwhile that do not know of these.
func (s *state) endPaused(now, pause time.Duration) {
	if len(s.requests) > 0 {
		s.e.deps.Metrics.Count("bergamotwing_requests_paused_total", "Requests that were ended since the process had paused for so long that their clients may have sent their jobs elsewhere.", int64(len(s.requests)))
		s.e.deps.Log.Warn().Str("event", "requests_paused").Int("requests", len(s.requests)).Dur("pause_ms", pause).Msg("requests taken before a pause of the process are ended")
	}
	for id, r := range s.requests {
		s.cancelAtHome(now, r)
		s.answer(id, dispatch.Outcome{Code: result.OutcomeUnknown, Detail: "the entry has paused for " + pause.String()})
	}
	for number, d := range s.deletes {
		s.endDelete(number, d, deleteUnanswered)
	}
}

// dropSilentAgents drops the links of agents from which nothing was received for the given
// time, with what these have brought since and is not handled yet. Agents close such links.
func (s *state) dropSilentAgents(now, silence time.Duration) {
	for _, p := range s.agents {
		if now-p.LastReceived >= silence {
			p.Close()
			s.agentDown(now, p.Link)
		}
	}
}

// refuseBeforeWake closes a link that began before this process woke, and reports whether it
// did: what it brings was sent before.
func (s *state) refuseBeforeWake(l *mesh.Link) bool {
	if l.Began >= s.wokeAt {
		return false
	}
	l.Close()
	s.e.deps.Metrics.Count("bergamotwing_links_before_wake_total", "Links that were closed since they began before the process woke from a pause.", 1)
	s.e.deps.Log.Warn().Str("event", "link_before_wake").Str("peer", l.Hello.Name).Dur("age_ms", s.wokeAt-l.Began).Msg("link closed: it began before the process woke")
	return true
}

// refuseReceivedBefore answers a request that this process may have received before it woke,
// and reports whether it did. The client may have sent the job to another entry since.
func (s *state) refuseReceivedBefore(m submit) bool {
	if !m.receivedBefore() {
		return false
	}
	s.e.deps.Metrics.Count("bergamotwing_requests_waited_total", "Requests that were refused since they may have been received before the process woke from a pause.", 1)
	s.e.deps.Log.Warn().Str("event", "request_waited").Str("job", m.job.ID).Msg("request may have been received before the process woke; nothing submitted")
	m.reply <- dispatch.Outcome{Code: result.OutcomeUnknown, Detail: "the request may have waited while the entry paused"}
	return true
}

// membersOutdated reports whether the registered entries were last read before this process
// woke, so that entries may have joined of which it does not know.
func (s *state) membersOutdated() bool { return s.wokeAt > 0 && s.membersReadAt <= s.wokeAt }
