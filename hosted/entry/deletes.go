package entry

import (
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

const (
	// deleteTimeout is how long a DELETE waits for the answers of the other entries:
	// three times as long as it takes to notice that one of them is lost.
	deleteTimeout = time.Second
	// deletedResends is for how many resend times of the platform submissions of a
	// deleted job are answered as cancelled. Two resends may be on their way.
	deletedResends = 4
	// maxDeleted is how many deleted jobs are kept; the oldest is dropped first.
	maxDeleted = 20_000
)

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

// deletedJobs holds the ids of deleted jobs for a time.
type deletedJobs struct {
	until map[string]time.Duration
	order []deletedID // oldest first
}

type deletedID struct {
	job   string
	until time.Duration
}

func (d *deletedJobs) add(job string, until time.Duration) {
	if d.until == nil {
		d.until = map[string]time.Duration{}
	}
	d.until[job] = until
	d.order = append(d.order, deletedID{job, until})
	if len(d.order) > maxDeleted {
		d.dropOldest()
	}
}

func (d *deletedJobs) dropOldest() {
	if oldest := d.order[0]; d.until[oldest.job] == oldest.until { // else it was deleted again
		delete(d.until, oldest.job)
	}
	d.order = d.order[1:]
}

func (d *deletedJobs) expire(now time.Duration) {
	for len(d.order) > 0 && now > d.order[0].until {
		d.dropOldest()
	}
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
	if s.deleteHere(now, request) {
		found = deleteCancelled
		request.Host, request.Path = "", "" // they named the job
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
// here. It reports whether there was one.
func (s *state) deleteHere(now time.Duration, m *wire.JobDelete) bool {
	job := m.Job
	named := func(r dispatch.Route) bool { return m.Path == "" || r.NamesJob(m.Host, m.Path, job) }
	cancelled := false
	for _, sched := range s.schedulers {
		cancelled = named(sched.RouteOf(job)) && sched.Delete(now, job, deletedOutcome) || cancelled
	}
	if r := s.requests[job]; r != nil && named(r.route) {
		cancelled = true
		s.cancelAtHome(now, r)
		s.answer(job, deletedOutcome)
	}
	if cancelled || m.Path == "" {
		keep := deletedResends * s.timing.ResendAfter
		if m.Keep > 0 {
			keep = min(keep, m.Keep)
		}
		s.deleted.add(job, now+keep)
	}
	if cancelled {
		s.e.deps.Log.Info().Str("event", "job_deleted").Str("job", job).Msg("job cancelled on its client's request")
	}
	return cancelled
}

// wasDeleted reports whether a submission comes after its job was deleted, and counts it.
func (s *state) wasDeleted(now time.Duration, job string) bool {
	if now > s.deleted.until[job] {
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
		if keep := d.until - now; keep > 0 {
			_ = p.Send(&wire.JobDelete{Job: d.job, Keep: keep}) // a closed link is reported as down
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
