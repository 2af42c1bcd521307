package entry

import (
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/wire"
)

func (s *state) agentUp(now time.Duration, l *mesh.Link) {
	name := l.Hello.Name
	if old := s.agents[name]; old != nil {
		// Nothing is ordered before the agent has said which runs it keeps:
		// an order sent earlier would be missing there and seem lost.
		old.Close()
		s.agentLost(now, old)
	}
	p := mesh.NewPeer(l, now)
	s.agents[name] = p
	s.sendOperator(p)
	_ = p.Send(s.memberList()) // a closed link is reported as down
	s.e.deps.Log.Info().Str("event", "agent_linked").Str("agent", name).Msg("agent linked")
}

func (s *state) agentDown(now time.Duration, l *mesh.Link) {
	p := s.agents[l.Hello.Name]
	if p == nil || p.Link != l {
		return
	}
	delete(s.agents, l.Hello.Name)
	s.agentLost(now, p)
}

// agentLost gives the runs of an agent that is not heard the time for which
// they may go on: its lease of this entry, counted from the last heartbeat that
// it may have got.
func (s *state) agentLost(now time.Duration, p *mesh.Peer) {
	id := p.Agent()
	goneBy := s.timing.RunsEndBy(p.LastSent)
	for key, v := range s.endpoints {
		if v.agent.Name == id.Name {
			delete(s.endpoints, key)
		}
	}
	for _, sched := range s.schedulers {
		sched.AgentLost(now, id, goneBy)
	}
	s.e.deps.Log.Warn().Str("event", "agent_lost").Str("agent", id.Name).Dur("runs_over_in_ms", goneBy-now).Msg("agent lost")
}

// checkAgents gives no tasks to agents that miss heartbeats, and closes the links
// of those that are lost. Agents beat the home more often than others.
func (s *state) checkAgents(now time.Duration) {
	limit := agentSilence
	home := s.isHome()
	if home {
		limit = s.timing.OwnerLease
	}
	for _, p := range s.agents {
		quiet := now - p.LastReceived
		if home && quiet > agentSuspect {
			s.setSilent(p, true)
		}
		if quiet > limit {
			p.Close()
		}
	}
}

func (s *state) setSilent(p *mesh.Peer, silent bool) {
	if p.Suspect == silent {
		return
	}
	p.Suspect = silent
	for _, sched := range s.schedulers {
		sched.SetAgentSuspect(p.Agent(), silent)
	}
	s.e.deps.Log.Info().Str("event", "agent_silent").Str("agent", p.Hello.Name).Bool("silent", silent).Msg("agent gets no tasks while it misses heartbeats")
}

func (s *state) fromAgent(now time.Duration, l *mesh.Link, m wire.Message) {
	p := s.agents[l.Hello.Name]
	if p == nil || p.Link != l {
		return // a link that was replaced
	}
	id := l.Agent()
	switch m := m.(type) {
	case *wire.NodeHeartbeat:
		p.ReceiveHeartbeat(now, m)
		s.setSilent(p, false)
		p.SendHeartbeat(now, s.beat())
		s.tellIfBehind(p)
	case *wire.RunsKept:
		for _, sched := range s.schedulers {
			sched.AgentReconnected(now, id, m.Orders)
		}
	case *wire.EndpointReport:
		s.report(now, id, m.Status)
	case *wire.EndpointGone:
		delete(s.endpoints, m.Endpoint)
		for _, sched := range s.schedulers {
			sched.EndpointGone(now, id, m.Endpoint)
		}
	case *wire.RunEnd:
		for _, end := range m.Ends {
			s.runEnded(now, end)
		}
	}
}

func (s *state) report(now time.Duration, id dispatch.AgentID, status dispatch.EndpointStatus) {
	shard := s.shardOfEndpoint(status.Service, status.Endpoint)
	s.endpoints[status.Endpoint] = endpointView{agent: id, status: status, shard: shard}
	s.scheduler(shard).Report(now, id, status)
}

func (s *state) runEnded(now time.Duration, end wire.EndedRun) {
	if end.Reason != dispatch.EndDone {
		s.e.deps.Metrics.Count("bergamotwing_runs_"+end.Reason.String()+"_total", "Runs that ended so.", 1)
	}
	for _, sched := range s.schedulers {
		sched.Ended(now, end.Order, end.Reason, end.Age)
	}
}
