package dispatch

import (
	"slices"
	"time"
)

// job is an open job.
type job struct {
	sub       Submission
	submitted Time // first, as far as known
	objective Time // latest end that meets the latency objective
	lateBy    Time // latest end that is worth anything
	chain     Time // expected work on the longest path through the steps
	tasks     []*task
	left      []int // tasks of each step that are not done
	released  []bool
	remaining int
	waiting   []*task
	queued    bool
	begun     int  // runs that were ordered and not refused, so that a task may have started
	over      bool // answered or cancelled; runs may be left
	next      *Submission
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
}

// run is an ordered run that is not known to be over.
type run struct {
	order    uint64
	ref      RunRef
	job      *job
	task     *task
	endpoint *endpoint
	need     Resources
	ordered  Time
	expected Time
	stopping bool
	stuck    bool
}

// lateFactor is how many times the objective a job may take and still be of use.
const lateFactor = 3

func newJob(now Time, sub Submission, est *estimate) *job {
	j := &job{sub: sub, submitted: now}
	steps := sub.Job.Steps
	j.left = make([]int, len(steps))
	j.released = make([]bool, len(steps))
	for i, st := range steps {
		j.left[i] = st.Count
		j.remaining += st.Count
		for index := range st.Count {
			j.tasks = append(j.tasks, &task{ref: TaskRef{Job: sub.Job.ID, Step: i, Index: index}, step: i, nextRun: 1})
		}
	}
	j.chain = est.apply(longestChain(steps))
	budget := time.Duration(sub.Route.Stretch*float64(j.chain)) + sub.Route.TargetLatency
	j.objective = now + budget
	j.lateBy = now + lateFactor*budget
	return j
}

// submittedBefore moves the times that count from the job's first submission,
// which may have started tasks.
func (j *job) submittedBefore(age Time) {
	j.sub.MayHaveRun = true
	j.submitted -= age
	j.objective -= age
	j.lateBy -= age
}

// longestChain returns the estimated work on the longest path through the steps.
func longestChain(steps []Step) Time {
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
		if j.left[s] > 0 {
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

// workLeft returns the expected work on the longest path through the tasks that
// wait. Those that run may end at any time.
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
	return est.apply(longestChain(left))
}

// latestStart is when the job has to start to meet its objective.
func (j *job) latestStart() Time { return j.objective - j.chain }

// tooLate reports whether a job that has not begun misses its objective.
func (j *job) tooLate(now Time) bool { return !j.hasBegun() && now > j.latestStart() }

// spare returns how long the job may wait: to meet its objective or, if that is
// missed, to be of use.
func (j *job) spare(now Time) Time {
	if spare := j.latestStart() - now; spare >= 0 {
		return spare
	}
	return j.lateBy - j.chain - now
}
