package entry

import (
	"maps"
	"slices"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

func (s *state) linkUp(now time.Duration, l *mesh.Link) {
	if s.refuseBeforeWake(l) || s.e.deps.RefuseLate(now, s.links, l) {
		return
	}
	if l.Hello.Role == wire.RoleAgent {
		s.agentUp(now, l)
		return
	}
	s.checkPeers(now) // a link that was made after a lease has ended must not renew it
	name := l.Hello.Name
	owner := l.Owner()
	p := mesh.NewPeer(l, now)
	if old := s.peers[name]; old != nil {
		if l.Number == 0 && old.Owner() == owner && now-old.ConnectedAt < duplicateTime && s.preferred(old.Link) && !s.preferred(l) {
			l.Close()
			return
		}
		old.Close()
		if old.Owner() != owner {
			s.entryLost(now, old.Owner(), "replaced by a new process")
		} else {
			p.Echoed, p.BusySince = old.Echoed, old.BusySince // only an echo renews a lease
		}
	}
	if lost, ok := s.lost[name]; ok {
		delete(s.lost, name)
		if lost.owner != owner {
			s.entryLost(now, lost.owner, "replaced by a new process")
		} else {
			p.Echoed, p.BusySince = lost.echoed, lost.busySince
		}
	}
	s.peers[name] = p
	s.addMember(l.Hello.Member())
	p.SendHeartbeat(now, s.heartbeatFor(name))
	_ = p.Send(s.memberList()) // a closed link is reported as down
	_ = p.Send(s.shardCountsMessage())
	s.e.deps.Log.Info().Str("event", "entry_linked").Str("entry", name).Msg("entry linked")
}

// duplicateTime is the time within which a second link to the same entry may come
// from both sides having dialed at once.
const duplicateTime = time.Second

// preferred reports whether the side with the lower address dialed a link. If
// both sides dialed at the same time, both keep the preferred link. Links with a number
// are ordered by it instead.
func (s *state) preferred(l *mesh.Link) bool {
	return (l.Dialed != "") == (s.e.self.Addr < l.Hello.Addr)
}

// resume resends the requests that a broken link may have lost, and lists them, so
// that the other side cancels the jobs whose cancels were lost.
func (s *state) resume(now time.Duration, p *mesh.Peer) {
	s.resendDeletes(now, p)
	open := &wire.JobsOpen{CancelsKnown: s.e.cancelsKnown.Load()}
	for id, r := range s.requests {
		if r.home == p.Owner() {
			open.Jobs = append(open.Jobs, id)
			s.sendSubmit(now, p, r)
		}
	}
	if p.Hello.NewestKind >= wire.KindJobsOpen {
		_ = p.Send(open) // a closed link is reported as down
	}
}

func (s *state) linkDown(now time.Duration, l *mesh.Link) {
	name := l.Hello.Name
	if l.Hello.Role == wire.RoleAgent {
		s.agentDown(now, l)
		return
	}
	p := s.peers[name]
	if p == nil || p.Link != l {
		return
	}
	s.dropPeer(name)
	s.lost[name] = lostEntry{l.Owner(), p.Echoed, p.BusySince, max(p.Echoed, p.BusySince) + s.timing.EntryLease}
	s.e.deps.Log.Warn().Str("event", "entry_link_lost").Str("entry", name).Msg("link to entry lost")
}

func (s *state) dropPeer(name string) {
	delete(s.peers, name)
	delete(s.peerShardCounts, name)
}

// refused declares the entries at an address lost: no process listened there. Only
// entries whose link is down are concerned.
func (s *state) refused(now time.Duration, addr string, dialed time.Duration) {
	s.refusedAt[addr] = dialed
	for name, lost := range s.lost {
		if s.members[name].Addr == addr {
			delete(s.lost, name)
			s.entryLost(now, lost.owner, "nothing listens at its address")
		}
	}
}

// checkPeers drops the entries whose echoes are overdue (their lease, or
// idlePeerTimeout), and sends the heartbeats that are due.
func (s *state) checkPeers(now time.Duration) {
	s.checkedAt = now
	heartbeat := s.heartbeat()
	for name, p := range s.peers {
		heartbeat.ReceiverHome = s.isShardHome(name)
		pause, timeout := s.pace(now, name, p)
		if heartbeat != p.SentHeartbeat {
			pause = busyHeartbeatEvery // other entries choose homes by what the heartbeat reports
		}
		if p.EchoOverdue(now, timeout) && now-p.BusySince > timeout {
			s.dropPeer(name)
			p.Close()
			s.entryLost(now, p.Owner(), "silent")
			continue
		}
		if now-p.LastSent >= pause {
			p.SendHeartbeat(now, heartbeat)
		}
	}
	for name, lost := range s.lost {
		if now > lost.until {
			delete(s.lost, name)
			s.entryLost(now, lost.owner, "link not made anew in time")
		}
	}
}

// pace returns the pause between heartbeats to an entry, and the time without
// an echo after which it is lost. Both are short only if one of the two is a home, or is
// taken for one by the other, and so may hold jobs of the other; otherwise the number of
// frequent heartbeats would grow with the square of the number of entries. When the timeout becomes
// short, it starts anew at that moment (BusySince), so that the entry has all of it
// to answer.
func (s *state) pace(now time.Duration, name string, p *mesh.Peer) (pause, timeout time.Duration) {
	if !p.LastHeartbeat.Home && !p.LastHeartbeat.ReceiverHome && !s.isHome() && !s.isShardHome(name) {
		p.BusySince = 0
		return idleHeartbeatEvery, idlePeerTimeout
	}
	if p.BusySince == 0 {
		p.BusySince = now
	}
	return busyHeartbeatEvery, s.timing.EntryLease
}

// entryLost cancels the jobs of a lost entry's clients, and answers the
// requests whose jobs that entry held.
func (s *state) entryLost(now time.Duration, owner dispatch.Owner, why string) {
	s.e.deps.Log.Warn().Str("event", "entry_lost").Str("entry", owner.Entry).Str("reason", why).Msg("entry lost")
	for _, sched := range s.schedulers {
		sched.CancelOthers(now, owner, nil)
	}
	for id, r := range s.requests {
		if r.home == owner {
			s.answer(id, dispatch.Outcome{Code: result.OutcomeUnknown, Detail: "entry " + owner.Entry + " lost: " + why})
		}
	}
}

func (s *state) heartbeat() wire.NodeHeartbeat {
	b := wire.NodeHeartbeat{Draining: s.stopping, Home: s.isHome(), StoreVersion: s.storeVersion(), Waiting: s.waitingJobs(), StoreLost: s.agentReads.lostAt > 0}
	for _, v := range s.endpoints {
		if v.status.Available {
			b.Endpoints++
		}
	}
	return b
}

// heartbeatFor returns the heartbeat to another entry.
func (s *state) heartbeatFor(name string) wire.NodeHeartbeat {
	b := s.heartbeat()
	b.ReceiverHome = s.isShardHome(name)
	return b
}

func (s *state) broadcastHeartbeat(now time.Duration) {
	b := s.heartbeat()
	for name, p := range s.peers {
		b.ReceiverHome = s.isShardHome(name)
		p.SendHeartbeat(now, b)
	}
	b.ReceiverHome = false
	for _, p := range s.agents {
		s.heartbeatTo(now, p, b)
	}
}

func (s *state) received(now time.Duration, l *mesh.Link, m wire.Message) {
	if l.Hello.Role == wire.RoleAgent {
		s.fromAgent(now, l, m)
		return
	}
	p := s.peers[l.Hello.Name]
	if p == nil || p.Link != l {
		return // the link was replaced
	}
	owner := l.Owner()
	switch m := m.(type) {
	case *wire.NodeHeartbeat:
		s.peerHeartbeat(now, p, m)
	case *wire.OperatorUpdate:
		s.adopt(now, m.State, l.Hello.Name)
	case *wire.OperatorRequest:
		s.sendOperator(p)
	case *wire.ShardCounts:
		s.peerShardCounts[l.Hello.Name] = m.Counts
	case *wire.Members:
		for _, e := range m.Entries {
			s.addMember(e)
		}
	case *wire.JobSubmit:
		s.submitted(now, p, owner, m)
	case *wire.JobCancel:
		for _, sched := range s.schedulers {
			sched.Cancel(now, m.Job, owner)
		}
	case *wire.JobDelete:
		if cancelled, kept := s.deleteHere(now, m); kept { // else the DELETE may not be acknowledged
			_ = p.Send(&wire.JobDeleted{Number: m.Number, Cancelled: cancelled}) // the sender does not wait for it for long
		}
	case *wire.JobDeleted:
		s.deleteAnswered(now, owner, m)
	case *wire.JobsOpen:
		s.reconcile(now, owner, m.Jobs)
		if m.CancelsKnown { // their ids came before this message
			s.knowCancels(now, l.Hello.Name)
		}
	case *wire.JobEnd:
		switch r := s.requests[m.Job]; {
		case r == nil, r.home != owner, m.Shard > 0 && m.Shard != r.shard.Index+1, m.Request > 0 && m.Request != r.number:
		case m.Outcome.Code == result.StartTooLate:
			s.sendSubmit(now, p, r) // with the reading of the heartbeat that came before
		case m.Elsewhere > 0 && m.Elsewhere <= s.shardCounts.of(r.shard.Service):
			s.jobMoved(now, r, m.Elsewhere-1)
		default:
			s.jobEnded(now, r, m.Outcome)
		}
	}
}

// peerHeartbeat handles an entry's heartbeat. Homes are chosen again at once if the
// entry is new or begins to drain, and at the next tick otherwise.
func (s *state) peerHeartbeat(now time.Duration, p *mesh.Peer, m *wire.NodeHeartbeat) {
	joins, leaves := p.Clock == 0, m.Draining && !p.LastHeartbeat.Draining
	p.ReceiveHeartbeat(now, m)
	s.sendOperatorIfOutdated(p)
	if joins {
		s.resume(now, p)
	}
	if joins || leaves {
		s.chooseHomes(now)
	}
}

// reconcile cancels the jobs of an entry that no longer waits for them. Their cancels
// were lost with an earlier link.
func (s *state) reconcile(now time.Duration, owner dispatch.Owner, open []string) {
	n := 0
	for _, sched := range s.schedulers {
		n += sched.CancelOthers(now, owner, open)
	}
	if n > 0 {
		s.e.deps.Metrics.Count("bergamotwing_jobs_reconciled_total", "Jobs cancelled since their entry no longer waited for them when it was linked again.", int64(n))
		s.e.deps.Log.Warn().Str("event", "jobs_reconciled").Str("entry", owner.Entry).Int("cancelled", n).Msg("jobs cancelled that an entry no longer waits for")
	}
}

// submitted accepts a job from another entry, or resends its outcome if this request for
// it has been answered. A later request starts the job again unless all of it is done.
// A submission that has been on its way for longer than the entry's lease is refused:
// the entry may have answered its client since.
func (s *state) submitted(now time.Duration, p *mesh.Peer, owner dispatch.Owner, m *wire.JobSubmit) {
	shard := dispatch.Shard{Service: m.Route.Service, Index: m.Shard}
	key := submittedJob{m.Job.ID, shard, owner}
	if r, ok := s.recent[key]; ok && (m.Request <= r.request || r.outcome.Code == result.OK) {
		r.sent = now
		s.recent[key] = r
		_ = p.Send(&wire.JobEnd{Job: m.Job.ID, Outcome: r.outcome, Shard: m.Shard + 1, Request: m.Request}) // resent on the next link
		return
	}
	if s.wasDeleted(now, m.Job.ID) {
		_ = p.Send(&wire.JobEnd{Job: m.Job.ID, Outcome: deletedOutcome, Shard: m.Shard + 1, Request: m.Request}) // resumed on the next link if it is lost
		return
	}
	if age := now - m.Echo; m.Echo > 0 && age > s.timing.EntryLease {
		s.e.deps.Metrics.Count("bergamotwing_submissions_stale_total", "Submissions of other entries that came too late.", 1)
		s.e.deps.Log.Warn().Str("event", "submission_stale").Str("job", m.Job.ID).Str("entry", owner.Entry).Dur("age_ms", age).Msg("submission refused: it came too late")
		p.SendHeartbeat(now, s.heartbeatFor(owner.Entry))
		_ = p.Send(&wire.JobEnd{Job: m.Job.ID, Outcome: dispatch.Outcome{Code: result.StartTooLate}, Shard: m.Shard + 1, Request: m.Request}) // resumed on the next link if it is lost
		return
	}
	if index, moved := s.moveJob(m.Job.ID, shard, m.Elsewhere, m.Stays, now+m.Wait); moved {
		_ = p.Send(&wire.JobEnd{Job: m.Job.ID, Outcome: dispatch.Outcome{Code: result.Overloaded}, Shard: m.Shard + 1, Request: m.Request, Elsewhere: index + 1}) // resumed on the next link if it is lost
		return
	}
	s.scheduler(shard).Submit(now, dispatch.Submission{
		Caller: owner, Request: m.Request, Job: m.Job, Route: m.Route, Deadline: now + m.Wait, MayHaveRun: m.MayHaveRun,
	})
}

func (s *state) addMember(m wire.Member) {
	if m.Name == s.e.self.Name || s.members[m.Name].Member == m || mesh.CheckMember(m) != nil {
		return
	}
	moved := s.members[m.Name].Addr != m.Addr
	s.members[m.Name] = mesh.MemberRow{Member: m}
	if moved {
		s.retarget()
	}
}

// setMembers replaces the known entries by those registered in the store and those
// that are linked.
func (s *state) setMembers(now time.Duration, rows []mesh.MemberRow) {
	next := map[string]mesh.MemberRow{}
	for _, row := range rows {
		if row.Name != s.e.self.Name {
			next[row.Name] = row
			s.removeIfUnlinked(now, row)
		}
	}
	for name, p := range s.peers {
		if _, ok := next[name]; !ok {
			next[name] = mesh.MemberRow{Member: p.Hello.Member()}
		}
	}
	s.members = next
	maps.DeleteFunc(s.refusedAt, func(_ string, at time.Duration) bool { return now-at > refusedFor })
	s.retarget()
}

// removeIfUnlinked removes the row of an entry that has had no link for
// removeAfter. An entry that is running all the same registers again.
func (s *state) removeIfUnlinked(now time.Duration, row mesh.MemberRow) {
	since, known := s.unlinked[row.Name]
	switch {
	case s.peers[row.Name] != nil:
		delete(s.unlinked, row.Name)
	case !known:
		s.unlinked[row.Name] = now
	case now-since > removeAfter:
		delete(s.unlinked, row.Name)
		go s.e.removeMember(row)
	}
}

func (s *state) retarget() {
	targets := slices.Clone(s.seeds)
	for _, m := range s.members {
		targets = append(targets, m.Addr)
	}
	s.e.mesh.SetTargets(s.e.ctx, targets)
}

// sendMembers sends agents the list of entries if it has changed.
func (s *state) sendMembers(now time.Duration) {
	if now < s.nextMembersAt {
		return
	}
	s.nextMembersAt = now + membersPause
	list := s.memberList()
	if slices.Equal(list.Entries, s.sentMembers.Entries) {
		return
	}
	s.sentMembers = *list
	for _, p := range s.agents {
		_ = p.Send(list) // resent on the next link
	}
}

func (s *state) memberList() *wire.Members {
	list := &wire.Members{Entries: []wire.Member{s.e.self.Member()}}
	for _, m := range s.members {
		list.Entries = append(list.Entries, m.Member)
	}
	slices.SortFunc(list.Entries, func(a, b wire.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}
