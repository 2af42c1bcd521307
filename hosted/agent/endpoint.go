package agent

import (
	"context"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/wire"
)

// Limits of calls to the endpoint on the same host. A call that has no answer
// by then counts as unanswered, and what became of it is looked up.
const (
	startTimeout = 20 * time.Millisecond // ten times a call on the same host
	// firstStartTimeout is the limit during firstCalls after an endpoint is
	// found: its connections are new, and all processes may have just started.
	firstStartTimeout = 80 * time.Millisecond
	firstCalls        = time.Second
	stopSlack         = 10 * time.Millisecond // of a stop, beside the time that it may take
	lookTimeout       = 30 * time.Millisecond
	watchSlack        = 50 * time.Millisecond // of a look that waits for an end
	watchPause        = 20 * time.Millisecond // after a failed look
	// deadAfter is how many heartbeats a lifetime may miss.
	deadAfter = 4
	// watchers is how many looks wait for an end at the same time, so that one
	// lost answer delays no end.
	watchers = 2
	// busyWatch is how long a look waits while runs are kept.
	busyWatch = 150 * time.Millisecond
)

// endpoint is one lifetime of an endpoint beside this agent.
type endpoint struct {
	announced platform.Announcement
	guard     *dispatch.Guard
	client    *platform.EndpointClient
	cancel    context.CancelFunc
	found     time.Duration                         // when it was first heard of
	heard     time.Duration                         // when the last heartbeat came
	othersFor map[dispatch.Owner]dispatch.Resources // as last reported to busy owners
}

func (s *state) announced(now time.Duration, n platform.Announcement) {
	e := s.endpoints[n.Endpoint]
	if e == nil {
		if s.newEndpoint(now, n) {
			s.remember(n)
		}
		return
	}
	if n.Seq <= e.announced.Seq {
		return // delivered late
	}
	if n.Draining && !e.announced.Draining {
		s.a.deps.Log.Info().Str("event", "endpoint_draining").Str("endpoint", n.Endpoint.ID).Msg("endpoint drains")
		s.remember(n)
	}
	e.announced = n
	e.heard = now
	e.guard.Announced(now, n.Draining || s.stopping, n.Capacity)
}

// remember has an announcement written to the store, in place of an older one
// that is not written yet.
func (s *state) remember(n platform.Announcement) {
	select {
	case <-s.a.toRemember:
	default:
		s.a.unwritten.Add(1)
	}
	s.a.toRemember <- n
}

// recalled takes in what an earlier run of this agent had heard, unless the
// endpoint has been heard since.
func (s *state) recalled(now time.Duration, n platform.Announcement) {
	if len(s.endpoints) == 0 {
		s.newEndpoint(now, n)
	}
}

// endIfDead ends a lifetime that has neither announced itself nor answered for
// several heartbeats.
func (s *state) endIfDead(now time.Duration, e *endpoint) {
	limit := deadAfter * s.a.node.Heartbeat
	if now-e.heard > limit && e.guard.SinceLastPoll(now) > limit {
		e.guard.End(now)
	}
}

// newEndpoint takes in a new lifetime and reports whether it is one. An older
// one of the same id is over.
func (s *state) newEndpoint(now time.Duration, n platform.Announcement) bool {
	for id, e := range s.endpoints {
		if id.ID != n.Endpoint.ID {
			continue
		}
		if id.Born > n.Endpoint.Born {
			return false // delivered late, by an earlier lifetime
		}
		s.end(now, e)
	}
	ctx, cancel := context.WithCancel(s.a.ctx)
	e := &endpoint{
		announced: n,
		guard:     dispatch.NewGuard(n.Endpoint, n.Service, n.Zone, n.Capacity, n.Labels, s.timing),
		client:    platform.NewEndpointClient(n.Addr, n.Endpoint.ID),
		cancel:    cancel,
		found:     now,
		heard:     now,
		othersFor: map[dispatch.Owner]dispatch.Resources{},
	}
	s.endpoints[n.Endpoint] = e
	e.guard.SetEvacuated(now, s.operator.ZoneEvacuated(n.Zone))
	for _, p := range s.peers {
		if p.Echoed > p.ConnectedAt {
			e.guard.RenewOwner(p.Owner(), p.Echoed+s.timing.OwnerLease)
		}
	}
	e.guard.Announced(now, n.Draining || s.stopping, n.Capacity)
	s.a.deps.Log.Info().Str("event", "endpoint_found").Str("endpoint", n.Endpoint.ID).Int64("born", n.Endpoint.Born).
		Str("addr", n.Addr).Int("cpu_milli", n.Capacity.CPUMilli).Msg("endpoint found")
	for range watchers {
		go s.a.watch(ctx, e.client, n.Endpoint)
	}
	return true
}

func (s *state) left(now time.Duration, id string) {
	for _, e := range s.endpoints {
		if e.announced.Endpoint.ID == id {
			e.guard.Announced(now, true, e.announced.Capacity)
		}
	}
}

func (s *state) end(now time.Duration, e *endpoint) {
	e.guard.End(now)
}

// watch looks at the endpoint all the time; each look waits for an end.
func (a *Agent) watch(ctx context.Context, client *platform.EndpointClient, id dispatch.EndpointID) {
	defer client.Close()
	var next nextWatch
	reply := make(chan nextWatch, 1)
	for ctx.Err() == nil {
		snapshot, err := a.lookOnce(ctx, client, 0, next.acknowledge, next.wait)
		a.actor.Send(looked{endpoint: id, received: mesh.Now(), snapshot: snapshot, err: err, next: reply})
		select {
		case next = <-reply:
		case <-ctx.Done():
			return
		}
		if err != nil {
			time.Sleep(watchPause)
		}
	}
}

func (a *Agent) lookOnce(ctx context.Context, client *platform.EndpointClient, until time.Duration, acknowledged int64, wait time.Duration) (dispatch.Snapshot, error) {
	limit := lookTimeout
	if wait > 0 {
		limit = wait + watchSlack
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return client.Poll(ctx, until, acknowledged, wait)
}

func (s *state) startAnswered(now time.Duration, m startAnswered) {
	e := s.endpoints[m.endpoint]
	if e == nil {
		return
	}
	if m.err != nil {
		s.a.deps.Metrics.Count("bergamotwing_starts_unanswered_total", "Starts that the endpoint did not answer in time.", 1)
		s.a.deps.Log.Warn().Str("event", "start_unanswered").Str("job", m.run.Task.Job).Int("task", m.run.Task.Index).
			Int("run", m.run.Run).AnErr("cause", m.err).Msg("start has no answer; looking whether it runs")
		e.guard.StartUnanswered(now, m.run)
		return
	}
	e.guard.StartAnswered(now, m.run, m.res)
}

func (s *state) stopAnswered(now time.Duration, m stopAnswered) {
	e := s.endpoints[m.endpoint]
	if e == nil || m.err != nil {
		return // the guard tries again
	}
	e.guard.StopAnswered(now, m.run, m.res)
}

func (s *state) looked(now time.Duration, m looked) {
	e := s.endpoints[m.endpoint]
	if e == nil {
		return
	}
	if m.err == nil {
		e.guard.Polled(now, m.received, m.snapshot)
	}
	if m.next != nil {
		m.next <- e.nextWatch()
	}
}

// nextWatch says what the next look that waits for an end is to carry.
func (e *endpoint) nextWatch() nextWatch {
	wait := dispatch.PollWait
	if e.guard.Runs() > 0 {
		wait = busyWatch
	}
	return nextWatch{acknowledge: e.guard.Cursor(), wait: wait}
}

// carryOut does what the guards decided.
func (s *state) carryOut(now time.Duration) {
	for id, e := range s.endpoints {
		for _, action := range e.guard.TakeActions() {
			s.carry(now, id, e, action)
		}
		s.reportOthers(e)
		if e.guard.Ended() {
			s.forget(id, e)
		}
	}
}

func (s *state) carry(now time.Duration, id dispatch.EndpointID, e *endpoint, action dispatch.GuardAction) {
	a := s.a
	switch action.Kind {
	case dispatch.CallStart:
		go a.callStart(e.client, id, action, e.startLimit(now))
	case dispatch.CallStop:
		go a.callStop(e.client, id, action.Run)
	case dispatch.CallPoll:
		cursor := e.guard.Cursor()
		go func() {
			snapshot, err := a.lookOnce(a.ctx, e.client, action.Until, cursor, 0)
			a.actor.Send(looked{endpoint: id, received: mesh.Now(), snapshot: snapshot, err: err})
		}()
	case dispatch.ReportEnd:
		s.tellEnd(now, action.Owner, wire.EndedRun{Run: action.Run, Order: action.Order, Reason: action.Reason, Age: action.Age})
	case dispatch.StatusChanged:
		s.reportStatus(e)
	}
}

// startLimit returns how long a start may take.
func (e *endpoint) startLimit(now time.Duration) time.Duration {
	if now-e.found < firstCalls {
		return firstStartTimeout
	}
	return startTimeout
}

func (a *Agent) callStart(client *platform.EndpointClient, id dispatch.EndpointID, action dispatch.GuardAction, limit time.Duration) {
	ctx, cancel := context.WithTimeout(a.ctx, limit)
	defer cancel()
	res, err := client.Start(ctx, action.Run, action.Payload, action.Until)
	a.actor.Send(startAnswered{id, action.Run, res, err})
}

func (a *Agent) callStop(client *platform.EndpointClient, id dispatch.EndpointID, run dispatch.RunRef) {
	ctx, cancel := context.WithTimeout(a.ctx, a.state.timing.StopTime+stopSlack)
	defer cancel()
	res, err := client.Stop(ctx, run)
	a.actor.Send(stopAnswered{id, run, res, err})
}

func (s *state) reportStatus(e *endpoint) {
	status := e.guard.Status(dispatch.Owner{})
	s.a.deps.Log.Info().Str("event", "endpoint_status").Str("endpoint", status.Endpoint.ID).
		Bool("available", status.Available).Int("runs", e.guard.Runs()).Msg("endpoint status changed")
	for _, p := range s.peers {
		s.report(p, e)
	}
}

func (s *state) report(p *mesh.Peer, e *endpoint) {
	owner := p.Owner()
	status := e.guard.Status(owner)
	e.othersFor[owner] = status.Others
	_ = p.Send(&wire.EndpointReport{Status: status}) // sent again on the next link
}

// reportOthers tells owners with runs here when the runs of others change the room.
func (s *state) reportOthers(e *endpoint) {
	for _, p := range s.peers {
		owner := p.Owner()
		if !p.LastHeartbeat.Home && !e.guard.HasRunsOf(owner) {
			continue
		}
		if e.guard.Status(owner).Others != e.othersFor[owner] {
			s.report(p, e)
		}
	}
}

func (s *state) forget(id dispatch.EndpointID, e *endpoint) {
	e.cancel()
	delete(s.endpoints, id)
	for _, p := range s.peers {
		_ = p.Send(&wire.EndpointGone{Endpoint: id}) // its reports say that it is unavailable
	}
	s.a.deps.Log.Info().Str("event", "endpoint_gone").Str("endpoint", id.ID).Int64("born", id.Born).Msg("lifetime of endpoint over")
}
