package agent

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/wire"
)

// Timeouts of calls to the endpoint on the same host. A call without an answer by
// then counts as unanswered, and a poll finds out what became of it.
const (
	startTimeout = 20 * time.Millisecond // ten times as long as a call on the same host takes
	// firstStartTimeout replaces startTimeout for the time firstCalls after an
	// endpoint is found: its connections are new, and all processes may have just
	// started.
	firstStartTimeout = 80 * time.Millisecond
	firstCalls        = time.Second
	// startMaxDelay bounds the time from the decision to start a run to the call.
	startMaxDelay  = 100 * time.Millisecond
	stopSlack      = 10 * time.Millisecond // added to the time that a stop may take
	pollTimeout    = 30 * time.Millisecond
	longPollSlack  = 50 * time.Millisecond // added to the wait of a long poll, which waits for an end
	pollRetryPause = 20 * time.Millisecond // after a failed long poll
	// oddPollPause is the pause after an answer with rows that cannot be read: an end
	// that cannot be acknowledged is answered again at once.
	oddPollPause = 100 * time.Millisecond
	// maxMissedHeartbeats is how many heartbeats a lifetime may miss before it is
	// taken as ended.
	maxMissedHeartbeats = 4
	// leavesShift is the change of the time at which an endpoint leaves that is reported: less
	// decides nothing, and heartbeats are delayed by some of it.
	leavesShift = 200 * time.Millisecond
	// watchers is how many long polls wait for an end at the same time, so that one
	// lost answer delays no end.
	watchers = 2
	// busyPollWait is how long a long poll waits while there are runs.
	busyPollWait = 150 * time.Millisecond
)

// endpoint is one lifetime of an endpoint beside this agent.
type endpoint struct {
	announced      platform.Announcement
	guard          *dispatch.Guard
	client         *platform.EndpointClient
	cancel         context.CancelFunc
	foundAt        time.Duration                         // when the lifetime was found
	lastHeartbeat  time.Duration                         // when the last heartbeat came
	reportedOthers map[dispatch.Owner]dispatch.Resources // resources taken by runs of others, as last reported to each owner
	oddRuns        int                                   // rows of the newest answer that cannot be read
	leavesAt       time.Duration                         // earliest time at which the endpoint leaves; 0: not known
	reportedLeaves time.Duration                         // leavesAt as last reported
	evidence       evidence
}

func (s *state) announced(now time.Duration, n platform.Announcement) {
	e := s.endpoints[n.Endpoint]
	if e == nil {
		s.announcedOther(now, n)
		return
	}
	if n.Seq <= e.announced.Seq {
		return // delivered out of order
	}
	if n.Draining && !e.announced.Draining {
		s.a.deps.Log.Info().Str("event", "endpoint_draining").Str("endpoint", n.Endpoint.ID).Msg("endpoint drains")
		s.queueWrite(n)
	}
	e.announced = n
	e.lastHeartbeat = now
	e.noteLeaving(now, n)
	e.guard.Announced(now, n.Draining || s.stopping, n.Capacity)
}

// noteLeaving notes when a draining endpoint leaves.
func (e *endpoint) noteLeaving(now time.Duration, n platform.Announcement) {
	e.leavesAt = 0
	if n.Remaining > 0 {
		e.leavesAt = now + n.Remaining
	}
}

// leavesIn returns how long the endpoint stays at least, as it is reported.
func (e *endpoint) leavesIn(now time.Duration) time.Duration {
	if e.leavesAt == 0 {
		return 0
	}
	return max(e.leavesAt-now, time.Millisecond) // 0 would say that it is not known
}

// announcedOther handles a heartbeat of a lifetime that is not known. If another one of
// the same id is, the heartbeat may be an earlier one's that comes late, and the time of
// day at which a lifetime is born may have jumped back, so the endpoint is asked first.
func (s *state) announcedOther(now time.Duration, n platform.Announcement) {
	if !s.newEndpoint(now, n) {
		if s.unconfirmed[n.Endpoint.ID].Endpoint != n.Endpoint {
			s.raiseFence() // the new lifetime may see calls whose answers are lost
		}
		s.unconfirmed[n.Endpoint.ID] = n
		return
	}
	delete(s.unconfirmed, n.Endpoint.ID)
	s.queueWrite(n)
}

// queueWrite queues an announcement to be written to the store, in place of an older
// one that is not written yet.
func (s *state) queueWrite(n platform.Announcement) {
	select {
	case <-s.a.toWrite:
	default:
		s.a.unwritten.Add(1)
	}
	s.a.toWrite <- n
}

// endpointRead adds the endpoint that an earlier incarnation of this agent stored, unless
// an announcement has come since.
func (s *state) endpointRead(now time.Duration, n platform.Announcement) {
	if len(s.endpoints) == 0 {
		s.newEndpoint(now, n)
	}
}

// endIfUnresponsive gives up a lifetime that has neither sent a heartbeat nor answered a
// poll for longer than maxMissedHeartbeats heartbeats take. One whose id another lifetime
// has taken over is given up only after that one: it may still carry out starts.
func (s *state) endIfUnresponsive(now time.Duration, e *endpoint) {
	limit := maxMissedHeartbeats * s.a.node.Heartbeat
	if now-e.lastHeartbeat <= limit || e.guard.SinceLastAnswer() <= limit {
		return
	}
	next := s.endpoints[dispatch.EndpointID{ID: e.announced.Endpoint.ID, Born: e.guard.Born()}]
	if next == nil || next == e {
		e.guard.End(now)
	}
}

// newEndpoint adds a lifetime of an endpoint. It reports false, and asks the endpoint, if
// another one of the same id is known and no answer has said that this one has replaced
// it. The guard of a replaced lifetime is kept until none of its starts can be carried
// out by the new one.
func (s *state) newEndpoint(now time.Duration, n platform.Announcement) bool {
	for id, e := range s.endpoints {
		if id.ID != n.Endpoint.ID {
			continue
		}
		if !s.isReplacedBy(now, e, n) {
			return false
		}
		e.guard.Replaced(now, n.Endpoint.Born)
	}
	s.raiseFence()
	ctx, cancel := context.WithCancel(s.a.ctx)
	e := &endpoint{
		announced:      n,
		guard:          dispatch.NewGuard(n.Endpoint, n.Service, n.Zone, n.Capacity, n.Labels, s.timing),
		client:         platform.NewEndpointClient(n.Addr, n.Endpoint.ID),
		cancel:         cancel,
		foundAt:        now,
		lastHeartbeat:  now,
		reportedOthers: map[dispatch.Owner]dispatch.Resources{},
	}
	e.noteLeaving(now, n)
	s.endpoints[n.Endpoint] = e
	e.guard.SetEvacuated(now, s.operator.ZoneEvacuated(n.Zone))
	for _, p := range s.peers {
		if p.Echoed > p.ConnectedAt {
			e.guard.RenewOwner(p.Owner(), p.Echoed+s.timing.OwnerLease)
		}
	}
	e.guard.Announced(now, n.Draining || s.stopping, n.Capacity)
	s.stopLateStarts(now, e)
	s.a.deps.Log.Info().Str("event", "endpoint_found").Str("endpoint", n.Endpoint.ID).Int64("born", n.Endpoint.Born).
		Str("addr", n.Addr).Int("cpu_milli", n.Capacity.CPUMilli).Int64("fence", s.fence.Number()).Msg("endpoint found")
	for range watchers {
		go s.a.watch(ctx, e.client, n.Endpoint, s.fence.Number())
	}
	return true
}

// raiseFence begins a new generation of calls, for a lifetime that was found or that may
// have begun.
func (s *state) raiseFence() {
	if s.a.node.EnforceFencing {
		s.fence.Raise(time.Now().UnixMicro())
	}
}

// fenceRefused handles that an endpoint has refused a generation number.
func (s *state) fenceRefused(id dispatch.EndpointID, call string, number int64) {
	raised := s.fence.Refused(number)
	s.a.deps.Metrics.Count("bergamotwing_fence_refusals_total", "Calls that the endpoint refused since it had seen a higher generation number.", 1)
	s.a.deps.Log.Warn().Str("event", "fence_refused").Str("endpoint", id.ID).Str("call", call).Int64("number", number).
		Bool("raised", raised).Msg("endpoint has seen a higher generation number")
}

// stopLateStarts stops starts of ended runs in the lifetime that has the endpoint's id, if
// it is another than the one in which they are certain not to be carried out any more.
func (s *state) stopLateStarts(now time.Duration, e *endpoint) {
	for i, l := range s.lateStarts {
		if l.endpoint == e.announced.Endpoint.ID && l.born != e.guard.Born() {
			e.guard.StopLate(now, l.run)
			s.lateStarts[i].born = e.guard.Born()
		}
	}
}

func (s *state) isReplacedBy(now time.Duration, e *endpoint, n platform.Announcement) bool {
	known := e.guard.Born()
	switch {
	case known == n.Endpoint.Born:
		return true
	case known == 0, e.announced.Addr != n.Addr: // no answer of the new lifetime would tell
		return known < n.Endpoint.Born
	}
	e.guard.Ask(now)
	return false
}

// endpointEnded handles the message that an endpoint sends last: its lifetimes here
// take no new tasks unless they announce themselves again.
func (s *state) endpointEnded(now time.Duration, id string) {
	for _, e := range s.endpoints {
		if e.announced.Endpoint.ID == id {
			e.guard.Left(now)
		}
	}
}

// watch polls the endpoint without a break; each long poll waits for an end.
func (a *Agent) watch(ctx context.Context, client *platform.EndpointClient, id dispatch.EndpointID, fence int64) {
	defer client.Close()
	next := nextPoll{fence: fence}
	wasRefused := false
	reply := make(chan nextPoll, 1)
	for ctx.Err() == nil {
		snapshot, err := a.poll(ctx, client.WithFence(next.fence), 0, next.acknowledge, next.wait)
		a.actor.Send(polled{endpoint: id, received: mesh.Now(), snapshot: snapshot, err: err, next: reply})
		select {
		case next = <-reply:
		case <-ctx.Done():
			return
		}
		var refused *platform.FenceError
		isRefused := errors.As(err, &refused)
		if err != nil && (!isRefused || wasRefused) {
			time.Sleep(pollRetryPause)
		}
		wasRefused = isRefused
		if snapshot.Odd > 0 {
			time.Sleep(oddPollPause)
		}
	}
}

func (a *Agent) poll(ctx context.Context, client *platform.EndpointClient, until time.Duration, acknowledged int64, wait time.Duration) (dispatch.Snapshot, error) {
	limit := pollTimeout
	if wait > 0 {
		limit = wait + longPollSlack
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sent := mesh.Now()
	snapshot, err := client.Poll(ctx, until, acknowledged, wait)
	snapshot.Sent, snapshot.Acknowledged = sent, acknowledged
	return snapshot, err
}

func (s *state) startAnswered(now time.Duration, m startAnswered) {
	e := s.endpoints[m.endpoint]
	if e == nil {
		return
	}
	if m.err != nil {
		s.a.deps.Metrics.Count("bergamotwing_starts_unanswered_total", "Starts that the endpoint did not answer in time.", 1)
		s.a.deps.Log.Warn().Str("event", "start_unanswered").Str("job", m.run.Task.Job).Int("task", m.run.Task.Index).
			Int("run", m.run.Run).AnErr("cause", m.err).Msg("start has no answer; polling the endpoint")
		e.guard.StartUnanswered(now, m.run)
		return
	}
	if m.res.Fence != 0 {
		s.fenceRefused(m.endpoint, "start", m.res.Fence)
	}
	e.guard.StartAnswered(now, m.run, m.res)
}

func (s *state) stopAnswered(now time.Duration, m stopAnswered) {
	e := s.endpoints[m.endpoint]
	if e == nil || m.err != nil || m.born != e.guard.Born() {
		return // the guard retries
	}
	if m.res.Fence != 0 {
		s.fenceRefused(m.endpoint, "stop", m.res.Fence)
	}
	e.guard.StopAnswered(now, m.run, m.res)
}

func (s *state) polled(now time.Duration, m polled) {
	e := s.endpoints[m.endpoint]
	if e == nil {
		return
	}
	var refused *platform.FenceError
	switch {
	case errors.As(m.err, &refused):
		s.fenceRefused(m.endpoint, "poll", refused.Number)
	case isGone(m.err):
		s.raiseFence() // so that the next lifetime sees no call without it
	case m.err == nil:
		born := e.guard.Born()
		e.guard.Polled(now, m.received, m.snapshot)
		if e.guard.Born() != born {
			s.raiseFence()
			e.guard.Ask(now) // so that the new lifetime sees the number
		}
		s.stopLateStarts(now, e)
		if n, ok := s.unconfirmed[m.endpoint.ID]; ok && n.Endpoint.Born == e.guard.Born() {
			s.announcedOther(now, n)
		}
		s.countOddRuns(e, m.snapshot.Odd)
	}
	if m.next != nil {
		m.next <- e.nextPoll(s.fence.Number())
	}
}

// isGone reports whether a call failed since nothing listens at the address, or since the
// connection was closed: the lifetime may have ended.
func isGone(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF)
}

// countOddRuns counts and logs rows of runs that cannot be read when there are more
// of them than before.
func (s *state) countOddRuns(e *endpoint, odd int) {
	if more := odd - e.oddRuns; more > 0 {
		s.a.deps.Metrics.Count("bergamotwing_odd_runs_total", "Rows of runs of endpoints that could not be read.", int64(more))
		s.a.deps.Log.Warn().Str("event", "odd_run").Str("endpoint", e.announced.Endpoint.ID).Int("rows", odd).Msg("runs that cannot be read left out")
	}
	e.oddRuns = odd
}

// nextPoll returns the parameters of the next long poll.
func (e *endpoint) nextPoll(fence int64) nextPoll {
	wait := dispatch.PollWait
	if e.guard.Runs() > 0 {
		wait = busyPollWait
	}
	return nextPoll{acknowledge: e.guard.Cursor(), wait: wait, fence: fence}
}

// applyActions executes the actions that the guards decided on, and removes the
// lifetimes that have ended.
func (s *state) applyActions(now time.Duration) {
	for id, e := range s.endpoints {
		for _, action := range e.guard.TakeActions() {
			s.apply(now, id, e, action)
		}
		s.reportLeaving(now, e)
		s.reportOthers(now, e)
		if e.guard.Ended() {
			s.removeEndpoint(id, e)
		}
	}
}

func (s *state) apply(now time.Duration, id dispatch.EndpointID, e *endpoint, action dispatch.GuardAction) {
	a, client := s.a, e.client.WithFence(s.fence.Number())
	switch action.Kind {
	case dispatch.CallStart:
		go a.callStart(client, id, action, now, e.startLimit(now))
	case dispatch.CallStop:
		go a.callStop(client, id, e.guard.Born(), action.Run)
	case dispatch.CallPoll:
		cursor := e.guard.Cursor()
		go func() {
			snapshot, err := a.poll(a.ctx, client, action.Until, cursor, 0)
			a.actor.Send(polled{endpoint: id, received: mesh.Now(), snapshot: snapshot, err: err})
		}()
	case dispatch.ReportEnd:
		if action.KnownBy == dispatch.EvidenceLease {
			s.raiseFence() // another lifetime may have begun, whose answers are lost
		}
		s.reportEnd(now, action)
		if action.MayStart {
			s.lateStarts = append(s.lateStarts, lateStart{id.ID, action.Run, e.guard.Born(), now})
		}
	case dispatch.StatusChanged:
		s.reportStatus(now, e)
	case dispatch.FoundUnknown:
		a.deps.Metrics.Count("bergamotwing_unknown_runs_total", "Runs that the endpoint listed and nobody had ordered here.", 1)
		a.deps.Log.Warn().Str("event", "unknown_run").Str("endpoint", id.ID).Str("job", action.Run.Task.Job).Int("step", action.Run.Task.Step).
			Int("task", action.Run.Task.Index).Int("run", action.Run.Run).Dur("endpoint_age_ms", now-e.foundAt).Msg("run not ordered here; stopping it")
	}
}

// startLimit returns the timeout of a start.
func (e *endpoint) startLimit(now time.Duration) time.Duration {
	if now-e.foundAt < firstCalls {
		return firstStartTimeout
	}
	return startTimeout
}

// callStart starts a run, or refuses it if this goroutine, or the process, has been held up
// since the decision.
func (a *Agent) callStart(client *platform.EndpointClient, id dispatch.EndpointID, action dispatch.GuardAction, decided, limit time.Duration) {
	if delay := mesh.Now() - decided; delay > startMaxDelay {
		a.deps.Metrics.Count("bergamotwing_starts_held_up_total", "Starts that were not sent since the process was held up.", 1)
		a.deps.Log.Warn().Str("event", "start_held_up").Str("job", action.Run.Task.Job).Int("task", action.Run.Task.Index).
			Int("run", action.Run.Run).Dur("delay_ms", delay).Msg("start not sent: decided too long ago")
		a.actor.Send(startAnswered{id, action.Run, dispatch.CallResult{Refusal: dispatch.Expired}, nil})
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, limit)
	defer cancel()
	res, err := client.Start(ctx, action.Run, action.Payload, action.Until)
	a.actor.Send(startAnswered{id, action.Run, res, err})
}

func (a *Agent) callStop(client *platform.EndpointClient, id dispatch.EndpointID, born int64, run dispatch.RunRef) {
	ctx, cancel := context.WithTimeout(a.ctx, a.state.timing.StopTime+stopSlack)
	defer cancel()
	res, err := client.Stop(ctx, run)
	a.actor.Send(stopAnswered{id, born, run, res, err})
}

func (s *state) reportStatus(now time.Duration, e *endpoint) {
	status := e.guard.Status(dispatch.Owner{})
	s.a.deps.Log.Info().Str("event", "endpoint_status").Str("endpoint", status.Endpoint.ID).
		Bool("available", status.Available).Int("runs", e.guard.Runs()).Dur("leaves_in_ms", e.leavesIn(now)).Msg("endpoint status changed")
	e.reportedLeaves = e.leavesAt
	for _, p := range s.peers {
		s.report(now, p, e)
	}
}

// reportLeaving reports that the time at which the endpoint leaves has changed: it was not
// known, or a later heartbeat names another one.
func (s *state) reportLeaving(now time.Duration, e *endpoint) {
	if (e.leavesAt - e.reportedLeaves).Abs() > leavesShift {
		s.reportStatus(now, e)
	}
}

func (s *state) report(now time.Duration, p *mesh.Peer, e *endpoint) {
	owner := p.Owner()
	status := e.guard.Status(owner)
	status.LeavesIn = e.leavesIn(now)
	e.reportedOthers[owner] = status.Others
	m := &wire.EndpointReport{Status: status}
	e.evidence.addTo(now, m)
	_ = p.Send(m) // resent on the next link
}

// reportOthers sends a report to homes and to owners with runs here when the resources
// taken by the runs of others have changed.
func (s *state) reportOthers(now time.Duration, e *endpoint) {
	for _, p := range s.peers {
		owner := p.Owner()
		if !p.LastHeartbeat.Home && !e.guard.HasRunsOf(owner) {
			continue
		}
		if e.guard.Status(owner).Others != e.reportedOthers[owner] {
			s.report(now, p, e)
		}
	}
}

func (s *state) removeEndpoint(id dispatch.EndpointID, e *endpoint) {
	e.cancel()
	delete(s.endpoints, id)
	for _, p := range s.peers {
		_ = p.Send(&wire.EndpointGone{Endpoint: id}) // if this is lost, earlier reports already say that the endpoint is unavailable
	}
	s.a.deps.Log.Info().Str("event", "endpoint_gone").Str("endpoint", id.ID).Int64("born", id.Born).Msg("lifetime of endpoint ended")
}
