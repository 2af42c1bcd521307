package entry

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bergamotwing.example/client/api"
	"bergamotwing.example/release"
)

// Limits beyond which the status has a warning.
const (
	warnOldest       = 5 * time.Second
	warnLastReceived = 20 * time.Second // idle links are pinged every 15 s
)

// status returns what this entry knows of the deployment.
func (e *Entry) status() api.Status {
	v := e.control.view()
	s := api.Status{
		Entry: e.self.ID, Version: v.version(), Holds: v.Holds, OpenJobs: int(e.openJobs.Load()),
		StoreAgeMS: -1, VouchAgeMS: -1, Members: v.Members,
	}
	if v.State != nil {
		s.NoteID = v.State.NoteID
	}
	if !v.StoreRead.IsZero() {
		s.StoreAgeMS = time.Since(v.StoreRead).Milliseconds()
	}
	if at, _ := e.control.confirmedAt(); !at.IsZero() {
		s.VouchAgeMS = time.Since(at).Milliseconds()
	}
	for _, p := range sortedPeers(v.Peers) {
		s.Entries = append(s.Entries, e.entryView(p.ID, p.Zone, p.Addr))
	}
	for _, a := range e.agents.list() {
		s.Agents = append(s.Agents, e.agentView(a))
	}
	slices.SortFunc(s.Agents, func(a, b api.AgentView) int { return strings.Compare(a.ID, b.ID) })
	for _, svc := range e.services.list() {
		s.Services = append(s.Services, svc.view())
	}
	slices.SortFunc(s.Services, func(a, b api.ServiceView) int { return strings.Compare(a.Service, b.Service) })
	s.Warnings = warnings(s)
	return s
}

func (e *Entry) entryView(id, zone, addr string) api.EntryView {
	out := api.EntryView{ID: id, Zone: zone, Addr: addr, SilentMS: -1}
	if p := e.peers.get(id); p != nil {
		out.Linked = true
		out.Version = max(p.acked.Load(), p.report.Load().version)
		out.SilentMS = e.clock() - p.lastReceived.Load()
	}
	return out
}

func (e *Entry) agentView(a *agentLink) api.AgentView {
	out := api.AgentView{
		ID: a.id, Zone: a.zone, Service: a.service, Slots: a.slots, Version: a.version.Load(),
		SilentMS: e.clock() - a.lastReceived.Load(), FailurePct: int(a.failurePct.Load()), Leaving: a.leaving.Load(),
	}
	svc := e.services.get(a.service)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	out.Held = len(svc.queue.Held(a.id))
	out.Ejected = svc.queue.Ejected(a.id, time.Now())
	for _, j := range svc.jobs {
		out.Running += len(j.GrantedTo(a.id, uint64(a.incarnation)))
	}
	return out
}

func (s *service) view() api.ServiceView {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := api.ServiceView{
		Service: s.name, Waiting: s.queue.Waiting(), Spare: s.queue.IdleCredits(), OldestMS: s.queue.OldestWait(time.Now()).Milliseconds(),
	}
	for _, j := range s.jobs {
		out.Running += j.Open()
	}
	return out
}

// warnings returns a text for each condition that an operator should look into.
func warnings(s api.Status) []string {
	var out []string
	if s.StoreAgeMS < 0 || s.StoreAgeMS > release.ConfirmationLifetime.Milliseconds() {
		out = append(out, "the store has not been read lately")
	}
	if s.VouchAgeMS < 0 || s.VouchAgeMS > release.ConfirmationLifetime.Milliseconds() {
		out = append(out, "this entry cannot vouch for the version: agents that rely on it alone start nothing")
	}
	for _, h := range s.Holds {
		out = append(out, fmt.Sprintf("zone %s is held out of service by note %s, not durable yet", h.Zone, h.NoteID))
	}
	for _, p := range s.Entries {
		if !p.Linked {
			out = append(out, "entry "+p.ID+" is not linked")
		}
	}
	for _, a := range s.Agents {
		if a.Version < s.Version {
			out = append(out, fmt.Sprintf("agent %s has version %d in force", a.ID, a.Version))
		}
		if a.Ejected {
			out = append(out, "agent "+a.ID+" is ejected: its endpoint fails its tasks")
		}
		if a.SilentMS > warnLastReceived.Milliseconds() {
			out = append(out, "agent "+a.ID+" is silent")
		}
	}
	for _, svc := range s.Services {
		if svc.OldestMS > warnOldest.Milliseconds() {
			out = append(out, "service "+svc.Service+" has tasks that wait long")
		}
	}
	return out
}

// registerGauges registers the gauges that show a drift before it does harm.
func (e *Entry) registerGauges() {
	e.metrics.Gauge("bergamotwing_config_version", "Configuration version in force.", func() float64 { return float64(e.control.view().version()) })
	e.metrics.Gauge("bergamotwing_store_age_seconds", "Since the version was last read in the store; -1 is never.", func() float64 {
		return float64(e.status().StoreAgeMS) / 1000
	})
	e.metrics.Gauge("bergamotwing_vouch_age_seconds", "Since the version was last known to be current; -1 is never.", func() float64 {
		return float64(e.status().VouchAgeMS) / 1000
	})
	e.metrics.Gauge("bergamotwing_open_jobs", "Jobs without an outcome.", func() float64 { return float64(e.openJobs.Load()) })
	e.metrics.Gauge("bergamotwing_oldest_waiting_seconds", "Wait of the oldest task without a slot.", func() float64 {
		var oldest int64
		e.services.each(func(s *service) { oldest = max(oldest, s.view().OldestMS) })
		return float64(oldest) / 1000
	})
	e.metrics.Gauge("bergamotwing_agents", "Agents linked.", func() float64 { return float64(len(e.agents.list())) })
	e.metrics.Gauge("bergamotwing_agents_ejected", "Agents ejected.", func() float64 {
		n := 0
		for _, a := range e.status().Agents {
			if a.Ejected {
				n++
			}
		}
		return float64(n)
	})
	e.metrics.Gauge("bergamotwing_agent_silence_seconds", "Longest time since an agent was heard.", func() float64 {
		var longest int64
		e.agents.each(func(a *agentLink) { longest = max(longest, e.clock()-a.lastReceived.Load()) })
		return float64(longest) / 1000
	})
	e.metrics.Gauge("bergamotwing_peers", "Peer entries linked.", func() float64 { return float64(len(e.peers.list())) })
}
