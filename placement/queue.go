package placement

import (
	"math/rand/v2"
	"time"
)

// dueFactor is how much longer than its own work a job may take before it is
// due; see Queue.due.
const dueFactor = 4

// Queue holds one service's waiting tasks and the credits that this entry may
// spend on them.
type Queue struct {
	rng     *rand.Rand
	fair    *fairQueue
	meta    map[JobID]*jobMeta
	agents  map[string]Agent
	spare   creditPool
	peers   map[string]*peerState
	lastAsk time.Time
	lastJob time.Time
	homes   []string // other entries that are homes of the service
	isHome  bool
	eject   ejector
	run     runTimes
}

type jobMeta struct {
	team     string
	weight   int
	deadline time.Time
	arrived  time.Time
	due      time.Time
	tasks    int
	waiting  int // tasks
}

// NewQueue returns an empty queue. rng breaks ties between peers.
func NewQueue(rng *rand.Rand) *Queue {
	return &Queue{
		rng:    rng,
		fair:   newFairQueue(),
		meta:   map[JobID]*jobMeta{},
		agents: map[string]Agent{},
		spare:  newCreditPool(),
		peers:  map[string]*peerState{},
		eject:  newEjector(),
	}
}

// Waiting returns the number of waiting tasks.
func (q *Queue) Waiting() int { return q.fair.waiting }

// IdleCredits returns the number of credits held and not in use.
func (q *Queue) IdleCredits() int { return q.spare.count }

// OldestWait returns how long the oldest waiting job has waited.
func (q *Queue) OldestWait(now time.Time) time.Duration {
	first, ok := q.fair.oldest()
	if !ok {
		return 0
	}
	return now.Sub(first)
}

// fits reports whether each task fits an agent known in any zone. With no agent
// known, nothing is said against it.
func (q *Queue) fits(tasks []Task) bool {
	largest := 0
	for _, a := range q.agents {
		largest = max(largest, a.MemoryMB)
	}
	if largest == 0 {
		return true
	}
	for _, t := range tasks {
		if t.MemoryMB > largest {
			return false
		}
	}
	return true
}

// Add puts an admitted job into the queue.
func (q *Queue) Add(now time.Time, j Job) {
	m := &jobMeta{
		team: j.Team, weight: j.Weight, deadline: j.Deadline, arrived: now, due: q.due(now, len(j.Tasks)),
		tasks: len(j.Tasks), waiting: len(j.Tasks),
	}
	q.meta[j.ID] = m
	q.lastJob = now
	q.fair.push(now, m.due, j)
}

// due returns when a job of n tasks that arrives now is due: after dueFactor
// times the time that all slots together need for it. A short job so passes a
// long one that arrived shortly before, but no job waits for ever behind others.
func (q *Queue) due(now time.Time, n int) time.Time {
	if !q.run.known() {
		return now
	}
	slots := max(1, q.usableSlots())
	return now.Add(time.Duration(dueFactor * float64(n) * float64(q.run.mean()) / float64(slots)))
}

// Remove drops a job's waiting tasks and forgets the job.
func (q *Queue) Remove(id JobID) int {
	delete(q.meta, id)
	return q.fair.remove(id)
}

// Requeue makes a task that was refused before its start placeable again.
func (q *Queue) Requeue(t Task) {
	m, ok := q.meta[t.Job]
	if !ok {
		return
	}
	m.waiting++
	q.fair.pushBack(m.arrived, m.due, Job{ID: t.Job, Team: m.team, Weight: m.weight, Deadline: m.deadline}, t)
}

// Done notes the end of a task on an agent: its run time, whether it failed, and
// the agent's share of failed tasks.
func (q *Queue) Done(now time.Time, agent string, run time.Duration, failed bool, failurePct int) {
	q.run.add(now, run)
	q.eject.observe(now, agent, failed, failurePct)
	q.eject.finished(agent)
}

// Refused notes that a placement on an agent was refused before its start.
func (q *Queue) Refused(agent string) { q.eject.finished(agent) }

// ReturnCredit takes back a credit of a placement that was not sent.
func (q *Queue) ReturnCredit(c Credit) {
	q.eject.finished(c.Agent)
	q.AddCredits(c)
}

// SetAgent makes an agent known or changes what is known of it. Credits of an
// agent that is not usable are kept but not spent.
func (q *Queue) SetAgent(a Agent) { q.agents[a.ID] = a }

// RemoveAgent forgets an agent and its credits.
func (q *Queue) RemoveAgent(id string) {
	delete(q.agents, id)
	q.spare.removeAgent(id)
	q.eject.remove(id)
}

// SetEjectLimit sets the largest share of the agents that may be ejected, in
// per cent.
func (q *Queue) SetEjectLimit(pct int) { q.eject.maxPct = pct }

// Ejected reports whether an agent is ejected.
func (q *Queue) Ejected(agent string, now time.Time) bool { return q.eject.ejected(now, agent) }

// AddCredits takes credits that an agent offered or a peer gave.
func (q *Queue) AddCredits(credits ...Credit) {
	for _, c := range credits {
		if _, ok := q.agents[c.Agent]; ok {
			q.spare.add(c)
		}
	}
}

// Held returns the credits of an agent that are held and not in use.
func (q *Queue) Held(agent string) []Credit { return q.spare.of(agent) }

// usable reports whether a credit of an agent may be spent on a task now.
func (q *Queue) usable(now time.Time, agent string, memoryMB int) bool {
	a, ok := q.agents[agent]
	return ok && a.Usable && a.MemoryMB >= memoryMB && q.eject.allows(now, agent)
}

// creditFor reports whether a credit can be spent on a task of a size now.
func (q *Queue) creditFor(now time.Time, memoryMB int) bool {
	return q.spare.any(func(agent string) bool { return q.usable(now, agent, memoryMB) })
}

func (q *Queue) usableSlots() int {
	n := 0
	for _, a := range q.agents {
		if a.Usable {
			n += a.Slots
		}
	}
	return n
}

// Dispatch pairs waiting tasks with credits, then asks or gives.
func (q *Queue) Dispatch(now time.Time) Decision {
	q.eject.refresh(now, len(q.agents))
	var d Decision
	if q.HasPeerRequest() {
		d.Transfers = q.giveOlder(now)
	}
	for q.placeNext(now, &d) {
	}
	if q.fair.waiting > 0 {
		d.Requests = q.ask(now)
	} else {
		d.Requests = q.withdraw(now)
	}
	// What is left no task that waits here fits on.
	d.Transfers = append(d.Transfers, q.give(now)...)
	d.Transfers = append(d.Transfers, q.giveHome(now)...)
	return d
}

// placeNext places the next task that a credit can be spent on, or drops its
// job. It returns false if there is none.
func (q *Queue) placeNext(now time.Time, d *Decision) bool {
	if !q.creditFor(now, 0) {
		return false
	}
	t, i := q.fair.first(func(memoryMB int) bool { return q.creditFor(now, memoryMB) })
	if t == nil {
		return false
	}
	job := t.jobs[i]
	m := q.meta[job.id]
	if m != nil && q.tooLate(now, m) {
		q.Remove(job.id)
		d.Dropped = append(d.Dropped, job.id)
		return true
	}
	need := job.tasks[0].MemoryMB
	c, ok := q.spare.take(func(agent string) bool { return q.usable(now, agent, need) })
	if !ok {
		return false
	}
	task := q.fair.take(t, i)
	if m != nil {
		m.waiting--
	}
	q.eject.started(c.Agent)
	d.Placements = append(d.Placements, Placement{Task: task, Credit: c})
	return true
}
