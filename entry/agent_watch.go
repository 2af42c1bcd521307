package entry

import (
	"bergamotwing.example/wire"
)

func (e *Entry) handlePing(a *agentLink, m *wire.AgentPing) {
	a.version.Store(m.Version)
	a.failurePct.Store(int64(m.FailurePct))
	if a.leaving.Swap(m.Leaving) != m.Leaving {
		e.services.get(a.service).setAgent(a)
	}
	a.pingedAt.Store(e.clock())
	a.pinged.Store(true)
}

// answerPing answers an agent's pending ping with a heartbeat. Its confirmation
// renews the agent's permission from the newest clock reading that had arrived by
// the confirmed moment, which may be older than the ping.
func (e *Entry) answerPing(a *agentLink) {
	if a.pinged.Swap(false) {
		e.sendAgentHeartbeat(a)
	}
}

// checkAgent does what is due for an agent: it answers a ping that no
// confirmation of the version has answered, renews held credits if nothing was
// sent lately, and closes the link of an agent that runs tasks of this entry but
// has sent nothing for too long.
func (e *Entry) checkAgent(a *agentLink) {
	now := e.clock()
	s := e.services.get(a.service)
	switch {
	case a.pinged.Load() && now-a.pingedAt.Load() >= pingAnswerMax.Milliseconds():
		e.answerPing(a)
	case now-a.heldSentAt.Load() >= agentHeartbeatAfter.Milliseconds() && len(s.held(a.id)) > 0:
		e.sendAgentHeartbeat(a)
	}
	if now-a.lastReceived.Load() >= busyAgentTimeout.Milliseconds() && s.hasTasksOn(a) {
		e.log.Warn().Str("agent", a.id).Msg("nothing received from an agent that runs tasks")
		a.link.Close()
	}
}

func (e *Entry) sendAgentHeartbeat(a *agentLink) {
	held := e.services.get(a.service).held(a.id)
	a.heldSentAt.Store(e.clock())
	_ = a.link.Send(&wire.EntryHeartbeat{Confirmation: e.control.confirmation(&a.clocks), Held: held})
}
