package entry

import (
	"bergamotwing.example/wire"
)

func (e *Entry) pingedBy(a *agentLink, m *wire.AgentPing) {
	a.version.Store(m.Version)
	a.failurePct.Store(int64(m.FailurePct))
	if a.leaving.Swap(m.Leaving) != m.Leaving {
		e.services.get(a.service).setAgent(a)
	}
	a.pingedAt.Store(e.clock())
	a.pinged.Store(true)
}

// answerPing renews the permission of an agent that asked, once the known
// moment covers its clock reading.
func (e *Entry) answerPing(a *agentLink) {
	if a.pinged.Swap(false) {
		e.beat(a)
	}
}

// watch does what is due for an agent: answers a ping that no reading of the
// version answered, confirms held credits if nothing was sent lately, and closes
// the link of one that went silent over tasks of this entry.
func (e *Entry) watch(a *agentLink) {
	now := e.clock()
	s := e.services.get(a.service)
	switch {
	case a.pinged.Load() && now-a.pingedAt.Load() >= pingAnswerMax.Milliseconds():
		e.answerPing(a)
	case now-a.sentAt.Load() >= beatAgentIdle.Milliseconds() && len(s.held(a.id)) > 0:
		e.beat(a)
	}
	if now-a.heardAt.Load() >= agentSilent.Milliseconds() && s.runsOn(a) {
		e.log.Warn().Str("agent", a.id).Msg("agent is silent over running tasks")
		a.link.Close()
	}
}

func (e *Entry) beat(a *agentLink) {
	held := e.services.get(a.service).held(a.id)
	a.sentAt.Store(e.clock())
	_ = a.link.Send(&wire.EntryHeartbeat{Confirmation: e.control.vouch(&a.clocks), Held: held})
}
