package ledger

import (
	"fmt"
	"strings"
	"time"

	"bergamotwing.example/result"
)

// Digest identifies the content of a submission.
type Digest [16]byte

// TaskSpec is one task as submitted.
type TaskSpec struct {
	Payload    []byte
	MemoryMB   int
	Idempotent bool
}

// JobSpec is a submission as it is kept while its job is open.
type JobSpec struct {
	Ticket   Ticket
	Digest   Digest
	Service  string
	Team     string
	Received time.Time
	Deadline time.Time
	Tasks    []TaskSpec
}

// Outcome is the one final answer to a submission: complete with all results in
// order, or failed with none.
type Outcome struct {
	Code    result.Code
	Detail  string
	Started int
	Tasks   int
	Results [][]byte
}

// phase is the state of a task.
type phase int

const (
	waiting phase = iota
	granted       // sent to an agent; it may have started
	finished
	dropped // never started and never will
)

// maxFailureDetail bounds what is kept of a failed task's answer, in bytes.
const maxFailureDetail = 200

type task struct {
	phase       phase
	attempt     int
	agent       string
	incarnation uint64 // of the agent
	result      []byte
}

// Job is an open submission. It is not safe for concurrent use.
type Job struct {
	Spec     JobSpec
	tasks    []task
	granted  int // tasks in phase granted
	finished int
	outcome  *Outcome
}

// NewJob returns a job all of whose tasks wait.
func NewJob(spec JobSpec) *Job {
	return &Job{Spec: spec, tasks: make([]task, len(spec.Tasks))}
}

// Started returns how many tasks may have started: granted and not refused.
func (j *Job) Started() int { return j.granted + j.finished }

// Open returns how many granted tasks are neither refused nor finished.
func (j *Job) Open() int { return j.granted }

// Outcome returns the final answer, or nil while there is none.
func (j *Job) Outcome() *Outcome { return j.outcome }

// Grant records that a waiting task is sent to an agent's incarnation and returns
// the number of this attempt. ok is false if the task must not be sent.
func (j *Job) Grant(i int, agent string, incarnation uint64) (attempt int, ok bool) {
	t := &j.tasks[i]
	if j.outcome != nil || t.phase != waiting {
		return 0, false
	}
	t.phase = granted
	t.attempt++
	t.agent, t.incarnation = agent, incarnation
	j.granted++
	return t.attempt, true
}

// matches reports whether an agent's message is about the current attempt.
func (j *Job) matches(i, attempt int, agent string, incarnation uint64) bool {
	if i < 0 || i >= len(j.tasks) {
		return false
	}
	t := &j.tasks[i]
	return t.phase == granted && t.attempt == attempt && t.agent == agent && t.incarnation == incarnation
}

// Refuse records that an attempt was refused before its start. requeue is true if
// the task waits to be placed again.
func (j *Job) Refuse(i, attempt int, agent string, incarnation uint64) (requeue bool) {
	if !j.matches(i, attempt, agent, incarnation) {
		return false
	}
	j.granted--
	if j.outcome != nil {
		j.tasks[i].phase = dropped
		return false
	}
	j.tasks[i].phase = waiting
	return true
}

// Finish records a task's result. It returns false if the message is not about
// the current attempt.
func (j *Job) Finish(i, attempt int, agent string, incarnation uint64, code result.Code, body []byte) bool {
	if !j.matches(i, attempt, agent, incarnation) {
		return false
	}
	j.granted--
	j.finished++
	j.tasks[i].phase = finished
	if j.outcome != nil {
		return true
	}
	if code != result.OK {
		j.Fail(code, code, failureDetail(i, body))
		return true
	}
	j.tasks[i].result = body
	if j.finished == len(j.tasks) {
		j.complete()
	}
	return true
}

// failureDetail returns what the caller's answer says about a failed task: its
// index and the start of the endpoint's answer.
func failureDetail(i int, body []byte) string {
	detail := fmt.Sprintf("task %d", i)
	if len(body) > 0 {
		detail += ": " + strings.ToValidUTF8(strings.TrimSpace(string(body[:min(len(body), maxFailureDetail)])), "?")
	}
	return detail
}

func (j *Job) complete() {
	o := &Outcome{Code: result.OK, Started: len(j.tasks), Tasks: len(j.tasks), Results: make([][]byte, len(j.tasks))}
	for i := range j.tasks {
		o.Results[i] = j.tasks[i].result
	}
	j.outcome = o
}

// Fail ends the job: with notRun if no task can have started, else with ran. It
// returns false if the job had ended before.
func (j *Job) Fail(notRun, ran result.Code, detail string) bool {
	if j.outcome != nil {
		return false
	}
	code := ran
	if j.Started() == 0 {
		code = notRun
	}
	j.outcome = &Outcome{Code: code, Detail: detail, Started: j.Started(), Tasks: len(j.tasks)}
	for i := range j.tasks {
		j.tasks[i].result = nil
		if j.tasks[i].phase == waiting {
			j.tasks[i].phase = dropped
		}
	}
	return true
}

// GrantedTo returns the tasks granted to an agent's incarnation that are neither
// refused nor finished.
func (j *Job) GrantedTo(agent string, incarnation uint64) []int {
	var out []int
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == granted && t.agent == agent && t.incarnation == incarnation {
			out = append(out, i)
		}
	}
	return out
}

// Attempt returns the number of the current attempt of task i.
func (j *Job) Attempt(i int) int { return j.tasks[i].attempt }

// Agents returns the agents that hold granted tasks of the job.
func (j *Job) Agents() []string {
	seen := map[string]bool{}
	var out []string
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == granted && !seen[t.agent] {
			seen[t.agent] = true
			out = append(out, t.agent)
		}
	}
	return out
}
