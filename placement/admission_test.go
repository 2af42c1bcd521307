package placement

import (
	"testing"
	"time"

	"bergamotwing.example/result"
)

// newSlowQueue returns a queue whose recent tasks took one second each.
func newSlowQueue(agents, slots int) *Queue {
	q := newTestQueue(agents, slots)
	for range runTimeSamples {
		q.Done(start, agentID(0), time.Second, false, 0)
	}
	return q
}

func wantAdmit(t *testing.T, q *Queue, now time.Time, j Job, want result.Code) {
	t.Helper()
	if got := q.Admit(now, j); got != want {
		t.Fatalf("job %d: got %s, want %s", j.ID, got, want)
	}
}

func TestJobThatCannotMeetItsDeadlineIsRefusedEarly(t *testing.T) {
	q := newSlowQueue(1, 1)
	j := testJob(1, "", 40)
	wantAdmit(t, q, start, j, result.OK)
	q.Add(start, j)
	wantAdmit(t, q, start, testJob(2, "", 30), result.Overloaded)
	late := testJob(3, "", 1)
	late.Deadline = start.Add(10 * time.Second)
	wantAdmit(t, q, start, late, result.Overloaded)
}

func TestAdmissionReservesTimeForTheLongestTaskOfAJob(t *testing.T) {
	q := newTestQueue(1, 1)
	for i := range 200 {
		q.Done(start, agentID(0), time.Duration(1+i%100)*10*time.Millisecond, false, 0)
	}
	q.Add(start, testJob(1, "", 5))
	j := testJob(2, "", 1)
	j.Deadline = start.Add(3 * time.Second) // 2.5 s of waiting and 0.9 s for a long task
	wantAdmit(t, q, start, j, result.Overloaded)
	j.Deadline = start.Add(4 * time.Second)
	wantAdmit(t, q, start, j, result.OK)
}

func TestShortDeadlineIsNotRefusedBecauseOfRareLongTasks(t *testing.T) {
	q := newTestQueue(1, 8)
	for i := range 100 {
		run := 10 * time.Millisecond
		if i%20 == 0 {
			run = 5 * time.Second
		}
		q.Done(start, agentID(0), run, false, 0)
	}
	j := testJob(1, "", 4)
	j.Deadline = start.Add(time.Second)
	wantAdmit(t, q, start, j, result.OK)
}

func TestIdleQueueTakesAnyJobThatFits(t *testing.T) {
	q := newSlowQueue(1, 1)
	j := testJob(1, "", 100)
	j.Deadline = start.Add(10 * time.Second)
	wantAdmit(t, q, start, j, result.OK)
	q.Add(start, testJob(2, "", 1))
	wantAdmit(t, q, start, j, result.Overloaded)
}

func TestRunTimesAreDiscardedAfterAGap(t *testing.T) {
	q := newSlowQueue(1, 1)
	now := start.Add(2 * runTimeMaxGap)
	for range runTimeSamples {
		q.Done(now, agentID(0), time.Millisecond, false, 0)
	}
	q.Add(now, testJob(1, "", 5))
	j := testJob(2, "", 100)
	j.Deadline = now.Add(time.Second)
	wantAdmit(t, q, now, j, result.OK)
}

func TestEntryWithAllTheLoadCountsAllSlotsThatItsTasksUse(t *testing.T) {
	q := newSlowQueue(3, 10)
	q.SetPeer("p")
	q.SetPeer("q")
	q.Add(start, testJob(1, "", 130))
	for agent := range 3 {
		for slot := range 10 {
			q.AddCredits(credit(agent, slot, 1))
		}
	}
	q.Dispatch(start)
	j := testJob(2, "", 1)
	j.Deadline = start.Add(6 * time.Second) // 100 tasks wait for 30 slots
	wantAdmit(t, q, start, j, result.OK)
}

func TestJobThatWaitedTooLongIsDroppedBeforeItStarts(t *testing.T) {
	q := newSlowQueue(1, 1)
	q.Add(start, testJob(1, "", 40))
	now := start.Add(30 * time.Second)
	q.AddCredits(credit(0, 0, 1))
	d := q.Dispatch(now)
	if len(d.Dropped) != 1 || d.Dropped[0] != 1 || len(d.Placements) != 0 || q.Waiting() != 0 {
		t.Fatalf("got %+v with %d waiting", d, q.Waiting())
	}
}

func TestStartedJobIsNotDropped(t *testing.T) {
	q := newSlowQueue(1, 1)
	q.Add(start, testJob(1, "", 40))
	q.AddCredits(credit(0, 0, 1))
	q.Dispatch(start)
	now := start.Add(30 * time.Second)
	q.AddCredits(credit(0, 0, 2))
	if d := q.Dispatch(now); len(d.Dropped) != 0 || len(d.Placements) != 1 {
		t.Fatalf("got %+v", d)
	}
}

func TestJobWhoseWaitingTasksCannotEndInTimeExpires(t *testing.T) {
	q := newSlowQueue(1, 1)
	q.Add(start, testJob(1, "", 40))
	q.AddCredits(credit(0, 0, 1))
	q.Dispatch(start)
	now := start.Add(22 * time.Second)
	if got := q.Expired(now.Add(-2 * time.Second)); len(got) != 0 {
		t.Fatalf("39 tasks have 40 s left: expired %v", got)
	}
	if got := q.Expired(now); len(got) != 1 {
		t.Fatalf("39 tasks have 38 s left: expired %v", got)
	}
}

func TestJobWhoseTasksAllRunExpiresAtItsDeadlineOnly(t *testing.T) {
	q := newSlowQueue(1, 1)
	j := testJob(1, "", 1)
	q.Add(start, j)
	q.AddCredits(credit(0, 0, 1))
	q.Dispatch(start)
	if got := q.Expired(j.Deadline.Add(-time.Millisecond)); len(got) != 0 {
		t.Fatalf("expired %v", got)
	}
	if got := q.Expired(j.Deadline); len(got) != 1 {
		t.Fatalf("expired %v", got)
	}
}
