package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"bergamotwing.example/result"
)

// AgentID names one incarnation of an agent.
type AgentID struct {
	Name        string
	Incarnation uint64
}

// Submission is a job with the parameters by which it is scheduled.
type Submission struct {
	Caller   Owner  // entry that waits for the outcome
	Request  uint64 // number of the caller's request; 0: the caller numbers none
	Job      Job
	Route    Route
	Deadline Time // when the client stops waiting
	// MayHaveRun is set when an earlier submission of the job may have started
	// tasks, so that a refusal may not say that nothing ran.
	MayHaveRun bool
}

// Outcome is how a job ended.
type Outcome struct {
	Code       result.Code   `cbor:"1,keyasint"` // OK, TaskFailed or why the job was refused or abandoned
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
	Detail     string        `cbor:"3,keyasint,omitempty"` // inputs of the decision, for the log
	Home       string        `cbor:"-"`                    // entry that held the job; set by the entry that answers the client
}

// SchedulerActionKind is what the caller of a Scheduler has to do.
type SchedulerActionKind uint8

// Kinds of scheduler actions.
const (
	OrderRun SchedulerActionKind = iota + 1
	CancelRun
	FinishJob
	LogDecision
	ShareEvidence // with the agent
)

// SchedulerAction is an action for the caller of a Scheduler.
type SchedulerAction struct {
	Kind     SchedulerActionKind
	Agent    AgentID
	Endpoint EndpointID
	Order    uint64 // unique among the orders of the process; of CancelRun: 0 unless the run was ordered from an earlier incarnation of the agent
	Run      RunRef
	Need     Resources
	Payload  string
	Job      string
	Caller   Owner
	Request  uint64 // of FinishJob
	Deadline Time   // of FinishJob
	Outcome  Outcome
	Evidence EndpointEvidence
	Event    string // of LogDecision
	Reason   string
}

// Scheduler holds one service's queue and decides what runs where.
type Scheduler struct {
	service           string
	evacuated         []string
	endpoints         []*endpoint
	jobs              map[string]*job
	queue             []*job // with waiting tasks
	estimates         map[string]*estimate
	slackEstimates    map[string]*slackEstimate // by route
	loads             map[string]*routeLoad     // by route
	forecastEndpoints int                       // that a forecast needs for jobs that wait to be refused by it
	timing            Timing
	runs              map[uint64]*run // by order
	orders            *OrderNumbers
	recent            map[string]recentRuns
	presences         map[string]*presence // by the agent's name
	out               []SchedulerAction
	nextCheck         Time

	started, holdUntil Time          // no task is placed before holdUntil
	interference       *interference // nil: off
	searchFrom         int           // index of the endpoint at which the next search for capacity begins
	maxFreeCPU         int           // upper bound of the free processors at any usable endpoint, in thousandths of a core
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
		started:           now,
		service:           service,
		orders:            orders,
		jobs:              map[string]*job{},
		estimates:         map[string]*estimate{},
		slackEstimates:    map[string]*slackEstimate{},
		loads:             map[string]*routeLoad{},
		forecastEndpoints: forecastEndpoints,
		timing:            timing,
		runs:              map[uint64]*run{},
		recent:            map[string]recentRuns{},
		presences:         map[string]*presence{},
	}
}

// Hold has no task placed before a moment: a process that was frozen has to learn first
// which jobs are no longer waited for.
func (s *Scheduler) Hold(until Time) { s.holdUntil = until }

// TakeActions returns the actions collected since the last call.
func (s *Scheduler) TakeActions() []SchedulerAction {
	out := s.out
	s.out = nil
	return out
}

func (s *Scheduler) emit(a SchedulerAction) { s.out = append(s.out, a) }

// Has reports whether a job is open, or closed with runs that have not ended.
func (s *Scheduler) Has(job string) bool { return s.jobs[job] != nil }

// RouteOf returns the route with which a job that the scheduler has was submitted, or the
// zero route.
func (s *Scheduler) RouteOf(job string) Route {
	if j := s.jobs[job]; j != nil {
		return j.sub.Route
	}
	return Route{}
}

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

// WaitingJobs returns how many jobs have tasks that wait for capacity.
func (s *Scheduler) WaitingJobs() int { return len(s.queue) }

// Submit queues a job or refuses it. A job that is already open goes on, and its
// outcome goes to the newest caller.
func (s *Scheduler) Submit(now Time, sub Submission) {
	if j := s.jobs[sub.Job.ID]; j != nil {
		s.resubmit(j, sub)
		return
	}
	sub.MayHaveRun = sub.MayHaveRun || s.recent[sub.Job.ID].highest > 0
	j := newJob(now, sub, s.estimateOf(sub.Route.Name))
	if age := now - s.firstSubmitted(now, j); age > 0 {
		j.submittedBefore(age)
		s.emit(SchedulerAction{
			Kind: LogDecision, Job: sub.Job.ID, Event: "job_sent_again",
			Reason: fmt.Sprintf("first submitted %v ago, the client waits for %v", age, sub.Deadline-now),
		})
	}
	s.countOffered(now, j)
	if out, refused := s.admit(now, j); refused {
		s.answer(j.sub, out)
		return
	}
	for _, t := range j.tasks {
		t.nextRun = s.recent[sub.Job.ID].highest + 1
	}
	s.jobs[sub.Job.ID] = j
	s.enqueueReadySteps(j)
	s.place(now)
}

// resubmit joins a submission to the job that is already known. A closed job is
// started again once its runs have ended.
func (s *Scheduler) resubmit(j *job, sub Submission) {
	if j.closed {
		if j.resubmitted != nil {
			s.replaceCaller(*j.resubmitted, sub)
		}
		sub.MayHaveRun = true
		j.resubmitted = &sub
		return
	}
	s.replaceCaller(j.sub, sub)
	j.sub.Caller, j.sub.Request = sub.Caller, sub.Request
	j.sub.Deadline = sub.Deadline
}

// replaceCaller answers the earlier of two callers that wait for a job, so that it does
// not submit its request again and take the job back.
func (s *Scheduler) replaceCaller(earlier, later Submission) {
	if earlier.Caller == later.Caller || earlier.Request == 0 {
		return
	}
	s.answer(earlier, Outcome{Code: result.OutcomeUnknown, Detail: "sent again at entry " + later.Caller.Entry})
}

// answer reports a job's outcome to its caller. A code that says that nothing
// ran becomes OutcomeUnknown if a task may have started.
func (s *Scheduler) answer(sub Submission, out Outcome) {
	if sub.MayHaveRun && result.Lookup(out.Code).Ran == result.RanNo {
		out.Code = result.OutcomeUnknown
	}
	s.emit(SchedulerAction{Kind: FinishJob, Job: sub.Job.ID, Caller: sub.Caller, Request: sub.Request, Deadline: sub.Deadline, Outcome: out})
}

// Cancel closes the job of a caller that no longer waits for it, and stops its
// runs. A closed job is not submitted again for that caller. It reports whether the
// caller had such a job.
func (s *Scheduler) Cancel(now Time, id string, caller Owner) bool {
	j := s.jobs[id]
	switch {
	case j == nil:
		return false
	case !j.closed && j.sub.Caller == caller:
		s.closeJob(now, j)
		s.place(now)
		return true
	case j.resubmitted != nil && j.resubmitted.Caller == caller:
		j.resubmitted = nil
		return true
	default:
		return false
	}
}

// EndEarly answers a job that its caller cannot wait for, and stops its runs.
// Tasks that wait for the capacity of those runs are placed by the next Tick,
// since a caller that stops ends many jobs at once.
func (s *Scheduler) EndEarly(now Time, id string, caller Owner, out Outcome) {
	j := s.jobs[id]
	switch {
	case j == nil:
	case !j.closed && j.sub.Caller == caller:
		s.endJob(now, j, out)
	case j.resubmitted != nil && j.resubmitted.Caller == caller:
		s.answer(*j.resubmitted, out)
		j.resubmitted = nil
	}
}

// Delete answers a job that its client has cancelled, whichever caller waits for it, and
// stops its runs. It reports whether a caller waited.
func (s *Scheduler) Delete(now Time, id string, out Outcome) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	waited := !j.closed || j.resubmitted != nil
	if j.resubmitted != nil {
		s.answer(*j.resubmitted, out)
		j.resubmitted = nil
	}
	s.endJob(now, j, out)
	s.place(now)
	return waited
}

// CancelOthers cancels the jobs of a caller other than those that it waits for, and
// returns how many they are.
func (s *Scheduler) CancelOthers(now Time, caller Owner, waitsFor []string) int {
	kept := make(map[string]bool, len(waitsFor))
	for _, id := range waitsFor {
		kept[id] = true
	}
	n := 0
	for _, id := range s.jobIDs() {
		if !kept[id] && s.Cancel(now, id, caller) {
			n++
		}
	}
	return n
}

func (s *Scheduler) jobIDs() []string {
	ids := make([]string, 0, len(s.jobs))
	for id := range s.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// closeJob takes a job off the queue and stops its runs.
func (s *Scheduler) closeJob(now Time, j *job) {
	j.closed = true
	s.dequeue(j)
	for _, t := range j.tasks {
		if t.run != nil {
			s.stop(t.run)
		}
	}
	s.dropIfEnded(now, j)
}

func (s *Scheduler) stop(r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	if !r.endpoint.lost {
		s.cancel(r)
	}
}

func (s *Scheduler) cancel(r *run) {
	a := SchedulerAction{Kind: CancelRun, Agent: r.endpoint.agent, Endpoint: r.endpoint.id, Run: r.ref}
	if r.handedOver() {
		a.Order = r.order
	}
	s.emit(a)
}

// dropIfEnded drops a closed job once all of its runs have ended, and then
// submits the job again if it was resubmitted.
func (s *Scheduler) dropIfEnded(now Time, j *job) {
	if !j.closed {
		return
	}
	for _, t := range j.tasks {
		if t.run != nil {
			return
		}
	}
	delete(s.jobs, j.sub.Job.ID)
	s.recent[j.sub.Job.ID] = recentRuns{highest: j.highestRun(), submitted: j.submitted, endedAt: now}
	if j.resubmitted != nil {
		s.Submit(now, *j.resubmitted)
	}
}

// endJob answers a job and closes it.
func (s *Scheduler) endJob(now Time, j *job, out Outcome) {
	if j.closed {
		return
	}
	sub := j.sub
	sub.MayHaveRun = sub.MayHaveRun || j.hasBegun()
	s.answer(sub, out)
	s.closeJob(now, j)
}

// SetEvacuated sets the zones that take no new task.
func (s *Scheduler) SetEvacuated(now Time, zones []string) {
	s.evacuated = zones
	s.raiseMaxFreeCPU(nil)
	s.place(now)
}

// Report processes an agent's report about an endpoint.
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
	s.setStatus(now, e, status)
	e.lost, e.released = false, false
	s.raiseMaxFreeCPU(nil)
	s.takeOver(now, e)
	s.place(now)
}

// takeOver hands over the runs that an earlier incarnation of the agent had at the
// same lifetime of an endpoint: a start that the earlier one sent may still be on
// its way, so only the new one can tell that a run has ended.
func (s *Scheduler) takeOver(now Time, e *endpoint) {
	for _, old := range slices.Clone(s.endpoints) {
		if old != e && old.id == e.id && old.agent.Name == e.agent.Name && old.agent.Incarnation != e.agent.Incarnation {
			for _, r := range slices.Clone(old.runs) {
				s.handOver(now, r, e)
			}
			s.replaceBy(old, e)
		}
	}
}

// handOver moves a run to the endpoint as the agent's new incarnation reports it,
// and has that incarnation stop it.
func (s *Scheduler) handOver(now Time, r *run, e *endpoint) {
	old := r.endpoint
	if !r.handedOver() {
		// The start is refused once the runs of a lost agent have ended. Whatever
		// has started by then is found by the new incarnation, or lapses.
		validUntil := s.timing.RunsEndBy(now)
		if old.lost {
			validUntil = old.runsEndBy
		}
		r.endBy = validUntil + s.timing.MaxLease
	}
	old.used = old.used.Sub(r.need)
	old.runs = slices.DeleteFunc(old.runs, func(o *run) bool { return o == r })
	e.used = e.used.Add(r.need)
	e.runs = append(e.runs, r)
	r.endpoint = e
	r.stopping = true
	s.emit(SchedulerAction{
		Kind: LogDecision, Agent: e.agent, Endpoint: e.id, Order: r.order, Job: r.ref.Task.Job, Run: r.ref,
		Event: "run_handed_over", Reason: fmt.Sprintf("agent replaced, %v after the order", now-r.ordered),
	})
	s.cancel(r)
}

// dropEndpoint ends the runs at an endpoint and drops it. Runs that were handed over
// stay until they are certain to have ended: their starts may still be on their way.
func (s *Scheduler) dropEndpoint(now Time, e *endpoint, why string) {
	for _, r := range slices.Clone(e.runs) {
		if now >= r.endBy {
			s.presumeEnded(now, r, why)
		}
	}
	if len(e.runs) > 0 {
		e.gone, e.lost, e.runsEndBy = true, true, now
		return
	}
	s.endpoints = slices.DeleteFunc(s.endpoints, func(o *endpoint) bool { return o == e })
}

// presumeEnded ends a run whose end no agent has reported.
func (s *Scheduler) presumeEnded(now Time, r *run, why string) {
	s.emit(SchedulerAction{
		Kind: LogDecision, Agent: r.endpoint.agent, Endpoint: r.endpoint.id, Order: r.order, Job: r.ref.Task.Job, Run: r.ref,
		Event: "run_presumed_ended", Reason: fmt.Sprintf("%s, %v after the order", why, now-r.ordered),
	})
	s.Ended(now, r.order, EndLapsed, 0)
}

// ReleaseEndpoint gives up an endpoint that another scheduler now has. The runs
// ordered here stay with this scheduler until they end.
func (s *Scheduler) ReleaseEndpoint(agent AgentID, id EndpointID) {
	e := s.find(agent, id)
	if e == nil {
		return
	}
	e.released = true
	e.status.Available = false
	s.dropIfReleased(e)
}

// dropIfReleased drops a released endpoint once all of its runs have ended.
func (s *Scheduler) dropIfReleased(e *endpoint) {
	if e.released && len(e.runs) == 0 {
		s.endpoints = slices.DeleteFunc(s.endpoints, func(o *endpoint) bool { return o == e })
	}
}

// SetAgentSuspect sets whether an agent has missed heartbeats. A suspect agent
// gets no tasks: it may be lost, and it refuses orders that echo an old reading
// of its clock.
func (s *Scheduler) SetAgentSuspect(agent AgentID, suspect bool) {
	for _, e := range s.endpoints {
		if e.agent == agent {
			e.suspect = suspect
			s.raiseMaxFreeCPU(e)
		}
	}
}

// AgentLost marks an agent as lost. Its runs for this entry have ended by
// runsEndBy.
func (s *Scheduler) AgentLost(now Time, agent AgentID, runsEndBy Time) {
	for _, e := range s.endpoints {
		if e.agent == agent && !e.lost {
			e.lose(runsEndBy)
		}
	}
	s.place(now)
}

// EndpointGone processes the end of a lifetime of an endpoint, which ends its
// runs.
func (s *Scheduler) EndpointGone(now Time, agent AgentID, id EndpointID) {
	if e := s.find(agent, id); e != nil {
		s.presenceOf(now, agent.Name).note(now, false)
		s.dropEndpoint(now, e, "endpoint gone")
	}
	s.place(now)
}

// AgentReconnected compares the orders kept by a reconnected agent with the ones
// expected there: orders that are not kept have ended, and stops are sent again. The
// agent gets no order before its report, so that stops come before its lease is renewed.
func (s *Scheduler) AgentReconnected(now Time, agent AgentID, kept []uint64) {
	for _, e := range slices.Clone(s.endpoints) {
		if e.agent != agent {
			continue
		}
		e.lost, e.suspect = e.gone, true
		for _, r := range slices.Clone(e.runs) {
			switch {
			case r.handedOver():
				s.cancel(r) // the agent may not have received it
			case !slices.Contains(kept, r.order):
				s.presumeEnded(now, r, "not kept by the agent")
			case r.stopping:
				s.cancel(r)
			}
		}
	}
	for _, e := range s.endpoints {
		if e.agent == agent {
			e.suspect = false
		}
	}
	s.raiseMaxFreeCPU(nil)
}

// DropUnlisted drops the endpoints that a reconnected agent no longer has: the
// message that such a lifetime was over was lost with the agent's earlier link.
func (s *Scheduler) DropUnlisted(now Time, agent AgentID, listed []EndpointID) {
	for _, e := range slices.Clone(s.endpoints) {
		if e.agent == agent && !e.gone && !slices.Contains(listed, e.id) {
			s.dropEndpoint(now, e, "endpoint not listed by its agent")
		}
	}
	s.place(now)
}

// Ended processes the end of an ordered run, which is certain not to be running.
// age is the time from the order to the end, as measured by the agent.
func (s *Scheduler) Ended(now Time, order uint64, reason EndReason, age Time) {
	r := s.runs[order]
	if r == nil {
		return
	}
	delete(s.runs, order)
	e, j, t := r.endpoint, r.job, r.task
	e.used = e.used.Sub(r.need)
	j.load.running -= r.need.CPUMilli
	e.runs = slices.DeleteFunc(e.runs, func(o *run) bool { return o == r })
	s.dropIfReleased(e)
	s.raiseMaxFreeCPU(e)
	t.run = nil
	t.nextRun = r.ref.Run + 1
	s.recordEnd(now, r, reason, age)
	if j.closed {
		s.dropIfEnded(now, j)
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
		s.completeTask(now, j, t.step)
		return
	case EndFailed:
		t.failures++
		t.failedAt = append(t.failedAt, r.endpoint.id)
		if t.failures >= j.sub.Route.MaxAttempts {
			s.endJob(now, j, Outcome{Code: result.TaskFailed, Detail: "attempts used up"})
			return
		}
	case InvalidOrder:
		s.endJob(now, j, Outcome{Code: result.BadRequest, Detail: "the endpoint called the order invalid"})
		return
	case StaleRun:
		t.nextRun += staleRunSkip
	case NoRoom:
		r.endpoint.pausedUntil = now + noRoomPause
	case Expired, NotAvailable:
		r.endpoint.pausedUntil = now + expiredPause
	case TaskBusy:
		t.notBefore = now + busyPause
	}
	s.requeue(j, t)
}

// completeTask counts a done task of a step, queues the steps that waited for
// that step, and ends the job after its last task.
func (s *Scheduler) completeTask(now Time, j *job, step int) {
	j.remainingByStep[step]--
	j.remaining--
	if j.remaining == 0 {
		s.endJob(now, j, Outcome{Code: result.OK})
		return
	}
	if j.remainingByStep[step] == 0 {
		s.enqueueReadySteps(j)
	}
}

// enqueueReadySteps queues the tasks of the steps whose earlier steps are done.
func (s *Scheduler) enqueueReadySteps(j *job) {
	for i := range j.sub.Job.Steps {
		if j.stepQueued[i] || !j.stepsDone(j.sub.Job.Steps[i].After) {
			continue
		}
		j.stepQueued[i] = true
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

func (s *Scheduler) dequeue(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	s.queue = slices.DeleteFunc(s.queue, func(o *job) bool { return o == j })
}

// Tick ends the runs of lost agents and those handed over whose end is not
// reported, ends jobs that cannot meet their deadline, stops stuck runs and places
// waiting tasks. It has to be called regularly.
func (s *Scheduler) Tick(now Time) {
	s.raiseMaxFreeCPU(nil) // pauses of endpoints may have ended
	s.expireRuns(now)
	if now >= s.nextCheck {
		s.nextCheck = now + checkEvery
		s.expireJobs(now)
		s.checkEndpoints(now)
		s.place(now) // before jobs are refused for lack of room
		s.learnShares(now, checkEvery)
		s.reconsider(now)
		maps.DeleteFunc(s.recent, func(_ string, r recentRuns) bool { return now-r.endedAt > recentRetention })
	}
	s.place(now)
}

// expireRuns ends the runs that are certain to be over though no agent reports it.
func (s *Scheduler) expireRuns(now Time) {
	for _, e := range slices.Clone(s.endpoints) {
		lost := e.lost && now >= e.runsEndBy
		why := "agent lost"
		if !e.lost {
			why = "no end reported after the agent was replaced"
		}
		var due []*run
		for _, r := range e.runs {
			if (lost || !e.lost && r.handedOver()) && now >= r.endBy {
				due = append(due, r)
			}
		}
		for _, r := range due {
			s.presumeEnded(now, r, why)
		}
		if lost && len(e.runs) == 0 {
			s.endpoints = slices.DeleteFunc(s.endpoints, func(o *endpoint) bool { return o == e })
		}
	}
}
