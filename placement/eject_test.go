package placement

import (
	"testing"
	"time"
)

// newEjectedQueue returns a queue of ten agents that has ejected agent 0.
func newEjectedQueue() *Queue {
	q := newTestQueue(10, 1)
	q.Done(start, agentID(0), time.Millisecond, true, 100)
	return q
}

// canPlace reports whether a task would start on agent 0 now.
func canPlace(q *Queue, now time.Time) bool { return q.usable(now, agentID(0), 0) }

func TestAgentOnProbationGetsOneTaskAtATime(t *testing.T) {
	q := newEjectedQueue()
	if canPlace(q, start.Add(ejectMin-1)) {
		t.Fatal("a task may start on an ejected agent")
	}
	now := start.Add(ejectMin)
	if !canPlace(q, now) {
		t.Fatal("no task may start after the ejection")
	}
	q.eject.started(agentID(0))
	if canPlace(q, now) {
		t.Fatal("a second task may start on probation")
	}
}

func TestProbationEndsThoughTheFailureShareStillCountsOldFailures(t *testing.T) {
	q := newEjectedQueue()
	now := start.Add(ejectMin)
	for i := range probationTasks {
		q.eject.started(agentID(0))
		q.Done(now, agentID(0), time.Millisecond, false, 90-i)
	}
	q.eject.started(agentID(0))
	if !canPlace(q, now) {
		t.Fatal("still on probation")
	}
}

func TestFailureOnProbationEjectsForLonger(t *testing.T) {
	q := newEjectedQueue()
	now := start.Add(ejectMin)
	q.Done(now, agentID(0), time.Millisecond, false, 40)
	q.Done(now, agentID(0), time.Millisecond, true, 40)
	if canPlace(q, now.Add(2*ejectMin-1)) || !canPlace(q, now.Add(2*ejectMin)) {
		t.Fatal("want an ejection of twice the first")
	}
}

func TestLateResultsOfAnEjectedAgentDoNotProlongItsEjection(t *testing.T) {
	q := newEjectedQueue()
	q.Done(start.Add(time.Second), agentID(0), time.Millisecond, true, 100)
	if !canPlace(q, start.Add(ejectMin)) {
		t.Fatal("the ejection was prolonged")
	}
}
