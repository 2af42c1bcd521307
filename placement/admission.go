package placement

import (
	"math"
	"time"

	"bergamotwing.example/result"
)

// minChance is how likely a job must still be to end in time, as a share of the
// likelihood without waiting. A wait of a small part of the job's time (one in
// so many) spoils nothing.
const (
	minChance = 0.95
	smallWait = 10
)

// recheckAfter is how long a job has waited when it is held against its
// deadline again before its first task starts.
const recheckAfter = 200 * time.Millisecond

// Admit says whether a job may join the queue: OK, NeverFits, or Overloaded
// when its deadline cannot be met behind what waits already. An idle queue takes
// any job that fits, so that wrong estimates cannot last.
func (q *Queue) Admit(now time.Time, j Job) result.Code {
	if !q.fits(j.Tasks) {
		return result.NeverFits
	}
	if q.fair.waiting == 0 && q.eject.runningTasks() == 0 {
		return result.OK
	}
	wait, known := q.Estimate(j.Team, j.Weight, len(j.Tasks))
	if known && q.spoiled(len(j.Tasks), wait, j.Deadline.Sub(now), j.Deadline.Sub(now)) {
		return result.Overloaded
	}
	return result.OK
}

// Estimate returns how long it would take until the last task of a job of n
// tasks starts, from the run times seen and the slots this entry can use.
func (q *Queue) Estimate(team string, weight, n int) (time.Duration, bool) {
	if !q.run.known() {
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

// spoiled reports whether n tasks of which the last starts after wait are much
// less likely to end in the time left than they were to end in all of the
// job's time, from the run times seen.
func (q *Queue) spoiled(n int, wait, left, all time.Duration) bool {
	if all-left+wait <= all/smallWait {
		return false
	}
	if wait >= left {
		return true
	}
	now := math.Pow(q.run.share(left-wait), float64(n))
	first := math.Pow(q.run.share(all), float64(n))
	return now < minChance*first
}

// tooLate reports whether a job that waited and has started nothing will
// probably miss its deadline if it starts now.
func (q *Queue) tooLate(now time.Time, m *jobMeta) bool {
	if !q.run.known() || m.waiting < m.tasks || now.Sub(m.arrived) < recheckAfter {
		return false
	}
	wait, ok := q.timeFor(float64(m.tasks))
	return ok && q.spoiled(m.tasks, wait, m.deadline.Sub(now), m.deadline.Sub(m.arrived))
}

// hopeless reports whether the waiting tasks of a job cannot end in time even
// if they get all slots.
func (q *Queue) hopeless(now time.Time, m *jobMeta) bool {
	if m.waiting == 0 || !q.run.known() {
		return false
	}
	least := q.run.least()
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
