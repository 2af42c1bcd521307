package dispatch

import (
	"slices"
	"time"
)

// job is an open job, or a closed one with runs left.
type job struct {
	sub             Submission
	load            *routeLoad
	submitted       Time // first submission, as far as known
	objective       Time // latest end that meets the latency objective
	usefulUntil     Time // latest end at which the outcome is of use
	criticalPath    Time // expected work on the longest path through the steps
	tasks           []*task
	remainingByStep []int // tasks of each step that are not done
	stepQueued      []bool
	remaining       int
	waiting         []*task
	queued          bool
	inShare         bool // goes ahead of jobs outside of their route's share; set by queueOrder
	begun           int  // runs that were ordered and not refused, so that a task may have started
	closed          bool // answered or cancelled; some runs may not have ended
	resubmitted     *Submission
}

type task struct {
	ref       TaskRef
	step      int
	run       *run
	nextRun   int
	done      bool
	failures  int
	failedAt  []EndpointID
	notBefore Time
	moved     bool // from an endpoint that leaves
}

// run is an ordered run that is not known to have ended.
type run struct {
	order      uint64
	ref        RunRef
	job        *job
	task       *task
	endpoint   *endpoint
	need       Resources
	ordered    Time
	expected   Time
	stopping   bool
	stuck      bool
	neighbours *neighbours // nil: not kept
	endBy      Time        // if handed over: certain to have ended by then; else 0
}

// handedOver reports whether the run was ordered from an earlier incarnation of
// its endpoint's agent, and handed over to the next one.
func (r *run) handedOver() bool { return r.endBy != 0 }

// usefulFactor is the multiple of its latency objective that a job may take and
// still be of use.
const usefulFactor = 3

func newJob(now Time, sub Submission, est *estimate) *job {
	j := &job{sub: sub, submitted: now}
	steps := sub.Job.Steps
	j.remainingByStep = make([]int, len(steps))
	j.stepQueued = make([]bool, len(steps))
	for i, st := range steps {
		j.remainingByStep[i] = st.Count
		j.remaining += st.Count
		for index := range st.Count {
			j.tasks = append(j.tasks, &task{ref: TaskRef{Job: sub.Job.ID, Step: i, Index: index}, step: i, nextRun: 1})
		}
	}
	j.criticalPath = est.apply(criticalPath(steps))
	budget := time.Duration(sub.Route.Stretch*float64(j.criticalPath)) + sub.Route.TargetLatency
	j.objective = now + budget
	j.usefulUntil = now + usefulFactor*budget
	return j
}

// submittedBefore moves back the times that count from the job's first
// submission. That submission may have started tasks.
func (j *job) submittedBefore(age Time) {
	j.sub.MayHaveRun = true
	j.submitted -= age
	j.objective -= age
	j.usefulUntil -= age
}

// criticalPath returns the estimated work on the longest path through the steps.
func criticalPath(steps []Step) Time {
	ends := make([]Time, len(steps))
	var longest Time
	for i, st := range steps {
		for _, a := range st.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += st.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

func (j *job) stepsDone(steps []int) bool {
	for _, s := range steps {
		if j.remainingByStep[s] > 0 {
			return false
		}
	}
	return true
}

// highestRun returns the highest number given to a run of a task.
func (j *job) highestRun() int {
	highest := 0
	for _, t := range j.tasks {
		highest = max(highest, t.nextRun-1)
	}
	return highest
}

// hasBegun reports whether a task may have started.
func (j *job) hasBegun() bool { return j.begun > 0 }

// workLeft returns the expected work on the longest path through the waiting
// tasks. Running tasks do not count, since they may end at any time.
func (j *job) workLeft(est *estimate) Time {
	waits := make([]bool, len(j.sub.Job.Steps))
	for _, t := range j.tasks {
		if !t.done && t.run == nil {
			waits[t.step] = true
		}
	}
	left := slices.Clone(j.sub.Job.Steps)
	for i := range left {
		if !waits[i] {
			left[i].Estimate = 0
		}
	}
	return est.apply(criticalPath(left))
}

// latestStart returns when the job has to start at the latest to meet its
// objective.
func (j *job) latestStart() Time { return j.objective - j.criticalPath }

// missesObjective reports whether a job that has not begun can no longer meet
// its objective.
func (j *job) missesObjective(now Time) bool { return !j.hasBegun() && now > j.latestStart() }

// slack returns how long the job may wait and still meet its objective or, if it
// can no longer meet it, still be of use.
func (j *job) slack(now Time) Time {
	if slack := j.latestStart() - now; slack >= 0 {
		return slack
	}
	return j.usefulUntil - j.criticalPath - now
}

// recentRetention is how long the run numbers of a job are kept after its end:
// twice the time after which clients resend a job, plus the length of an
// attempt.
const recentRetention = 5 * time.Second

// recentRuns is what is kept of a closed job. A resubmission needs higher run
// numbers, since endpoints refuse the ones that they have seen.
type recentRuns struct {
	highest   int
	submitted Time // time of the first submission
	endedAt   Time // when the job was closed and none of its runs was left
}
