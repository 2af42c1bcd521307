package placement

import (
	"math/rand/v2"
	"time"
)

// dueFactor is the time from a job's arrival to its due time, as a multiple of
// the time that its own tasks need on all slots; see Queue.due.
const dueFactor = 4

// Queue holds one service's waiting tasks and the credits that this entry may
// spend on them.
type Queue struct {
	rng         *rand.Rand
	fair        *fairQueue
	jobs        map[JobID]*jobState
	agents      map[string]Agent
	idle        creditPool
	peers       map[string]*peerState
	lastRequest time.Time
	lastJob     time.Time
	homes       []string // other entries that are home entries of the service
	isHome      bool     // this entry is a home entry of the service
	eject       ejector
	runTimes    runTimes
}

type jobState struct {
	team     string
	weight   int
	deadline time.Time
	arrived  time.Time
	due      time.Time
	tasks    int // of the whole job
	waiting  int // tasks not placed
}

// NewQueue returns an empty queue. It uses rng to break ties between peers and
// to choose among home entries.
func NewQueue(rng *rand.Rand) *Queue {
	return &Queue{
		rng:    rng,
		fair:   newFairQueue(),
		jobs:   map[JobID]*jobState{},
		agents: map[string]Agent{},
		idle:   newCreditPool(),
		peers:  map[string]*peerState{},
		eject:  newEjector(),
	}
}

// Waiting returns the number of waiting tasks.
func (q *Queue) Waiting() int { return q.fair.waiting }

// IdleCredits returns the number of credits held and not in use.
func (q *Queue) IdleCredits() int { return q.idle.count }

// OldestWait returns how long the oldest waiting job has waited.
func (q *Queue) OldestWait(now time.Time) time.Duration {
	arrived, ok := q.fair.oldest()
	if !ok {
		return 0
	}
	return now.Sub(arrived)
}

// fits reports whether each task fits into the memory of some known agent, in any
// zone and usable or not. If no agent is known, every task fits.
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

// Add queues an admitted job.
func (q *Queue) Add(now time.Time, j Job) {
	m := &jobState{
		team: j.Team, weight: j.Weight, deadline: j.Deadline, arrived: now, due: q.due(now, len(j.Tasks)),
		tasks: len(j.Tasks), waiting: len(j.Tasks),
	}
	q.jobs[j.ID] = m
	q.lastJob = now
	q.fair.push(now, m.due, j)
}

// due returns the due time of a job of n tasks that arrives now: dueFactor times
// the time that all usable slots together need for its tasks. A short job thereby
// passes a long one that arrived shortly before, but no job waits forever behind
// others.
func (q *Queue) due(now time.Time, n int) time.Time {
	if !q.runTimes.known() {
		return now
	}
	slots := max(1, q.usableSlots())
	return now.Add(time.Duration(dueFactor * float64(n) * float64(q.runTimes.mean()) / float64(slots)))
}

// Remove removes a job and returns how many of its tasks were waiting.
func (q *Queue) Remove(id JobID) int {
	delete(q.jobs, id)
	return q.fair.remove(id)
}

// Requeue puts a task that was refused before its start back into the queue. It
// does nothing if the job has been removed.
func (q *Queue) Requeue(t Task) {
	m, ok := q.jobs[t.Job]
	if !ok {
		return
	}
	m.waiting++
	q.fair.requeue(m.arrived, m.due, Job{ID: t.Job, Team: m.team, Weight: m.weight, Deadline: m.deadline}, t)
}

// Done records the end of a task on an agent: its run time, whether it failed, and
// the agent's share of failed tasks.
func (q *Queue) Done(now time.Time, agent string, run time.Duration, failed bool, failurePct int) {
	q.runTimes.add(now, run)
	q.eject.observe(now, agent, failed, failurePct)
	q.eject.finished(agent)
}

// Refused records that a placement on an agent was refused before its start.
func (q *Queue) Refused(agent string) { q.eject.finished(agent) }

// ReturnCredit takes back a credit of a placement that was not sent.
func (q *Queue) ReturnCredit(c Credit) {
	q.eject.finished(c.Agent)
	q.AddCredits(c)
}

// SetAgent adds an agent or updates it. Credits of an agent that is not usable
// are kept but not spent.
func (q *Queue) SetAgent(a Agent) { q.agents[a.ID] = a }

// RemoveAgent removes an agent and its credits.
func (q *Queue) RemoveAgent(id string) {
	delete(q.agents, id)
	q.idle.removeAgent(id)
	q.eject.remove(id)
}

// SetEjectLimit sets the largest share of the agents that may be ejected at once,
// in percent.
func (q *Queue) SetEjectLimit(pct int) { q.eject.maxPct = pct }

// Ejected reports whether an agent is ejected.
func (q *Queue) Ejected(agent string, now time.Time) bool { return q.eject.ejected(now, agent) }

// AddCredits adds credits that an agent offered or a peer transferred. Credits of
// unknown agents are ignored.
func (q *Queue) AddCredits(credits ...Credit) {
	for _, c := range credits {
		if _, ok := q.agents[c.Agent]; ok {
			q.idle.add(c)
		}
	}
}

// Held returns the credits of an agent that are held and not in use.
func (q *Queue) Held(agent string) []Credit { return q.idle.of(agent) }

// usable reports whether a credit of an agent may be spent on a task now.
func (q *Queue) usable(now time.Time, agent string, memoryMB int) bool {
	a, ok := q.agents[agent]
	return ok && a.Usable && a.MemoryMB >= memoryMB && q.eject.allows(now, agent)
}

// hasCreditFor reports whether a credit can be spent now on a task that needs
// memoryMB.
func (q *Queue) hasCreditFor(now time.Time, memoryMB int) bool {
	return q.idle.any(func(agent string) bool { return q.usable(now, agent, memoryMB) })
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

// Dispatch pairs waiting tasks with credits, then requests credits from a peer or
// transfers idle ones.
func (q *Queue) Dispatch(now time.Time) Decision {
	q.eject.enforceLimit(now, len(q.agents))
	var d Decision
	if q.HasPeerRequest() {
		d.Transfers = q.transferToOlder(now)
	}
	for q.placeNext(now, &d) {
	}
	if q.fair.waiting > 0 {
		d.Requests = q.requestCredits(now)
	} else {
		d.Requests = q.withdrawRequests(now)
	}
	// No task that waits here can use the credits that are left.
	d.Transfers = append(d.Transfers, q.transferIdle(now)...)
	d.Transfers = append(d.Transfers, q.transferToHome(now)...)
	return d
}

// placeNext places the next task that a credit can be spent on, or drops its job
// if that would miss its deadline. It returns false if there is no such task.
func (q *Queue) placeNext(now time.Time, d *Decision) bool {
	if !q.hasCreditFor(now, 0) {
		return false
	}
	t, i := q.fair.nextFitting(func(memoryMB int) bool { return q.hasCreditFor(now, memoryMB) })
	if t == nil {
		return false
	}
	job := t.jobs[i]
	m := q.jobs[job.id]
	if m != nil && q.tooLate(now, m) {
		q.Remove(job.id)
		d.Dropped = append(d.Dropped, job.id)
		return true
	}
	need := job.tasks[0].MemoryMB
	c, ok := q.idle.take(func(agent string) bool { return q.usable(now, agent, need) })
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
