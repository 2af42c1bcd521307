package ledger

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"bergamotwing.example/result"
)

const (
	jobAgent       = "agent0"
	jobIncarnation = 7
)

// newTestJob returns a job of n tasks.
func newTestJob(n int) *Job { return NewJob(JobSpec{Tasks: make([]TaskSpec, n)}) }

// mustGrant grants task i to jobAgent and returns the attempt.
func mustGrant(t *testing.T, j *Job, i int) int {
	t.Helper()
	attempt, ok := j.Grant(i, jobAgent, jobIncarnation)
	if !ok {
		t.Fatalf("task %d is not granted", i)
	}
	return attempt
}

func TestLateRefusalOfAnEarlierAttemptDoesNotPlaceTheTaskAgain(t *testing.T) {
	j := newTestJob(1)
	first := mustGrant(t, j, 0)
	if !j.Refuse(0, first, jobAgent, jobIncarnation) {
		t.Fatal("a refused task is not requeued")
	}
	mustGrant(t, j, 0)
	if j.Refuse(0, first, jobAgent, jobIncarnation) {
		t.Error("a refusal of the first attempt requeues the second one")
	}
	if j.Finish(0, first, jobAgent, jobIncarnation, result.OK, nil) {
		t.Error("a result of the first attempt is accepted for the second one")
	}
}

func TestMessagesOfAnotherIncarnationOfTheAgentAreIgnored(t *testing.T) {
	j := newTestJob(1)
	attempt := mustGrant(t, j, 0)
	if j.Refuse(0, attempt, jobAgent, jobIncarnation+1) || j.Finish(0, attempt, jobAgent, jobIncarnation+1, result.OK, nil) {
		t.Error("a message of another incarnation of the agent is accepted")
	}
	if j.Refuse(0, attempt, "agent1", jobIncarnation) || j.Finish(0, attempt, "agent1", jobIncarnation, result.OK, nil) {
		t.Error("a message of another agent is accepted")
	}
}

func TestTaskIsNotGrantedAgainWhileItMayStillRun(t *testing.T) {
	j := newTestJob(1)
	mustGrant(t, j, 0)
	if _, ok := j.Grant(0, "agent1", jobIncarnation); ok {
		t.Error("a task is granted twice")
	}
	j.Fail(result.DeadlineUnmet, result.DeadlinePassed, "")
	if _, ok := j.Grant(0, "agent1", jobIncarnation); ok {
		t.Error("a task of an ended job is granted")
	}
}

// sentGrant is a grant as its agent received it.
type sentGrant struct{ task, attempt int }

// grantModel tracks what agents did with the grants of a Job.
type grantModel struct {
	job     *Job
	open    []sentGrant // at the agent, neither started nor refused
	ended   []sentGrant // refused or started; their messages may arrive again
	refused map[sentGrant]bool
	starts  map[int]int // by task
}

func (m *grantModel) grant(t *rapid.T) {
	i := rapid.IntRange(0, len(m.job.tasks)-1).Draw(t, "task")
	if attempt, ok := m.job.Grant(i, jobAgent, jobIncarnation); ok {
		m.open = append(m.open, sentGrant{i, attempt})
	}
}

// decide lets the agent start or refuse one open grant and delivers its message
// to the job.
func (m *grantModel) decide(t *rapid.T) {
	if len(m.open) == 0 {
		return
	}
	n := rapid.IntRange(0, len(m.open)-1).Draw(t, "open")
	g := m.open[n]
	m.open = append(m.open[:n], m.open[n+1:]...)
	m.ended = append(m.ended, g)
	m.refused[g] = rapid.Bool().Draw(t, "refused")
	if !m.refused[g] {
		m.starts[g.task]++
	}
	m.deliver(g)
}

// repeat delivers the message about an earlier grant once more.
func (m *grantModel) repeat(t *rapid.T) {
	if len(m.ended) > 0 {
		m.deliver(rapid.SampledFrom(m.ended).Draw(t, "ended"))
	}
}

func (m *grantModel) deliver(g sentGrant) {
	if m.refused[g] {
		m.job.Refuse(g.task, g.attempt, jobAgent, jobIncarnation)
		return
	}
	m.job.Finish(g.task, g.attempt, jobAgent, jobIncarnation, result.OK, fmt.Append(nil, g.task))
}

func (m *grantModel) check(t *rapid.T) {
	for task, n := range m.starts {
		if n > 1 {
			t.Fatalf("task %d started %d times", task, n)
		}
	}
	o := m.job.Outcome()
	switch {
	case o == nil:
	case o.Code == result.OK && (len(m.starts) != len(m.job.tasks) || len(o.Results) != len(m.job.tasks)):
		t.Fatalf("complete with %d starts and %d results", len(m.starts), len(o.Results))
	case o.Code != result.OK && o.Results != nil:
		t.Fatalf("%s with results", o.Code)
	case result.Lookup(o.Code).Ran == result.RanNo && len(m.starts) > 0:
		t.Fatalf("%s with %d starts", o.Code, len(m.starts))
	}
}

func TestTasksStartAtMostOnceWhateverArrivesTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &grantModel{
			job:     newTestJob(rapid.IntRange(1, 4).Draw(t, "tasks")),
			refused: map[sentGrant]bool{},
			starts:  map[int]int{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"grant": m.grant, "grant again": m.grant, "decide": m.decide, "repeat": m.repeat,
			"": m.check,
		})
		m.job.Fail(result.DeadlineUnmet, result.DeadlinePassed, "")
		for len(m.open) > 0 {
			m.decide(t)
		}
		m.check(t)
	})
}
