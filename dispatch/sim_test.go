package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/dispatch/dispatchtest"
	"bergamotwing.example/result"
)

// The simulation runs two schedulers and some guards against model endpoints.
// Messages and calls are delayed, lost and carried out late, and links are
// partitioned; agents and entries are killed and frozen; clients resend
// unanswered jobs. It checks that no task ever runs twice at the same time, and
// that a job that was submitted once is not answered as not run after a task has
// started.

const (
	ms                = time.Millisecond
	simResend         = 1300 * time.Millisecond // after which clients resend
	simHeartbeatEvery = 150 * time.Millisecond
	simEndpointSlots  = 4 // runs on an endpoint
	simJobs           = 60
	simLinkTime       = 2 * time.Millisecond
)

// simAttempt is the connection on which a client waits for a job's answer.
type simAttempt struct {
	entry *simEntry // nil: none
	owner dispatch.Owner
}

var simTiming = dispatch.NewTiming(dispatch.Limits{})

type sim struct {
	rng         *rand.Rand
	now         dispatch.Time
	events      dispatchtest.Queue
	faulty      bool // faults are injected
	agents      []*simAgent
	entries     []*simEntry
	running     map[dispatch.TaskRef]string // endpoint on which a task runs
	violation   string
	ended       map[result.Code]int // answers to clients
	attempt     map[string]simAttempt
	submissions map[string]int  // by job
	started     map[string]bool // jobs of which a task has started
	starts      int
	behavior    func() callBehavior // of the next call to an endpoint; nil: at random
	work        dispatch.Time       // of each task; 0: at random
}

func (s *sim) nextWork() dispatch.Time {
	if s.work > 0 {
		return s.work
	}
	return dispatch.Time(20+s.rng.IntN(300)) * ms
}

// callBehavior is how a call to an endpoint proceeds.
type callBehavior struct {
	delay dispatch.Time // until the call is carried out
	lost  bool          // the answer is lost
}

const simCallTime = 80 * ms // timeout of a call without an answer

func (s *sim) nextCall() callBehavior {
	if s.behavior != nil {
		return s.behavior()
	}
	if s.chance(0.05) {
		return callBehavior{delay: dispatch.Time(2000+s.rng.IntN(3000)) * ms, lost: true}
	}
	if s.chance(0.05) { // within the time for which a start is valid
		return callBehavior{delay: dispatch.Time(20+s.rng.IntN(980)) * ms, lost: true}
	}
	return callBehavior{delay: dispatch.Time(1+s.rng.IntN(3)) * ms, lost: s.chance(0.05)}
}

func (s *sim) after(d dispatch.Time, do func()) {
	s.events.Add(s.now+d, do)
}

func (s *sim) chance(p float64) bool { return s.faulty && s.rng.Float64() < p }

// simEndpoint is a model endpoint.
type simEndpoint struct {
	*dispatchtest.Endpoint
	s *sim
}

func newSimEndpoint(s *sim, name string) *simEndpoint {
	e := &simEndpoint{s: s}
	e.Endpoint = dispatchtest.NewEndpoint(e, name, simEndpointSlots, 1-0.02*s.rng.Float64())
	return e
}

// Now implements dispatchtest.Host.
func (e *simEndpoint) Now() dispatch.Time { return e.s.now }

// After implements dispatchtest.Host.
func (e *simEndpoint) After(d dispatch.Time, do func()) { e.s.after(d, do) }

// RunStarts implements dispatchtest.Host.
func (e *simEndpoint) RunStarts(_ *dispatchtest.Endpoint, run dispatch.RunRef) dispatch.Time {
	if on, twice := e.s.running[run.Task]; twice {
		e.s.violation = fmt.Sprintf("%v: task %v starts at %s while it runs at %s", e.s.now, run, e.Name, on)
	}
	e.s.running[run.Task] = e.Name
	e.s.starts++
	e.s.started[run.Task.Job] = true
	return e.s.nextWork()
}

// RunEnds implements dispatchtest.Host.
func (e *simEndpoint) RunEnds(_ *dispatchtest.Endpoint, run dispatch.RunRef, _ dispatch.EndReason) {
	delete(e.s.running, run.Task)
}

// StopTime implements dispatchtest.Host.
func (e *simEndpoint) StopTime(*dispatchtest.Endpoint, dispatch.RunRef) dispatch.Time {
	return dispatch.Time(e.s.rng.IntN(50)) * ms
}

// simAgent is an agent process: a guard and its calls.
type simAgent struct {
	s           *sim
	name        string
	incarnation uint64
	guard       *dispatch.Guard
	endpoint    *simEndpoint
	frozenUntil dispatch.Time
	deferred    []func()       // arrived while frozen
	links       map[string]int // version of the link to each entry, by name
}

func (a *simAgent) start() {
	a.incarnation++
	a.guard = dispatch.NewGuard(dispatch.EndpointID{ID: a.endpoint.Name}, "svc", "z", dispatch.Resources{CPUMilli: simEndpointSlots * 1000}, nil, simTiming)
	for _, e := range a.s.entries {
		e.linkAgent(a)
	}
	a.tick(a.incarnation)
	a.heartbeat(a.incarnation)
	a.pollRepeatedly(a.incarnation)
}

// pollRepeatedly polls the endpoint also while nothing runs, as agents do.
func (a *simAgent) pollRepeatedly(incarnation uint64) {
	a.run(incarnation, func() {
		a.poll(0)
		a.s.after(dispatch.PollWait, func() { a.pollRepeatedly(incarnation) })
	})
}

// run calls do in the process or, if the process is frozen, once it thaws.
func (a *simAgent) run(incarnation uint64, do func()) {
	if a.incarnation != incarnation {
		return
	}
	if a.s.now < a.frozenUntil {
		a.deferred = append(a.deferred, func() { a.run(incarnation, do) })
		return
	}
	do()
	a.carryOut()
}

// linkUp reports to the entry the orders kept for it and the endpoint's status.
func (a *simAgent) linkUp(e *simEntry, l *simLink) {
	a.links[e.name] = l.version
	kept := a.guard.OrdersOf(e.owner())
	status := a.guard.Status(e.owner())
	a.send(e, func() {
		e.sched.AgentReconnected(e.s.now, dispatch.AgentID{a.name, l.incarnation}, kept)
		e.sched.Report(e.s.now, dispatch.AgentID{a.name, l.incarnation}, status)
	})
}

func (a *simAgent) freeze(d dispatch.Time) {
	a.frozenUntil = a.s.now + d
	a.s.after(d, func() {
		deferred := a.deferred
		a.deferred = nil
		for _, do := range deferred {
			do()
		}
	})
}

func (a *simAgent) tick(incarnation uint64) {
	a.run(incarnation, func() {
		a.guard.Tick(a.s.now)
		a.s.after(25*ms, func() { a.tick(incarnation) })
	})
}

func (a *simAgent) heartbeat(incarnation uint64) {
	a.run(incarnation, func() {
		for _, e := range a.s.entries {
			reading := a.s.now
			a.sendHeartbeat(e, func() { e.receiveHeartbeat(a, incarnation, reading) })
		}
		a.s.after(simHeartbeatEvery, func() { a.heartbeat(incarnation) })
	})
}

// send delivers a message to an entry, unless the entry has closed the link by
// then.
func (a *simAgent) send(e *simEntry, do func()) {
	a.sendHeartbeat(e, func() {
		if !e.links[a.name].lost {
			do()
		}
	})
}

// sendHeartbeat is send for heartbeats. They are delivered also on a closed
// link, which the entry then replaces with a new one.
func (a *simAgent) sendHeartbeat(e *simEntry, do func()) {
	incarnation, version := e.incarnation, a.links[e.name]
	a.s.message(e.links[a.name], toEntry, func() {
		e.run(incarnation, func() {
			if e.links[a.name].version == version {
				do()
			}
		})
	})
}

func (a *simAgent) carryOut() {
	incarnation := a.incarnation
	for _, action := range a.guard.TakeActions() {
		switch action.Kind {
		case dispatch.CallStart:
			a.call(func() dispatch.CallResult { return a.endpoint.Start(action.Run, action.Until) },
				func(res dispatch.CallResult, err bool) {
					if err {
						a.guard.StartUnanswered(a.s.now, action.Run)
						return
					}
					a.guard.StartAnswered(a.s.now, action.Run, res)
				})
		case dispatch.CallStop:
			a.call(func() dispatch.CallResult { return a.endpoint.Stop(action.Run) },
				func(res dispatch.CallResult, err bool) {
					if !err {
						a.guard.StopAnswered(a.s.now, action.Run, res)
					}
				})
		case dispatch.CallPoll:
			a.poll(action.Until)
		case dispatch.ReportEnd:
			for _, e := range a.s.entries {
				if e.owner() == action.Owner {
					a.send(e, func() { e.sched.Ended(a.s.now, action.Order, action.Reason, action.Age) })
				}
			}
		case dispatch.StatusChanged:
			for _, e := range a.s.entries {
				status := a.guard.Status(e.owner())
				a.send(e, func() { e.report(a, incarnation, status) })
			}
		}
	}
}

// call makes a call to the endpoint, which may be answered late, lose its
// answer or be carried out only seconds later.
func (a *simAgent) call(do func() dispatch.CallResult, answer func(dispatch.CallResult, bool)) {
	incarnation := a.incarnation
	behavior := a.s.nextCall()
	a.s.after(behavior.delay, func() {
		res := do()
		if !behavior.lost {
			a.s.after(ms, func() { a.run(incarnation, func() { answer(res, false) }) })
		}
	})
	if behavior.lost {
		a.s.after(simCallTime, func() { a.run(incarnation, func() { answer(dispatch.CallResult{}, true) }) })
	}
}

func (a *simAgent) poll(until dispatch.Time) {
	incarnation := a.incarnation
	cursor := a.guard.Cursor()
	behavior := a.s.nextCall()
	a.s.after(behavior.delay, func() {
		snap := a.endpoint.Poll(until, cursor)
		snap.Acknowledged = cursor
		if behavior.lost {
			return
		}
		a.s.after(dispatch.Time(1+a.s.rng.IntN(4))*ms, func() {
			a.run(incarnation, func() { a.guard.Polled(a.s.now, a.s.now, snap) })
		})
	})
}

// simEntry is an entry process that holds its own queue.
type simEntry struct {
	s           *sim
	name        string
	incarnation uint64
	sched       *dispatch.Scheduler
	frozenUntil dispatch.Time
	deferred    []func()
	links       map[string]*simLink
}

type simLink struct {
	agent            *simAgent
	incarnation      uint64        // of the agent
	clock            dispatch.Time // newest reading of the agent's clock
	lastSent         dispatch.Time // newest heartbeat sent
	lastReceived     dispatch.Time
	partitionedUntil dispatch.Time
	lost             bool
	version          int              // a new link has a higher one than the link it replaces
	newest           [2]dispatch.Time // delivery of the newest message, by direction
}

// Directions of messages.
const (
	toEntry = iota
	toAgent
)

func (e *simEntry) owner() dispatch.Owner { return dispatch.Owner{e.name, e.incarnation} }

func (e *simEntry) start() {
	e.incarnation++
	e.sched = dispatch.NewScheduler("svc", simTiming, &dispatch.OrderNumbers{}, e.s.now)
	for _, a := range e.s.agents {
		e.linkAgent(a)
	}
	e.tick(e.incarnation)
}

// linkAgent makes a new link, on which the agent reports what it keeps.
func (e *simEntry) linkAgent(a *simAgent) {
	old := e.links[a.name]
	l := &simLink{agent: a, incarnation: a.incarnation, lastSent: e.s.now, lastReceived: e.s.now}
	if old != nil {
		l.version = old.version + 1
		l.partitionedUntil = old.partitionedUntil
		if !old.lost {
			e.sched.AgentLost(e.s.now, dispatch.AgentID{a.name, old.incarnation}, old.lastSent+simTiming.OwnerLease+100*ms)
		}
	}
	e.links[a.name] = l
	e.s.after(simLinkTime, func() {
		a.run(l.incarnation, func() { a.linkUp(e, l) })
	})
}

func (e *simEntry) run(incarnation uint64, do func()) {
	if e.incarnation != incarnation || e.sched == nil {
		return
	}
	if e.s.now < e.frozenUntil {
		e.deferred = append(e.deferred, func() { e.run(incarnation, do) })
		return
	}
	do()
	e.carryOut()
}

func (e *simEntry) freeze(d dispatch.Time) {
	e.frozenUntil = e.s.now + d
	e.s.after(d, func() {
		deferred := e.deferred
		e.deferred = nil
		for _, do := range deferred {
			do()
		}
	})
}

func (e *simEntry) tick(incarnation uint64) {
	e.run(incarnation, func() {
		for _, a := range e.s.agents {
			l := e.links[a.name]
			if !l.lost && e.s.now-l.lastReceived > simTiming.OwnerLease {
				l.lost = true
				e.sched.AgentLost(e.s.now, dispatch.AgentID{l.agent.name, l.incarnation}, l.lastSent+simTiming.OwnerLease+100*ms)
			}
		}
		e.sched.Tick(e.s.now)
		e.s.after(25*ms, func() { e.tick(incarnation) })
	})
}

func (e *simEntry) receiveHeartbeat(a *simAgent, incarnation uint64, reading dispatch.Time) {
	l := e.links[a.name]
	if a.incarnation != incarnation || l == nil {
		return
	}
	if l.lost {
		e.linkAgent(a)
		l = e.links[a.name]
	}
	l.clock = max(l.clock, reading)
	l.lastReceived = e.s.now
	l.lastSent = e.s.now
	owner := e.owner()
	echo := l.clock
	e.send(l, func(a *simAgent) { a.guard.RenewOwner(owner, echo+simTiming.OwnerLease) })
}

// send delivers a message to an agent, unless the link was replaced by then.
func (e *simEntry) send(l *simLink, do func(*simAgent)) {
	a := l.agent
	e.s.message(l, toAgent, func() {
		a.run(l.incarnation, func() {
			if a.links[e.name] == l.version {
				do(a)
			}
		})
	})
}

func (e *simEntry) report(a *simAgent, incarnation uint64, status dispatch.EndpointStatus) {
	if l := e.links[a.name]; l != nil && !l.lost {
		e.sched.Report(e.s.now, dispatch.AgentID{a.name, incarnation}, status)
	}
}

func (e *simEntry) carryOut() {
	for _, action := range e.sched.TakeActions() {
		switch action.Kind {
		case dispatch.OrderRun:
			l := e.links[action.Agent.Name]
			o := dispatch.Order{Owner: e.owner(), Number: action.Order, Run: action.Run, Need: action.Need, Echo: l.clock}
			e.send(l, func(a *simAgent) { a.guard.Start(e.s.now, o) })
		case dispatch.CancelRun:
			owner := e.owner()
			e.send(e.links[action.Agent.Name], func(a *simAgent) {
				if action.Order != 0 {
					a.guard.StopEarlier(e.s.now, owner, action.Run, action.Order)
					return
				}
				a.guard.Stop(e.s.now, owner, action.Run)
			})
		case dispatch.FinishJob:
			e.s.answered(e, action.Job, action.Outcome)
		}
	}
}

// message delivers a message between an agent and an entry. A partition delays
// it until the partition heals, as TCP does.
func (s *sim) message(l *simLink, direction int, do func()) {
	at := s.now + simLinkTime
	if s.now < l.partitionedUntil {
		at = l.partitionedUntil + dispatch.Time(s.rng.IntN(20))*ms
	}
	at = max(at, l.newest[direction]) // messages of one link keep their order
	l.newest[direction] = at
	s.after(at-s.now, do)
}

// answered processes an answer to a client. If the answer leaves the outcome
// open, the client submits the job again, at any entry.
func (s *sim) answered(e *simEntry, id string, out dispatch.Outcome) {
	if s.attempt[id] != (simAttempt{e, e.owner()}) {
		return // the client no longer waits there
	}
	delete(s.attempt, id)
	s.ended[out.Code]++
	if result.Lookup(out.Code).Ran == result.RanNo && s.started[id] && s.submissions[id] == 1 {
		s.violation = fmt.Sprintf("%v: job %s is answered with %v, though a task has started", s.now, id, out.Code)
	}
	if out.Code == result.OK {
		return
	}
	if result.Lookup(out.Code).Ran != result.RanNo {
		s.after(simResend, func() { s.submit(id) })
	}
}

var simClient = dispatch.Owner{Entry: "client", Incarnation: 1}

func (s *sim) submit(id string) {
	s.submitAt(s.entries[s.rng.IntN(len(s.entries))], id)
}

func (s *sim) submitAt(e *simEntry, id string) {
	if e.sched == nil || s.now < e.frozenUntil {
		s.after(simResend, func() { s.submit(id) })
		return
	}
	job := dispatch.Job{ID: id, Steps: []dispatch.Step{{Count: 1 + s.rng.IntN(3), Need: dispatch.Resources{CPUMilli: 1000}, Estimate: 150 * ms}}}
	route := dispatch.Route{Name: "r", MaxAttempts: 3, Stretch: 1.6, TargetLatency: 60 * ms}
	s.attempt[id] = simAttempt{e, e.owner()}
	s.submissions[id]++
	e.run(e.incarnation, func() {
		e.sched.Submit(s.now, dispatch.Submission{Caller: simClient, Job: job, Route: route, Deadline: s.now + 1500*ms})
	})
	attempt, waits := s.attempt[id]
	if s.chance(0.2) && waits { // the connection breaks before an answer
		incarnation := e.incarnation
		s.after(dispatch.Time(s.rng.IntN(200))*ms, func() {
			if s.attempt[id] != attempt {
				return
			}
			delete(s.attempt, id)
			e.run(incarnation, func() { e.sched.Cancel(s.now, id, simClient) })
			s.after(simResend, func() { s.submit(id) })
		})
	}
}

// injectFault restarts or freezes a process, or partitions a link.
func (s *sim) injectFault() {
	a := s.agents[s.rng.IntN(len(s.agents))]
	e := s.entries[s.rng.IntN(len(s.entries))]
	switch s.rng.IntN(5) {
	case 0:
		a.start() // killed and started again
	case 1:
		a.freeze(dispatch.Time(100+s.rng.IntN(3000)) * ms)
	case 2:
		e.freeze(dispatch.Time(100+s.rng.IntN(3000)) * ms)
	case 3:
		e.links[a.name].partitionedUntil = s.now + dispatch.Time(100+s.rng.IntN(3000))*ms
	case 4:
		e.start()
	}
}

// newSim returns a simulation of started processes.
func newSim(seed uint64, agents int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), running: map[dispatch.TaskRef]string{}, ended: map[result.Code]int{}, attempt: map[string]simAttempt{},
		submissions: map[string]int{}, started: map[string]bool{}, now: 10 * time.Second,
	}
	for i := range agents {
		ep := newSimEndpoint(s, fmt.Sprintf("e%d", i))
		s.agents = append(s.agents, &simAgent{s: s, name: fmt.Sprintf("a%d", i), endpoint: ep, links: map[string]int{}})
	}
	for i := range 2 {
		s.entries = append(s.entries, &simEntry{s: s, name: fmt.Sprintf("n%d", i), links: map[string]*simLink{}})
	}
	for _, e := range s.entries {
		e.start()
	}
	for _, a := range s.agents {
		a.start()
	}
	return s
}

// play advances the time up to a moment, or to the first violation of a
// guarantee.
func (s *sim) play(until dispatch.Time) {
	for s.violation == "" {
		at, do, ok := s.events.Next(until)
		if !ok {
			return
		}
		s.now = at
		do()
	}
}

func runSim(seed uint64, faulty bool) *sim {
	s := newSim(seed, 3)
	s.faulty = faulty
	for i := range simJobs {
		s.after(dispatch.Time(500+s.rng.IntN(8000))*ms, func() { s.submit(fmt.Sprintf("j%d", i)) })
	}
	if faulty {
		for range 8 {
			s.after(dispatch.Time(500+s.rng.IntN(8000))*ms, s.injectFault)
		}
	}
	s.play(25 * time.Second)
	return s
}

// The seeds are those of the first 2,000 at which a start that an agent had sent
// before it was killed was carried out beside the task's next run, and a few more.
func TestLateStartsOfReplacedAgentsRunNoTaskTwice(t *testing.T) {
	for _, seed := range []uint64{
		621, 780, 859, 930, 1096, 1253, 1265, 1366, 1854,
		0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19,
	} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if s := runSim(seed, true); s.violation != "" {
				t.Error(s.violation)
			}
		})
	}
}

func TestNoTaskRunsTwiceAtTheSameTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if s := runSim(seed, true); s.violation != "" {
			t.Fatalf("seed %d: %s", seed, s.violation)
		}
	})
}

// A job that arrives after an idle time longer than a long poll waits is served
// as well.
func TestAJobIsServedAfterAPause(t *testing.T) {
	s := newSim(1, 1)
	s.play(s.now + 4*dispatch.PollWait)
	s.submitAt(s.entries[0], "j")
	s.play(s.now + 2*time.Second)
	if s.ended[result.OK] != 1 {
		t.Errorf("jobs ended as %v", s.ended)
	}
}

func TestEachJobEndsWellOrIsRefusedWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		s := runSim(seed, false)
		if s.violation != "" {
			t.Fatalf("seed %d: %s", seed, s.violation)
		}
		if s.ended[result.OK]+s.ended[result.Overloaded] != simJobs {
			t.Fatalf("seed %d: jobs ended as %v", seed, s.ended)
		}
	})
}
