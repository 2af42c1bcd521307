package dispatch

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotwing.example/result"
)

// The simulation runs two schedulers and some guards against model endpoints.
// Messages and calls are delayed, lost and carried out late, and links are
// partitioned; agents and entries are killed and frozen; clients resend
// unanswered jobs. It checks that no task ever runs twice at the same time, and
// that a job that was submitted once is not answered as not run after a task has
// started.

const (
	simResend         = 1300 * time.Millisecond // after which clients resend
	simHeartbeatEvery = 150 * time.Millisecond
	simEndpointSlots  = 4 // runs on an endpoint
	simJobs           = 60
	simLinkTime       = 2 * time.Millisecond
)

// simAttempt is the connection on which a client waits for a job's answer.
type simAttempt struct {
	entry *simEntry // nil: none
	owner Owner
}

type simEvent struct {
	at  Time
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

type sim struct {
	rng         *rand.Rand
	now         Time
	seq         int
	events      simQueue
	faulty      bool // faults are injected
	agents      []*simAgent
	entries     []*simEntry
	running     map[TaskRef]string // endpoint on which a task runs
	violation   string
	ended       map[result.Code]int // answers to clients
	attempt     map[string]simAttempt
	submissions map[string]int  // by job
	started     map[string]bool // jobs of which a task has started
	starts      int
	behavior    func() callBehavior // of the next call to an endpoint; nil: at random
	work        Time                // of each task; 0: at random
}

func (s *sim) nextWork() Time {
	if s.work > 0 {
		return s.work
	}
	return Time(20+s.rng.IntN(300)) * ms
}

// callBehavior is how a call to an endpoint proceeds.
type callBehavior struct {
	delay Time // until the call is carried out
	lost  bool // the answer is lost
}

const simCallTime = 80 * ms // timeout of a call without an answer

func (s *sim) nextCall() callBehavior {
	if s.behavior != nil {
		return s.behavior()
	}
	if s.chance(0.05) {
		return callBehavior{delay: Time(2000+s.rng.IntN(3000)) * ms, lost: true}
	}
	if s.chance(0.05) { // within the time for which a start is valid
		return callBehavior{delay: Time(20+s.rng.IntN(980)) * ms, lost: true}
	}
	return callBehavior{delay: Time(1+s.rng.IntN(3)) * ms, lost: s.chance(0.05)}
}

func (s *sim) after(d Time, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, do})
}

func (s *sim) chance(p float64) bool { return s.faulty && s.rng.Float64() < p }

// simEndpoint models an endpoint by the published protocol.
type simEndpoint struct {
	s         *sim
	name      string
	clockRate float64
	until     Time // lease, own clock
	runs      map[RunRef]bool
	highest   map[TaskRef]int // highest run that was stopped or ended here
	ends      []EndedRun
	endSeq    int64
}

func (e *simEndpoint) clock() Time { return Time(float64(e.s.now) * e.clockRate) }

func (e *simEndpoint) start(run RunRef, until Time) CallResult {
	if until < e.clock() {
		return CallResult{Refusal: Expired, Clock: e.clock()}
	}
	e.extend(until)
	switch {
	case e.runs[run]:
		return CallResult{Clock: e.clock()}
	case run.Run <= e.highest[run.Task]:
		return CallResult{Refusal: StaleRun, Clock: e.clock()}
	case len(e.runs) >= simEndpointSlots:
		return CallResult{Refusal: NoRoom, Clock: e.clock()}
	}
	if on, twice := e.s.running[run.Task]; twice {
		e.s.violation = fmt.Sprintf("%v: task %v starts at %s while it runs at %s", e.s.now, run, e.name, on)
	}
	e.s.running[run.Task] = e.name
	e.s.starts++
	e.s.started[run.Task.Job] = true
	e.runs[run] = true
	e.s.after(e.s.nextWork(), func() { e.end(run, EndDone) })
	return CallResult{Clock: e.clock()}
}

func (e *simEndpoint) end(run RunRef, reason EndReason) {
	if !e.runs[run] {
		return
	}
	delete(e.runs, run)
	delete(e.s.running, run.Task)
	e.highest[run.Task] = max(e.highest[run.Task], run.Run)
	e.endSeq++
	e.ends = append(e.ends, EndedRun{Seq: e.endSeq, Run: run, Reason: reason})
}

func (e *simEndpoint) stop(run RunRef) CallResult {
	e.highest[run.Task] = max(e.highest[run.Task], run.Run)
	if e.runs[run] {
		e.s.after(Time(e.s.rng.IntN(50))*ms, func() { e.end(run, EndStopped) })
	}
	return CallResult{Clock: e.clock()}
}

// extend moves the end of the lease to a later time, at most a second in the
// future.
func (e *simEndpoint) extend(until Time) {
	until = min(until, e.clock()+time.Second)
	if until <= e.until {
		return
	}
	e.until = until
	e.s.after(Time(float64(until-e.clock())/e.clockRate)+ms, e.lapse)
}

func (e *simEndpoint) lapse() {
	if e.clock() <= e.until {
		return
	}
	for _, run := range e.listed() {
		e.end(run, EndLapsed)
	}
}

// listed returns the active runs in a fixed order.
func (e *simEndpoint) listed() []RunRef {
	return slices.SortedFunc(maps.Keys(e.runs), func(a, b RunRef) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Run, b.Run))
	})
}

func (e *simEndpoint) poll(until Time, acknowledged int64) Snapshot {
	if until > 0 {
		e.extend(until)
	}
	snap := Snapshot{Clock: e.clock()}
	for _, run := range e.listed() {
		snap.Running = append(snap.Running, RunningRun{Run: run})
	}
	for _, end := range e.ends {
		if end.Seq > acknowledged {
			snap.Ended = append(snap.Ended, end)
		}
	}
	return snap
}

// simAgent is an agent process: a guard and its calls.
type simAgent struct {
	s           *sim
	name        string
	incarnation uint64
	guard       *Guard
	endpoint    *simEndpoint
	frozenUntil Time
	deferred    []func()       // arrived while frozen
	links       map[string]int // version of the link to each entry, by name
}

func (a *simAgent) start() {
	a.incarnation++
	a.guard = NewGuard(EndpointID{ID: a.endpoint.name}, "svc", "z", Resources{CPUMilli: simEndpointSlots * 1000}, nil, testTiming)
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
		a.s.after(PollWait, func() { a.pollRepeatedly(incarnation) })
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
		e.sched.AgentReconnected(e.s.now, AgentID{a.name, l.incarnation}, kept)
		e.sched.Report(e.s.now, AgentID{a.name, l.incarnation}, status)
	})
}

func (a *simAgent) freeze(d Time) {
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
		case CallStart:
			a.call(func() CallResult { return a.endpoint.start(action.Run, action.Until) },
				func(res CallResult, err bool) {
					if err {
						a.guard.StartUnanswered(a.s.now, action.Run)
						return
					}
					a.guard.StartAnswered(a.s.now, action.Run, res)
				})
		case CallStop:
			a.call(func() CallResult { return a.endpoint.stop(action.Run) },
				func(res CallResult, err bool) {
					if !err {
						a.guard.StopAnswered(a.s.now, action.Run, res)
					}
				})
		case CallPoll:
			a.poll(action.Until)
		case ReportEnd:
			for _, e := range a.s.entries {
				if e.owner() == action.Owner {
					a.send(e, func() { e.sched.Ended(a.s.now, action.Order, action.Reason, action.Age) })
				}
			}
		case StatusChanged:
			for _, e := range a.s.entries {
				status := a.guard.Status(e.owner())
				a.send(e, func() { e.report(a, incarnation, status) })
			}
		}
	}
}

// call makes a call to the endpoint, which may be answered late, lose its
// answer or be carried out only seconds later.
func (a *simAgent) call(do func() CallResult, answer func(CallResult, bool)) {
	incarnation := a.incarnation
	behavior := a.s.nextCall()
	a.s.after(behavior.delay, func() {
		res := do()
		if !behavior.lost {
			a.s.after(ms, func() { a.run(incarnation, func() { answer(res, false) }) })
		}
	})
	if behavior.lost {
		a.s.after(simCallTime, func() { a.run(incarnation, func() { answer(CallResult{}, true) }) })
	}
}

func (a *simAgent) poll(until Time) {
	incarnation := a.incarnation
	cursor := a.guard.Cursor()
	behavior := a.s.nextCall()
	a.s.after(behavior.delay, func() {
		snap := a.endpoint.poll(until, cursor)
		snap.Acknowledged = cursor
		if behavior.lost {
			return
		}
		a.s.after(Time(1+a.s.rng.IntN(4))*ms, func() {
			a.run(incarnation, func() { a.guard.Polled(a.s.now, a.s.now, snap) })
		})
	})
}

// simEntry is an entry process that holds its own queue.
type simEntry struct {
	s           *sim
	name        string
	incarnation uint64
	sched       *Scheduler
	frozenUntil Time
	deferred    []func()
	links       map[string]*simLink
}

type simLink struct {
	agent            *simAgent
	incarnation      uint64 // of the agent
	clock            Time   // newest reading of the agent's clock
	lastSent         Time   // newest heartbeat sent
	lastReceived     Time
	partitionedUntil Time
	lost             bool
	version          int     // a new link has a higher one than the link it replaces
	newest           [2]Time // delivery of the newest message, by direction
}

// Directions of messages.
const (
	toEntry = iota
	toAgent
)

func (e *simEntry) owner() Owner { return Owner{e.name, e.incarnation} }

func (e *simEntry) start() {
	e.incarnation++
	e.sched = NewScheduler("svc", testTiming, &OrderNumbers{}, e.s.now)
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
			e.sched.AgentLost(e.s.now, AgentID{a.name, old.incarnation}, old.lastSent+testTiming.OwnerLease+100*ms)
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

func (e *simEntry) freeze(d Time) {
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
			if !l.lost && e.s.now-l.lastReceived > testTiming.OwnerLease {
				l.lost = true
				e.sched.AgentLost(e.s.now, AgentID{l.agent.name, l.incarnation}, l.lastSent+testTiming.OwnerLease+100*ms)
			}
		}
		e.sched.Tick(e.s.now)
		e.s.after(25*ms, func() { e.tick(incarnation) })
	})
}

func (e *simEntry) receiveHeartbeat(a *simAgent, incarnation uint64, reading Time) {
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
	e.send(l, func(a *simAgent) { a.guard.RenewOwner(owner, echo+testTiming.OwnerLease) })
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

func (e *simEntry) report(a *simAgent, incarnation uint64, status EndpointStatus) {
	if l := e.links[a.name]; l != nil && !l.lost {
		e.sched.Report(e.s.now, AgentID{a.name, incarnation}, status)
	}
}

func (e *simEntry) carryOut() {
	for _, action := range e.sched.TakeActions() {
		switch action.Kind {
		case OrderRun:
			l := e.links[action.Agent.Name]
			o := Order{Owner: e.owner(), Number: action.Order, Run: action.Run, Need: action.Need, Echo: l.clock}
			e.send(l, func(a *simAgent) { a.guard.Start(e.s.now, o) })
		case CancelRun:
			owner := e.owner()
			e.send(e.links[action.Agent.Name], func(a *simAgent) {
				if action.Order != 0 {
					a.guard.StopEarlier(e.s.now, owner, action.Run, action.Order)
					return
				}
				a.guard.Stop(e.s.now, owner, action.Run)
			})
		case FinishJob:
			e.s.answered(e, action.Job, action.Outcome)
		}
	}
}

// message delivers a message between an agent and an entry. A partition delays
// it until the partition heals, as TCP does.
func (s *sim) message(l *simLink, direction int, do func()) {
	at := s.now + simLinkTime
	if s.now < l.partitionedUntil {
		at = l.partitionedUntil + Time(s.rng.IntN(20))*ms
	}
	at = max(at, l.newest[direction]) // messages of one link keep their order
	l.newest[direction] = at
	s.after(at-s.now, do)
}

// answered processes an answer to a client. If the answer leaves the outcome
// open, the client submits the job again, at any entry.
func (s *sim) answered(e *simEntry, id string, out Outcome) {
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

var simClient = Owner{Entry: "client", Incarnation: 1}

func (s *sim) submit(id string) {
	s.submitAt(s.entries[s.rng.IntN(len(s.entries))], id)
}

func (s *sim) submitAt(e *simEntry, id string) {
	if e.sched == nil || s.now < e.frozenUntil {
		s.after(simResend, func() { s.submit(id) })
		return
	}
	job := Job{ID: id, Steps: []Step{{Count: 1 + s.rng.IntN(3), Need: Resources{CPUMilli: 1000}, Estimate: 150 * ms}}}
	route := Route{Name: "r", MaxAttempts: 3, Stretch: 1.6, TargetLatency: 60 * ms}
	s.attempt[id] = simAttempt{e, e.owner()}
	s.submissions[id]++
	e.run(e.incarnation, func() {
		e.sched.Submit(s.now, Submission{Caller: simClient, Job: job, Route: route, Deadline: s.now + 1500*ms})
	})
	attempt, waits := s.attempt[id]
	if s.chance(0.2) && waits { // the connection breaks before an answer
		incarnation := e.incarnation
		s.after(Time(s.rng.IntN(200))*ms, func() {
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
		a.freeze(Time(100+s.rng.IntN(3000)) * ms)
	case 2:
		e.freeze(Time(100+s.rng.IntN(3000)) * ms)
	case 3:
		e.links[a.name].partitionedUntil = s.now + Time(100+s.rng.IntN(3000))*ms
	case 4:
		e.start()
	}
}

// newSim returns a simulation of started processes.
func newSim(seed uint64, agents int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), running: map[TaskRef]string{}, ended: map[result.Code]int{}, attempt: map[string]simAttempt{},
		submissions: map[string]int{}, started: map[string]bool{}, now: 10 * time.Second,
	}
	for i := range agents {
		ep := &simEndpoint{s: s, name: fmt.Sprintf("e%d", i), clockRate: 1 - 0.02*s.rng.Float64(), runs: map[RunRef]bool{}, highest: map[TaskRef]int{}}
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
func (s *sim) play(until Time) {
	for s.events.Len() > 0 && s.events[0].at < until && s.violation == "" {
		ev := heap.Pop(&s.events).(simEvent)
		s.now = ev.at
		ev.do()
	}
}

func runSim(seed uint64, faulty bool) *sim {
	s := newSim(seed, 3)
	s.faulty = faulty
	for i := range simJobs {
		s.after(Time(500+s.rng.IntN(8000))*ms, func() { s.submit(fmt.Sprintf("j%d", i)) })
	}
	if faulty {
		for range 8 {
			s.after(Time(500+s.rng.IntN(8000))*ms, s.injectFault)
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
	s.play(s.now + 4*PollWait)
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
