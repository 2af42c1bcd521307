package entry

import (
	"maps"
	"slices"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/wire"
)

// splits is into how many shards an entry takes services to be split, by
// service. Those in one part need not be there.
type splits map[string]int

func (c splits) of(service string) int { return max(c[service], 1) }

// chooseHomes notes which shards' queues this entry holds, and tells agents at
// once when that changes.
func (s *state) chooseHomes(now time.Duration) {
	op := s.e.operator.Load()
	if op == nil {
		return
	}
	candidates := s.candidates()
	changed := false
	for _, service := range op.Config.Services {
		s.split(now, service.Name, dispatch.ChooseHome(service.Name, candidates))
		for i, home := range dispatch.ChooseHomes(service.Name, s.splits.of(service.Name), candidates) {
			changed = s.setHome(dispatch.Shard{Service: service.Name, Index: i}, home) || changed
		}
	}
	if changed {
		s.beatAll(now)
	}
}

// setHome reports whether the home of a shard has changed.
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

// split takes the number of a service's shards from the home of the first one,
// which counts its endpoints.
func (s *state) split(now time.Duration, service, first string) {
	count := s.splits.of(service)
	switch {
	case first == s.e.self.Name:
		count = dispatch.ShardCount(count, s.countEndpoints(service), s.e.opts.ShardEndpoints)
	case s.told[first] != nil:
		count = s.told[first].of(service)
	}
	if old := s.splits.of(service); count != old {
		s.splits[service] = count
		s.e.deps.Log.Info().Str("event", "service_split").Str("service", service).Int("from", old).Int("to", count).
			Str("by", first).Msg("service split into another number of shards")
		s.dropHomes(service, count)
		s.moveEndpoints(now, service)
		s.tellSplits()
	}
}

// dropHomes forgets the homes of shards that are no more.
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

// moveEndpoints gives endpoints to the schedulers of their shards. The old ones
// keep the runs that go on.
func (s *state) moveEndpoints(now time.Duration, service string) {
	for id, v := range s.endpoints {
		shard := s.shardOfEndpoint(service, id)
		if v.status.Service != service || v.shard == shard {
			continue
		}
		s.scheduler(v.shard).ReleaseEndpoint(v.agent, id)
		s.scheduler(shard).Report(now, v.agent, v.status)
		v.shard = shard
		s.endpoints[id] = v
	}
}

func (s *state) shardOfEndpoint(service string, id dispatch.EndpointID) dispatch.Shard {
	return dispatch.Shard{Service: service, Index: dispatch.ShardIndex(id.ID, s.splits.of(service))}
}

func (s *state) shardOfJob(service, job string) dispatch.Shard {
	return dispatch.Shard{Service: service, Index: dispatch.ShardIndex(job, s.splits.of(service))}
}

// tellSplits tells the other entries into how many shards services are split.
func (s *state) tellSplits() {
	m := s.shardCounts()
	for _, p := range s.peers {
		_ = p.Send(m) // told again on the next link
	}
}

// shardCounts returns the message about splits; the sender encodes it later.
func (s *state) shardCounts() *wire.ShardCounts {
	return &wire.ShardCounts{Counts: maps.Clone(s.splits)}
}

// homeOf returns the entry that holds a shard's queue and can be reached.
func (s *state) homeOf(now time.Duration, shard dispatch.Shard) string {
	home := s.home[shard]
	if home == "" || home != s.e.self.Name && s.peers[home] == nil {
		s.chooseHomes(now)
		home = s.home[shard]
	}
	return home
}

// candidates are the entries that may hold queues.
func (s *state) candidates() []dispatch.Candidate {
	var candidates []dispatch.Candidate
	if !s.stopping {
		candidates = append(candidates, candidate(s.e.self, s.beat()))
	}
	for _, p := range s.peers {
		if p.Clock > 0 && !p.LastHeartbeat.Draining && p.LastHeartbeat.StoreVersion > 0 {
			candidates = append(candidates, candidate(p.Hello, p.LastHeartbeat))
		}
	}
	return candidates
}

func candidate(hello wire.NodeHello, beat wire.NodeHeartbeat) dispatch.Candidate {
	return dispatch.Candidate{Name: hello.Name, Endpoints: beat.Endpoints, Cores: hello.Cores, LinkMbps: hello.LinkMbps}
}

func (s *state) isHome() bool {
	if s.isHomeOf(s.e.self.Name) {
		return true
	}
	for _, sched := range s.schedulers {
		if sched.Jobs() > 0 {
			return true
		}
	}
	return false
}

// isHomeOf reports whether an entry is the home of a shard.
func (s *state) isHomeOf(name string) bool {
	return slices.Contains(slices.Collect(maps.Values(s.home)), name)
}

func (s *state) scheduler(shard dispatch.Shard) *dispatch.Scheduler {
	sched := s.schedulers[shard]
	if sched == nil {
		sched = dispatch.NewScheduler(shard.Service, s.timing, s.orders, mesh.Now())
		s.schedulers[shard] = sched
		if op := s.e.operator.Load(); op != nil {
			sched.SetEvacuated(mesh.Now(), op.Evacuated)
		}
	}
	return sched
}
