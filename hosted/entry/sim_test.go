package entry

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/dispatch/dispatchtest"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/result"
	"bergamotwing.example/telemetry"
	"bergamotwing.example/wire"
)

// The simulation runs the control states of some entries on a simulated clock,
// with links that are reset, fall silent or are partitioned, entries that freeze,
// exit and stop, and clients that disconnect. Its agents keep what dispatch.Guard
// guarantees: they start orders within the owner's lease and stop what outlasts
// it. It checks that no task runs twice at the same time.

const (
	ms            = time.Millisecond
	simService    = "svc"
	simEntries    = 3
	simAgents     = 4
	simSlots      = 8               // tasks that an endpoint takes at once
	simResend     = 1300 * ms       // after which clients send a job again
	simTick       = 25 * ms         // of entries and agents
	simHeartbeat  = 150 * ms        // of agents
	simStopTime   = 50 * ms         // longest time that a stop takes
	simOrderAge   = 450 * ms        // oldest clock reading that an order may echo
	simGrace      = 5 * time.Second // after which a stopping entry answers what is open
	simKeepEnds   = 2 * time.Second // that an agent keeps an end, to send it again
	simRotation   = 2500 * ms       // after which a stopping entry without work exits
	simStopMargin = 300 * ms        // from simGrace until it exits in any case

	simJobs         = 160
	simFaults       = 20
	simWork         = 900 * ms  // of a task, in the mean
	simShortestWait = 1500 * ms // that a client states
	simLongestWait  = 8 * time.Second
	simGroups       = 4 // of seeds, played at the same time
)

type sim struct {
	options   Options // of the entries
	rng       source
	now       time.Duration
	seed      uint64
	drawn     map[string]int // sources drawn, by what they are for
	events    dispatchtest.Queue
	entries   []*simEntry
	agents    []*simAgent
	running   map[dispatch.TaskRef]string // agent and owner of a task that runs
	partition map[string]time.Duration    // by pair of entries, until when
	lastLink  uint64                      // number of the newest link
	violation string
	ended     map[string]int
	trace     []string
	whole     *simWhole // set: hosts with real guards take the place of agents
}

// newLink returns a link that is made now, as one side has it.
func (s *sim) newLink(c mesh.Conn, hello wire.NodeHello) *mesh.Link {
	return &mesh.Link{Conn: c, Hello: hello, Number: s.lastLink, Began: s.now}
}

func (s *sim) after(d time.Duration, do func()) {
	s.events.Add(s.now+d, do)
}

// source draws random numbers.
type source struct{ *rand.Rand }

func (r source) between(from, to time.Duration) time.Duration {
	return from + time.Duration(r.Int64N(int64(to-from)))
}

func (s *sim) log(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8.1f ", float64(s.now)/float64(ms))+fmt.Sprintf(format, args...))
}

// simEntry is an entry's host.
type simEntry struct {
	s           *sim
	hello       wire.NodeHello
	e           *Entry // nil: not running
	incarnation int    // rises with each start and end of the process
	frozenUntil time.Duration
	deferred    []func()
	waits       map[string]*simAttempt
	links       []*simLink
	open        []*simAttempt // of clients, in a whole simulation
	slowUntil   time.Duration
	slowBy      time.Duration // that each message is handled later
	newest      time.Duration // when the newest message is handled
	noPower     bool          // nothing refuses connections while it is down
}

// run calls do in the process that runs now or, if it is frozen, once it thaws.
func (n *simEntry) run(incarnation int, do func()) {
	if n.s.now < n.slowUntil || n.newest > 0 && n.s.now <= n.newest {
		n.newest = max(n.newest, n.s.now)
		if n.s.now < n.slowUntil {
			n.newest = max(n.newest, n.s.now+n.slowBy)
		}
		n.s.after(n.newest-n.s.now, func() { n.handle(incarnation, do) })
		return
	}
	n.handle(incarnation, do)
}

func (n *simEntry) handle(incarnation int, do func()) {
	if n.e == nil || n.incarnation != incarnation {
		return
	}
	if n.s.now < n.frozenUntil {
		n.deferred = append(n.deferred, func() { n.handle(incarnation, do) })
		return
	}
	do()
	n.takeAnswers()
}

func (n *simEntry) receive(message any) {
	n.run(n.incarnation, func() { n.e.receive(n.s.now, message) })
}

func (n *simEntry) freeze(d time.Duration) {
	n.frozenUntil = n.s.now + d
	n.s.log("%s freezes for %v", n.hello.Name, d)
	n.s.after(d, func() {
		deferred := n.deferred
		n.deferred = nil
		for _, do := range deferred {
			do()
		}
	})
}

func (n *simEntry) start() {
	n.incarnation++
	n.deferred = nil
	n.frozenUntil, n.slowUntil, n.newest, n.noPower = 0, 0, 0, false
	n.waits = map[string]*simAttempt{}
	node := platform.Node{Name: n.hello.Name, IP: n.hello.Name, LinkPort: 1, Cores: 1, LinkMbps: 1000, ResendAfter: simResend}
	n.e = New(node, n.s.options, control.Deps{Log: n.s.logOf(n.hello.Name), Metrics: simMetrics})
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	n.e.ctx = cancelled // nothing is dialed
	n.e.actor.Start(func(time.Duration, any) {})
	n.hello = n.e.self
	n.s.log("%s starts", n.hello.Name)
	n.receive(operatorRead{hasConfig: true, state: dispatch.OperatorState{StoreVersion: 1, Config: dispatch.Config{
		Version: 1, Services: []dispatch.Service{{Name: simService, Guarded: true}},
	}}})
	n.tick(n.incarnation)
	for _, o := range n.s.entries {
		if o != n && o.e != nil {
			n.s.dial(n, o)
		}
	}
	for _, a := range n.s.agents {
		a.dial(n)
	}
	for _, h := range n.s.hosts() {
		h.dial(n)
	}
}

func (n *simEntry) tick(incarnation int) {
	if n.s.now < n.frozenUntil { // a thawed process handles what has waited in any order
		n.s.after(n.frozenUntil-n.s.now+n.s.rng.between(0, 5*ms), func() { n.tick(incarnation) })
		return
	}
	n.run(incarnation, func() {
		n.e.receive(n.s.now, control.Tick{})
		n.s.after(simTick, func() { n.tick(incarnation) })
	})
}

// exit ends the process. Its connections are reset, and it is started again after a pause.
func (n *simEntry) exit(pause time.Duration) {
	if n.e == nil {
		return
	}
	n.s.log("%s exits", n.hello.Name)
	n.e.actor.Shutdown()
	n.e = nil
	n.incarnation++
	for _, l := range slices.Clone(n.links) {
		l.close(nil)
	}
	waits := n.waits
	n.waits = map[string]*simAttempt{}
	if n.s.whole != nil {
		n.breakOpen()
		n.s.after(pause, n.start)
		return
	}
	for _, id := range sortedKeys(waits) {
		waits[id].broken()
	}
	n.s.after(pause, n.start)
}

// stop ends the process as SIGTERM does.
func (n *simEntry) stop() {
	if n.e == nil || n.s.now < n.frozenUntil {
		return
	}
	n.s.log("%s stops", n.hello.Name)
	incarnation := n.incarnation
	n.receive(control.Stop{})
	var poll func()
	began := n.s.now
	poll = func() {
		if n.incarnation != incarnation {
			return
		}
		n.run(incarnation, func() {
			idle := n.e.state.openJobs() == 0 && n.e.state.unacknowledged(n.s.now) == 0
			switch {
			case n.s.now-began > simRotation && idle, n.s.now-began > simGrace+simStopMargin:
				n.exit(n.s.rng.between(300*ms, 1500*ms))
			case n.s.now-began > simGrace:
				n.e.receive(n.s.now, endRequests{})
			}
		})
		n.s.after(10*ms, poll)
	}
	poll()
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// simLink is a connection between an entry and another entry or an agent.
type simLink struct {
	s      *sim
	ends   [2]simEnd
	silent bool // loses all that is sent
	closed bool
	newest [2]time.Duration // delivery of the newest message, by receiver
	rng    source
}

// source returns a random source of its own for what happens between a and b: entries
// send to their peers in no fixed order, and one source for all would differ by that.
func (s *sim) source(a, b string) source {
	s.drawn[a+b]++
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %s %s %d", s.seed, a, b, s.drawn[a+b])
	return source{rand.New(rand.NewPCG(h.Sum64(), 3))}
}

type simEnd struct {
	entry       *simEntry // nil: an agent
	agent       *simAgent
	host        *simHost // of guards
	guards      *simGuards
	incarnation int
	link        *mesh.Link // as the process has it
}

// conn is the connection as one of its ends has it.
type conn struct {
	l    *simLink
	side int
}

func (c conn) Send(m wire.Message) error {
	if c.l.closed {
		return wire.ErrClosed
	}
	c.l.send(1-c.side, m)
	return nil
}

func (c conn) Close() { c.l.close(&c.side) }

// partitioned returns until when the hosts of a link are partitioned.
func (l *simLink) partitioned() time.Duration {
	if l.ends[1].agent != nil {
		return l.ends[1].agent.partitioned[l.ends[0].entry.hello.Name]
	}
	if l.ends[1].host != nil {
		return l.ends[1].host.partitioned[l.ends[0].entry.hello.Name]
	}
	a, b := l.ends[0].entry, l.ends[1].entry
	return l.s.partition[simPair(a, b)]
}

func (l *simLink) send(to int, m wire.Message) {
	if l.silent {
		return
	}
	at := l.s.now + l.rng.between(ms, 3*ms)
	if until := l.partitioned(); at < until {
		at = until + l.rng.between(ms, 20*ms)
	}
	at = max(at, l.newest[to])
	l.newest[to] = at
	l.s.after(at-l.s.now, func() {
		if !l.closed {
			l.deliver(to, func(e *simEntry, link *mesh.Link) { e.e.receive(l.s.now, control.Received{Link: link, Message: m}) }, func(a *simAgent) { a.receive(l, m) },
				func(a *simGuards, link *mesh.Link) { a.receive(link, m) })
		}
	})
}

func (l *simLink) deliver(to int, atEntry func(*simEntry, *mesh.Link), atAgent func(*simAgent), atGuards func(*simGuards, *mesh.Link)) {
	end := l.ends[to]
	if end.entry != nil {
		end.entry.run(end.incarnation, func() { atEntry(end.entry, end.link) })
		return
	}
	if end.host != nil {
		end.guards.run(func() { atGuards(end.guards, end.link) })
		return
	}
	atAgent(end.agent)
}

// close closes the connection; by is the side that closes it, nil for both.
func (l *simLink) close(by *int) {
	if l.closed {
		return
	}
	l.closed = true
	for side := range l.ends {
		end := l.ends[side]
		if end.entry != nil {
			end.entry.links = slices.DeleteFunc(end.entry.links, func(o *simLink) bool { return o == l })
		}
		delay := l.rng.between(ms/10, 3*ms)
		if until := l.partitioned(); by != nil && side != *by && (l.silent || l.s.now < until) {
			delay = max(until-l.s.now, 0) + l.rng.between(100*ms, 900*ms) // only its own timeout tells it
		}
		l.s.after(delay, func() {
			l.deliver(side, func(e *simEntry, link *mesh.Link) { e.e.receive(l.s.now, control.LinkDown{Link: link}) }, func(a *simAgent) { a.linkDown(l) },
				func(a *simGuards, link *mesh.Link) { a.linkDown(link) })
		})
	}
	a, b := l.ends[0], l.ends[1]
	if b.agent != nil {
		b.agent.dial(a.entry)
		return
	}
	if b.host != nil {
		b.host.dial(a.entry)
		return
	}
	l.s.dial(a.entry, b.entry)
}

func simPair(a, b *simEntry) string {
	return min(a.hello.Name, b.hello.Name) + max(a.hello.Name, b.hello.Name)
}

// dial links two entries as soon as both can answer.
func (s *sim) dial(a, b *simEntry) {
	s.after(s.source("dial "+a.hello.Name, b.hello.Name).between(2*ms, 40*ms), func() {
		if a.e == nil || b.e == nil {
			s.refuse(a, b)
			return // the one that starts dials
		}
		if s.linked(a, b) {
			return
		}
		if s.now < a.frozenUntil || s.now < b.frozenUntil || s.now < s.partition[simPair(a, b)] {
			s.dial(a, b)
			return
		}
		l := &simLink{s: s, rng: s.source(a.hello.Name, b.hello.Name)}
		for i, n := range []*simEntry{a, b} {
			l.ends[i] = simEnd{entry: n, incarnation: n.incarnation}
			n.links = append(n.links, l)
		}
		s.lastLink++
		l.ends[0].link, l.ends[1].link = s.newLink(conn{l, 0}, b.hello), s.newLink(conn{l, 1}, a.hello)
		l.ends[0].link.Dialed = "x"
		a.receive(control.LinkUp{Link: l.ends[0].link})
		b.receive(control.LinkUp{Link: l.ends[1].link})
	})
}

func (s *sim) linked(a, b *simEntry) bool {
	return slices.ContainsFunc(a.links, func(l *simLink) bool { return l.ends[0].entry == b || l.ends[1].entry == b })
}

// simAgent is an agent and its endpoint.
type simAgent struct {
	s           *sim
	name        string
	endpoint    dispatch.EndpointID
	links       map[string]*simAgentLink // by entry
	lease       map[dispatch.Owner]time.Duration
	runs        map[dispatch.RunRef]*simRun
	highest     map[dispatch.TaskRef]int
	ends        []simEndKept
	partitioned map[string]time.Duration // by entry
}

type simAgentLink struct {
	*simLink
	owner dispatch.Owner
	clock time.Duration // newest reading of the entry's clock
}

type simRun struct {
	order    uint64
	owner    dispatch.Owner
	stopping bool
}

type simEndKept struct {
	owner dispatch.Owner
	end   wire.EndedRun
	at    time.Duration
}

func (a *simAgent) dial(n *simEntry) {
	a.s.after(a.s.source("dial "+a.name, n.hello.Name).between(2*ms, 60*ms), func() {
		if n.e == nil {
			return
		}
		if old := a.links[n.hello.Name]; old != nil && !old.closed {
			return
		}
		if a.s.now < n.frozenUntil || a.s.now < a.partitioned[n.hello.Name] {
			a.dial(n)
			return
		}
		l := &simLink{s: a.s, rng: a.s.source(a.name, n.hello.Name)}
		l.ends[0] = simEnd{entry: n, incarnation: n.incarnation}
		l.ends[1] = simEnd{agent: a}
		hello := wire.NodeHello{Name: a.name, Incarnation: 1, Role: wire.RoleAgent}
		a.s.lastLink++
		l.ends[0].link = a.s.newLink(conn{l, 0}, hello)
		n.links = append(n.links, l)
		n.receive(control.LinkUp{Link: l.ends[0].link})
		a.linkUp(n, l)
	})
}

func (a *simAgent) linkUp(n *simEntry, l *simLink) {
	owner := dispatch.Owner{Entry: n.hello.Name, Incarnation: uint64(n.hello.Incarnation)}
	if old := a.links[n.hello.Name]; old != nil && old.owner != owner {
		a.lease[old.owner] = 0
	}
	link := &simAgentLink{simLink: l, owner: owner}
	a.links[n.hello.Name] = link
	a.heartbeatTo(link)
	end := &wire.RunEnd{}
	for _, k := range a.ends {
		if k.owner == owner {
			end.Ends = append(end.Ends, k.end)
		}
	}
	l.send(0, end)
	kept := &wire.RunsKept{Endpoints: []dispatch.EndpointID{a.endpoint}}
	for _, r := range a.runs {
		if r.owner == owner {
			kept.Orders = append(kept.Orders, r.order)
		}
	}
	l.send(0, kept)
	a.report(link)
}

func (a *simAgent) linkDown(l *simLink) {
	for name, link := range a.links {
		if link.simLink == l {
			delete(a.links, name)
		}
	}
}

func (a *simAgent) report(link *simAgentLink) {
	status := dispatch.EndpointStatus{Endpoint: a.endpoint, Service: simService, Capacity: dispatch.Resources{CPUMilli: simSlots * 1000}, Available: true}
	for _, r := range a.runs {
		if r.owner != link.owner {
			status.Others.CPUMilli += 1000
		}
	}
	link.send(0, &wire.EndpointReport{Status: status})
}

func (a *simAgent) heartbeatTo(link *simAgentLink) {
	link.send(0, &wire.NodeHeartbeat{Clock: a.s.now, Echo: link.clock, StoreVersion: 1})
}

func (a *simAgent) heartbeat() {
	for _, name := range sortedKeys(a.links) {
		a.heartbeatTo(a.links[name])
	}
	a.s.after(simHeartbeat, a.heartbeat)
}

func (a *simAgent) tick() {
	for _, ref := range a.sortedRuns() {
		if r := a.runs[ref]; a.lease[r.owner]-150*ms <= a.s.now {
			a.stop(ref, r)
		}
	}
	a.ends = slices.DeleteFunc(a.ends, func(k simEndKept) bool { return a.s.now-k.at > simKeepEnds })
	a.s.after(simTick, a.tick)
}

func (a *simAgent) sortedRuns() []dispatch.RunRef {
	refs := make([]dispatch.RunRef, 0, len(a.runs))
	for ref := range a.runs {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(x, y dispatch.RunRef) int { return int(a.runs[x].order) - int(a.runs[y].order) })
	return refs
}

func (a *simAgent) receive(l *simLink, m wire.Message) {
	var link *simAgentLink
	for _, o := range a.links {
		if o.simLink == l {
			link = o
		}
	}
	if link == nil {
		return
	}
	switch m := m.(type) {
	case *wire.NodeHeartbeat:
		link.clock = max(link.clock, m.Clock)
		if m.Echo > 0 {
			a.lease[link.owner] = max(a.lease[link.owner], m.Echo+simTiming.OwnerLease)
		}
	case *wire.RunOrder:
		for _, r := range m.Runs {
			a.order(link.owner, m.Echo, r)
		}
	case *wire.RunStop:
		for _, ref := range m.Runs {
			if r := a.runs[ref]; r != nil && r.owner == link.owner {
				a.stop(ref, r)
			}
		}
	}
}

func (a *simAgent) order(owner dispatch.Owner, echo time.Duration, r wire.OrderedRun) {
	refuse := func(reason dispatch.EndReason) {
		a.reportEnd(owner, wire.EndedRun{Run: r.Run, Order: r.Order, Reason: reason})
	}
	busy := false
	for ref := range a.runs {
		busy = busy || ref.Task == r.Run.Task
	}
	switch {
	case a.s.now-echo > simOrderAge || a.lease[owner]-150*ms <= a.s.now:
		refuse(dispatch.Expired)
	case len(a.runs) >= simSlots:
		refuse(dispatch.NoRoom)
	case busy:
		refuse(dispatch.TaskBusy)
	case r.Run.Run <= a.highest[r.Run.Task]:
		refuse(dispatch.StaleRun)
	default:
		if on, twice := a.s.running[r.Run.Task]; twice && a.s.violation == "" {
			a.s.violation = fmt.Sprintf("%v: task %v starts at %s for %s while it runs at %s", a.s.now, r.Run, a.name, owner.Entry, on)
		}
		a.s.running[r.Run.Task] = a.name + " for " + owner.Entry
		a.s.log("%v starts at %s for %s", r.Run, a.name, owner.Entry)
		a.runs[r.Run] = &simRun{order: r.Order, owner: owner}
		a.s.after(a.s.source("run", fmt.Sprint(r.Run.Task)).between(simWork/2, simWork*3/2), func() { a.end(r.Run, dispatch.EndDone) })
	}
}

func (a *simAgent) stop(ref dispatch.RunRef, r *simRun) {
	if r.stopping {
		return
	}
	r.stopping = true
	a.s.after(a.s.source("stop", fmt.Sprint(ref.Task)).between(ms, simStopTime), func() { a.end(ref, dispatch.EndStopped) })
}

func (a *simAgent) end(ref dispatch.RunRef, reason dispatch.EndReason) {
	r := a.runs[ref]
	if r == nil {
		return
	}
	delete(a.runs, ref)
	delete(a.s.running, ref.Task)
	a.highest[ref.Task] = max(a.highest[ref.Task], ref.Run)
	a.s.log("%v ends at %s for %s: %v", ref, a.name, r.owner.Entry, reason)
	a.reportEnd(r.owner, wire.EndedRun{Run: ref, Order: r.order, Reason: reason})
	for _, name := range sortedKeys(a.links) {
		if link := a.links[name]; link.owner != r.owner {
			a.report(link)
		}
	}
}

func (a *simAgent) reportEnd(owner dispatch.Owner, end wire.EndedRun) {
	a.ends = append(a.ends, simEndKept{owner, end, a.s.now})
	if link := a.links[owner.Entry]; link != nil && link.owner == owner && !link.closed {
		link.send(0, &wire.RunEnd{Ends: []wire.EndedRun{end}})
	}
}

// simAttempt is one request of a client.
type simAttempt struct {
	s     *sim
	id    string
	entry *simEntry
	reply chan dispatch.Outcome
	tries int
	until time.Duration // the client gives up
	over  bool          // in a whole simulation: answered, or the client has left
}

func (s *sim) submit(id string, tries int, until time.Duration) {
	up := slices.DeleteFunc(slices.Clone(s.entries), func(n *simEntry) bool {
		return n.e == nil || n.e.state.stopping || s.now < n.frozenUntil && s.rng.IntN(2) == 0
	})
	if until-s.now < 50*ms {
		s.ended["gave up"]++
		return
	}
	if len(up) == 0 {
		s.after(simResend, func() { s.submit(id, tries+1, until) })
		return
	}
	n := up[s.rng.IntN(len(up))]
	if s.whole != nil {
		n = s.whole.entryFor(id, tries, up, n)
	}
	t := &simAttempt{s: s, id: id, entry: n, reply: make(chan dispatch.Outcome, 1), tries: tries, until: until}
	incarnation := n.incarnation
	s.log("%s sent to %s", id, n.hello.Name)
	n.open = append(n.open, t)
	n.run(incarnation, func() {
		if old := n.waits[id]; old != nil {
			n.takeAnswers()
		}
		n.waits[id] = t
		s.log("%s handles %s", n.hello.Name, id)
		job := dispatch.Job{ID: id, Steps: []dispatch.Step{{Count: 2, Need: dispatch.Resources{CPUMilli: 1000}, Estimate: simWork}}}
		route := dispatch.Route{Name: "r", Service: simService, MaxAttempts: 3, Stretch: 2, TargetLatency: 500 * ms}
		n.e.receive(s.now, submit{job: job, route: route, wait: until - s.now, deadline: until, reply: t.reply})
	})
	if s.rng.IntN(3) == 0 {
		s.after(s.rng.between(0, simWork), func() { t.disconnect() })
	}
}

// disconnect breaks the client's connection. The entry notices at once.
func (t *simAttempt) disconnect() {
	n := t.entry
	if t.s.whole != nil {
		t.leave()
		return
	}
	if n.waits[t.id] != t {
		return
	}
	delete(n.waits, t.id)
	t.s.log("%s loses its connection to %s", t.id, n.hello.Name)
	n.receive(abandonRequest{t.id, t.reply})
	t.broken()
}

// broken has the client send the job again.
func (t *simAttempt) broken() {
	if t.tries < 4 {
		t.s.after(simResend, func() { t.s.submit(t.id, t.tries+1, t.until) })
	}
}

// takeAnswers passes the answers of the entry to its clients.
func (n *simEntry) takeAnswers() {
	for _, id := range sortedKeys(n.waits) {
		t := n.waits[id]
		select {
		case out := <-t.reply:
			delete(n.waits, id)
			if t.over {
				continue
			}
			t.over = true
			n.s.ended[out.Code.String()]++
			n.s.log("%s answered by %s: %v %s", id, n.hello.Name, out.Code, out.Detail)
			if out.Code != result.OK && result.Lookup(out.Code).Ran != result.RanNo && out.Code != result.TaskFailed {
				t.broken()
			}
		default:
		}
	}
}

// injectFault disturbs a link or an entry.
func (s *sim) injectFault() {
	n := s.entries[s.rng.IntN(len(s.entries))]
	other := s.entries[s.rng.IntN(len(s.entries))]
	partitions := s.agentPartitions()
	at := s.rng.IntN(len(partitions))
	switch s.rng.IntN(9) {
	case 0:
		n.freeze(s.rng.between(100*ms, 2*time.Second))
	case 1:
		n.freeze(s.rng.between(200*ms, 900*ms))
	case 2:
		n.exit(s.rng.between(50*ms, time.Second))
	case 3:
		n.stop()
	case 4: // resets at one entry, of clients and links alike
		s.log("%s resets", n.hello.Name)
		for _, l := range slices.Clone(n.links) {
			if s.rng.IntN(10) < 7 {
				l.close(nil)
			}
		}
		for _, id := range sortedKeys(n.waits) {
			hit := s.rng.IntN(10) < 7
			if t := n.waits[id]; hit && t != nil { // nil: answered while another client was disconnected
				t.disconnect()
			}
		}
	case 5: // open connections fall silent, new ones work
		s.log("%s falls silent", n.hello.Name)
		for _, l := range n.links {
			l.silent = l.silent || s.rng.IntN(10) < 7
		}
	case 6:
		if other != n {
			until := s.now + s.rng.between(100*ms, 3*time.Second)
			s.log("%s and %s partitioned until %v", n.hello.Name, other.hello.Name, until)
			s.partition[simPair(n, other)] = until
		}
	case 7:
		partitions[at][n.hello.Name] = s.now + s.rng.between(100*ms, 3*time.Second)
		s.log("%s and agent%d partitioned until %v", n.hello.Name, at, partitions[at][n.hello.Name])
	case 8: // an entry loses most of its agents for a while, so that the home moves
		until := s.now + s.rng.between(100*ms, 3*time.Second)
		s.log("%s loses its agents until %v", n.hello.Name, until)
		for _, p := range partitions[1:] {
			p[n.hello.Name] = until
		}
	}
}

// agentPartitions returns the partitions of each agent from entries.
func (s *sim) agentPartitions() (partitions []map[string]time.Duration) {
	for _, a := range s.agents {
		partitions = append(partitions, a.partitioned)
	}
	for _, h := range s.hosts() {
		partitions = append(partitions, h.partitioned)
	}
	return partitions
}

var simTiming = dispatch.NewTiming(dispatch.Limits{})

var simMetrics = func() *telemetry.Metrics {
	m, err := telemetry.NewMetrics()
	if err != nil {
		panic(err)
	}
	return m
}()

// newSim returns a simulation of started processes.
func newSim(seed uint64) *sim { return newSimOf(seed, Options{}) }

func newSimOf(seed uint64, o Options) *sim { return newSimWith(seed, o, nil) }

func newSimWith(seed uint64, o Options, whole *simWhole) *sim {
	s := &sim{
		whole:   whole,
		options: o,
		rng:     source{rand.New(rand.NewPCG(seed, 2))}, seed: seed, drawn: map[string]int{}, now: 10 * time.Second, running: map[dispatch.TaskRef]string{},
		partition: map[string]time.Duration{}, ended: map[string]int{},
	}
	for i := range simAgents {
		if whole != nil {
			whole.hosts = append(whole.hosts, newSimHost(s, i))
			continue
		}
		a := &simAgent{
			s: s, name: fmt.Sprintf("agent%d", i), endpoint: dispatch.EndpointID{ID: fmt.Sprintf("endpoint%d", i), Born: 1}, links: map[string]*simAgentLink{},
			lease: map[dispatch.Owner]time.Duration{}, runs: map[dispatch.RunRef]*simRun{}, highest: map[dispatch.TaskRef]int{}, partitioned: map[string]time.Duration{},
		}
		s.agents = append(s.agents, a)
		s.after(s.rng.between(0, simHeartbeat), a.heartbeat)
		a.tick()
	}
	for i := range simEntries {
		s.entries = append(s.entries, &simEntry{s: s, hello: wire.NodeHello{Name: fmt.Sprintf("entry%d", i)}})
	}
	if whole != nil {
		whole.s = s
	}
	for _, n := range s.entries {
		n.start()
	}
	return s
}

// play advances the time up to a moment, or to the first violation.
func (s *sim) play(until time.Duration) {
	for s.violation == "" {
		at, do, ok := s.events.Next(until)
		if !ok {
			return
		}
		s.now = at
		do()
	}
}

// runSim plays one seed.
func runSim(seed uint64, o Options) *sim {
	s := newSimOf(seed, o)
	begin, span := 2*time.Second, 10*time.Second
	for i := range simJobs {
		s.after(begin+s.rng.between(0, span), func() { s.submit(fmt.Sprintf("job%d", i), 0, s.now+s.rng.between(simShortestWait, simLongestWait)) })
	}
	for range simFaults {
		s.after(begin+s.rng.between(0, span), s.injectFault)
	}
	s.play(s.now + begin + span + 6*time.Second)
	for _, n := range s.entries {
		if n.e != nil {
			n.e.actor.Shutdown()
		}
	}
	return s
}

// A home that moves does not start a task that still runs for the entry that was the
// home before. BERGAMOTWING_SIM_SEEDS adds that many seeds to the fixed ones.
func TestNoTaskRunsTwiceWhileHomesMove(t *testing.T) { playSeeds(t, Options{}) }

// A job that one shard refuses, or that is submitted again while other jobs wait at its
// shard, may go to another shard than before.
func TestNoTaskRunsTwiceWhileJobsGoFromShardToShard(t *testing.T) {
	playSeeds(t, Options{ShardEndpoints: simAgents / 2})
}

func playSeeds(t *testing.T, o Options) {
	t.Helper()
	const fixed = 48
	more, _ := strconv.Atoi(os.Getenv("BERGAMOTWING_SIM_SEEDS")) // 0 if it is not set
	for group := range simGroups {
		t.Run(strconv.Itoa(group), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1 + group); seed <= uint64(fixed+more); seed += simGroups {
				if s := runSim(seed, o); s.violation != "" {
					t.Errorf("seed %d: %s", seed, s.violation)
				}
			}
		})
	}
}
