package entry

import (
	"time"

	"bergamotwing.example/placement"
	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

// handleResult handles the result of a task.
func (s *service) handleResult(a *agentLink, m *wire.Result) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := m.Code != result.OK && m.Code != result.Cancelled
	s.queue.Done(now, a.id, time.Duration(m.RunUS)*time.Microsecond, failed, m.FailurePct)
	if m.Credit != nil {
		s.queue.AddCredits(a.credit(*m.Credit))
	}
	id, j := s.jobOf(m.Task.Ticket)
	if j != nil && j.Finish(m.Task.Index, m.Attempt, a.id, uint64(a.incarnation), m.Code, m.Body) {
		s.answerIfDone(id, j)
	}
	s.dispatch(now)
}

// handleRefusal handles an agent's refusal to start a granted task.
func (s *service) handleRefusal(a *agentLink, m *wire.Refuse) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Refused(a.id)
	if m.Credit != nil {
		s.queue.AddCredits(a.credit(*m.Credit))
	}
	id, j := s.jobOf(m.Task.Ticket)
	if j == nil {
		s.dispatch(now)
		return
	}
	if m.Code == result.AlreadyStarted {
		s.fail(id, j, result.OutcomeUnknown, result.OutcomeUnknown, "the agent had started the task before")
		s.dispatch(now)
		return
	}
	requeue := j.Refuse(m.Task.Index, m.Attempt, a.id, uint64(a.incarnation))
	switch {
	case m.Code == result.TicketFenced:
		s.fail(id, j, result.SettledNotRun, result.SettledFailed, "another entry settled the ticket")
	case requeue:
		s.queue.Requeue(placement.Task{Job: id, Index: m.Task.Index, MemoryMB: j.Spec.Tasks[m.Task.Index].MemoryMB})
	}
	s.answerIfDone(id, j)
	s.dispatch(now)
}

func (s *service) handleOffer(a *agentLink, credits []wire.SlotCredit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range credits {
		s.queue.AddCredits(a.credit(c))
	}
	s.dispatch(time.Now())
}

// failJobsOn fails the jobs with granted tasks on a lost agent incarnation;
// whether these tasks ran is not known. The lock is held.
func (s *service) failJobsOn(agent string, incarnation wire.Incarnation) {
	for id, j := range s.jobs {
		if len(j.GrantedTo(agent, uint64(incarnation))) > 0 {
			s.fail(id, j, result.AgentLost, result.AgentLost, "agent "+agent+" is lost with a task whose fate is unknown")
		}
	}
}

// hasTasksOn reports whether tasks of this entry are granted to an agent's
// incarnation.
func (s *service) hasTasksOn(a *agentLink) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		if len(j.GrantedTo(a.id, uint64(a.incarnation))) > 0 {
			return true
		}
	}
	return false
}

// setAgent updates the queue's record of an agent.
func (s *service) setAgent(a *agentLink) {
	v := s.e.control.view()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.e.agents.get(a.id) != a {
		return
	}
	s.queue.SetAgent(placement.Agent{
		ID: a.id, Slots: a.slots, MemoryMB: a.memoryMB,
		Usable: !a.leaving.Load() && v.State.InService(a.zone, v.Holds),
	})
	s.dispatch(time.Now())
}

// agentLinked starts to use an agent's new link. The agent is asked for the state
// of the tasks granted over an earlier link to the same incarnation; the tasks of
// an earlier incarnation are lost.
func (s *service) agentLinked(a *agentLink, old *agentLink) {
	s.mu.Lock()
	s.queue.RemoveAgent(a.id)
	lost, wasLost := s.lost[a.id]
	delete(s.lost, a.id)
	if wasLost && lost.incarnation != a.incarnation {
		s.failJobsOn(a.id, lost.incarnation)
	}
	if old != nil && old.incarnation != a.incarnation {
		s.failJobsOn(a.id, old.incarnation)
	}
	var open []wire.TaskRef
	a.resuming = map[wire.TaskRef]int{}
	for _, j := range s.jobs {
		for _, i := range j.GrantedTo(a.id, uint64(a.incarnation)) {
			ref := wire.TaskRef{Ticket: ticketID(j.Spec.Ticket), Index: i}
			a.resuming[ref] = j.Attempt(i)
			open = append(open, ref)
		}
	}
	if len(open) > 0 {
		_ = a.link.Send(&wire.Resume{Tasks: open})
	}
	s.mu.Unlock()
	s.setAgent(a)
}

// handleResumeReply handles the states of the tasks that agentLinked asked for.
func (s *service) handleResumeReply(a *agentLink, m *wire.ResumeReply) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, ref := range m.Tasks {
		id, j := s.jobOf(ref.Ticket)
		if j == nil || n >= len(m.States) {
			continue
		}
		switch m.States[n] {
		case wire.TaskNeverSeen:
			s.e.metrics.Retried(result.PeerUnreachable)
			if j.Refuse(ref.Index, a.resuming[ref], a.id, uint64(a.incarnation)) {
				s.queue.Requeue(placement.Task{Job: id, Index: ref.Index, MemoryMB: j.Spec.Tasks[ref.Index].MemoryMB})
			}
			s.answerIfDone(id, j)
		case wire.TaskForgotten:
			s.fail(id, j, result.OutcomeUnknown, result.OutcomeUnknown, "the agent no longer knows the task")
		case wire.TaskRunning, wire.TaskFinished:
		}
	}
	s.dispatch(now)
}

// agentDisconnected drops an agent's credits and starts the wait for the agent
// to reconnect.
func (s *service) agentDisconnected(a *agentLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.RemoveAgent(a.id)
	s.lost[a.id] = lostAgent{incarnation: a.incarnation, at: time.Now()}
}

func (s *service) held(agent string) []wire.SlotCredit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slotCredits(s.queue.Held(agent))
}
