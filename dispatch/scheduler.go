package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"bergamotwing.example/result"
)

// AgentID names one run of an agent.
type AgentID struct {
	Name        string
	Incarnation uint64
}

// Submission is a job with what decides its treatment.
type Submission struct {
	Caller   Owner // entry that waits for the end
	Job      Job
	Route    Route
	Deadline Time // the client stops waiting
	// MayHaveRun is set when an earlier submission of the job may have started
	// tasks, so that a refusal may not say that nothing ran.
	MayHaveRun bool
}

// Outcome is the end of a job.
type Outcome struct {
	Code       result.Code   `cbor:"1,keyasint"` // OK, TaskFailed or why it was given up
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
	Detail     string        `cbor:"3,keyasint,omitempty"` // inputs of the decision, for the log
}

// SchedulerActionKind says what the caller of a Scheduler has to do.
type SchedulerActionKind uint8

// Kinds of scheduler actions.
const (
	OrderRun SchedulerActionKind = iota + 1
	CancelRun
	FinishJob
	LogDecision
)

// SchedulerAction is one thing to do.
type SchedulerAction struct {
	Kind     SchedulerActionKind
	Agent    AgentID
	Endpoint EndpointID
	Order    uint64 // unique among the orders of the process
	Run      RunRef
	Need     Resources
	Payload  string
	Job      string
	Caller   Owner
	Outcome  Outcome
	Event    string // of LogDecision
	Reason   string
}

// recentKept is how long the run numbers of a job are kept after its end: twice
// the time after which clients send a job again, and the length of a try.
const recentKept = 5 * time.Second

// recentRuns is kept of a job that is over: endpoints refuse the numbers of
// runs that they have seen.
type recentRuns struct {
	highest   int
	submitted Time // first
	at        Time // of the job's end
}

// Scheduler holds one service's queue and decides what runs where.
type Scheduler struct {
	service   string
	evacuated []string
	endpoints []*endpoint
	jobs      map[string]*job
	queue     []*job // with waiting tasks
	estimates map[string]*estimate
	patience  map[string]*patience // by route
	timing    Timing
	runs      map[uint64]*run // by order
	orders    *OrderNumbers
	recent    map[string]recentRuns
	out       []SchedulerAction
	nextCheck Time
	started   Time

	searchFrom int // endpoint at which the next search for room begins
	mostRoom   int // no usable endpoint has more free processors
}

// OrderNumbers numbers the orders of one process, whose schedulers share it.
type OrderNumbers struct{ last uint64 }

func (n *OrderNumbers) next() uint64 {
	n.last++
	return n.last
}

// NewScheduler returns an empty scheduler of a service, started now.
func NewScheduler(service string, timing Timing, orders *OrderNumbers, now Time) *Scheduler {
	return &Scheduler{
		started:   now,
		service:   service,
		orders:    orders,
		jobs:      map[string]*job{},
		estimates: map[string]*estimate{},
		patience:  map[string]*patience{},
		timing:    timing,
		runs:      map[uint64]*run{},
		recent:    map[string]recentRuns{},
	}
}

// TakeActions returns the actions collected since the last call.
func (s *Scheduler) TakeActions() []SchedulerAction {
	out := s.out
	s.out = nil
	return out
}

func (s *Scheduler) do(a SchedulerAction) { s.out = append(s.out, a) }

// Jobs returns how many jobs are open.
func (s *Scheduler) Jobs() int { return len(s.jobs) }

// Waiting returns how many open jobs of a route have started no task.
func (s *Scheduler) Waiting(route string) int {
	n := 0
	for _, j := range s.jobs {
		if j.sub.Route.Name == route && !j.hasBegun() {
			n++
		}
	}
	return n
}

// Submit takes a job. One that is open already goes on, and its end goes to
// the newest caller.
func (s *Scheduler) Submit(now Time, sub Submission) {
	if j := s.jobs[sub.Job.ID]; j != nil {
		s.resubmit(j, sub)
		return
	}
	sub.MayHaveRun = sub.MayHaveRun || s.recent[sub.Job.ID].highest > 0
	j := newJob(now, sub, s.estimateOf(sub.Route.Name))
	if age := now - s.firstSubmitted(now, j); age > 0 {
		j.submittedBefore(age)
		s.do(SchedulerAction{
			Kind: LogDecision, Job: sub.Job.ID, Event: "job_sent_again",
			Reason: fmt.Sprintf("first submitted %v ago, the client waits for %v", age, sub.Deadline-now),
		})
	}
	if out, refused := s.admit(now, j); refused {
		s.finishUnknown(j.sub, out)
		return
	}
	for _, t := range j.tasks {
		t.nextRun = s.recent[sub.Job.ID].highest + 1
	}
	s.jobs[sub.Job.ID] = j
	s.release(j)
	s.place(now)
}

// resubmit joins a job that goes on. A cancelled one is started again once its
// runs are gone.
func (s *Scheduler) resubmit(j *job, sub Submission) {
	if j.over {
		sub.MayHaveRun = true
		j.next = &sub
		return
	}
	j.sub.Caller = sub.Caller
	j.sub.Deadline = sub.Deadline
}

func (s *Scheduler) finishUnknown(sub Submission, out Outcome) {
	if sub.MayHaveRun && result.Lookup(out.Code).Ran == result.RanNo {
		out.Code = result.OutcomeUnknown
	}
	s.do(SchedulerAction{Kind: FinishJob, Job: sub.Job.ID, Caller: sub.Caller, Outcome: out})
}

// Cancel ends a job for a caller that has gone: its runs are stopped.
func (s *Scheduler) Cancel(now Time, id string, caller Owner) {
	j := s.jobs[id]
	if j == nil || j.sub.Caller != caller {
		return
	}
	if j.over {
		j.next = nil
		return
	}
	s.abandon(now, j)
	s.place(now)
}

// EndEarly answers a job that its caller cannot wait for, and stops its runs.
// What waits for their room is placed by the next Tick: a caller that ends ends
// many jobs.
func (s *Scheduler) EndEarly(now Time, id string, caller Owner, out Outcome) {
	j := s.jobs[id]
	switch {
	case j == nil:
	case !j.over && j.sub.Caller == caller:
		s.end(now, j, out)
	case j.next != nil && j.next.Caller == caller:
		s.finishUnknown(*j.next, out)
		j.next = nil
	}
}

// CallerLost cancels the jobs of an entry that is gone.
func (s *Scheduler) CallerLost(now Time, caller Owner) {
	for _, id := range s.jobIDs() {
		s.Cancel(now, id, caller)
	}
}

func (s *Scheduler) jobIDs() []string {
	ids := make([]string, 0, len(s.jobs))
	for id := range s.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// abandon takes a job off the queue and stops its runs.
func (s *Scheduler) abandon(now Time, j *job) {
	j.over = true
	s.unqueue(j)
	for _, t := range j.tasks {
		if t.run != nil {
			s.stop(t.run)
		}
	}
	s.forgetIfIdle(now, j)
}

func (s *Scheduler) stop(r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	if !r.endpoint.lost {
		s.do(SchedulerAction{Kind: CancelRun, Agent: r.endpoint.agent, Endpoint: r.endpoint.id, Run: r.ref})
	}
}

// forgetIfIdle drops a job that is over once none of its runs is left.
func (s *Scheduler) forgetIfIdle(now Time, j *job) {
	if !j.over {
		return
	}
	for _, t := range j.tasks {
		if t.run != nil {
			return
		}
	}
	delete(s.jobs, j.sub.Job.ID)
	s.recent[j.sub.Job.ID] = recentRuns{highest: j.highestRun(), submitted: j.submitted, at: now}
	if j.next != nil {
		s.Submit(now, *j.next)
	}
}

// end answers a job.
func (s *Scheduler) end(now Time, j *job, out Outcome) {
	if j.over {
		return
	}
	sub := j.sub
	sub.MayHaveRun = sub.MayHaveRun || j.hasBegun()
	s.finishUnknown(sub, out)
	s.abandon(now, j)
}

// SetEvacuated names the zones that take no new task.
func (s *Scheduler) SetEvacuated(now Time, zones []string) {
	s.evacuated = zones
	s.roomGrew(nil)
	s.place(now)
}

// Report takes in what an agent reports about an endpoint.
func (s *Scheduler) Report(now Time, agent AgentID, status EndpointStatus) {
	if status.Service != s.service {
		return
	}
	e := s.find(agent, status.Endpoint)
	if e == nil {
		e = &endpoint{agent: agent, id: status.Endpoint, slow: 1}
		s.endpoints = append(s.endpoints, e)
		slices.SortFunc(s.endpoints, func(a, b *endpoint) int {
			return cmp.Or(cmp.Compare(a.agent.Name, b.agent.Name), cmp.Compare(a.id.ID, b.id.ID),
				cmp.Compare(a.id.Born, b.id.Born), cmp.Compare(a.agent.Incarnation, b.agent.Incarnation))
		})
	}
	e.status = status
	e.lost, e.released = false, false
	s.roomGrew(nil)
	if status.Available {
		s.replaced(now, e)
	}
	s.place(now)
}

// replaced ends the runs that an earlier agent process had at the same
// lifetime of an endpoint: its successor is available only once they are gone.
func (s *Scheduler) replaced(now Time, e *endpoint) {
	for _, old := range slices.Clone(s.endpoints) {
		if old != e && old.id == e.id && old.agent.Name == e.agent.Name && old.agent.Incarnation != e.agent.Incarnation {
			s.dropEndpoint(now, old)
		}
	}
}

func (s *Scheduler) dropEndpoint(now Time, e *endpoint) {
	for _, r := range slices.Clone(e.runs) {
		s.Ended(now, r.order, EndLapsed, 0)
	}
	s.endpoints = slices.DeleteFunc(s.endpoints, func(o *endpoint) bool { return o == e })
}

// ReleaseEndpoint says that another scheduler has an endpoint now. Its runs go on here.
func (s *Scheduler) ReleaseEndpoint(agent AgentID, id EndpointID) {
	e := s.find(agent, id)
	if e == nil {
		return
	}
	e.released = true
	e.status.Available = false
	s.dropIfReleased(e)
}

// dropIfReleased forgets a released endpoint once none of its runs is left.
func (s *Scheduler) dropIfReleased(e *endpoint) {
	if e.released && len(e.runs) == 0 {
		s.endpoints = slices.DeleteFunc(s.endpoints, func(o *endpoint) bool { return o == e })
	}
}

// SetAgentSuspect says whether an agent has missed heartbeats. It gets no tasks
// then: it may be gone, and refuses orders that echo an old reading of its clock.
func (s *Scheduler) SetAgentSuspect(agent AgentID, silent bool) {
	for _, e := range s.endpoints {
		if e.agent == agent {
			e.silent = silent
			s.roomGrew(e)
		}
	}
}

// AgentLost says that an agent is not heard any more. Its runs for this entry
// are over by goneBy.
func (s *Scheduler) AgentLost(now Time, agent AgentID, goneBy Time) {
	for _, e := range s.endpoints {
		if e.agent == agent && !e.lost {
			e.lost = true
			e.goneBy = goneBy
		}
	}
	s.place(now)
}

// EndpointGone says that a lifetime of an endpoint is over, and its runs with it.
func (s *Scheduler) EndpointGone(now Time, agent AgentID, id EndpointID) {
	if e := s.find(agent, id); e != nil {
		s.dropEndpoint(now, e)
	}
	s.place(now)
}

// AgentReconnected compares the orders kept by an agent that is heard again with the
// ones expected there.
func (s *Scheduler) AgentReconnected(now Time, agent AgentID, kept []uint64) {
	for _, e := range slices.Clone(s.endpoints) {
		if e.agent != agent {
			continue
		}
		e.lost, e.silent = false, false
		s.roomGrew(nil)
		for _, r := range slices.Clone(e.runs) {
			if !slices.Contains(kept, r.order) {
				s.Ended(now, r.order, EndLapsed, 0)
			} else if r.stopping {
				s.do(SchedulerAction{Kind: CancelRun, Agent: agent, Endpoint: e.id, Run: r.ref})
			}
		}
	}
	s.place(now)
}

func (s *Scheduler) find(agent AgentID, id EndpointID) *endpoint {
	for _, e := range s.endpoints {
		if e.agent == agent && e.id == id {
			return e
		}
	}
	return nil
}

// Ended takes the end of an ordered run; it is certain that it does not run. age
// is the time from the order to the end at the agent.
func (s *Scheduler) Ended(now Time, order uint64, reason EndReason, age Time) {
	r := s.runs[order]
	if r == nil {
		return
	}
	delete(s.runs, order)
	e, j, t := r.endpoint, r.job, r.task
	e.used = e.used.Sub(r.need)
	e.runs = slices.DeleteFunc(e.runs, func(o *run) bool { return o == r })
	s.dropIfReleased(e)
	s.roomGrew(e)
	t.run = nil
	t.nextRun = r.ref.Run + 1
	s.learn(now, r, reason, age)
	if j.over {
		s.forgetIfIdle(now, j)
	} else {
		s.taskEnded(now, j, t, r, reason)
	}
	s.place(now)
}

func (s *Scheduler) taskEnded(now Time, j *job, t *task, r *run, reason EndReason) {
	if reason.Refused() {
		j.begun--
	}
	switch reason {
	case EndDone:
		t.done = true
		s.stepProgress(now, j, t.step)
		return
	case EndFailed:
		t.failures++
		t.failedAt = append(t.failedAt, r.endpoint.id)
		if t.failures >= j.sub.Route.MaxAttempts {
			s.end(now, j, Outcome{Code: result.TaskFailed, Detail: "attempts used up"})
			return
		}
	case RefusedByTask:
		s.end(now, j, Outcome{Code: result.BadRequest, Detail: "the endpoint called the order invalid"})
		return
	case StaleRun:
		t.nextRun += staleRunSkip
	case NoRoom:
		r.endpoint.pausedUntil = now + fullPause
	case Expired, NotAvailable:
		r.endpoint.pausedUntil = now + expiredPause
	case TaskBusy:
		t.notBefore = now + busyPause
	}
	s.requeue(j, t)
}

// stepProgress releases the steps that waited for a task's step, and ends the
// job after its last task.
func (s *Scheduler) stepProgress(now Time, j *job, step int) {
	j.left[step]--
	j.remaining--
	if j.remaining == 0 {
		s.end(now, j, Outcome{Code: result.OK})
		return
	}
	if j.left[step] == 0 {
		s.release(j)
	}
}

// release queues the tasks whose earlier steps are done.
func (s *Scheduler) release(j *job) {
	for i := range j.sub.Job.Steps {
		if j.released[i] || !j.stepsDone(j.sub.Job.Steps[i].After) {
			continue
		}
		j.released[i] = true
		for _, t := range j.tasks {
			if t.step == i {
				j.waiting = append(j.waiting, t)
			}
		}
	}
	s.enqueue(j)
}

func (s *Scheduler) requeue(j *job, t *task) {
	j.waiting = append([]*task{t}, j.waiting...)
	s.enqueue(j)
}

func (s *Scheduler) enqueue(j *job) {
	if j.queued || len(j.waiting) == 0 {
		return
	}
	j.queued = true
	s.queue = append(s.queue, j)
}

func (s *Scheduler) unqueue(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	s.queue = slices.DeleteFunc(s.queue, func(o *job) bool { return o == j })
}

// Tick does what is due: lost runs, hopeless jobs, stuck runs.
func (s *Scheduler) Tick(now Time) {
	s.roomGrew(nil) // pauses end
	s.expireLost(now)
	if now >= s.nextCheck {
		s.nextCheck = now + checkEvery
		s.giveUp(now)
		s.watch(now)
		maps.DeleteFunc(s.recent, func(_ string, r recentRuns) bool { return now-r.at > recentKept })
	}
	s.place(now)
}

func (s *Scheduler) expireLost(now Time) {
	for _, e := range slices.Clone(s.endpoints) {
		if e.lost && now >= e.goneBy {
			s.dropEndpoint(now, e)
		}
	}
}
