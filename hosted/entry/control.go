package entry

import (
	"maps"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

const (
	tickEvery = 25 * time.Millisecond
	// maxCheckPause is the longest time between two checks of the leases of entries. A
	// process that exceeds it was frozen or slow: it checks them before anything else,
	// and handles what has waited, cancels among it, before it places tasks.
	maxCheckPause = 100 * time.Millisecond
	// busyHeartbeatEvery is the pause between heartbeats of two entries of which one
	// is a home, so that it may hold jobs of the other: six in an entry's lease.
	busyHeartbeatEvery = 50 * time.Millisecond
	// idleHeartbeatEvery is the pause between heartbeats of other entries, and
	// idlePeerTimeout the time without an echo after which such an entry counts as
	// lost: three heartbeats and a half.
	idleHeartbeatEvery = 1200 * time.Millisecond
	idlePeerTimeout    = 4200 * time.Millisecond
	// membersPause is the shortest time between two lists of entries sent to agents.
	membersPause = 500 * time.Millisecond
	// agentLinkTimeout is the time without a heartbeat after which an agent's link
	// is closed, for the agent to reconnect. It is longer than three heartbeats
	// to an entry that is not a home. A home uses the owner's lease instead, since
	// the agent has stopped the home's runs by then.
	agentLinkTimeout = 4500 * time.Millisecond
	// agentSuspect is the time without a heartbeat after which no tasks are placed on
	// an agent: two heartbeats to a home and their delay.
	agentSuspect = 350 * time.Millisecond
	// outcomeRetention is how long the end of a job is kept for an entry that reconnects.
	outcomeRetention = 2 * time.Second
)

// state is the state of the control actor.
type state struct {
	e               *Entry
	peers           map[string]*mesh.Peer // linked entries by name
	agents          map[string]*mesh.Peer // linked agents by name
	links           *mesh.Order
	lost            map[string]lostEntry // entries whose link is down, within their lease
	members         map[string]mesh.MemberRow
	unlinked        map[string]time.Duration // when a member was first found without a link
	schedulers      map[dispatch.Shard]*dispatch.Scheduler
	orders          *dispatch.OrderNumbers
	timing          dispatch.Timing
	endpoints       map[dispatch.EndpointID]endpointView
	agentShards     map[string]dispatch.Shard // of the endpoint that an agent reported last, by the agent's name
	requests        map[string]*request
	lastRequest     uint64 // number of the newest request
	recent          map[submittedJob]recentEnd
	moved           map[movedJob]movedTo
	deletes         map[uint64]*pendingDelete // by number
	lastDelete      uint64                    // number of the newest request to delete a job
	deleted         deletedJobs
	cancels         cancelWrites
	storeCancels    func(set, remove []string) // writes rows of cancelled jobs, and sends cancelsWritten; nil: there is no store
	refusedAt       map[string]time.Duration   // when an entry's address was last dialed and refused, by the address
	home            map[dispatch.Shard]string  // entry that holds the shard's queue
	shardCounts     shardCounts
	peerShardCounts map[string]shardCounts // as sent by other entries, by name
	seeds           []string               // addresses where entries may listen
	sentMembers     wire.Members           // list of entries last sent to agents
	nextMembersAt   time.Duration          // earliest time of the next list to agents
	behindSince     time.Duration          // since when another entry has a newer version of the operator's state; 0: none has
	catchUps        int                    // requests for it since then
	agentReads      agentReads
	interference    interferenceMetrics
	checkedAt       time.Duration // when the leases of the other entries were last checked
	wokeAt          time.Duration // when this process last woke from a pause after which requests were ended; 0: it has not
	pauses          pauses        // since wokeAt
	absences        pauses        // also those before it
	membersReadAt   time.Duration // when the newest read of the registered entries began
	echoAgentsFrom  time.Duration // no agent's lease is renewed before
	stopping        bool
	stopTimedOut    bool // the time to stop is over: requests are answered without the ends of their jobs
}

type lostEntry struct {
	owner             dispatch.Owner
	echoed, busySince time.Duration // as of the lost link
	until             time.Duration
}

type endpointView struct {
	agent  dispatch.AgentID
	status dispatch.EndpointStatus
	shard  dispatch.Shard
}

// request is a client's submission whose answer is pending here.
type request struct {
	submit
	number      uint64 // from 1 in each incarnation
	shard       dispatch.Shard
	home        dispatch.Owner   // entry that has the job
	elsewhere   int              // shard, from 1, for a job that its home does not have yet; 0: none
	shardsTried int              // shards that have refused the job
	shardsLeft  int              // shards that have named another one for the job
	stays       bool             // where it is submitted: it has been refused, or all shards name each other
	refusal     dispatch.Outcome // of the shard that would take the job the soonest
	firstPeer   *mesh.Peer       // link on which the job was first submitted to home
}

// submittedJob names a job as an entry has submitted it to a shard.
type submittedJob struct {
	job    string
	shard  dispatch.Shard
	caller dispatch.Owner
}

// movedJob names a job that a shard held here does not take.
type movedJob struct {
	job   string
	shard dispatch.Shard
}

// movedTo is the shard to which a job has gone instead, and when its client stops waiting.
type movedTo struct {
	index int
	until time.Duration
}

// recentEnd is an outcome that is kept for the entry that waits for it.
type recentEnd struct {
	outcome dispatch.Outcome
	request uint64 // of the caller
	at      time.Duration
	sent    time.Duration // when the outcome was last sent to the caller
}

func newState(e *Entry) *state {
	return &state{
		e: e, links: mesh.NewOrder(), seeds: mesh.SeedAddrs(e.node), peers: map[string]*mesh.Peer{}, agents: map[string]*mesh.Peer{}, lost: map[string]lostEntry{},
		members: map[string]mesh.MemberRow{}, unlinked: map[string]time.Duration{},
		schedulers: map[dispatch.Shard]*dispatch.Scheduler{}, orders: &dispatch.OrderNumbers{}, timing: control.TimingOf(e.node), endpoints: map[dispatch.EndpointID]endpointView{},
		agentShards: map[string]dispatch.Shard{},
		requests:    map[string]*request{}, recent: map[submittedJob]recentEnd{}, moved: map[movedJob]movedTo{}, deletes: map[uint64]*pendingDelete{}, home: map[dispatch.Shard]string{},
		shardCounts: shardCounts{}, peerShardCounts: map[string]shardCounts{}, refusedAt: map[string]time.Duration{},
	}
}

func (e *Entry) receive(now time.Duration, message any) {
	s := e.state
	if pause := now - s.checkedAt; pause > maxCheckPause {
		for _, sched := range s.schedulers {
			sched.Hold(now + 2*tickEvery) // before cancels make room
		}
		if pause > s.timing.EntryLease && s.checkedAt > 0 {
			s.echoAgentsFrom = now + 2*tickEvery
			s.wake(now, s.checkedAt)
		}
		s.abandonLeft(now)
		s.checkPeers(now)
		s.applyActions(now) // agents get the stops before their leases are renewed
	}
	switch m := message.(type) {
	case control.Tick:
		s.tick(now)
	case control.Stop:
		s.stopping = true
		s.chooseHomes(now)
		s.broadcastHeartbeat(now)
	case endRequests:
		s.endRequests(now)
	case askUnfinished:
		m.reply <- unfinished{s.openJobs(), s.unacknowledged(now)}
	case control.Reload:
		s.seeds = mesh.SeedAddrs(m.Node)
		s.retarget()
	case control.LinkUp:
		s.linkUp(now, m.Link)
	case control.LinkDown:
		s.linkDown(now, m.Link)
	case control.Refused:
		s.refused(now, m.Addr, m.Dialed)
	case control.Received:
		s.received(now, m.Link, m.Message)
	case control.MembersRead:
		s.membersReadAt = m.Began
		s.setMembers(now, m.Members)
	case operatorRead:
		s.operatorRead(now, m)
	case storeServes:
		s.storeServes(now, m.ok)
	case submit:
		s.submit(now, m)
	case abandonRequest:
		s.abandonRequest(now, m)
	case deleteJob:
		s.deleteJob(now, m)
	case cancelsWritten:
		s.cancelsWritten(now, m)
	case cancelsRead:
		s.cancelsRead(now, m)
	case askWaiting:
		m.reply <- s.waiting(m.route.Name)
	}
	s.applyActions(now)
}

func (s *state) openJobs() int {
	n := len(s.requests)
	for _, sched := range s.schedulers {
		n += sched.Jobs()
	}
	return n
}

// unacknowledged returns how many ends of jobs other entries have not acknowledged.
// To get an echo from a linked entry it sends a heartbeat: an echoed heartbeat
// proves that all messages sent before it have arrived.
func (s *state) unacknowledged(now time.Duration) int {
	n := 0
	for key, r := range s.recent {
		p := s.peers[key.caller.Entry]
		switch {
		case now-r.at > outcomeRetention, p == nil && s.lost[key.caller.Entry].owner != key.caller:
			continue // too late to send it: the caller has given up
		case p != nil && (p.Owner() != key.caller || p.Echoed > r.sent):
			continue
		case p != nil && p.LastSent <= r.sent:
			p.SendHeartbeat(now, s.heartbeatFor(key.caller.Entry))
		}
		n++
	}
	return n
}

func (s *state) tick(now time.Duration) {
	s.checkPeers(now)
	s.checkAgents(now)
	s.catchUp(now)
	s.readByAgents(now)
	s.chooseHomes(now)
	s.sendMembers(now)
	for _, sched := range s.schedulers {
		sched.Tick(now)
	}
	s.interference.update(s)
	for id, r := range s.recent {
		if now-r.at > outcomeRetention {
			delete(s.recent, id)
		}
	}
	s.expireDeletes(now)
	s.writeCancels(now)
	maps.DeleteFunc(s.moved, func(_ movedJob, m movedTo) bool { return now > m.until })
	s.e.ready.Store(s.isReady())
	s.e.actor.TickAfter(tickEvery)
}

// isReady reports whether clients can be served: there is a configuration, the cancelled
// jobs are known, and this entry or another one has endpoints.
func (s *state) isReady() bool {
	return !s.stopping && s.e.operator.Load() != nil && s.e.cancelsKnown.Load() && (len(s.endpoints) > 0 || s.peersHaveEndpoints())
}

func (s *state) peersHaveEndpoints() bool {
	for _, p := range s.peers {
		if p.LastHeartbeat.Endpoints > 0 && !p.LastHeartbeat.Draining {
			return true
		}
	}
	return false
}

// submit accepts a client's job. A job that is submitted again while it is open is
// joined: the new request takes the place of the earlier one, whose client is answered.
func (s *state) submit(now time.Duration, m submit) {
	if s.stopTimedOut {
		m.reply <- stopTimeoutOutcome("") // the job may have run elsewhere before
		return
	}
	if s.wasDeleted(now, m.job.ID) {
		m.reply <- deletedOutcome
		return
	}
	if m.clientLeft() {
		s.e.deps.Metrics.Count("bergamotwing_requests_unread_total", "Requests that were read after their clients had left.", 1)
		s.e.deps.Log.Warn().Str("event", "client_left_unread").Str("job", m.job.ID).Msg("client had left before its request was read; nothing submitted")
		m.reply <- dispatch.Outcome{Code: result.OutcomeUnknown, Detail: "client left before its request was read"} // it may have sent the job again elsewhere
		return
	}
	if s.refuseReceivedBefore(m) {
		return
	}
	s.lastRequest++
	r := &request{submit: m, number: s.lastRequest, shard: s.shardOfJob(m.route.Service, m.job.ID)}
	if index := s.chooseShard(r.shard); index != r.shard.Index {
		r.elsewhere = index + 1
	}
	old := s.requests[m.job.ID]
	if old != nil {
		r.shard, r.home, r.firstPeer = old.shard, old.home, old.firstPeer // the entry that has the job's runs
		s.answer(m.job.ID, dispatch.Outcome{Code: result.OutcomeUnknown, Detail: "sent again on another connection"})
	}
	s.requests[m.job.ID] = r
	if old == nil {
		s.submitToHome(now, r)
	} else if s.linked(r.home) {
		s.submitTo(now, r, r.home.Entry)
	} // else the next link resumes the request, or entryLost answers it
}

// linked reports whether an entry is this one or is linked.
func (s *state) linked(owner dispatch.Owner) bool {
	p := s.peers[owner.Entry]
	return owner == s.e.owner() || p != nil && p.Owner() == owner
}

// submitToHome submits a request to the entry that holds its shard's queue, or
// here if that entry is not linked.
func (s *state) submitToHome(now time.Duration, r *request) {
	if home := s.homeOf(now, r.shard); s.submitTo(now, r, home) {
		return
	}
	s.submitTo(now, r, s.e.self.Name)
}

// submitTo submits a request to an entry, and reports whether that entry is linked.
func (s *state) submitTo(now time.Duration, r *request, home string) bool {
	if home == s.e.self.Name {
		r.home = s.e.owner()
		if index, moved := s.moveJob(r.job.ID, r.shard, r.elsewhere, r.stays, r.deadline); moved {
			s.jobMoved(now, r, index)
			return true
		}
		s.scheduler(r.shard).Submit(now, dispatch.Submission{Caller: r.home, Request: r.number, Job: r.job, Route: r.route, Deadline: r.deadline})
		return true
	}
	p := s.peers[home]
	if p == nil {
		return false
	}
	r.home = p.Owner()
	s.sendSubmit(now, p, r)
	return true
}

// sendSubmit sends a request to its home. On a new link, resume does so once the first
// heartbeat has brought a reading of the home's clock.
func (s *state) sendSubmit(now time.Duration, p *mesh.Peer, r *request) {
	if p.Clock == 0 {
		return
	}
	if r.firstPeer == nil {
		r.firstPeer = p
	}
	_ = p.Send(&wire.JobSubmit{ // resent on the next link
		Job: r.job, Route: r.route, Shard: r.shard.Index, Wait: r.deadline - now, MayHaveRun: r.firstPeer != p, Echo: p.Clock, Request: r.number,
		Elsewhere: r.elsewhere, Stays: r.stays,
	})
}

// jobEnded handles the outcome that a job's home reports. A job that its shard has
// refused has not run, and is submitted to the next shard: the jobs of a service are
// spread evenly over its shards, their load and their endpoints are not.
func (s *state) jobEnded(now time.Duration, r *request, out dispatch.Outcome) {
	if out.Code != result.NeverFits && out.Code != result.Overloaded {
		s.answer(r.job.ID, out)
		return
	}
	r.refusal = soonerRefusal(r.refusal, out)
	count := s.shardCounts.of(r.shard.Service)
	if r.shardsTried++; r.shardsTried >= count {
		s.answer(r.job.ID, r.refusal)
		return
	}
	r.shard.Index = (r.shard.Index + 1) % count
	r.firstPeer, r.elsewhere, r.stays = nil, 0, true
	s.submitToHome(now, r)
}

// jobMoved submits a request to the shard that the job has gone to. If no shard has the
// job, since each has refused it, it stays at the last one.
func (s *state) jobMoved(now time.Duration, r *request, index int) {
	r.shardsLeft++
	r.stays = r.shardsLeft >= s.shardCounts.of(r.shard.Service)
	r.shard.Index = index
	r.firstPeer, r.elsewhere = nil, 0
	s.submitToHome(now, r)
}

// moveJob returns the shard to which a job goes that is submitted to a shard held here:
// the one to which it has gone before, so that a job that is sent again through another
// entry joins the first submission; or elsewhere, if it is not here.
func (s *state) moveJob(job string, shard dispatch.Shard, elsewhere int, stays bool, deadline time.Duration) (index int, moved bool) {
	key := movedJob{job, shard}
	count := s.shardCounts.of(shard.Service)
	if stays || s.scheduler(shard).Has(job) {
		delete(s.moved, key)
		return 0, false
	}
	to, moved := s.moved[key]
	if !moved && elsewhere > 0 {
		to, moved = movedTo{elsewhere - 1, deadline}, true
	}
	if !moved || to.index >= count || to.index == shard.Index {
		return 0, false
	}
	to.until = max(to.until, deadline)
	s.moved[key] = to
	return to.index, true
}

// soonerRefusal returns the refusal of the shard that would take a job the soonest. A
// shard without a large enough endpoint would never take it.
func soonerRefusal(a, b dispatch.Outcome) dispatch.Outcome {
	switch {
	case a.Code == 0, a.Code == result.NeverFits && b.Code == result.Overloaded:
		return b
	case a.Code == b.Code && b.RetryAfter < a.RetryAfter:
		return b
	default:
		return a
	}
}

// waiting counts the jobs of a route that wait in the queues held here.
func (s *state) waiting(route string) int {
	n := 0
	for _, sched := range s.schedulers {
		n += sched.Waiting(route)
	}
	return n
}

// answer ends a request with an outcome.
func (s *state) answer(id string, out dispatch.Outcome) {
	r := s.requests[id]
	if r == nil {
		return
	}
	delete(s.requests, id)
	out.Home = r.home.Entry
	r.reply <- out
}

// abandonLeft cancels the jobs of all clients that have left. The goroutines that serve
// them find that out one by one.
func (s *state) abandonLeft(now time.Duration) {
	for id, r := range s.requests {
		if r.clientLeft() {
			s.e.deps.Metrics.Count("bergamotwing_clients_left_while_stopped_total", "Clients that were found to have left after a pause of the process.", 1)
			s.abandonRequest(now, abandonRequest{id, r.reply})
		}
	}
}

func (s *state) abandonRequest(now time.Duration, m abandonRequest) {
	r := s.requests[m.job]
	if r == nil || r.reply != m.reply {
		return
	}
	delete(s.requests, m.job)
	s.e.deps.Log.Info().Str("event", "job_abandoned").Str("job", m.job).Str("home", r.home.Entry).Msg("client no longer waits; job cancelled at its home")
	s.cancelAtHome(now, r)
}

func (s *state) cancelAtHome(now time.Duration, r *request) {
	if r.home == s.e.owner() {
		s.scheduler(r.shard).Cancel(now, r.job.ID, r.home)
		return
	}
	p := s.peers[r.home.Entry]
	// A home that does not receive this cancels the job at the next JobsOpen, or
	// when this entry's lease expires.
	if p == nil || p.Send(&wire.JobCancel{Job: r.job.ID}) != nil {
		s.e.deps.Metrics.Count("bergamotwing_cancels_undelivered_total", "Cancels of jobs that no link to their home took.", 1)
		s.e.deps.Log.Warn().Str("event", "cancel_undelivered").Str("job", r.job.ID).Str("home", r.home.Entry).Msg("job not cancelled at its home: no link")
	}
}

// endRequests answers all requests before the process ends, and stops their
// runs, since clients resubmit jobs that may have run.
func (s *state) endRequests(now time.Duration) {
	s.stopTimedOut = true
	for number, d := range s.deletes {
		s.endDelete(number, d, deleteUnanswered)
	}
	for id, r := range s.requests {
		if r.home == s.e.owner() {
			s.scheduler(r.shard).EndEarly(now, id, r.home, dispatch.Outcome{Code: result.Stopping, RetryAfter: notReadyRetry, Detail: stopTimeoutDetail})
			continue
		}
		s.cancelAtHome(now, r)
		s.answer(id, stopTimeoutOutcome(", the job is held by "+r.home.Entry))
	}
	s.applyActions(now)
	for id := range s.requests {
		s.answer(id, stopTimeoutOutcome(", the job is not known"))
	}
}

// stopTimeoutDetail is the detail of answers that are sent before the job has ended.
const stopTimeoutDetail = "the entry's time to stop is over"

// stopTimeoutOutcome is the outcome of a job of which this entry cannot know what ran.
func stopTimeoutOutcome(more string) dispatch.Outcome {
	return dispatch.Outcome{Code: result.OutcomeUnknown, Detail: stopTimeoutDetail + more}
}

// applyActions executes the actions that the schedulers decided on, also those that
// follow when a job goes from one of them to the next.
func (s *state) applyActions(now time.Duration) {
	for applied := true; applied; {
		applied = false
		for shard, sched := range s.schedulers {
			actions := sched.TakeActions()
			applied = applied || len(actions) > 0
			for i := 0; i < len(actions); {
				i += s.applyNext(now, shard, actions[i:])
			}
		}
	}
}

// applyNext executes the first of actions, together with those after it that go into
// the same message, and returns how many it has executed.
func (s *state) applyNext(now time.Duration, shard dispatch.Shard, actions []dispatch.SchedulerAction) int {
	first := actions[0]
	switch first.Kind {
	case dispatch.OrderRun:
		return s.sendOrders(actions)
	case dispatch.CancelRun:
		if p := s.agentOf(first.Agent); p != nil {
			m := &wire.RunStop{Endpoint: first.Endpoint, Runs: []dispatch.RunRef{first.Run}}
			if first.Order != 0 {
				m.Orders = []uint64{first.Order}
			}
			_ = p.Send(m) // resent on the next link
		}
	case dispatch.FinishJob:
		s.finish(now, shard, first)
	case dispatch.ShareEvidence:
		s.sendEvidence(first)
	case dispatch.LogDecision:
		s.e.deps.Metrics.Count("bergamotwing_"+first.Event+"_total", "Decisions of the scheduler.", 1)
		s.e.deps.Log.Info().Str("event", first.Event).Str("agent", first.Agent.Name).Str("endpoint", first.Endpoint.ID).
			Str("job", first.Job).Int("step", first.Run.Task.Step).Int("task", first.Run.Task.Index).Int("run", first.Run.Run).
			Str("reason", first.Reason).Msg("scheduler decision")
	}
	return 1
}

func (s *state) agentOf(id dispatch.AgentID) *mesh.Peer {
	p := s.agents[id.Name]
	if p == nil || uint64(p.Hello.Incarnation) != id.Incarnation {
		return nil
	}
	return p
}

// sendOrders sends the orders for one job at one endpoint in one message, and returns
// how many they are.
func (s *state) sendOrders(actions []dispatch.SchedulerAction) int {
	first := actions[0]
	m := &wire.RunOrder{Endpoint: first.Endpoint, Payload: first.Payload}
	n := 0
	for n < len(actions) {
		a := actions[n]
		if a.Kind != dispatch.OrderRun || a.Agent != first.Agent || a.Endpoint != first.Endpoint || a.Job != first.Job {
			break
		}
		m.Runs = append(m.Runs, wire.OrderedRun{Run: a.Run, Need: a.Need, Order: a.Order})
		n++
	}
	if p := s.agentOf(first.Agent); p != nil {
		m.Echo = p.Clock
		_ = p.Send(m) // orders lost with the link are found missing when the agent reconnects
	}
	return n
}

// finish sends a job's outcome to the entry whose client waits for it.
func (s *state) finish(now time.Duration, shard dispatch.Shard, a dispatch.SchedulerAction) {
	if count := s.shardCounts.of(shard.Service); count > 1 && (a.Outcome.Code == result.Overloaded || a.Outcome.Code == result.NeverFits) {
		s.moved[movedJob{a.Job, shard}] = movedTo{(shard.Index + 1) % count, a.Deadline} // where jobEnded submits it
	}
	if a.Caller == s.e.owner() {
		if r := s.requests[a.Job]; r != nil && r.shard == shard && r.number == a.Request {
			s.jobEnded(now, r, a.Outcome)
		}
		return
	}
	s.recent[submittedJob{a.Job, shard, a.Caller}] = recentEnd{outcome: a.Outcome, request: a.Request, at: now, sent: now}
	if p := s.peers[a.Caller.Entry]; p != nil && p.Owner() == a.Caller {
		_ = p.Send(&wire.JobEnd{Job: a.Job, Outcome: a.Outcome, Shard: shard.Index + 1, Request: a.Request}) // resent on the next link
	}
}
