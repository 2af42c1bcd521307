package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotwing.example/result"
)

var start = time.Unix(1_000_000, 0)

func newTestQueue(agents, slots int) *Queue {
	q := NewQueue(rand.New(rand.NewPCG(1, 2)))
	for i := range agents {
		q.SetAgent(Agent{ID: agentID(i), Slots: slots, MemoryMB: 100, Usable: true})
	}
	return q
}

func agentID(i int) string { return fmt.Sprintf("agent-%d", i) }

func testJob(id int, team string, tasks int) Job {
	j := Job{ID: JobID(id), Team: team, Weight: 1, Deadline: start.Add(time.Minute)}
	for i := range tasks {
		j.Tasks = append(j.Tasks, Task{Job: j.ID, Index: i})
	}
	return j
}

func credit(agent, slot int, epoch uint64) Credit {
	return Credit{Agent: agentID(agent), Incarnation: 1, Slot: slot, Epoch: epoch}
}

func TestTeamsShareSlotsWhateverOneOfThemSubmits(t *testing.T) {
	q := newTestQueue(1, 8)
	q.Add(start, testJob(1, "flood", 100))
	q.Add(start.Add(time.Millisecond), testJob(2, "quiet", 4))
	for i := range 8 {
		q.AddCredits(credit(0, i, 1))
	}
	light := 0
	for _, p := range q.Dispatch(start).Placements {
		if p.Task.Job == 2 {
			light++
		}
	}
	if light != 4 {
		t.Fatalf("the lightly loaded team got %d of 8 slots, want its 4 tasks placed", light)
	}
}

func TestTaskThatFitsNoAgentIsRefused(t *testing.T) {
	q := newTestQueue(2, 8)
	j := testJob(1, "", 2)
	j.Tasks[1].MemoryMB = 101
	if got := q.Admit(start, j); got != result.NeverFits {
		t.Fatalf("got %s", got)
	}
}

func TestFailingAgentsAreEjectedButNeverMoreThanTheLimit(t *testing.T) {
	q := newTestQueue(10, 1)
	for i := range 10 {
		q.Done(start, agentID(i), time.Millisecond, true, 60+i)
	}
	q.Dispatch(start)
	ejected := 0
	for i := range 10 {
		if q.Ejected(agentID(i), start) {
			ejected++
		}
	}
	if ejected != 3 {
		t.Fatalf("%d of 10 ejected, want 3", ejected)
	}
	if !q.Ejected(agentID(9), start) {
		t.Fatal("the worst agent is not ejected")
	}
}

func TestPeerWithOlderTaskGetsTheCredit(t *testing.T) {
	q := newTestQueue(1, 2)
	q.SetPeer("p")
	q.Add(start, testJob(1, "", 5))
	q.SetPeerRequest(start, "p", 1, time.Second)
	q.AddCredits(credit(0, 0, 1))
	d := q.Dispatch(start)
	if len(d.Transfers) != 1 || len(d.Placements) != 0 {
		t.Fatalf("got %+v", d)
	}
	q.AddCredits(credit(0, 0, 2))
	if d := q.Dispatch(start); len(d.Placements) != 1 {
		t.Fatalf("next credit: got %+v", d)
	}
}

// TestQueueNeitherLosesNorDoublesWork drives a queue with random events and
// compares it with a model: each task is placed at most once at a time, each credit
// is spent or transferred at most once, and no task waits while there is a usable
// credit.
func TestQueueNeitherLosesNorDoublesWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &queueWorld{t: t, q: newTestQueue(3, 4), now: start, placed: map[Task]Credit{}, held: map[Credit]bool{}}
		w.q.SetPeer("p")
		t.Repeat(map[string]func(*rapid.T){
			"submit": w.submit,
			"offer":  w.offer,
			"finish": w.finish,
			"refuse": w.refuse,
			"wants":  w.requestCredits,
			"":       w.check,
		})
	})
}

type queueWorld struct {
	t       *rapid.T
	q       *Queue
	now     time.Time
	jobs    int
	waiting int // tasks neither placed nor finished
	epoch   uint64
	placed  map[Task]Credit
	held    map[Credit]bool // by the queue
}

func (w *queueWorld) submit(t *rapid.T) {
	w.jobs++
	n := rapid.IntRange(1, 5).Draw(t, "tasks")
	w.q.Add(w.now, testJob(w.jobs, fmt.Sprint(w.jobs%3), n))
	w.waiting += n
	w.dispatch(t)
}

func (w *queueWorld) offer(t *rapid.T) {
	w.epoch++
	c := credit(rapid.IntRange(0, 2).Draw(t, "agent"), rapid.IntRange(0, 3).Draw(t, "slot"), w.epoch)
	for old := range w.held {
		if old.Agent == c.Agent && old.Slot == c.Slot {
			delete(w.held, old)
		}
	}
	w.held[c] = true
	w.q.AddCredits(c)
	w.dispatch(t)
}

func (w *queueWorld) finish(t *rapid.T) {
	for task, c := range w.placed {
		delete(w.placed, task)
		w.q.Done(w.now, c.Agent, time.Millisecond, false, 0)
		break
	}
	w.dispatch(t)
}

func (w *queueWorld) refuse(t *rapid.T) {
	for task, c := range w.placed {
		delete(w.placed, task)
		w.waiting++
		w.q.Refused(c.Agent)
		w.q.Requeue(task)
		break
	}
	w.dispatch(t)
}

func (w *queueWorld) requestCredits(t *rapid.T) {
	w.q.SetPeerRequest(w.now, "p", rapid.IntRange(0, 3).Draw(t, "want"), time.Duration(rapid.IntRange(0, 50).Draw(t, "oldest"))*time.Millisecond)
	w.dispatch(t)
}

func (w *queueWorld) dispatch(t *rapid.T) {
	w.now = w.now.Add(time.Millisecond)
	d := w.q.Dispatch(w.now)
	for _, p := range d.Placements {
		if _, twice := w.placed[p.Task]; twice {
			t.Fatalf("task %+v placed twice", p.Task)
		}
		w.spend(t, p.Credit)
		w.placed[p.Task] = p.Credit
		w.waiting--
	}
	for _, transfer := range d.Transfers {
		for _, c := range transfer.Credits {
			w.spend(t, c)
		}
	}
}

func (w *queueWorld) spend(t *rapid.T, c Credit) {
	if !w.held[c] {
		t.Fatalf("credit %+v spent, but not held", c)
	}
	delete(w.held, c)
}

func (w *queueWorld) check(t *rapid.T) {
	if w.q.Waiting() != w.waiting || w.q.IdleCredits() != len(w.held) {
		t.Fatalf("waiting %d, want %d; idle credits %d, want %d", w.q.Waiting(), w.waiting, w.q.IdleCredits(), len(w.held))
	}
	if w.waiting > 0 && len(w.held) > 0 {
		t.Fatalf("%d tasks wait while there are %d idle credits", w.waiting, len(w.held))
	}
}

func TestShortJobPassesALongOneThatArrivedShortlyBefore(t *testing.T) {
	q := newTestQueue(1, 8)
	for range runTimeSamples {
		q.Done(start, agentID(0), time.Second, true, 0)
	}
	add := func(at time.Duration, id, tasks int) {
		j := testJob(id, "", tasks)
		j.Deadline = start.Add(time.Hour)
		q.Add(start.Add(at), j)
	}
	add(0, 1, 400) // due after 4 × 50 s
	add(time.Second, 2, 1)
	add(300*time.Second, 3, 1)
	for i := range 2 {
		q.AddCredits(credit(0, i, 1))
	}
	d := q.Dispatch(start.Add(300 * time.Second))
	if len(d.Placements) != 2 || d.Placements[0].Task.Job != 2 || d.Placements[1].Task.Job != 1 {
		t.Fatalf("got %+v, want the early short job, then the long one before the late short one", d.Placements)
	}
}

func TestCreditRequestIsWithdrawnOnceNothingWaits(t *testing.T) {
	q := newTestQueue(1, 1)
	q.SetPeer("p")
	q.Add(start, testJob(1, "", 1))
	if d := q.Dispatch(start); len(d.Requests) != 1 || d.Requests[0].Want != 1 {
		t.Fatalf("no credit request: %+v", d)
	}
	q.AddCredits(credit(0, 0, 1))
	now := start.Add(10 * time.Millisecond)
	if d := q.Dispatch(now); len(d.Requests) != 1 || d.Requests[0].Want != 0 {
		t.Fatalf("not withdrawn: %+v", d)
	}
	if d := q.Dispatch(now); len(d.Requests) != 0 {
		t.Fatalf("withdrawn twice: %+v", d)
	}
}

func TestEntryThatIsNotAHomeEntryTransfersItsIdleCredits(t *testing.T) {
	q := newTestQueue(1, 2)
	q.SetPeer("home")
	q.SetHomes([]string{"home"}, false)
	q.Add(start, testJob(1, "", 1))
	q.AddCredits(credit(0, 0, 1), credit(0, 1, 1))
	if d := q.Dispatch(start); len(d.Placements) != 1 || len(d.Transfers) != 0 {
		t.Fatalf("got %+v, want the task placed and nothing transferred yet", d)
	}
	if d := q.Dispatch(start.Add(surplusAfter)); len(d.Transfers) != 1 || d.Transfers[0].Peer != "home" || len(d.Transfers[0].Credits) != 1 {
		t.Fatalf("got %+v, want the idle credit transferred to the home entry", d)
	}
}

func TestTaskThatFitsNoUsableAgentDoesNotBlockOthers(t *testing.T) {
	q := newTestQueue(1, 2)
	q.SetAgent(Agent{ID: "large", Slots: 2, MemoryMB: 1000}) // its zone is out of service
	large, same, other := testJob(1, "a", 1), testJob(2, "a", 1), testJob(3, "b", 1)
	large.Tasks[0].MemoryMB = 500
	for _, j := range []Job{large, same, other} {
		if got := q.Admit(start, j); got != result.OK {
			t.Fatalf("job %d: got %s", j.ID, got)
		}
		q.Add(start, j)
	}
	q.AddCredits(credit(0, 0, 1), credit(0, 1, 1))
	placed := map[JobID]bool{}
	for _, p := range q.Dispatch(start).Placements {
		placed[p.Task.Job] = true
	}
	if placed[1] || !placed[2] || !placed[3] {
		t.Fatalf("placed %v, want jobs 2 and 3", placed)
	}
	q.SetAgent(Agent{ID: "large", Slots: 2, MemoryMB: 1000, Usable: true})
	q.AddCredits(Credit{Agent: "large", Incarnation: 1, Epoch: 1})
	if d := q.Dispatch(start); len(d.Placements) != 1 || d.Placements[0].Task.Job != 1 {
		t.Fatalf("got %+v, want job 1 placed once its agent is usable", d)
	}
}
