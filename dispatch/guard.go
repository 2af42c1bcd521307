package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Times and limits of a guard.
const (
	// orderMaxAge bounds the age of the agent's clock reading that an order
	// echoes, so that orders delivered late have no effect. It is three
	// heartbeats.
	orderMaxAge = 450 * time.Millisecond
	// renewEvery is the pause between two renewals of the endpoint's lease:
	// three renewals may be lost before runs lapse.
	renewEvery = 150 * time.Millisecond
	// retryStopEvery is the pause between two attempts to stop a run.
	retryStopEvery = 40 * time.Millisecond
	// endPollEvery is the pause between two polls for the end of a run.
	endPollEvery = 20 * time.Millisecond
	// lateMargin is added to the last moment at which an endpoint may accept an
	// order, and to the end of its lease, before a run counts as ended. It is
	// subtracted from the longest lease that is requested.
	lateMargin = 50 * time.Millisecond
	// unreachableAfter is the time without an answer before which no run lapses.
	// With the longest pause between polls added, it is the time after which an
	// endpoint takes no new tasks.
	unreachableAfter = 600 * time.Millisecond
	// longestPause is the longest pause between two calls of a guard that counts as time
	// of the endpoint's clock. In a longer one, the host may have been suspended, which
	// the endpoint's clock does not count, or the process frozen. Suspensions take seconds.
	longestPause = 150 * time.Millisecond
	// clockDriftPercent bounds how much slower an endpoint's clock may run.
	clockDriftPercent = 2
	// recoveryTime is how long a new guard looks for runs of an earlier agent
	// incarnation before it takes tasks. A start that the earlier one sent may
	// arrive later; its owner hands the run over.
	recoveryTime = 50 * time.Millisecond
	// endsPerAnswer is how many ends an endpoint lists in one answer.
	endsPerAnswer = 500
)

const never = Time(1 << 62)

// CallResult is an endpoint's answer to an order.
type CallResult struct {
	Refusal EndReason // 0: accepted
	Clock   Time      // endpoint's clock; 0 if not stated
	Fence   int64     // generation number that the endpoint refused as too low; 0: it did not
}

// RunningRun is a run that an endpoint lists as running.
type RunningRun struct {
	Run     RunRef  // Run.Run is 0 if the number cannot be read: the task runs, and it is not known which run
	Percent float64 // of its work that is done
}

// EndedRun is an end that an endpoint lists.
type EndedRun struct {
	Seq    int64 // from 1 in each lifetime of the endpoint
	Run    RunRef
	Reason EndReason
}

// Snapshot is what an endpoint lists at one moment of its clock.
type Snapshot struct {
	Clock   Time
	Born    int64 // start of the lifetime; 0 if not stated
	Running []RunningRun
	Ended   []EndedRun
	Odd     int // rows that cannot be read, in whole or in part

	Sent         Time  // host clock when the poll was sent; 0: not known
	Acknowledged int64 // sequence number of the last end that the poll acknowledged
}

// lastEnd returns the sequence number of the last end that had happened for certain: ends
// up to the acknowledged one are not listed any more.
func (s *Snapshot) lastEnd() int64 {
	last := s.Acknowledged
	for _, e := range s.Ended {
		last = max(last, e.Seq)
	}
	return last
}

// Order is an owner's order to start a run.
type Order struct {
	Owner   Owner
	Number  uint64 // unique among the owner's orders
	Run     RunRef
	Need    Resources
	Payload string
	Echo    Time // newest reading of the agent's clock that the owner had received
}

// GuardActionKind is what the caller of a Guard has to do.
type GuardActionKind uint8

// Kinds of guard actions.
const (
	CallStart GuardActionKind = iota + 1
	CallStop
	CallPoll      // Until 0: without extending the lease
	ReportEnd     // to the owner
	StatusChanged // to report to all owners
	FoundUnknown  // the endpoint lists a run that was not ordered here
)

// Evidence is how a guard knows that a run has ended.
type Evidence uint8

// Kinds of evidence.
const (
	EvidenceRefused     Evidence = iota + 1 // the agent or the endpoint refused the start
	EvidenceListed                          // the endpoint listed the end
	EvidenceAbsent                          // the endpoint no longer lists the run, which it had listed or accepted
	EvidenceStopped                         // the endpoint does not list the run after it has answered its stop
	EvidenceLate                            // the start had no answer and is refused as late by now
	EvidenceLease                           // the endpoint's lease has run out without an answer
	EvidenceNewLifetime                     // the run was listed in a lifetime that another one has replaced
)

var evidenceNames = map[Evidence]string{
	EvidenceRefused: "refused", EvidenceListed: "listed", EvidenceAbsent: "absent", EvidenceStopped: "absent_after_stop",
	EvidenceLate: "start_unanswered", EvidenceLease: "lease_over", EvidenceNewLifetime: "lifetime_replaced",
}

// String returns the evidence's name in logs.
func (e Evidence) String() string { return evidenceNames[e] }

// GuardAction is an action for the caller of a Guard.
type GuardAction struct {
	Kind    GuardActionKind
	Owner   Owner
	Order   uint64 // of ReportEnd
	Run     RunRef
	Payload string
	Until   Time // on the endpoint's clock
	Reason  EndReason
	Age     Time // since the order; 0: not known
	KnownBy Evidence
	StopAge Time // since the stop was requested; 0: none was
	// MayStart says of ReportEnd that the start had no answer, so that a lifetime that
	// begins anew under the endpoint's id may still carry it out.
	MayStart bool
}

type runState uint8

const (
	runStarting runState = iota // the call has no answer yet
	runRunning
	runUnknown // the call had no answer in time
)

type guardedRun struct {
	ref           RunRef
	order         uint64
	owner         Owner
	need          Resources
	state         runState
	listed        bool // as running: the call was carried out
	ordered       Time
	until         Time // endpoint's clock: the start is refused after it
	seenRunning   Time // endpoint's clock: last listed or acknowledged as running
	stopRequested bool
	stopAt        Time // host clock of that
	stopBy        Time // host clock: the lease's end when the stop was requested; it is extended no further
	nextStop      Time
	stopAnswered  Time // endpoint's clock, 0: no answer yet
	earlier       bool // ordered from an earlier agent incarnation; until is not known
	late          bool // over for its owner: kept to be stopped in another lifetime
}

// earlierRun is a run that the endpoint lists and that was not ordered here.
type earlierRun struct {
	nextStop Time
	leaseBy  Time // host clock: the lease's end when the run was found; it is extended no further
}

// Guard manages the runs at one lifetime of an endpoint. It starts a task only
// while the owner's lease is valid and the endpoint is available and has free
// capacity. It reports a run as ended only when the run is certain not to be
// running.
//
// A call reaches whatever lifetime has the endpoint's id. Once another lifetime
// has taken the id over, the guard starts nothing, and only stops the runs whose
// start may still be carried out there.
type Guard struct {
	endpoint EndpointID
	born     int64 // of the lifetime that has the endpoint's id
	bornSeen Time  // host clock when that lifetime was found; 0: with the guard
	service  string
	zone     string
	capacity Resources
	labels   []string
	timing   Timing

	draining  bool
	left      bool // a lifetime of this id has said that it ends
	evacuated bool
	recovered bool // takes tasks: no unknown run is listed, and recoveryTime has passed
	ended     bool // by End: takes no tasks and renews no lease
	endedAt   Time // of the steady time

	runs        map[RunRef]*guardedRun
	tasks       map[TaskRef]RunRef
	owners      map[Owner]Time         // end of the lease, host clock
	earlierRuns map[RunRef]*earlierRun // runs not ordered here
	used        Resources
	cursor      int64
	newest      Time  // clock of the newest snapshot
	newestEnd   int64 // sequence number of the last end that the newest snapshot covers
	recoveryEnd Time  // endpoint's clock at which recoveryTime has passed; 0: no answer yet
	offset      Time  // endpoint's clock less the host's
	sampled     Time  // host clock of the offset; 0: none yet
	steady      Time  // host clock without pauses longer than longestPause
	lastCall    Time  // host clock
	resumedAt   Time  // host clock at the end of the last such pause
	answeredAt  Time  // steady time of the newest answer to a poll, or of the first call
	maxUntil    Time  // latest lease end sent, endpoint's clock
	granted     Time  // latest lease end sent, host clock

	lastAnswer Time // host clock of the newest answer to a poll
	nextPoll   Time
	nextRenew  Time
	available  bool // as last reported
	out        []GuardAction
}

// NewGuard returns the guard of an endpoint that was just announced.
func NewGuard(id EndpointID, service, zone string, capacity Resources, labels []string, timing Timing) *Guard {
	return &Guard{
		endpoint: id, born: id.Born, service: service, zone: zone, capacity: capacity, labels: labels,
		timing:      timing,
		runs:        map[RunRef]*guardedRun{},
		tasks:       map[TaskRef]RunRef{},
		owners:      map[Owner]Time{},
		earlierRuns: map[RunRef]*earlierRun{},
	}
}

// Endpoint returns the lifetime that is guarded.
func (g *Guard) Endpoint() EndpointID { return g.endpoint }

// Ended reports whether the lifetime is over and with it all runs.
func (g *Guard) Ended() bool { return (g.ended || g.replaced()) && len(g.runs) == 0 }

// Born returns the start of the lifetime that has the endpoint's id, as far as is
// known. Answers to stops that were sent before it changed must not be passed to
// the guard.
func (g *Guard) Born() int64 { return g.born }

// replaced reports whether another lifetime has taken over the endpoint's id.
func (g *Guard) replaced() bool { return g.born != g.endpoint.Born }

// HasTask reports whether a run of the task is kept.
func (g *Guard) HasTask(task TaskRef) bool {
	_, kept := g.tasks[task]
	return kept
}

// Cursor returns the sequence number of the last end processed.
func (g *Guard) Cursor() int64 { return g.cursor }

// Runs returns how many runs are kept.
func (g *Guard) Runs() int { return len(g.runs) }

// HasRunsOf reports whether a run of the owner is kept.
func (g *Guard) HasRunsOf(owner Owner) bool {
	for _, r := range g.runs {
		if r.owner == owner {
			return true
		}
	}
	return false
}

// Owners returns the owners of the runs kept.
func (g *Guard) Owners() []Owner {
	var owners []Owner
	for _, r := range g.runs {
		if !slices.Contains(owners, r.owner) {
			owners = append(owners, r.owner)
		}
	}
	return owners
}

// OrdersOf returns the numbers of the orders kept for an owner.
func (g *Guard) OrdersOf(owner Owner) []uint64 {
	var orders []uint64
	for _, r := range g.runs {
		if r.owner == owner {
			orders = append(orders, r.order)
		}
	}
	return orders
}

// Status returns the endpoint's status to report to an owner.
func (g *Guard) Status(owner Owner) EndpointStatus {
	var others Resources
	for _, r := range g.runs {
		if r.owner != owner {
			others = others.Add(r.need)
		}
	}
	return EndpointStatus{
		Endpoint: g.endpoint, Service: g.service, Zone: g.zone, Capacity: g.capacity,
		Labels: g.labels, Available: g.available, Others: others,
	}
}

// TakeActions returns the actions collected since the last call.
func (g *Guard) TakeActions() []GuardAction {
	out := g.out
	g.out = nil
	return out
}

func (g *Guard) emit(a GuardAction) { g.out = append(g.out, a) }

// LooksForEarlierRuns reports whether runs of an earlier agent incarnation may be
// found: until the guard has recovered, and until no start of such a run is valid.
// They have to be found soon, since the lease that they have may go on for others.
func (g *Guard) LooksForEarlierRuns() bool {
	return !g.ended && (!g.recovered || g.newest <= g.earlierUntil())
}

// SinceLastAnswer returns the time for which the guard has been called without an
// answer of the endpoint to a poll.
func (g *Guard) SinceLastAnswer() Time { return g.steady - g.answeredAt }

// passTime counts the time since the last call. After a long pause, the endpoint's clock
// may be behind the host's by as much more.
func (g *Guard) passTime(now Time) {
	pause := now - g.lastCall
	switch {
	case pause <= 0:
		return
	case g.lastCall == 0:
	case pause <= longestPause:
		g.steady += pause
	default:
		g.offset -= pause
		g.resumedAt = now
	}
	g.lastCall = now
}

// Ask polls the endpoint, so that its answer tells which lifetime has the id.
func (g *Guard) Ask(now Time) { g.poll(now) }

// Left processes the message that an endpoint sends last. It does not say which
// lifetime ends, and may be that of an earlier one that comes late, so a lifetime that
// announces itself as ready again takes tasks again.
func (g *Guard) Left(now Time) {
	g.left = true
	g.updateAvailable(now)
}

// Announced processes a heartbeat of the guarded lifetime.
func (g *Guard) Announced(now Time, draining bool, capacity Resources) {
	g.draining = g.draining || draining
	g.left = g.left && draining
	if capacity != g.capacity {
		g.capacity = capacity
		g.emit(GuardAction{Kind: StatusChanged})
	}
	g.updateAvailable(now)
}

// SetEvacuated sets whether the endpoint's zone is evacuated and takes no new
// tasks.
func (g *Guard) SetEvacuated(now Time, evacuated bool) {
	g.evacuated = evacuated
	g.updateAvailable(now)
}

// End gives up a lifetime that no longer answers. Its runs may go on, so they end only
// once the lease, which is not renewed any more, has run out.
func (g *Guard) End(now Time) {
	if g.ended {
		return
	}
	g.ended, g.endedAt = true, g.steady
	g.updateAvailable(now)
}

// Replaced processes that the lifetime born then has taken over the endpoint's id.
// Runs that were listed as running have ended with their lifetime. The start of any
// other may still be carried out, so it ends only once the new lifetime has answered
// a stop.
func (g *Guard) Replaced(now Time, born int64) {
	if g.Ended() || born == g.born {
		return
	}
	g.born, g.bornSeen, g.ended = born, now, false
	g.cursor, g.newest, g.newestEnd = 0, 0, 0
	for _, r := range g.sorted() {
		if r.listed {
			g.finish(now, r, EndLapsed, EvidenceNewLifetime)
			continue
		}
		r.state, r.seenRunning, r.stopAnswered, r.nextStop = runUnknown, 0, 0, 0
		g.requestStop(now, r)
	}
	g.updateAvailable(now)
}

// RenewOwner extends the lease of an owner to a reading of the host's clock.
func (g *Guard) RenewOwner(owner Owner, until Time) {
	g.owners[owner] = max(g.owners[owner], until)
}

// OwnerLost ends the lease of an owner whose process is lost.
func (g *Guard) OwnerLost(now Time, owner Owner) {
	delete(g.owners, owner)
	g.Tick(now)
}

// Start carries out an order for a run or reports why it is refused.
func (g *Guard) Start(now Time, o Order) {
	g.passTime(now)
	if reason := g.check(now, o); reason != 0 {
		g.emit(GuardAction{Kind: ReportEnd, Owner: o.Owner, Order: o.Number, Run: o.Run, Reason: reason, KnownBy: EvidenceRefused})
		return
	}
	r := &guardedRun{ref: o.Run, order: o.Number, owner: o.Owner, need: o.Need, ordered: now}
	g.runs[o.Run] = r
	g.tasks[o.Run.Task] = o.Run
	g.used = g.used.Add(o.Need)
	r.until = g.grantLease(now)
	g.emit(GuardAction{Kind: CallStart, Owner: o.Owner, Run: o.Run, Payload: o.Payload, Until: r.until})
}

// check returns why an order is refused, or 0.
func (g *Guard) check(now Time, o Order) EndReason {
	switch {
	case !g.available:
		return NotAvailable
	case now-o.Echo > orderMaxAge, g.owners[o.Owner]-g.timing.StopLead() <= now:
		return Expired
	case g.owners[o.Owner] < g.granted:
		return Expired // the endpoint's lease would keep the run beyond the owner's
	case g.leaseEnd(now)-g.timing.StopLead() <= now:
		return Expired // the run would lapse with one that does not stop
	case !g.used.Add(o.Need).Fits(g.capacity):
		return NoRoom
	}
	if _, busy := g.tasks[o.Run.Task]; busy {
		return TaskBusy
	}
	return 0
}

// leaseEnd returns the end of the endpoint's lease, on the host's clock, that may be
// granted now: no owner's runs may outlive the owner's lease, and a run that is to stop
// gets no longer lease than it had.
func (g *Guard) leaseEnd(now Time) Time {
	until := now + g.timing.MaxLease - lateMargin
	for _, r := range g.runs {
		if r.late && !r.listed {
			continue // others do not wait for its stop
		}
		if r.late {
			until = min(until, r.stopBy) // it has no owner
			continue
		}
		until = min(until, g.owners[r.owner])
		if r.stopRequested {
			until = min(until, r.stopBy)
		}
	}
	for _, r := range g.earlierRuns {
		until = min(until, r.leaseBy)
	}
	return until
}

// grantLease returns the end of the endpoint's lease, on the endpoint's clock, that
// is sent next. The endpoint's clock may have fallen behind since its last reading.
func (g *Guard) grantLease(now Time) Time {
	until := g.leaseEnd(now)
	g.granted = max(g.granted, until)
	until += g.offset - max(now-g.sampled, 0)*clockDriftPercent/100
	g.maxUntil = max(g.maxUntil, until)
	return until
}

// StartAnswered processes the endpoint's answer to a start.
func (g *Guard) StartAnswered(now Time, run RunRef, res CallResult) {
	r := g.runs[run]
	if r == nil {
		return
	}
	switch {
	case res.Fence != 0:
		g.finish(now, r, Expired, EvidenceRefused) // of an earlier generation, which says nothing about the endpoint's health
		return
	case res.Refusal != 0:
		g.finish(now, r, res.Refusal, EvidenceRefused)
		return
	}
	if r.state != runRunning && !g.replaced() {
		r.state = runRunning
		r.seenRunning = res.Clock
	}
}

// StartUnanswered processes a start that had no answer in time.
func (g *Guard) StartUnanswered(now Time, run RunRef) {
	r := g.runs[run]
	if r == nil || r.state != runStarting {
		return
	}
	r.state = runUnknown
	g.poll(now)
}

// Stop carries out an owner's order to stop a run.
func (g *Guard) Stop(now Time, owner Owner, run RunRef) {
	r := g.runs[run]
	if r == nil || r.owner != owner {
		return
	}
	g.requestStop(now, r)
}

// StopEarlier carries out an owner's order to stop a run that the owner ordered
// from an earlier agent incarnation. The start may still be on its way to the
// endpoint, so the run is kept until it is certain not to start.
func (g *Guard) StopEarlier(now Time, owner Owner, run RunRef, order uint64) {
	if g.runs[run] == nil {
		g.runs[run] = &guardedRun{ref: run, order: order, owner: owner, state: runUnknown, ordered: now, earlier: true}
		if _, busy := g.tasks[run.Task]; !busy {
			g.tasks[run.Task] = run
		}
	}
	g.Stop(now, owner, run)
}

// StopLate stops a run that was reported as ended with MayStart from an earlier lifetime
// of the endpoint's id. The run is kept, and its task busy, until it is certain not to
// start, but not reported again.
func (g *Guard) StopLate(now Time, run RunRef) {
	if g.runs[run] != nil {
		return
	}
	r := &guardedRun{ref: run, state: runUnknown, until: never, ordered: now, late: true}
	g.runs[run] = r
	if _, busy := g.tasks[run.Task]; !busy {
		g.tasks[run.Task] = run
	}
	g.requestStop(now, r)
}

func (g *Guard) requestStop(now Time, r *guardedRun) {
	if !r.stopRequested {
		r.stopRequested, r.stopAt = true, now
		r.stopBy = g.granted
	}
	if r.stopAnswered != 0 || now < r.nextStop {
		return
	}
	r.nextStop = now + retryStopEvery
	g.emit(GuardAction{Kind: CallStop, Run: r.ref})
}

// StopAnswered processes the endpoint's answer to a stop. Once a stop is
// accepted, the run ends, or is refused if its start had not arrived yet.
func (g *Guard) StopAnswered(now Time, run RunRef, res CallResult) {
	r := g.runs[run]
	if r == nil || res.Refusal != 0 {
		return
	}
	r.stopAnswered = max(res.Clock, 1)
	g.poll(now)
}

// Polled processes the endpoint's answer to a poll. received is the host's clock
// when the answer arrived.
func (g *Guard) Polled(now, received Time, s Snapshot) {
	if g.Ended() {
		return
	}
	g.passTime(now)
	if !g.isCurrent(s) {
		return
	}
	if g.born != 0 && s.Born != 0 {
		g.Replaced(now, s.Born)
	}
	g.lastAnswer = max(g.lastAnswer, received)
	g.answeredAt = g.steady
	if g.replaced() {
		g.applyReplacement(now, s)
		return
	}
	if received < g.resumedAt {
		received = now // the host may have been suspended since
	}
	g.sampleClock(received, s.Clock)
	g.applyEnds(now, s.Ended)
	// An older snapshot of the same clock reading may list a run that has ended since.
	if last := s.lastEnd(); s.Clock > g.newest || s.Clock == g.newest && last >= g.newestEnd {
		g.newest, g.newestEnd = s.Clock, last
		g.reconcile(now, s)
	}
	g.updateAvailable(now)
}

// isCurrent reports whether a snapshot is not of an earlier lifetime than the one that
// has the endpoint's id. Times of birth may not tell, since the time of day may jump back.
func (g *Guard) isCurrent(s Snapshot) bool {
	switch {
	case s.Born == 0:
		return !g.replaced()
	case s.Born == g.born:
		return true
	case s.Sent != 0:
		return s.Sent > g.bornSeen
	}
	return s.Born > g.born
}

// applyReplacement compares the runs kept with a snapshot of the lifetime that has
// taken the endpoint's id over. Other runs there are another guard's.
func (g *Guard) applyReplacement(now Time, s Snapshot) {
	ended := map[RunRef]EndReason{}
	for _, e := range s.Ended {
		ended[e.Run] = e.Reason
	}
	running := map[RunRef]bool{}
	for _, r := range s.Running {
		running[r.Run] = true
	}
	for _, r := range g.sorted() {
		reason, isEnded := ended[r.ref]
		switch {
		case isEnded:
			g.finish(now, r, reason, EvidenceListed)
		case running[r.ref]:
			r.listed = true
		case running[RunRef{Task: r.ref.Task}]: // listed without its number
		case r.stopAnswered != 0 && s.Clock > r.stopAnswered && len(s.Ended) < endsPerAnswer:
			g.finish(now, r, EndLapsed, EvidenceStopped)
		}
	}
}

// sampleClock keeps a low estimate of the endpoint's clock, so that leases end
// too early rather than too late.
func (g *Guard) sampleClock(received, clock Time) {
	sample := clock - received
	if g.sampled == 0 || sample >= g.offset || received-g.sampled > time.Second {
		g.offset = sample
		g.sampled = received
	}
}

func (g *Guard) applyEnds(now Time, ends []EndedRun) {
	for _, e := range ends {
		if e.Seq <= g.cursor {
			continue
		}
		g.cursor = e.Seq
		delete(g.earlierRuns, e.Run)
		if r := g.runs[e.Run]; r != nil {
			g.finish(now, r, e.Reason, EvidenceListed)
		}
	}
}

// reconcile compares the runs kept with the newest snapshot: it marks the listed
// ones as running, and finishes the absent ones that are certain not to be
// running. It stops listed runs that are not known here and absent ones that may
// still start, and notes when no run of an earlier agent incarnation is left.
func (g *Guard) reconcile(now Time, s Snapshot) {
	listed := make(map[RunRef]bool, len(s.Running))
	for _, running := range s.Running {
		listed[running.Run] = true
		if running.Run.Run != 0 {
			g.applyRunning(now, running.Run, s.Clock)
		}
	}
	isListed := func(ref RunRef) bool { return listed[ref] || listed[RunRef{Task: ref.Task}] }
	for ref := range g.earlierRuns {
		if !isListed(ref) {
			delete(g.earlierRuns, ref)
		}
	}
	if g.recoveryEnd == 0 {
		g.recoveryEnd = s.Clock + recoveryTime
		g.maxUntil = max(g.maxUntil, g.earlierUntil()) // by a call for an earlier lifetime or of an earlier agent
	}
	g.recovered = g.recovered || len(g.earlierRuns) == 0 && s.Clock >= g.recoveryEnd
	if len(s.Ended) >= endsPerAnswer {
		return // the end of an absent run may be listed in the next answer
	}
	for _, r := range g.sorted() {
		if !isListed(r.ref) {
			g.applyAbsent(now, r, s.Clock)
		}
	}
}

func (g *Guard) applyRunning(now Time, ref RunRef, clock Time) {
	r := g.runs[ref]
	if r == nil {
		// A run of an earlier agent incarnation, or an order carried out late.
		earlier := g.earlierRuns[ref]
		if earlier == nil {
			earlier = &earlierRun{leaseBy: g.granted}
			g.earlierRuns[ref] = earlier
			g.emit(GuardAction{Kind: FoundUnknown, Run: ref})
		}
		if now >= earlier.nextStop {
			earlier.nextStop = now + endPollEvery // its owner may take it as ended
			g.emit(GuardAction{Kind: CallStop, Run: ref})
		}
		return
	}
	if r.late && !r.listed {
		g.emit(GuardAction{Kind: FoundUnknown, Run: ref})
	}
	r.state = runRunning
	r.listed = true
	r.seenRunning = clock
}

func (g *Guard) applyAbsent(now Time, r *guardedRun, clock Time) {
	switch {
	case r.state == runRunning && clock > r.seenRunning:
		reason, knownBy := EndLapsed, EvidenceAbsent
		if r.stopAnswered != 0 {
			reason, knownBy = EndStopped, EvidenceStopped
		}
		g.finish(now, r, reason, knownBy)
	case r.state == runUnknown && r.stopAnswered != 0 && clock > r.stopAnswered:
		g.finish(now, r, r.unansweredReason(), EvidenceStopped)
	case r.state == runUnknown && clock > g.validUntil(r)+lateMargin:
		g.finish(now, r, r.unansweredReason(), EvidenceLate)
	case r.state == runUnknown:
		g.requestStop(now, r)
	}
}

// unansweredReason returns the end reason of a run whose start had no answer.
func (r *guardedRun) unansweredReason() EndReason {
	if r.earlier {
		return EndStopped // it may have run, and says nothing about the endpoint
	}
	return Unanswered
}

// validUntil returns the time on the endpoint's clock from which on the endpoint
// refuses the start of a run.
func (g *Guard) validUntil(r *guardedRun) Time {
	if r.earlier {
		return g.earlierUntil()
	}
	return r.until
}

// earlierUntil returns the latest lease end, on the endpoint's clock, that an
// earlier agent incarnation may have requested. There has to be a snapshot.
func (g *Guard) earlierUntil() Time { return g.recoveryEnd + g.timing.MaxLease }

// finish drops a run that is certain not to be running and reports its end to
// the owner.
func (g *Guard) finish(now Time, r *guardedRun, reason EndReason, knownBy Evidence) {
	delete(g.runs, r.ref)
	if g.tasks[r.ref.Task] == r.ref {
		delete(g.tasks, r.ref.Task)
	}
	g.used = g.used.Sub(r.need)
	if r.late {
		return
	}
	age := now - r.ordered
	if r.earlier {
		age = 0 // not known here
	}
	stopAge := Time(0)
	if r.stopRequested {
		stopAge = now - r.stopAt
	}
	g.emit(GuardAction{
		Kind: ReportEnd, Owner: r.owner, Order: r.order, Run: r.ref, Reason: reason, Age: age,
		KnownBy: knownBy, StopAge: stopAge,
		MayStart: r.state != runRunning && knownBy != EvidenceRefused && knownBy != EvidenceListed,
	})
}

// Tick stops runs whose owner's lease is about to end, retries stops without an
// answer, ends the runs of an endpoint whose lease has run out without an answer,
// renews that lease, polls for the ends of runs and for runs of an earlier agent
// incarnation, and updates whether the endpoint is available. It has to be called
// regularly.
func (g *Guard) Tick(now Time) {
	if g.Ended() {
		return
	}
	g.passTime(now)
	g.stopUnowned(now)
	g.lapse(now)
	if g.awaitsEnd() && now >= g.nextPoll {
		g.poll(now)
	}
	if g.hasOwnedRuns() && now >= g.nextRenew && g.sampled != 0 && !g.replaced() && !g.ended {
		g.nextRenew = now + renewEvery
		g.emit(GuardAction{Kind: CallPoll, Until: max(g.grantLease(now), 0)})
	}
	if g.LooksForEarlierRuns() && now >= g.nextPoll {
		g.poll(now)
	}
	g.updateAvailable(now)
}

func (g *Guard) hasOwnedRuns() bool {
	for _, r := range g.runs {
		if !r.late {
			return true
		}
	}
	return false
}

// stopUnowned stops the runs of owners whose lease is about to end, and retries
// the stops that had no answer.
func (g *Guard) stopUnowned(now Time) {
	for _, r := range g.sorted() {
		if r.stopRequested || g.owners[r.owner]-g.timing.StopLead() <= now {
			g.requestStop(now, r)
		}
	}
}

// lapse ends all runs once the endpoint's lease is certain to have run out
// without an answer from it.
func (g *Guard) lapse(now Time) {
	if len(g.runs) == 0 || !g.leaseIsOver() {
		return
	}
	for _, r := range g.sorted() {
		if r.late && !g.ended {
			continue // it may start once the endpoint answers again
		}
		g.finish(now, r, EndLapsed, EvidenceLease)
	}
}

func (g *Guard) leaseIsOver() bool {
	if g.sampled == 0 || g.replaced() {
		// The clock of the lifetime that may have the runs is not known.
		return g.ended && slowest(g.steady-max(g.endedAt, g.answeredAt)) >= g.timing.MaxLease+lateMargin
	}
	latest := g.maxUntil
	for _, r := range g.runs {
		if r.earlier {
			latest = max(latest, g.earlierUntil())
		}
	}
	return g.SinceLastAnswer() >= unreachableAfter && g.newest+slowest(g.SinceLastAnswer()) >= latest+lateMargin
}

// slowest returns how much the slowest clock of an endpoint advances in a time.
func slowest(t Time) Time { return t * (100 - clockDriftPercent) / 100 }

// awaitsEnd reports whether a poll is needed to find out if a run has ended.
func (g *Guard) awaitsEnd() bool {
	for _, r := range g.runs {
		if r.state == runUnknown || r.stopAnswered != 0 {
			return true
		}
	}
	return false
}

func (g *Guard) poll(now Time) {
	g.nextPoll = now + endPollEvery
	g.emit(GuardAction{Kind: CallPoll})
}

func (g *Guard) updateAvailable(now Time) {
	available := g.recovered && !g.ended && !g.replaced() && !g.draining && !g.left && !g.evacuated && now-g.lastAnswer < unreachableAfter+renewEvery+g.extraPollPause()
	if available != g.available {
		g.available = available
		g.emit(GuardAction{Kind: StatusChanged})
	}
}

// extraPollPause returns how much longer than renewEvery the pause between two
// polls may be: PollWait while nothing runs, since a poll waits that long; else 0.
func (g *Guard) extraPollPause() Time {
	if len(g.runs) > 0 {
		return 0
	}
	return PollWait
}

// PollWait is how long a poll waits for an end while nothing else happens, if no
// run is kept when the poll begins.
const PollWait = time.Second

// sorted returns the runs in a fixed order, so that decisions can be replayed.
func (g *Guard) sorted() []*guardedRun {
	runs := make([]*guardedRun, 0, len(g.runs))
	for _, r := range g.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *guardedRun) int {
		return cmp.Or(cmp.Compare(a.ref.Task.Job, b.ref.Task.Job), cmp.Compare(a.ref.Task.Step, b.ref.Task.Step),
			cmp.Compare(a.ref.Task.Index, b.ref.Task.Index), cmp.Compare(a.ref.Run, b.ref.Run))
	})
	return runs
}
