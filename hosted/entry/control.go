package entry

import (
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

const (
	tickEvery = 25 * time.Millisecond
	// urgentBeat is the pause between heartbeats of two entries of which one
	// holds jobs of the other: six in an entry's lease.
	urgentBeat = 50 * time.Millisecond
	// idleBeat is the pause between heartbeats of other entries, and idleSilence
	// the time without an echo after which such an entry counts as lost: three
	// heartbeats and a half.
	idleBeat    = 400 * time.Millisecond
	idleSilence = 1400 * time.Millisecond
	// membersPause bounds how often agents are told which entries there are.
	membersPause = 500 * time.Millisecond
	// agentSilence is the time without a heartbeat after which an agent's link
	// is made anew: beyond three of its rare heartbeats. At a home it is the
	// owner's lease, since the agent has stopped the home's runs by then.
	agentSilence = 1500 * time.Millisecond
	// agentSuspect is the time without a heartbeat after which an agent gets no
	// tasks of a home: two heartbeats and their delay.
	agentSuspect = 350 * time.Millisecond
	// outcomeKept is how long the end of a job is kept for an entry that links anew.
	outcomeKept = 2 * time.Second
)

// state is the control actor's.
type state struct {
	e          *Entry
	peers      map[string]*mesh.Peer // linked entries by name
	agents     map[string]*mesh.Peer // linked agents by name
	lost       map[string]lostEntry  // entries whose link is down, within their lease
	members    map[string]mesh.MemberRow
	unlinked   map[string]time.Duration // since when a member is not linked
	schedulers map[dispatch.Shard]*dispatch.Scheduler
	orders     *dispatch.OrderNumbers
	timing     dispatch.Timing
	endpoints  map[dispatch.EndpointID]endpointView
	requests   map[string]*request
	recent     map[string]recentEnd
	home       map[dispatch.Shard]string // entry that holds the queue
	splits     splits
	told       map[string]splits // what other entries say of it, by name
	seeds      []string          // addresses where entries may listen
	toldAgents wire.Members      // list of entries that agents were last told
	nextTell   time.Duration     // of that list
	stopping   bool
	ending     bool // the time to stop is over
}

type lostEntry struct {
	owner dispatch.Owner
	until time.Duration
}

type endpointView struct {
	agent  dispatch.AgentID
	status dispatch.EndpointStatus
	shard  dispatch.Shard
}

// request is a client's submission that waits here.
type request struct {
	submit
	shard  dispatch.Shard
	home   dispatch.Owner // entry that has the job
	passed int            // shards at which the job's tasks fit no endpoint
}

type recentEnd struct {
	outcome dispatch.Outcome
	caller  dispatch.Owner
	at      time.Duration
	sent    time.Duration // when the caller was last told
}

func newState(e *Entry) *state {
	return &state{
		e: e, seeds: mesh.SeedAddrs(e.node), peers: map[string]*mesh.Peer{}, agents: map[string]*mesh.Peer{}, lost: map[string]lostEntry{},
		members: map[string]mesh.MemberRow{}, unlinked: map[string]time.Duration{},
		schedulers: map[dispatch.Shard]*dispatch.Scheduler{}, orders: &dispatch.OrderNumbers{}, timing: control.TimingOf(e.node), endpoints: map[dispatch.EndpointID]endpointView{},
		requests: map[string]*request{}, recent: map[string]recentEnd{}, home: map[dispatch.Shard]string{},
		splits: splits{}, told: map[string]splits{},
	}
}

func (e *Entry) receive(now time.Duration, message any) {
	s := e.state
	switch m := message.(type) {
	case control.Tick:
		s.tick(now)
	case control.Stop:
		s.stopping = true
		s.chooseHomes(now)
		s.beatAll(now)
	case endRequests:
		s.endRequests(now)
	case askUnfinished:
		m.reply <- unfinished{s.openJobs(), s.untold(now)}
	case control.Reload:
		s.seeds = mesh.SeedAddrs(m.Node)
		s.retarget()
	case control.LinkUp:
		s.linkUp(now, m.Link)
	case control.LinkDown:
		s.linkDown(now, m.Link)
	case control.Refused:
		s.refused(now, m.Addr)
	case control.Received:
		s.received(now, m.Link, m.Message)
	case control.MembersRead:
		s.setMembers(now, m.Members)
	case operatorRead:
		s.adopt(now, m.state, "store")
	case submit:
		s.submit(now, m)
	case clientGone:
		s.clientGone(now, m)
	case deleteJob:
		s.deleteJob(now, m)
	case askWaiting:
		m.reply <- s.waiting(m.route.Name)
	}
	s.carryOut(now)
}

func (s *state) openJobs() int {
	n := len(s.requests)
	for _, sched := range s.schedulers {
		n += sched.Jobs()
	}
	return n
}

// untold returns how many ends of jobs other entries may not have heard of. It
// asks linked ones for an echo: what was sent before a heartbeat that is echoed
// has arrived.
func (s *state) untold(now time.Duration) int {
	n := 0
	for _, r := range s.recent {
		p := s.peers[r.caller.Entry]
		switch {
		case now-r.at > outcomeKept, p == nil && s.lost[r.caller.Entry].owner != r.caller:
			continue // told too late: the caller has given up
		case p != nil && (p.Owner() != r.caller || p.Echoed > r.sent):
			continue
		case p != nil && p.LastSent <= r.sent:
			p.SendHeartbeat(now, s.beat())
		}
		n++
	}
	return n
}

func (s *state) tick(now time.Duration) {
	s.checkPeers(now)
	s.checkAgents(now)
	s.chooseHomes(now)
	s.tellAgents(now)
	for _, sched := range s.schedulers {
		sched.Tick(now)
	}
	for id, r := range s.recent {
		if now-r.at > outcomeKept {
			delete(s.recent, id)
		}
	}
	s.e.ready.Store(s.isReady())
	s.e.actor.TickAfter(tickEvery)
}

// isReady reports whether clients are served: with a configuration and
// endpoints, here or through the entry that holds the queue.
func (s *state) isReady() bool {
	return !s.stopping && s.e.operator.Load() != nil && (len(s.endpoints) > 0 || s.peersHaveEndpoints())
}

func (s *state) peersHaveEndpoints() bool {
	for _, p := range s.peers {
		if p.LastHeartbeat.Endpoints > 0 && !p.LastHeartbeat.Draining {
			return true
		}
	}
	return false
}

// submit takes a client's job. The same job again joins the one that is open.
func (s *state) submit(now time.Duration, m submit) {
	if s.ending {
		m.reply <- tooLate("") // it may have run elsewhere before
		return
	}
	r := &request{submit: m, shard: s.shardOfJob(m.route.Service, m.job.ID)}
	if old := s.requests[m.job.ID]; old != nil {
		r.shard, r.home = old.shard, old.home // where its runs are known
		s.answer(m.job.ID, dispatch.Outcome{Code: result.OutcomeUnknown, Detail: "sent again on another connection"})
	}
	s.requests[m.job.ID] = r
	if s.linked(r.home) {
		s.passTo(now, r, r.home.Entry)
		return
	}
	s.pass(now, r)
}

// linked reports whether an entry is this one or has a link.
func (s *state) linked(owner dispatch.Owner) bool {
	p := s.peers[owner.Entry]
	return owner == s.e.owner() || p != nil && p.Owner() == owner
}

// pass hands a request to the entry that holds its shard's queue.
func (s *state) pass(now time.Duration, r *request) {
	if home := s.homeOf(now, r.shard); s.passTo(now, r, home) {
		return
	}
	s.passTo(now, r, s.e.self.Name)
}

// passTo hands a request to an entry, and reports whether that one is linked.
func (s *state) passTo(now time.Duration, r *request, home string) bool {
	if home == s.e.self.Name {
		r.home = s.e.owner()
		s.scheduler(r.shard).Submit(now, dispatch.Submission{Caller: r.home, Job: r.job, Route: r.route, Deadline: r.deadline})
		return true
	}
	p := s.peers[home]
	if p == nil {
		return false
	}
	r.home = p.Owner()
	_ = p.Send(&wire.JobSubmit{Job: r.job, Route: r.route, Shard: r.shard.Index, Wait: r.deadline - now}) // sent again on the next link
	return true
}

// ended takes a job's outcome at its home. One whose tasks fit no endpoint of
// its shard has not run, and goes to the next shard.
func (s *state) ended(now time.Duration, r *request, out dispatch.Outcome) {
	count := s.splits.of(r.shard.Service)
	if r.passed++; out.Code != result.NeverFits || r.passed >= count {
		s.answer(r.job.ID, out)
		return
	}
	r.shard.Index = (r.shard.Index + 1) % count
	s.pass(now, r)
}

// waiting counts the jobs of a route that wait in the queues held here.
func (s *state) waiting(route string) int {
	n := 0
	for _, sched := range s.schedulers {
		n += sched.Waiting(route)
	}
	return n
}

// answer ends a request.
func (s *state) answer(id string, out dispatch.Outcome) {
	r := s.requests[id]
	if r == nil {
		return
	}
	delete(s.requests, id)
	r.reply <- out
}

func (s *state) clientGone(now time.Duration, m clientGone) {
	r := s.requests[m.job]
	if r == nil || r.reply != m.reply {
		return
	}
	delete(s.requests, m.job)
	s.cancelAtHome(now, r)
}

func (s *state) cancelAtHome(now time.Duration, r *request) {
	if r.home == s.e.owner() {
		s.scheduler(r.shard).Cancel(now, r.job.ID, r.home)
		return
	}
	if p := s.peers[r.home.Entry]; p != nil {
		_ = p.Send(&wire.JobCancel{Job: r.job.ID}) // a home that does not hear it loses this entry's lease
	}
}

// endRequests answers all requests before the process ends, and stops their
// runs, since clients send jobs again that may have run.
func (s *state) endRequests(now time.Duration) {
	s.ending = true
	for id, r := range s.requests {
		if r.home == s.e.owner() {
			s.scheduler(r.shard).EndEarly(now, id, r.home, dispatch.Outcome{Code: result.Stopping, RetryAfter: notReadyRetry, Detail: stopOver})
			continue
		}
		s.cancelAtHome(now, r)
		s.answer(id, tooLate(", the job is held by "+r.home.Entry))
	}
	s.carryOut(now)
	for id := range s.requests {
		s.answer(id, tooLate(", the job is not known"))
	}
}

// stopOver is the detail of answers that are given without the end of a job.
const stopOver = "the entry's time to stop is over"

// tooLate is the outcome of a job of which nobody here knows what ran.
func tooLate(more string) dispatch.Outcome {
	return dispatch.Outcome{Code: result.OutcomeUnknown, Detail: stopOver + more}
}

// deleteJob cancels a job on its client's request.
func (s *state) deleteJob(now time.Duration, m deleteJob) {
	r := s.requests[m.job]
	m.known <- r != nil
	if r == nil {
		return
	}
	s.cancelAtHome(now, r)
	s.answer(m.job, dispatch.Outcome{Code: result.Cancelled})
}

// carryOut does what the schedulers decided.
func (s *state) carryOut(now time.Duration) {
	for _, sched := range s.schedulers {
		actions := sched.TakeActions()
		for i := 0; i < len(actions); {
			i += s.carry(now, actions[i:])
		}
	}
}

// carry does the first of actions, with those after it that go into the same
// message, and returns how many that were.
func (s *state) carry(now time.Duration, actions []dispatch.SchedulerAction) int {
	first := actions[0]
	switch first.Kind {
	case dispatch.OrderRun:
		return s.orderRuns(actions)
	case dispatch.CancelRun:
		if p := s.agentOf(first.Agent); p != nil {
			_ = p.Send(&wire.RunStop{Endpoint: first.Endpoint, Runs: []dispatch.RunRef{first.Run}}) // sent again on the next link
		}
	case dispatch.FinishJob:
		s.finish(now, first)
	case dispatch.LogDecision:
		s.e.deps.Metrics.Count("bergamotwing_"+first.Event+"_total", "Decisions of the scheduler.", 1)
		s.e.deps.Log.Info().Str("event", first.Event).Str("agent", first.Agent.Name).Str("endpoint", first.Endpoint.ID).
			Str("job", first.Job).Str("reason", first.Reason).Msg("scheduler decision")
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

// orderRuns sends the orders for one job at one endpoint together.
func (s *state) orderRuns(actions []dispatch.SchedulerAction) int {
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
		_ = p.Send(m) // the runs that a closed link loses are missed when the next one is up
	}
	return n
}

// finish passes a job's outcome to the entry whose client waits.
func (s *state) finish(now time.Duration, a dispatch.SchedulerAction) {
	if a.Caller == s.e.owner() {
		if r := s.requests[a.Job]; r != nil {
			s.ended(now, r, a.Outcome)
		}
		return
	}
	if a.Outcome.Code != result.NeverFits { // the job may come again for another shard held here
		s.recent[a.Job] = recentEnd{outcome: a.Outcome, caller: a.Caller, at: now, sent: now}
	}
	if p := s.peers[a.Caller.Entry]; p != nil && p.Owner() == a.Caller {
		_ = p.Send(&wire.JobEnd{Job: a.Job, Outcome: a.Outcome}) // told again on the next link
	}
}
