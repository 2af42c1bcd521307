package entry

import (
	"slices"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/wire"
)

const (
	// askAgentsAfter is how long this entry's calls of the store fail before it asks
	// agents to read for it: longer than the pause until the next own call.
	askAgentsAfter = 500 * time.Millisecond
	// storeReportMaxAge is how long a heartbeat of another entry says whether the store serves it:
	// two idle heartbeats.
	storeReportMaxAge = 2 * idleHeartbeatEvery
	// agentReadDivisor makes the wait of an agent's call ConfigApply / agentReadDivisor.
	agentReadDivisor = 4
	// agentReadSlack is the time without an answer, beyond the wait for a change, after
	// which another agent is asked: two calls of the store and the way.
	agentReadSlack = watchSlack + storeTimeout + 200*time.Millisecond
)

// agentReads is the state of reading the operator's rows through agents.
type agentReads struct {
	lostAt   time.Duration // when own calls of the store began to fail; 0: they do not
	asked    *mesh.Peer    // agent whose answer is awaited; nil: none
	answerBy time.Duration // when another agent is asked instead
	nextAt   time.Duration // earliest time of the next request
	pause    time.Duration // after the next failed request; 0: storePause
	served   bool          // the latest request was answered with rows
	count    int           // requests since lostAt
	doubts   uint64        // cancelDoubts at the latest request
}

func (s *state) storeServes(now time.Duration, ok bool) {
	s.agentReads = agentReads{}
	if !ok {
		s.agentReads.lostAt = now
	}
}

// readByAgents has one agent after the other read the operator's rows while neither this
// entry nor another one that is linked is served by the store.
func (s *state) readByAgents(now time.Duration) {
	r := &s.agentReads
	if r.lostAt == 0 || s.e.operator.Load() != nil && now-r.lostAt < askAgentsAfter || s.otherEntryReads(now) {
		r.asked = nil
		return
	}
	if r.asked != nil {
		if s.agents[r.asked.Hello.Name] == r.asked && now < r.answerBy {
			return
		}
		s.agentReadFailed(now, "unanswered")
	}
	if now < r.nextAt {
		return
	}
	agents := s.readers()
	if len(agents) == 0 {
		return
	}
	request := &wire.OperatorRead{After: s.e.rowsReadAt.Load()}
	request.Cancelled = s.e.operator.Load() != nil && !s.e.cancelsKnown.Load() // jobs are taken once both are known
	var wait time.Duration                                                     // none until it is known that the store serves agents
	if r.served && !request.Cancelled {
		wait = s.e.node.ConfigApply / agentReadDivisor
	}
	r.asked = agents[r.count%len(agents)]
	r.answerBy, r.nextAt = now+wait+agentReadSlack, now+storePause
	r.doubts = s.e.cancelDoubts.Load()
	if r.count++; r.count == 1 {
		s.e.deps.Log.Warn().Str("event", "store_read_by_agents").Uint64("after", s.e.rowsReadAt.Load()).Int("agents", len(agents)).
			Msg("the store serves no linked entry; agents are asked to read the operator's state")
	}
	s.e.deps.Metrics.Count("bergamotwing_agent_reads_total", "Requests to an agent to read the operator's state.", 1)
	request.Wait = wait
	_ = r.asked.Send(request) // another agent is asked if this is lost
}

// otherEntryReads reports whether a linked entry is served by the store, as far as is known.
func (s *state) otherEntryReads(now time.Duration) bool {
	for _, p := range s.peers {
		if p.Clock > 0 && !p.LastHeartbeat.StoreLost && now-p.LastReceived < storeReportMaxAge {
			return true
		}
	}
	return false
}

// readers returns the agents that can be asked, in an order of this entry's own.
func (s *state) readers() []*mesh.Peer {
	var agents []*mesh.Peer
	for _, p := range s.agents {
		if p.Hello.NewestKind >= wire.KindOperatorRows && !p.LastHeartbeat.Draining {
			agents = append(agents, p)
		}
	}
	slices.SortFunc(agents, func(a, b *mesh.Peer) int {
		if dispatch.HomeRank(s.e.self.Name, a.Hello.Name) < dispatch.HomeRank(s.e.self.Name, b.Hello.Name) {
			return -1
		}
		return 1
	})
	return agents
}

// agentReadFailed has another agent asked after a pause that grows.
func (s *state) agentReadFailed(now time.Duration, reason string) {
	r := &s.agentReads
	s.e.deps.Metrics.Count("bergamotwing_agent_reads_"+reason+"_total", "Requests to an agent to read the operator's state that brought nothing.", 1)
	s.e.deps.Log.Warn().Str("event", "agent_read_failed").Str("agent", r.asked.Hello.Name).Str("reason", reason).Msg("operator's state not read by an agent")
	r.pause = max(r.pause, storePause)
	r.nextAt = now + r.pause
	r.pause = min(2*r.pause, storePauseMax)
	r.asked, r.served = nil, false
}

// operatorRows applies what an agent has read, also if it comes late.
func (s *state) operatorRows(now time.Duration, p *mesh.Peer, m *wire.OperatorRows) {
	r := &s.agentReads
	switch {
	case m.Failed && r.asked == p:
		s.agentReadFailed(now, "failed")
	case !m.Failed:
		doubts := r.doubts
		if r.asked == p {
			r.asked, r.pause, r.served = nil, 0, true
		}
		if m.Cancelled {
			go s.e.applyAgentCancels(m, doubts)
			return
		}
		go s.e.applyAgentRead(m) // decodes the configuration
	}
}

func (e *Entry) applyAgentRead(m *wire.OperatorRows) {
	read := platform.Rows{Version: m.Version}
	for _, r := range m.Rows {
		read.Rows = append(read.Rows, platform.Row{Table: platform.OperatorTable, Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed})
	}
	if m.Whole {
		e.applyWhole(read)
	} else {
		e.applyChanges(m.After, read)
	}
}

// applyAgentCancels applies the cancelled jobs that an agent has read.
func (e *Entry) applyAgentCancels(m *wire.OperatorRows, doubts uint64) {
	read := platform.Rows{Now: m.Now}
	for _, r := range m.Rows {
		read.Rows = append(read.Rows, platform.Row{Table: platform.CancelledTable, Key: r.Key, Value: r.Value, Version: r.Version})
	}
	jobs, _, odd := cancelsOf(read, e.self.Name, e.jobRetention()) // the store takes no removal of this entry
	e.odd.Report(odd...)
	e.actor.Send(cancelsRead{jobs, doubts})
}
