package placement

import (
	"cmp"
	"slices"
	"time"
)

// fairQueue orders waiting tasks: teams share by weight (start-time fair
// queueing over tasks), and the jobs of one team are ordered by due time.
type fairQueue struct {
	teams   map[string]*teamQueue
	virtual float64 // virtual time of the last task taken
	waiting int
}

type teamQueue struct {
	name   string
	weight int
	finish float64 // virtual finish time of its last task taken
	jobs   []*waitingJob
	count  int // waiting tasks
}

type waitingJob struct {
	id      JobID
	arrived time.Time
	due     time.Time
	tasks   []Task
}

func newFairQueue() *fairQueue { return &fairQueue{teams: map[string]*teamQueue{}} }

// push adds a job that arrived at now.
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

// insert adds a job to t.jobs, which stay sorted by due time.
func (t *teamQueue) insert(j *waitingJob) {
	i, _ := slices.BinarySearchFunc(t.jobs, j, func(a, b *waitingJob) int {
		if a.due.After(b.due) {
			return 1
		}
		return -1 // jobs with the same due time stay in the order of arrival
	})
	t.jobs = slices.Insert(t.jobs, i, j)
}

// requeue puts a refused task of a job back, before the job's other tasks.
func (f *fairQueue) requeue(arrived, due time.Time, j Job, task Task) {
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

// nextTeam returns the team with waiting tasks whose turn it is, or nil. It drops
// teams without waiting tasks whose finish time has passed.
func (f *fairQueue) nextTeam() *teamQueue {
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

// nextFitting returns the first job, in the order of turns and due times, whose
// next task fits: its team and its index there, or nil if there is none. A task
// that fits no credit now does not block the others.
func (f *fairQueue) nextFitting(fits func(memoryMB int) bool) (*teamQueue, int) {
	turn := f.nextTeam()
	if turn == nil || fits(turn.jobs[0].tasks[0].MemoryMB) {
		return turn, 0
	}
	for _, t := range f.teamsInOrder() {
		for i, j := range t.jobs {
			if fits(j.tasks[0].MemoryMB) {
				return t, i
			}
		}
	}
	return nil, 0
}

// teamsInOrder returns the teams with waiting tasks in the order of their turn.
func (f *fairQueue) teamsInOrder() []*teamQueue {
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

// take removes and returns the next task of job i of t.
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
	f.resetWhenEmpty()
	return task
}

// resetWhenEmpty clears the teams' virtual times once no task waits.
func (f *fairQueue) resetWhenEmpty() {
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
			f.resetWhenEmpty()
			return len(j.tasks)
		}
	}
	return 0
}

// oldest returns the arrival time of the job that has waited longest.
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

// tasksAhead returns how many tasks, its own included, are taken under fair
// sharing until the last task of a job of n tasks that joins team now.
func (f *fairQueue) tasksAhead(team string, weight, n int) float64 {
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
