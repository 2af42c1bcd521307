package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"bergamotwing.example/ledger"
	"bergamotwing.example/placement"
	"bergamotwing.example/release"
	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

// serviceSet holds the services by name.
type serviceSet struct {
	e      *Entry
	mu     sync.RWMutex
	byName map[string]*service
}

func newServiceSet(e *Entry) *serviceSet { return &serviceSet{e: e, byName: map[string]*service{}} }

// get returns the service and creates it on first use.
func (s *serviceSet) get(name string) *service {
	s.mu.RLock()
	svc, ok := s.byName[name]
	s.mu.RUnlock()
	if ok {
		return svc
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if svc, ok := s.byName[name]; ok {
		return svc
	}
	svc = newService(s.e, name)
	s.byName[name] = svc
	return svc
}

func (s *serviceSet) list() []*service {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]*service, 0, len(s.byName))
	for _, svc := range s.byName {
		out = append(out, svc)
	}
	return out
}

func (s *serviceSet) each(f func(*service)) {
	for _, svc := range s.list() {
		f(svc)
	}
}

// service places the open jobs of one service. Its lock also orders grants and the
// agents' replies: a grant is recorded in its job before the agent's reply can be
// handled.
type service struct {
	e    *Entry
	name string

	mu    sync.Mutex
	queue *placement.Queue
	jobs  map[placement.JobID]*ledger.Job // without an outcome, or with granted tasks that may still run
	lost  map[string]lostAgent
}

// lostAgent is an agent incarnation whose link broke; it may still run tasks.
type lostAgent struct {
	incarnation wire.Incarnation
	at          time.Time
}

func newService(e *Entry, name string) *service {
	s := &service{
		e:     e,
		name:  name,
		queue: placement.NewQueue(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), //nolint:gosec // ties only
		jobs:  map[placement.JobID]*ledger.Job{},
		lost:  map[string]lostAgent{},
	}
	if v := e.control; v != nil && v.view().State != nil {
		s.configure(v.view().State)
	}
	e.peers.each(func(p *peerLink) { s.queue.SetPeer(p.id) })
	return s
}

func (s *service) configure(state *release.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pct := state.Settings.EjectMaxPct; pct > 0 {
		s.queue.SetEjectLimit(pct)
	}
	if _, ok := state.Services[s.name]; !ok {
		for id, j := range s.jobs {
			s.fail(id, j, result.ServiceWithdrawn, result.OutcomeUnknown, "the service was withdrawn")
		}
	}
}

// submit admits a job and places as many of its tasks as it can at once. The
// caller receives the job's outcome through the ledger.
func (s *service) submit(spec ledger.JobSpec, weight int) {
	id := placement.JobID(spec.Ticket.Seq)
	p := placement.Job{ID: id, Team: spec.Team, Weight: weight, Deadline: spec.Deadline, Tasks: make([]placement.Task, len(spec.Tasks))}
	for i, t := range spec.Tasks {
		p.Tasks[i] = placement.Task{Job: id, Index: i, MemoryMB: t.MemoryMB}
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	j := ledger.NewJob(spec)
	if code := s.queue.Admit(now, p); code != result.OK {
		s.e.metrics.Refused(code)
		j.Fail(code, code, "")
		s.e.finish(j)
		return
	}
	s.jobs[id] = j
	s.queue.Add(now, p)
	s.dispatch(now)
}

// dispatch carries out the decisions of the queue. The lock is held.
func (s *service) dispatch(now time.Time) {
	d := s.queue.Dispatch(now)
	for _, id := range d.Dropped {
		s.drop(id)
	}
	for _, p := range d.Placements {
		s.grant(now, p)
	}
	for _, req := range d.Requests {
		s.sendCreditRequest(req)
	}
	for _, transfer := range d.Transfers {
		s.sendCreditTransfer(transfer)
	}
}

// drop fails a job that has started no task and would miss its deadline.
func (s *service) drop(id placement.JobID) {
	if j, ok := s.jobs[id]; ok {
		s.fail(id, j, result.DeadlineUnmet, result.DeadlinePassed, "")
	}
}

func (s *service) grant(now time.Time, p placement.Placement) {
	a := s.e.agents.get(p.Credit.Agent)
	if a == nil || uint64(a.incarnation) != p.Credit.Incarnation {
		s.queue.Refused(p.Credit.Agent)
		s.queue.Requeue(p.Task)
		return
	}
	j, ok := s.jobs[p.Task.Job]
	if !ok {
		s.queue.ReturnCredit(p.Credit)
		return
	}
	attempt, ok := j.Grant(p.Task.Index, a.id, uint64(a.incarnation))
	if !ok {
		s.queue.ReturnCredit(p.Credit)
		return
	}
	if a.link.Send(s.grantMessage(now, j, a, p, attempt)) == nil {
		a.heldSentAt.Store(s.e.clock())
		return
	}
	// The link was closed before the grant was queued, so the grant was not sent.
	s.queue.Refused(a.id)
	if j.Refuse(p.Task.Index, attempt, a.id, uint64(a.incarnation)) {
		s.queue.Requeue(p.Task)
	}
}

func (s *service) grantMessage(now time.Time, j *ledger.Job, a *agentLink, p placement.Placement, attempt int) *wire.Grant {
	spec := &j.Spec
	t := &spec.Tasks[p.Task.Index]
	remaining := spec.Deadline.Sub(now).Milliseconds()
	return &wire.Grant{
		Task:         wire.TaskRef{Ticket: ticketID(spec.Ticket), Index: p.Task.Index},
		Attempt:      attempt,
		Credit:       wire.SlotCredit{Slot: p.Credit.Slot, Epoch: p.Credit.Epoch},
		Payload:      t.Payload,
		Digest:       spec.Digest,
		StartInMS:    remaining,
		TimeoutMS:    s.taskLimit(remaining),
		Idempotent:   t.Idempotent,
		Team:         spec.Team,
		Confirmation: s.e.control.confirmation(&a.clocks),
		Held:         slotCredits(s.queue.Held(a.id)),
	}
}

// taskLimit returns how long a task may run: the service's limit or, if the
// service has none, the time that remains for the task's job. A task that
// outlasts its job keeps its slot, as the endpoint still works on the task.
func (s *service) taskLimit(remaining int64) int64 {
	if state := s.e.control.view().State; state != nil {
		if limit := state.Services[s.name].MaxTaskMS; limit > 0 {
			return limit
		}
	}
	return remaining
}

func ticketID(t ledger.Ticket) wire.TicketID {
	return wire.TicketID{Entry: t.Entry, Incarnation: wire.Incarnation(t.Incarnation), Seq: t.Seq}
}

// jobOf returns the job of a ticket that this incarnation issued, or nil.
func (s *service) jobOf(t wire.TicketID) (placement.JobID, *ledger.Job) {
	if t.Entry != s.e.self.ID || t.Incarnation != s.e.self.Incarnation {
		return 0, nil
	}
	id := placement.JobID(t.Seq)
	return id, s.jobs[id]
}

// answerIfDone answers a job that has an outcome, and forgets the job once none
// of its granted tasks may still run. The lock is held.
func (s *service) answerIfDone(id placement.JobID, j *ledger.Job) {
	if j.Outcome() == nil {
		return
	}
	s.queue.Remove(id)
	s.e.finish(j)
	if j.Open() == 0 {
		delete(s.jobs, id)
	}
}

// fail ends a job that has no outcome yet. The lock is held.
func (s *service) fail(id placement.JobID, j *ledger.Job, notRun, ran result.Code, detail string) {
	if !j.Fail(notRun, ran, detail) {
		return
	}
	s.e.metrics.Refused(j.Outcome().Code)
	s.answerIfDone(id, j)
}

// tick repeats the decisions that depend on time: tasks are placed on agents whose
// ejection has ended, and credits are requested from and transferred to peers.
func (s *service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.queue.Waiting() > 0 || s.queue.HasPeerRequest() || s.queue.Surplus(now) {
		s.dispatch(now)
	}
}

// expire fails the jobs that missed or can no longer meet their deadline and the
// jobs with tasks on agents that did not reconnect within agentGrace, and forgets
// ended jobs agentGrace after their deadline.
func (s *service) expire() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.queue.Expired(now) {
		j, ok := s.jobs[id]
		if !ok {
			s.queue.Remove(id)
			continue
		}
		s.fail(id, j, result.DeadlineUnmet, result.DeadlinePassed, "")
		s.queue.Remove(id)
	}
	for id, l := range s.lost {
		if now.Sub(l.at) >= agentGrace {
			delete(s.lost, id)
			s.failJobsOn(id, l.incarnation)
		}
	}
	for id, j := range s.jobs {
		if j.Outcome() != nil && now.Sub(j.Spec.Deadline) > agentGrace {
			delete(s.jobs, id)
		}
	}
}

// cancelTicket ends a job that its caller cancelled, if the job belongs to this
// service.
func (s *service) cancelTicket(seq uint64) {
	id := placement.JobID(seq)
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id]
	if !ok {
		return
	}
	for _, agent := range j.Agents() {
		if a := s.e.agents.get(agent); a != nil {
			_ = a.link.Send(&wire.Cancel{Ticket: ticketID(j.Spec.Ticket)})
		}
	}
	s.fail(id, j, result.CancelledNotRun, result.Cancelled, "")
}
