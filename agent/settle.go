package agent

import (
	"time"

	"bergamotwing.example/wire"
)

// handleResume reports to an entry the states of tasks that the entry lost track
// of. The results that are still held are sent first.
func (a *Agent) handleResume(s *session, m *wire.Resume) {
	reply := &wire.ResumeReply{Tasks: m.Tasks, States: make([]wire.TaskState, len(m.Tasks))}
	for i, task := range m.Tasks {
		state, held := a.records.lookup(task)
		reply.States[i] = state
		if held != nil {
			s.send(a.stamped(held))
		}
	}
	s.send(reply)
}

// handleFence refuses the tickets from now on and reports their started tasks.
func (a *Agent) handleFence(s *session, m *wire.Fence, now time.Duration) {
	reply := &wire.FenceReply{Request: m.Request, Started: make([][]wire.StartedTask, len(m.Tickets))}
	for i, ticket := range m.Tickets {
		reply.Started[i] = a.records.fence(ticket, now)
	}
	s.send(reply)
}
