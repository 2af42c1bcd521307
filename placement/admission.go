package placement

import (
	"math"
	"time"

	"bergamotwing.example/result"
)

// minChance is the smallest probability that a queued job may have to end in time,
// relative to its probability without waiting. A wait of at most 1/smallWaitDivisor
// of the job's time is always accepted.
const (
	minChance        = 0.95
	smallWaitDivisor = 10
)

// recheckAfter is how long a job must have waited to be checked against its
// deadline again before its first task starts.
const recheckAfter = 200 * time.Millisecond

// Admit decides whether a job may join the queue: OK, NeverFits, or Overloaded
// if it cannot meet its deadline behind the tasks that already wait. An idle queue
// accepts any job that fits, so that wrong estimates cannot persist.
func (q *Queue) Admit(now time.Time, j Job) result.Code {
	if !q.fits(j.Tasks) {
		return result.NeverFits
	}
	if q.fair.waiting == 0 && q.eject.runningTasks() == 0 {
		return result.OK
	}
	wait, known := q.Estimate(j.Team, j.Weight, len(j.Tasks))
	if known && q.waitTooLong(len(j.Tasks), wait, j.Deadline.Sub(now), j.Deadline.Sub(now)) {
		return result.Overloaded
	}
	return result.OK
}

// Estimate returns how long it would take until the last task of a job of n tasks
// starts, estimated from the recent run times and the slots that this entry can
// use. It returns false if there is no basis for an estimate.
func (q *Queue) Estimate(team string, weight, n int) (time.Duration, bool) {
	if !q.runTimes.known() {
		return 0, false
	}
	return q.timeToStart(q.fair.tasksAhead(team, weight, n))
}

// timeToStart returns how long it takes to start the given number of tasks.
func (q *Queue) timeToStart(tasks float64) (time.Duration, bool) {
	slots := q.slotShare()
	if slots == 0 {
		return 0, false
	}
	// The first round of tasks starts on slots that are free or soon will be.
	rounds := max(0, tasks/slots-1)
	return time.Duration(rounds * float64(q.runTimes.mean())), true
}

// slotShare returns the number of slots that this entry's tasks can use: all while
// no task waits here, else those in use by its tasks, or an equal share among the
// entries if that is more.
func (q *Queue) slotShare() float64 {
	slots := float64(q.usableSlots())
	if q.fair.waiting == 0 || slots == 0 {
		return slots
	}
	equal := slots / float64(1+len(q.peers))
	return min(slots, max(1, equal, float64(q.eject.runningTasks())))
}

// waitTooLong reports whether n tasks, the last of which starts after wait, are much
// less likely to end in the time left than they were to end in the job's total
// time, estimated from the recent run times.
func (q *Queue) waitTooLong(n int, wait, left, total time.Duration) bool {
	if total-left+wait <= total/smallWaitDivisor {
		return false
	}
	if wait >= left {
		return true
	}
	chance := math.Pow(q.runTimes.shareWithin(left-wait), float64(n))
	chanceWithoutWait := math.Pow(q.runTimes.shareWithin(total), float64(n))
	return chance < minChance*chanceWithoutWait
}

// tooLate reports whether a job that has waited and has not started any task will
// probably miss its deadline if it starts now.
func (q *Queue) tooLate(now time.Time, m *jobState) bool {
	if !q.runTimes.known() || m.waiting < m.tasks || now.Sub(m.arrived) < recheckAfter {
		return false
	}
	wait, ok := q.timeToStart(float64(m.tasks))
	return ok && q.waitTooLong(m.tasks, wait, m.deadline.Sub(now), m.deadline.Sub(m.arrived))
}

// cannotMeetDeadline reports whether the waiting tasks of a job cannot end in time
// even if they get all slots.
func (q *Queue) cannotMeetDeadline(now time.Time, m *jobState) bool {
	if m.waiting == 0 || !q.runTimes.known() {
		return false
	}
	least := q.runTimes.minRunTime()
	if slots := q.usableSlots(); slots > 0 {
		least += time.Duration(max(0, float64(m.waiting)/float64(slots)-1) * float64(q.runTimes.mean()))
	}
	return now.Add(least).After(m.deadline)
}

// Expired returns the jobs whose deadline has passed and those whose waiting
// tasks can no longer end in time.
func (q *Queue) Expired(now time.Time) []JobID {
	var out []JobID
	for id, m := range q.jobs {
		if !now.Before(m.deadline) || q.cannotMeetDeadline(now, m) {
			out = append(out, id)
		}
	}
	return out
}
