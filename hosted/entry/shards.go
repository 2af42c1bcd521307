package entry

import (
	"maps"
	"slices"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/wire"
)

// shardCounts holds the number of shards of each service. Services with one shard
// may be missing.
type shardCounts map[string]int

func (c shardCounts) of(service string) int { return max(c[service], 1) }

// chooseHomes chooses the home entry of each shard. When a home changes, it sends
// heartbeats at once, since they report whether this entry is a home.
func (s *state) chooseHomes(now time.Duration) {
	op := s.e.operator.Load()
	if op == nil {
		return
	}
	candidates := s.candidates()
	changed := false
	for _, service := range op.Config.Services {
		s.updateShardCount(now, service.Name, dispatch.ChooseHome(service.Name, candidates))
		for i, home := range dispatch.ChooseHomes(service.Name, s.shardCounts.of(service.Name), candidates) {
			changed = s.setHome(dispatch.Shard{Service: service.Name, Index: i}, home) || changed
		}
	}
	if changed {
		s.broadcastHeartbeat(now)
	}
}

// setHome sets the home of a shard and reports whether it has changed.
func (s *state) setHome(shard dispatch.Shard, home string) bool {
	old := s.home[shard]
	if home == old {
		return false
	}
	s.home[shard] = home
	s.e.deps.Log.Info().Str("event", "home_changed").Str("service", shard.Service).Int("shard", shard.Index).Str("from", old).
		Str("to", home).Msg("another entry holds the shard's queue")
	return true
}

// updateShardCount updates the number of a service's shards. The home of the
// service's first shard decides on the number, by how many endpoints the service has.
func (s *state) updateShardCount(now time.Duration, service, firstHome string) {
	count := s.shardCounts.of(service)
	switch {
	case firstHome == s.e.self.Name:
		count = dispatch.ShardCount(count, s.countEndpoints(service), s.e.opts.ShardEndpoints)
	case s.peerShardCounts[firstHome] != nil:
		count = s.peerShardCounts[firstHome].of(service)
	}
	if old := s.shardCounts.of(service); count != old {
		s.shardCounts[service] = count
		s.e.deps.Log.Info().Str("event", "service_split").Str("service", service).Int("from", old).Int("to", count).
			Str("by", firstHome).Msg("service split into another number of shards")
		s.dropHomes(service, count)
		s.moveEndpoints(now, service)
		s.sendShardCounts()
	}
}

// dropHomes removes the homes of shards that no longer exist.
func (s *state) dropHomes(service string, count int) {
	maps.DeleteFunc(s.home, func(shard dispatch.Shard, _ string) bool {
		return shard.Service == service && shard.Index >= count
	})
}

// countEndpoints counts a service's endpoints, whether they take tasks or not.
func (s *state) countEndpoints(service string) int {
	n := 0
	for _, v := range s.endpoints {
		if v.status.Service == service {
			n++
		}
	}
	return n
}

// moveEndpoints moves endpoints to the schedulers of their new shards. The old
// schedulers keep the runs that are not over.
func (s *state) moveEndpoints(now time.Duration, service string) {
	for id, v := range s.endpoints {
		shard := s.shardOfEndpoint(service, id)
		if v.status.Service != service || v.shard == shard {
			continue
		}
		evidence, notable := s.scheduler(v.shard).Evidence(v.agent, id)
		s.scheduler(v.shard).ReleaseEndpoint(v.agent, id)
		s.scheduler(shard).Report(now, v.agent, v.status)
		if notable {
			s.scheduler(shard).Inherit(now, v.agent, id, evidence, 0)
		}
		v.shard = shard
		s.endpoints[id] = v
		s.agentShards[v.agent.Name] = shard
	}
}

func (s *state) shardOfEndpoint(service string, id dispatch.EndpointID) dispatch.Shard {
	return dispatch.Shard{Service: service, Index: dispatch.ShardIndex(id.ID, s.shardCounts.of(service))}
}

func (s *state) shardOfJob(service, job string) dispatch.Shard {
	return dispatch.Shard{Service: service, Index: dispatch.ShardIndex(job, s.shardCounts.of(service))}
}

// chooseShard returns the index of the shard to which a job goes that its shard does not
// have yet.
func (s *state) chooseShard(shard dispatch.Shard) int {
	service := shard.Service
	waiting := make([]int, s.shardCounts.of(service))
	for i := range waiting {
		home := s.home[dispatch.Shard{Service: service, Index: i}]
		if p := s.peers[home]; p != nil {
			waiting[i] = p.LastHeartbeat.Waiting
		} else if home == s.e.self.Name {
			waiting[i] = s.waitingJobs()
		} else if i != shard.Index {
			waiting[i] = 1 // without a link, its home is chosen anew
		}
	}
	return dispatch.ChooseShard(shard.Index, waiting)
}

// waitingJobs counts the jobs in the schedulers here that have tasks waiting for capacity.
func (s *state) waitingJobs() int {
	n := 0
	for _, sched := range s.schedulers {
		n += sched.WaitingJobs()
	}
	return n
}

// sendShardCounts sends the numbers of shards to the other entries.
func (s *state) sendShardCounts() {
	m := s.shardCountsMessage()
	for _, p := range s.peers {
		_ = p.Send(m) // resent on the next link
	}
}

// shardCountsMessage returns the numbers of shards as a message. They are copied,
// since the link encodes the message later.
func (s *state) shardCountsMessage() *wire.ShardCounts {
	return &wire.ShardCounts{Counts: maps.Clone(s.shardCounts)}
}

// homeOf returns the entry that holds a shard's queue. If that entry has
// no link, the home is chosen anew.
func (s *state) homeOf(now time.Duration, shard dispatch.Shard) string {
	home := s.home[shard]
	if home == "" || home != s.e.self.Name && s.peers[home] == nil {
		s.chooseHomes(now)
		home = s.home[shard]
	}
	return home
}

// candidates returns the entries that may hold queues.
func (s *state) candidates() []dispatch.Candidate {
	var candidates []dispatch.Candidate
	if !s.stopping {
		candidates = append(candidates, candidate(s.e.self, s.heartbeat()))
	}
	for _, p := range s.peers {
		if p.Clock > 0 && !p.LastHeartbeat.Draining && p.LastHeartbeat.StoreVersion > 0 {
			candidates = append(candidates, candidate(p.Hello, p.LastHeartbeat))
		}
	}
	return candidates
}

func candidate(hello wire.NodeHello, heartbeat wire.NodeHeartbeat) dispatch.Candidate {
	return dispatch.Candidate{Name: hello.Name, Zone: hello.Zone, Endpoints: heartbeat.Endpoints, Cores: hello.Cores, LinkMbps: hello.LinkMbps}
}

// isHome reports whether this entry is the home of a shard or has open jobs in
// its schedulers.
func (s *state) isHome() bool {
	if s.isShardHome(s.e.self.Name) {
		return true
	}
	for _, sched := range s.schedulers {
		if sched.Jobs() > 0 {
			return true
		}
	}
	return false
}

// isShardHome reports whether an entry is the home of a shard.
func (s *state) isShardHome(name string) bool {
	return slices.Contains(slices.Collect(maps.Values(s.home)), name)
}

func (s *state) scheduler(shard dispatch.Shard) *dispatch.Scheduler {
	sched := s.schedulers[shard]
	if sched == nil {
		sched = dispatch.NewScheduler(shard.Service, s.timing, s.orders, mesh.Now())
		sched.SetInterference(s.e.opts.Interference)
		s.schedulers[shard] = sched
		if op := s.e.operator.Load(); op != nil {
			sched.SetEvacuated(mesh.Now(), op.Evacuated)
		}
	}
	return sched
}
