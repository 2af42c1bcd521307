package placement

import (
	"cmp"
	"slices"
	"time"
)

// fairQueue orders waiting tasks: teams share by weight (start-time fair
// queueing over tasks), jobs of one team go in the order in which they are due.
type fairQueue struct {
	teams   map[string]*teamQueue
	virtual float64 // virtual time of the last task taken
	waiting int
}

type teamQueue struct {
	name   string
	weight int
	finish float64 // virtual time at which its last task taken is paid for
	jobs   []*waitingJob
	count  int
}

type waitingJob struct {
	id      JobID
	arrived time.Time
	due     time.Time
	tasks   []Task
}

func newFairQueue() *fairQueue { return &fairQueue{teams: map[string]*teamQueue{}} }

// push adds a job that arrived now and is due then.
func (f *fairQueue) push(now, due time.Time, j Job) {
	t, ok := f.teams[j.Team]
	if !ok {
		t = &teamQueue{name: j.Team}
		f.teams[j.Team] = t
	}
	t.weight = max(1, j.Weight)
	if t.count == 0 {
		t.finish = max(t.finish, f.virtual)
	}
	t.insert(&waitingJob{id: j.ID, arrived: now, due: due, tasks: append([]Task(nil), j.Tasks...)})
	t.count += len(j.Tasks)
	f.waiting += len(j.Tasks)
}

// insert keeps the jobs in the order in which they are due.
func (t *teamQueue) insert(j *waitingJob) {
	i, _ := slices.BinarySearchFunc(t.jobs, j, func(a, b *waitingJob) int {
		if a.due.After(b.due) {
			return 1
		}
		return -1 // equals stay in the order of arrival
	})
	t.jobs = slices.Insert(t.jobs, i, j)
}

// pushBack makes a refused task of a job wait again, before its other tasks.
func (f *fairQueue) pushBack(arrived, due time.Time, j Job, task Task) {
	if t, ok := f.teams[j.Team]; ok {
		for _, w := range t.jobs {
			if w.id == j.ID {
				w.tasks = slices.Insert(w.tasks, 0, task)
				t.count++
				f.waiting++
				return
			}
		}
	}
	j.Tasks = []Task{task}
	f.push(arrived, due, j)
}

// next returns the team whose turn it is, or nil.
func (f *fairQueue) next() *teamQueue {
	var best *teamQueue
	for name, t := range f.teams {
		if t.count == 0 {
			if t.finish <= f.virtual {
				delete(f.teams, name)
			}
			continue
		}
		if best == nil || t.finish < best.finish || (t.finish == best.finish && t.name < best.name) {
			best = t
		}
	}
	return best
}

// first returns the team and the place of the job there whose next task goes
// next among those that fit; nil if none does. A task that fits nowhere now so
// holds up no other.
func (f *fairQueue) first(fits func(memoryMB int) bool) (*teamQueue, int) {
	turn := f.next()
	if turn == nil || fits(turn.jobs[0].tasks[0].MemoryMB) {
		return turn, 0
	}
	for _, t := range f.inTurn() {
		for i, j := range t.jobs {
			if fits(j.tasks[0].MemoryMB) {
				return t, i
			}
		}
	}
	return nil, 0
}

// inTurn returns the teams with waiting tasks in the order of their turn.
func (f *fairQueue) inTurn() []*teamQueue {
	var out []*teamQueue
	for _, t := range f.teams {
		if t.count > 0 {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *teamQueue) int {
		return cmp.Or(cmp.Compare(a.finish, b.finish), cmp.Compare(a.name, b.name))
	})
	return out
}

// take removes the next task of the job at place i of t.
func (f *fairQueue) take(t *teamQueue, i int) Task {
	j := t.jobs[i]
	task := j.tasks[0]
	j.tasks = j.tasks[1:]
	if len(j.tasks) == 0 {
		t.jobs = slices.Delete(t.jobs, i, i+1)
	}
	t.count--
	f.waiting--
	f.virtual = max(f.virtual, t.finish)
	t.finish += 1 / float64(t.weight)
	f.forgetIdle()
	return task
}

// forgetIdle drops the teams' history once nothing waits.
func (f *fairQueue) forgetIdle() {
	if f.waiting == 0 {
		clear(f.teams)
		f.virtual = 0
	}
}

// remove drops all waiting tasks of a job and returns how many there were.
func (f *fairQueue) remove(id JobID) int {
	for _, t := range f.teams {
		for i, j := range t.jobs {
			if j.id != id {
				continue
			}
			t.jobs = append(t.jobs[:i:i], t.jobs[i+1:]...)
			t.count -= len(j.tasks)
			f.waiting -= len(j.tasks)
			f.forgetIdle()
			return len(j.tasks)
		}
	}
	return 0
}

// oldest returns the arrival of the job that has waited longest.
func (f *fairQueue) oldest() (time.Time, bool) {
	var first time.Time
	found := false
	for _, t := range f.teams {
		for _, j := range t.jobs {
			if !found || j.arrived.Before(first) {
				first, found = j.arrived, true
			}
		}
	}
	return first, found
}

// shareAhead returns how many tasks go before the last task of a job of n tasks
// that joins team now, under fair sharing.
func (f *fairQueue) shareAhead(team string, weight, n int) float64 {
	weight = max(1, weight)
	own := float64(n)
	if t, ok := f.teams[team]; ok {
		own += float64(t.count)
	}
	rounds := own / float64(weight)
	ahead := own
	for name, t := range f.teams {
		if name == team {
			continue
		}
		ahead += min(float64(t.count), rounds*float64(t.weight))
	}
	return ahead
}
