package entry

import (
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

// deleteTimeout is how long a DELETE waits for the answers of the other entries:
// three times as long as it takes to notice that one of them is lost.
const deleteTimeout = time.Second

// deleteResult is what is known of a job whose client has cancelled it.
type deleteResult uint8

const (
	deleteCancelled  deleteResult = iota + 1 // it was open
	deleteNotOpen                            // no entry that may have it has it
	deleteUnanswered                         // an entry that may have it has not answered
)

// deletedOutcome answers all submissions of a deleted job.
var deletedOutcome = dispatch.Outcome{Code: result.Cancelled, Detail: "deleted by its client"}

// pendingDelete is a client's DELETE that other entries have not answered.
type pendingDelete struct {
	deleteJob
	waitsFor map[dispatch.Owner]bool
	until    time.Duration
	found    deleteResult // once all of them have answered that they do not have the job
}

// deleteJob cancels a job on its client's request, here and at all linked entries: its
// home or shard may have changed, and any of them may get a submission that is on its way.
func (s *state) deleteJob(now time.Duration, m deleteJob) {
	s.lastDelete++
	request := &wire.JobDelete{Job: m.job, Number: s.lastDelete, Host: m.host, Path: m.path}
	found := deleteNotOpen
	if s.stopTimedOut || len(s.lost) > 0 {
		found = deleteUnanswered
	}
	cancelled, kept := s.deleteHere(now, request)
	if cancelled {
		found = deleteCancelled
		request.Host, request.Path = "", "" // they named the job
	}
	if !kept {
		found = deleteUnanswered
	}
	d := &pendingDelete{m, map[dispatch.Owner]bool{}, now + deleteTimeout, found}
	for _, p := range s.peers {
		if p.Hello.NewestKind >= wire.KindJobDelete && p.Send(request) == nil {
			d.waitsFor[p.Owner()] = true
		}
	}
	s.deletes[s.lastDelete] = d
	if found == deleteCancelled || s.stopTimedOut || len(d.waitsFor) == 0 {
		s.endDelete(s.lastDelete, d, found)
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
	switch {
	case m.Cancelled:
		s.endDelete(m.Number, d, deleteCancelled)
	case len(d.waitsFor) == 0:
		s.endDelete(m.Number, d, d.found)
	}
	if m.Cancelled && d.path != "" { // host and path named the job, so all entries are to refuse it
		s.deleteJob(now, deleteJob{job: d.job, known: make(chan deleteResult, 1)})
	}
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
		if now > d.until {
			s.e.deps.Metrics.Count("bergamotwing_deletes_unanswered_total", "Requests to delete a job that another entry did not answer in time.", 1)
			s.e.deps.Log.Warn().Str("event", "delete_unanswered").Str("job", d.job).Int("entries", len(d.waitsFor)).Msg("entries did not answer in time whether they had the job")
			s.endDelete(number, d, deleteUnanswered)
		}
	}
}
