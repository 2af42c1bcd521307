package agent

import (
	"slices"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/wire"
)

const (
	busyTick            = 25 * time.Millisecond   // while there are runs or a guard looks for earlier ones
	idleTick            = 100 * time.Millisecond  // otherwise
	homeHeartbeatEvery  = 150 * time.Millisecond  // between heartbeats to an entry that is a home or owns runs; five in an owner's lease
	otherHeartbeatEvery = 1350 * time.Millisecond // between heartbeats to other entries
	// homeLinkTimeout is the time without an echo after which the link to an entry that
	// is a home or owns runs is closed and dialed again, and otherLinkTimeout that of
	// other entries: some more than two and a half of their heartbeats.
	homeLinkTimeout  = 1200 * time.Millisecond
	otherLinkTimeout = 3600 * time.Millisecond
	// endRetention is how long the end of a run is kept, to be resent to an owner that
	// reconnects.
	endRetention = 2 * time.Second
	// lateStartRetention is how long a start without an answer is kept after the end of its
	// run, to be stopped in a new lifetime: endpoints may carry calls out seconds late.
	lateStartRetention = 10 * time.Second
	// dialAllAfter is how long an agent without a link dials only the entries that may
	// become its home, and the seeds: after a loss of everything, all agents would dial
	// all entries at once.
	dialAllAfter = 1500 * time.Millisecond
)

// state is the state of the control actor.
type state struct {
	a         *Agent
	timing    dispatch.Timing
	peers     map[string]*mesh.Peer // linked entries by name
	links     *mesh.Order
	lists     map[string][]wire.Member // entries known to each linked entry, by its name
	rows      []wire.Member            // entries registered in the store, as last read
	addrs     map[string]string        // addresses of the known entries, by name
	endpoints map[dispatch.EndpointID]*endpoint
	// unconfirmed holds, by the endpoint's id, the last announcement of a lifetime for
	// which the endpoint's answer is awaited.
	unconfirmed map[string]platform.Announcement
	operator    dispatch.OperatorState
	// operatorReads holds the entries for which the operator's rows are being read.
	operatorReads map[string]bool
	ends          []keptEnd
	// lateStarts holds the starts without an answer of runs that have ended.
	lateStarts []lateStart
	fence      dispatch.Fence
	seeds      []string // addresses where entries may listen
	stopping   bool
	// unlinkedSince is when the agent was last found without a link to any entry.
	unlinkedSince time.Duration
}

type keptEnd struct {
	owner dispatch.Owner
	end   wire.EndedRun
	at    time.Duration
	sent  time.Duration // when it was last sent
}

// lateStart is a start that had no answer, of a run that has ended.
type lateStart struct {
	endpoint string // id
	run      dispatch.RunRef
	born     int64 // of the lifetime that no longer carries the start out
	at       time.Duration
}

func newState(a *Agent) *state {
	return &state{
		a: a, links: mesh.NewOrder(), timing: control.TimingOf(a.node), seeds: mesh.SeedAddrs(a.node), peers: map[string]*mesh.Peer{}, lists: map[string][]wire.Member{}, addrs: map[string]string{},
		endpoints: map[dispatch.EndpointID]*endpoint{}, unconfirmed: map[string]platform.Announcement{}, operatorReads: map[string]bool{}, unlinkedSince: mesh.Now(),
	}
}

func (a *Agent) receive(now time.Duration, message any) {
	s := a.state
	switch m := message.(type) {
	case control.Tick:
		s.tick(now)
	case control.Stop:
		s.stop(now)
	case control.Reload:
		s.seeds = mesh.SeedAddrs(m.Node)
		s.retarget()
	case control.LinkUp:
		s.linkUp(now, m.Link)
	case control.LinkDown:
		s.linkDown(m.Link)
	case control.Refused:
		s.refused(now, m.Addr)
	case control.Received:
		s.received(now, m.Link, m.Message)
	case control.MembersRead:
		s.setRows(m.Members)
	case askLinked:
		m.reply <- len(s.peers) > 0
	case announced:
		s.announced(now, m.n)
		m.done <- struct{}{}
	case endpointRead:
		s.endpointRead(now, m.n)
	case endpointEnded:
		s.endpointEnded(now, m.id)
	case operatorRowsRead:
		s.operatorRowsRead(m)
	case startAnswered:
		s.startAnswered(now, m)
	case stopAnswered:
		s.stopAnswered(now, m)
	case polled:
		s.polled(now, m)
	}
	s.applyActions(now)
	s.finishStop(now)
}

func (s *state) tick(now time.Duration) {
	busy := false
	for _, e := range s.endpoints {
		e.guard.Tick(now)
		s.endIfUnresponsive(now, e)
		busy = busy || e.guard.Runs() > 0 || e.guard.LooksForEarlierRuns()
	}
	for _, p := range s.peers {
		pause, timeout := s.pace(now, p)
		if p.EchoOverdue(now, timeout) && now-p.BusySince > timeout {
			p.Close()
		}
		if now-p.LastSent >= pause {
			s.sendHeartbeat(now, p)
		}
	}
	s.lateStarts = slices.DeleteFunc(s.lateStarts, func(l lateStart) bool { return now-l.at > lateStartRetention })
	s.ends = slices.DeleteFunc(s.ends, func(k keptEnd) bool { return now-k.at > endRetention })
	pause := idleTick
	if busy {
		pause = busyTick
	}
	s.a.actor.TickAfter(pause)
}

// pace returns the pause between heartbeats to an entry, and the time without an echo
// after which its link is closed. Both are short if the entry is a home or owns runs
// here. When they become short, the time starts anew (BusySince).
func (s *state) pace(now time.Duration, p *mesh.Peer) (pause, timeout time.Duration) {
	if !p.LastHeartbeat.Home && !s.hasRunsOf(p.Owner()) {
		p.BusySince = 0
		return otherHeartbeatEvery, otherLinkTimeout
	}
	if p.BusySince == 0 {
		p.BusySince = now
	}
	return homeHeartbeatEvery, homeLinkTimeout
}

func (s *state) hasRunsOf(owner dispatch.Owner) bool {
	for _, e := range s.endpoints {
		if e.guard.HasRunsOf(owner) {
			return true
		}
	}
	return false
}

func (s *state) sendHeartbeat(now time.Duration, p *mesh.Peer) {
	p.SendHeartbeat(now, wire.NodeHeartbeat{StoreVersion: s.operator.StoreVersion, Draining: s.stopping})
}

func (s *state) stop(now time.Duration) {
	s.stopping = true
	for _, e := range s.endpoints {
		e.guard.Announced(now, true, e.announced.Capacity)
	}
	s.a.deps.Log.Info().Str("event", "stopping").Int("runs", s.runs()).Msg("agent takes no new tasks")
}

func (s *state) runs() int {
	n := 0
	for _, e := range s.endpoints {
		n += e.guard.Runs()
	}
	return n
}

// finishStop completes a stop once no run is left and the owners have acknowledged
// the ends of their runs: the endpoint does not repeat an end that it got an
// acknowledgement for, so if no owner received that end, the task would run again.
func (s *state) finishStop(now time.Duration) {
	if !s.stopping || s.runs() > 0 || s.hasUnacknowledgedEnds(now) {
		return
	}
	select {
	case <-s.a.idle:
	default:
		close(s.a.idle)
	}
}

// hasUnacknowledgedEnds reports whether an owner has not acknowledged an end. To
// get an echo from a linked owner it sends a heartbeat: an echoed heartbeat proves
// that all messages sent before it have arrived.
func (s *state) hasUnacknowledgedEnds(now time.Duration) bool {
	unacknowledged := false
	for _, k := range s.ends {
		p := s.peers[k.owner.Entry]
		switch {
		case now-k.at > endRetention, p != nil && (p.Owner() != k.owner || p.Echoed > k.sent):
			continue
		case p != nil && p.LastSent <= k.sent:
			s.sendHeartbeat(now, p)
		}
		unacknowledged = true
	}
	return unacknowledged
}

func (s *state) linkUp(now time.Duration, l *mesh.Link) {
	name := l.Hello.Name
	if l.Hello.Role != wire.RoleEntry {
		l.Close()
		return
	}
	if s.a.deps.RefuseLate(now, s.links, l) {
		return
	}
	if old := s.peers[name]; old != nil {
		old.Close()
		if old.Hello.Incarnation != l.Hello.Incarnation {
			s.ownerLost(now, old.Owner(), "replaced by a new process")
		}
	}
	p := mesh.NewPeer(l, now)
	s.peers[name] = p
	s.addrs[name] = l.Hello.Addr
	s.sendHeartbeat(now, p)
	owner := l.Owner()
	s.sendKeptEnds(now, p, owner)
	kept := &wire.RunsKept{Endpoints: []dispatch.EndpointID{}}
	for id, e := range s.endpoints {
		kept.Endpoints = append(kept.Endpoints, id)
		kept.Orders = append(kept.Orders, e.guard.OrdersOf(owner)...)
	}
	_ = p.Send(kept) // a closed link is reported as down
	for _, e := range s.endpoints {
		s.report(now, p, e)
	}
	s.a.deps.Log.Info().Str("event", "entry_linked").Str("entry", name).Int("runs", len(kept.Orders)).Msg("entry linked")
}

func (s *state) sendKeptEnds(now time.Duration, p *mesh.Peer, owner dispatch.Owner) {
	m := &wire.RunEnd{}
	for i, k := range s.ends {
		if k.owner == owner {
			m.Ends = append(m.Ends, k.end)
			s.ends[i].sent = now
		}
	}
	if len(m.Ends) > 0 {
		_ = p.Send(m) // a closed link is reported as down
	}
}

func (s *state) linkDown(l *mesh.Link) {
	if p := s.peers[l.Hello.Name]; p != nil && p.Link == l {
		delete(s.peers, l.Hello.Name)
		if len(s.peers) == 0 {
			s.unlinkedSince = mesh.Now()
		}
		s.retarget()
		s.a.deps.Log.Warn().Str("event", "entry_lost").Str("entry", l.Hello.Name).Msg("link to entry lost")
	}
}

// refused ends the leases of the entry at addr, since no process listens there.
func (s *state) refused(now time.Duration, addr string) {
	for name, known := range s.addrs {
		if known != addr {
			continue
		}
		for _, e := range s.endpoints {
			for _, owner := range e.guard.Owners() {
				if owner.Entry == name {
					s.ownerLost(now, owner, "nothing listens at its address")
				}
			}
		}
	}
}

func (s *state) ownerLost(now time.Duration, owner dispatch.Owner, why string) {
	for _, e := range s.endpoints {
		if e.guard.HasRunsOf(owner) {
			s.a.deps.Log.Warn().Str("event", "owner_lost").Str("entry", owner.Entry).Str("reason", why).Msg("runs of entry stopped")
		}
		e.guard.OwnerLost(now, owner)
	}
}

// setRows replaces the entries registered in the store.
func (s *state) setRows(rows []mesh.MemberRow) {
	s.rows = nil
	for _, row := range rows {
		s.rows = append(s.rows, row.Member)
	}
	s.retarget()
}

// setList replaces the list of entries that a linked entry knows. It drops the lists
// of entries that are no longer linked: they are of use only until a linked entry has
// sent its own.
func (s *state) setList(from string, entries []wire.Member) {
	entries = slices.DeleteFunc(entries, func(m wire.Member) bool { return mesh.CheckMember(m) != nil })
	if slices.Equal(s.lists[from], entries) {
		return
	}
	s.lists[from] = entries
	for name := range s.lists {
		if s.peers[name] == nil {
			delete(s.lists, name)
		}
	}
	s.retarget()
}

// known returns the entries on the lists of other entries and, while no entry is
// linked or the lists are empty, those that were last read from the store.
func (s *state) known() map[string]wire.Member {
	known := map[string]wire.Member{}
	for _, list := range s.lists {
		for _, m := range list {
			known[m.Name] = m
		}
	}
	if len(s.peers) == 0 || len(known) == 0 {
		for _, m := range s.rows {
			known[m.Name] = m
		}
	}
	return known
}

// retarget dials the seeds, the entries that may become the home of the endpoint's
// service, and linked entries with runs here. All known entries are dialed if there has
// been no link for dialAllAfter.
func (s *state) retarget() {
	s.addrs = map[string]string{}
	targets := slices.Clone(s.seeds)
	for _, c := range s.dialCandidates(mesh.Now()) {
		targets = append(targets, s.addrs[c.Name])
	}
	for name, p := range s.peers {
		s.addrs[name] = p.Hello.Addr
		if s.hasRunsOf(p.Owner()) {
			targets = append(targets, p.Hello.Addr)
		}
	}
	s.a.mesh.SetTargets(s.a.ctx, targets)
}

// dialCandidates returns the entries to dial besides seeds and owners of runs, and notes
// the addresses of all that are known.
func (s *state) dialCandidates(now time.Duration) []dispatch.Candidate {
	var candidates []dispatch.Candidate
	for name, m := range s.known() {
		s.addrs[name] = m.Addr
		candidates = append(candidates, dispatch.Candidate{Name: name, Cores: m.Cores, LinkMbps: m.LinkMbps})
	}
	if len(s.peers) > 0 || now-s.unlinkedSince < dialAllAfter {
		candidates = dispatch.ChooseStandbys(s.a.node.Service, candidates, dispatch.MaxStandbys)
	}
	return candidates
}

func (s *state) received(now time.Duration, l *mesh.Link, m wire.Message) {
	p := s.peers[l.Hello.Name]
	if p == nil || p.Link != l {
		return // the link was replaced
	}
	owner := l.Owner()
	switch m := m.(type) {
	case *wire.NodeHeartbeat:
		s.entryHeartbeat(now, p, m)
	case *wire.OperatorUpdate:
		s.adopt(now, p, m.State)
	case *wire.OperatorRead:
		s.readOperator(p, m)
	case *wire.Members:
		s.setList(l.Hello.Name, m.Entries)
	case *wire.RunOrder:
		s.order(now, owner, m)
	case *wire.RunStop:
		s.stopRuns(now, owner, m)
	case *wire.EndpointEvidence:
		s.keepEvidence(now, owner, m)
	}
}

func (s *state) stopRuns(now time.Duration, owner dispatch.Owner, m *wire.RunStop) {
	e := s.endpoints[m.Endpoint]
	if e == nil && len(m.Orders) > 0 {
		e = s.currentOf(m.Endpoint.ID) // a start for an earlier lifetime may be carried out there
	}
	if e == nil {
		return
	}
	for i, run := range m.Runs {
		if i < len(m.Orders) {
			e.guard.StopEarlier(now, owner, run, m.Orders[i])
		} else {
			e.guard.Stop(now, owner, run)
		}
	}
}

func (s *state) entryHeartbeat(now time.Duration, p *mesh.Peer, b *wire.NodeHeartbeat) {
	becameHome := b.Home && !p.LastHeartbeat.Home
	p.ReceiveHeartbeat(now, b)
	if b.Echo > 0 {
		for _, e := range s.endpoints {
			e.guard.RenewOwner(p.Owner(), b.Echo+s.timing.OwnerLease)
		}
	}
	if becameHome {
		s.sendHeartbeat(now, p)
		s.passEvidence(now, p)
	}
}

func (s *state) adopt(now time.Duration, p *mesh.Peer, next dispatch.OperatorState) {
	if next.StoreVersion <= s.operator.StoreVersion {
		return
	}
	if !slices.Equal(s.operator.Evacuated, next.Evacuated) {
		s.a.deps.Log.Info().Str("event", "operator_state").Uint64("store_version", next.StoreVersion).
			Strs("evacuated", next.Evacuated).Str("from", p.Hello.Name).Msg("zones out of service changed")
	}
	s.operator = next
	for _, e := range s.endpoints {
		e.guard.SetEvacuated(now, next.ZoneEvacuated(e.announced.Zone))
	}
}

func (s *state) order(now time.Duration, owner dispatch.Owner, m *wire.RunOrder) {
	e := s.endpoints[m.Endpoint]
	for _, r := range m.Runs {
		if e == nil {
			s.refuse(now, owner, r, dispatch.NotAvailable)
			continue
		}
		if s.isBusyElsewhere(e, r.Run.Task) {
			s.refuse(now, owner, r, dispatch.TaskBusy)
			continue
		}
		e.guard.Start(now, dispatch.Order{Owner: owner, Number: r.Order, Run: r.Run, Need: r.Need, Payload: m.Payload, Echo: m.Echo})
	}
}

func (s *state) refuse(now time.Duration, owner dispatch.Owner, r wire.OrderedRun, reason dispatch.EndReason) {
	s.reportEnd(now, dispatch.GuardAction{Owner: owner, Run: r.Run, Order: r.Order, Reason: reason, KnownBy: dispatch.EvidenceRefused})
}

// isBusyElsewhere reports whether the guard of another lifetime keeps a run of the task.
func (s *state) isBusyElsewhere(e *endpoint, task dispatch.TaskRef) bool {
	for _, other := range s.endpoints {
		if other != e && other.guard.HasTask(task) {
			return true
		}
	}
	return false
}

// currentOf returns the lifetime that has an endpoint's id, as far as is known, another
// one if its guard is not kept, or nil.
func (s *state) currentOf(id string) *endpoint {
	var current *endpoint
	for _, e := range s.endpoints {
		if e.announced.Endpoint.ID == id && (current == nil || e.guard.Born() == e.announced.Endpoint.Born) {
			current = e
		}
	}
	return current
}

// reportEnd reports an end to the owner of the run, and keeps it to be resent if
// the owner reconnects.
func (s *state) reportEnd(now time.Duration, a dispatch.GuardAction) {
	end := wire.EndedRun{Run: a.Run, Order: a.Order, Reason: a.Reason, Age: a.Age}
	s.ends = append(s.ends, keptEnd{owner: a.Owner, end: end, at: now, sent: now})
	if p := s.peers[a.Owner.Entry]; p != nil && p.Owner() == a.Owner {
		_ = p.Send(&wire.RunEnd{Ends: []wire.EndedRun{end}}) // resent on the next link
	}
	if a.Reason == dispatch.EndDone {
		return
	}
	s.a.deps.Metrics.Count("bergamotwing_runs_"+a.Reason.String()+"_total", "Runs that ended so.", 1)
	line := s.a.deps.Log.Info().Str("event", "run_ended").Str("job", a.Run.Task.Job).Int("step", a.Run.Task.Step).
		Int("task", a.Run.Task.Index).Int("run", a.Run.Run).Str("reason", a.Reason.String()).Stringer("known_by", a.KnownBy).
		Dur("age_ms", a.Age).Str("entry", a.Owner.Entry)
	if a.StopAge > 0 {
		line.Dur("stop_age_ms", a.StopAge)
	}
	line.Msg("run ended")
}
