package entry

import (
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

const (
	// deleteTimeout is how long a DELETE waits for the answers of the other entries and of
	// the store: three times as long as it takes to notice that an entry is lost.
	deleteTimeout = time.Second
	// refusedFor is how long a refused dial says that no process runs at an entry's address:
	// two pauses between dials. One that starts meanwhile reads the cancelled jobs first.
	refusedFor = time.Second
)

// deleteResult is what is known of a job whose client has cancelled it.
type deleteResult uint8

const (
	deleteCancelled  deleteResult = iota + 1 // it was open
	deleteNotOpen                            // no entry that may have it has it
	deleteUnanswered                         // an entry that may have it, or may get it, has not answered
	deleteNotStored                          // entries that restart together may not learn of it
)

// deletedOutcome answers all submissions of a deleted job.
var deletedOutcome = dispatch.Outcome{Code: result.Cancelled, Detail: "deleted by its client"}

// pendingDelete is a client's DELETE that is not acknowledged yet.
type pendingDelete struct {
	deleteJob
	waitsFor map[dispatch.Owner]bool // entries that have not answered
	storing  bool                    // the store has not taken its row yet
	until    time.Duration
	found    deleteResult // once nothing is awaited
}

// deleteJob cancels a job on its client's request, here and at all linked entries: its
// home or shard may have changed, and any of them may get a submission that is on its way.
func (s *state) deleteJob(now time.Duration, m deleteJob) { s.startDelete(now, m, deleteNotOpen) }

// startDelete is deleteJob where another entry may have had the job already.
func (s *state) startDelete(now time.Duration, m deleteJob, found deleteResult) {
	s.lastDelete++
	number := s.lastDelete
	request := &wire.JobDelete{Job: m.job, Number: number, Host: m.host, Path: m.path}
	cancelled, kept := s.deleteHere(now, request)
	if cancelled {
		found = deleteCancelled
		request.Host, request.Path = "", "" // they named the job
		m.host, m.path = "", ""
	}
	d := &pendingDelete{deleteJob: m, waitsFor: map[dispatch.Owner]bool{}, until: now + deleteTimeout, found: found}
	s.deletes[number] = d
	for _, p := range s.peers {
		if p.Hello.NewestKind >= wire.KindJobDelete && p.Send(request) == nil {
			d.waitsFor[p.Owner()] = true
		}
	}
	if !kept || s.stopTimedOut || s.anyEntryMissing(now) {
		s.endDelete(number, d, deleteUnanswered)
		return
	}
	if m.path == "" { // else it is not known whether they name the job
		d.storing = true
		s.storeCancel(now, number)
	}
	s.endIfAnswered(number, d)
}

// anyEntryMissing reports whether there may be an entry without a link that runs: one whose
// link is down within its lease, or that is registered, as far as is known.
func (s *state) anyEntryMissing(now time.Duration) bool {
	if len(s.lost) > 0 || s.storeCancels != nil && s.membersOutdated() {
		return true
	}
	for name, m := range s.members {
		if at, refused := s.refusedAt[m.Addr]; s.peers[name] == nil && (!refused || at < s.wokeAt || now-at > refusedFor) {
			return true
		}
	}
	return false
}

// endIfAnswered answers a DELETE for which nothing is awaited any more.
func (s *state) endIfAnswered(number uint64, d *pendingDelete) {
	if s.deletes[number] == d && len(d.waitsFor) == 0 && !d.storing {
		s.endDelete(number, d, d.found)
	}
}

// deleteHere cancels a job of any entry in the schedulers here, and of a client that waits
// here. It reports whether there was one, and whether later submissions of the job are
// refused, unless host and path did not name it.
func (s *state) deleteHere(now time.Duration, m *wire.JobDelete) (cancelled, kept bool) {
	job := m.Job
	named := func(r dispatch.Route) bool { return m.Path == "" || r.NamesJob(m.Host, m.Path, job) }
	kept = true
	for _, sched := range s.schedulers {
		cancelled = named(sched.RouteOf(job)) && sched.Delete(now, job, deletedOutcome) || cancelled
	}
	if r := s.requests[job]; r != nil && named(r.route) {
		cancelled = true
		s.cancelAtHome(now, r)
		s.answer(job, deletedOutcome)
	}
	if cancelled || m.Path == "" {
		keep := s.e.jobRetention()
		if m.Keep > 0 {
			keep = min(keep, m.Keep)
		}
		kept = s.deleted.add(job, now+keep)
	}
	if !kept {
		s.e.deps.Metrics.Count("bergamotwing_deletes_full_total", "DELETEs of which no id was kept, for lack of room.", 1)
	}
	if cancelled {
		s.e.deps.Log.Info().Str("event", "job_deleted").Str("job", job).Msg("job cancelled on its client's request")
	}
	return cancelled, kept
}

// jobRetention is how long a job's submission may arrive after its DELETE.
func (e *Entry) jobRetention() time.Duration {
	if e.node.JobRetention <= 0 {
		return platform.DefaultJobRetention
	}
	return e.node.JobRetention
}

// wasDeleted reports whether a submission comes after its job was deleted, and counts it.
func (s *state) wasDeleted(now time.Duration, job string) bool {
	if !s.deleted.has(now, job) {
		return false
	}
	s.e.deps.Metrics.Count("bergamotwing_submissions_deleted_total", "Submissions of jobs that had been deleted.", 1)
	s.e.deps.Log.Info().Str("event", "submission_deleted").Str("job", job).Msg("submission answered as cancelled: the job was deleted before")
	return true
}

func (s *state) deleteAnswered(now time.Duration, by dispatch.Owner, m *wire.JobDeleted) {
	d := s.deletes[m.Number]
	if d == nil {
		return
	}
	delete(d.waitsFor, by)
	if m.Cancelled && d.path != "" { // host and path named the job, so all entries are to refuse it
		delete(s.deletes, m.Number)
		s.startDelete(now, deleteJob{job: d.job, known: d.known}, deleteCancelled)
		return
	}
	if m.Cancelled {
		d.found = deleteCancelled
	}
	s.endIfAnswered(m.Number, d)
}

func (s *state) endDelete(number uint64, d *pendingDelete, found deleteResult) {
	delete(s.deletes, number)
	d.known <- found
}

// resendDeletes sends, on a new link, the jobs that were deleted while it was down or that
// the other side may not have read of.
func (s *state) resendDeletes(now time.Duration, p *mesh.Peer) {
	if p.Hello.NewestKind < wire.KindJobDelete {
		return
	}
	for _, d := range s.deleted.order {
		if keep := s.deleted.until[d.job] - now; keep > 0 {
			_ = p.Send(&wire.JobDelete{Job: d.job.String(), Keep: keep}) // a closed link is reported as down
		}
	}
}

// expireDeletes answers the requests to delete a job that have waited for too long, and
// forgets the jobs that were deleted long ago.
func (s *state) expireDeletes(now time.Duration) {
	s.deleted.expire(now)
	for number, d := range s.deletes {
		if now <= d.until {
			continue
		}
		if len(d.waitsFor) == 0 {
			s.cancelNotStored(d.job, "unanswered")
			s.endDelete(number, d, deleteNotStored)
			continue
		}
		s.e.deps.Metrics.Count("bergamotwing_deletes_unanswered_total", "Requests to delete a job that another entry did not answer in time.", 1)
		s.e.deps.Log.Warn().Str("event", "delete_unanswered").Str("job", d.job).Int("entries", len(d.waitsFor)).Msg("entries did not answer in time whether they had the job")
		s.endDelete(number, d, deleteUnanswered)
	}
}
