package placement

import (
	"time"

	"bergamotwing.example/result"
)

// recheckAfter is how long a job has waited when it is held against its
// deadline again before its first task starts.
const recheckAfter = 200 * time.Millisecond

// Admit says whether a job may join the queue: OK, NeverFits, or Overloaded
// when its deadline cannot be met behind what waits already.
func (q *Queue) Admit(now time.Time, j Job) result.Code {
	if !q.fits(j.Tasks) {
		return result.NeverFits
	}
	wait, known := q.Estimate(now, j.Team, j.Weight, len(j.Tasks))
	if known && now.Add(wait+q.reserve(len(j.Tasks), j.Deadline.Sub(now))).After(j.Deadline) {
		return result.Overloaded
	}
	return result.OK
}

// Estimate returns how long it would take until the last task of a job of n
// tasks starts, from the run times seen and the slots this entry can use.
func (q *Queue) Estimate(now time.Time, team string, weight, n int) (time.Duration, bool) {
	if !q.run.known(now) {
		return 0, false
	}
	return q.timeFor(q.fair.shareAhead(team, weight, n))
}

// timeFor returns how long it takes to start so many tasks.
func (q *Queue) timeFor(tasks float64) (time.Duration, bool) {
	slots := q.share()
	if slots == 0 {
		return 0, false
	}
	// The first tasks start on slots that are free or soon will be.
	rounds := max(0, tasks/slots-1)
	return time.Duration(rounds * float64(q.run.mean())), true
}

// share returns the slots that this entry's tasks can use: all while nothing
// waits here, else those in use, or an equal share if that is more.
func (q *Queue) share() float64 {
	slots := float64(q.usableSlots())
	if q.fair.waiting == 0 || slots == 0 {
		return slots
	}
	equal := slots / float64(1+len(q.peers))
	return min(slots, max(1, equal, float64(q.eject.runningTasks())))
}

// reserve returns the time to keep for the longest of n tasks to run: at most
// half of the time the job has, for a short deadline is not refused because of
// rare long tasks.
func (q *Queue) reserve(n int, total time.Duration) time.Duration {
	return min(q.run.longest(n), total/2)
}

// tooLate reports whether a job that waited and has started nothing will
// probably miss its deadline if it starts now.
func (q *Queue) tooLate(now time.Time, m *jobMeta) bool {
	if !q.run.known(now) || m.waiting < m.tasks || now.Sub(m.arrived) < recheckAfter {
		return false
	}
	wait, ok := q.timeFor(float64(m.tasks))
	return ok && now.Add(wait+q.reserve(m.tasks, m.deadline.Sub(m.arrived))).After(m.deadline)
}

// hopeless reports whether the waiting tasks of a job cannot end in time even
// if they get all slots.
func (q *Queue) hopeless(now time.Time, m *jobMeta) bool {
	if m.waiting == 0 || !q.run.known(now) {
		return false
	}
	least := q.run.least(now)
	if slots := q.usableSlots(); slots > 0 {
		least += time.Duration(max(0, float64(m.waiting)/float64(slots)-1) * float64(q.run.mean()))
	}
	return now.Add(least).After(m.deadline)
}

// Expired returns the jobs whose deadline has passed and those whose waiting
// tasks can no longer end in time.
func (q *Queue) Expired(now time.Time) []JobID {
	var out []JobID
	for id, m := range q.meta {
		if !now.Before(m.deadline) || q.hopeless(now, m) {
			out = append(out, id)
		}
	}
	return out
}
