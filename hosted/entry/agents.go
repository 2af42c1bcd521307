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
		// The agent gets no orders before it has reported which runs it keeps:
		// an order sent earlier would be missing from that report and seem lost.
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
	delete(s.agentShards, l.Hello.Name)
	s.agentLost(now, p)
}

// agentLost removes the endpoints of an agent whose link is lost, and passes to
// the schedulers the time by which its runs end: they may go on for the owner's
// lease, counted from the last heartbeat that the agent may have received, on an
// earlier link if none was sent on this one.
func (s *state) agentLost(now time.Duration, p *mesh.Peer) {
	id := p.Agent()
	runsEndBy := s.timing.RunsEndBy(max(p.LastSent, p.ConnectedAt))
	for key, v := range s.endpoints {
		if v.agent.Name == id.Name {
			delete(s.endpoints, key)
		}
	}
	for _, sched := range s.schedulers {
		sched.AgentLost(now, id, runsEndBy)
	}
	s.e.deps.Log.Warn().Str("event", "agent_lost").Str("agent", id.Name).Dur("runs_over_in_ms", runsEndBy-now).Msg("agent lost")
}

// isHomeOf reports whether this entry places tasks on an agent's endpoint.
func (s *state) isHomeOf(agent *mesh.Peer) bool {
	shard, known := s.agentShards[agent.Hello.Name]
	if !known {
		return false
	}
	sched := s.schedulers[shard]
	return s.home[shard] == s.e.self.Name || sched != nil && sched.Jobs() > 0
}

// heartbeatTo sends a heartbeat to an agent. It is marked as a home's only if the
// agent's endpoint is in a shard held here: agents send heartbeats to their home more
// often, and each home would get those of all shards. Its echo renews the lease of the
// agent's runs here, so it is sent after the stops of those that were cancelled while
// the agent was not linked or, after a pause, that no client waits for any more.
func (s *state) heartbeatTo(now time.Duration, agent *mesh.Peer, b wire.NodeHeartbeat) {
	if !agent.RunsReported || now < s.echoAgentsFrom {
		agent.HeartbeatDue = true
		return
	}
	agent.HeartbeatDue = false
	b.Home, b.Waiting, b.StoreLost = s.isHomeOf(agent), 0, false
	agent.SendHeartbeat(now, b)
}

// checkAgents closes the links of agents that have sent no heartbeat for the owner's
// lease (at their home) or agentLinkTimeout (at other entries). Agents send heartbeats to
// their home more often than to other entries: they are told at once when this entry
// becomes it, and have that time anew. No tasks are placed on agents without a recent
// heartbeat, which at an entry that has just become the home are nearly all, until
// they have answered.
func (s *state) checkAgents(now time.Duration) {
	heartbeat := s.heartbeat()
	for _, p := range s.agents {
		limit := agentLinkTimeout
		if !s.isHomeOf(p) {
			p.BusySince = 0
		} else {
			limit = s.timing.OwnerLease
			if p.BusySince == 0 {
				p.BusySince = now
				p.HeartbeatDue = true
			}
		}
		if p.HeartbeatDue {
			s.heartbeatTo(now, p, heartbeat)
		}
		if now-p.LastReceived > agentSuspect {
			s.setSuspect(p, true)
		}
		if now-max(p.LastReceived, p.BusySince) > limit {
			p.Close()
		}
	}
}

func (s *state) setSuspect(p *mesh.Peer, suspect bool) {
	if p.Suspect == suspect {
		return
	}
	p.Suspect = suspect
	for _, sched := range s.schedulers {
		sched.SetAgentSuspect(p.Agent(), suspect)
	}
	if !s.isHomeOf(p) {
		return // heartbeats to other entries are rare
	}
	s.e.deps.Log.Info().Str("event", "agent_silent").Str("agent", p.Hello.Name).Bool("silent", suspect).Msg("agent gets no tasks while it misses heartbeats")
}

func (s *state) fromAgent(now time.Duration, l *mesh.Link, m wire.Message) {
	p := s.agents[l.Hello.Name]
	if p == nil || p.Link != l {
		return // the link was replaced
	}
	id := l.Agent()
	switch m := m.(type) {
	case *wire.NodeHeartbeat:
		p.ReceiveHeartbeat(now, m)
		s.setSuspect(p, false)
		s.heartbeatTo(now, p, s.heartbeat())
		s.sendOperatorIfOutdated(p)
	case *wire.RunsKept:
		for _, sched := range s.schedulers {
			sched.AgentReconnected(now, id, m.Orders)
		}
		s.applyActions(now)
		p.RunsReported = true
		s.heartbeatTo(now, p, s.heartbeat())
		if m.Endpoints != nil {
			for _, sched := range s.schedulers {
				sched.DropUnlisted(now, id, m.Endpoints)
			}
		}
	case *wire.EndpointReport:
		s.report(now, id, m)
	case *wire.EndpointGone:
		delete(s.endpoints, m.Endpoint)
		for _, sched := range s.schedulers {
			sched.EndpointGone(now, id, m.Endpoint)
		}
	case *wire.OperatorRows:
		s.operatorRows(now, p, m)
	case *wire.RunEnd:
		for _, end := range m.Ends {
			s.runEnded(now, end)
		}
	}
}

func (s *state) report(now time.Duration, id dispatch.AgentID, m *wire.EndpointReport) {
	status := m.Status
	shard := s.shardOfEndpoint(status.Service, status.Endpoint)
	s.endpoints[status.Endpoint] = endpointView{agent: id, status: status, shard: shard}
	s.agentShards[id.Name] = shard
	s.scheduler(shard).Report(now, id, status)
	if m.Evidence != nil {
		s.scheduler(shard).Inherit(now, id, status.Endpoint, *m.Evidence, m.EvidenceAge)
	}
}

// sendEvidence sends an agent what this home knows of its endpoint.
func (s *state) sendEvidence(a dispatch.SchedulerAction) {
	if p := s.agentOf(a.Agent); p != nil && p.Hello.NewestKind >= wire.KindEndpointEvidence {
		_ = p.Send(&wire.EndpointEvidence{Endpoint: a.Endpoint, Evidence: a.Evidence}) // sent again after the loss of the link
	}
}

func (s *state) runEnded(now time.Duration, end wire.EndedRun) {
	if end.Reason != dispatch.EndDone {
		s.e.deps.Metrics.Count("bergamotwing_runs_"+end.Reason.String()+"_total", "Runs that ended so.", 1)
	}
	for _, sched := range s.schedulers {
		sched.Ended(now, end.Order, end.Reason, end.Age)
	}
}
