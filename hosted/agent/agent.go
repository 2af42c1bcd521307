// Package agent is the process beside an endpoint. Only the agent calls the
// endpoint. A dispatch.Guard for each lifetime of the endpoint decides every start
// and stop.
package agent

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/wire"
)

const (
	headerTimeout = time.Second            // to read a request's header
	stopMargin    = 500 * time.Millisecond // part of the time between SIGTERM and SIGKILL that is kept in reserve
	// controlStopTime is how long answers to heartbeats already read may take at the end.
	controlStopTime = 150 * time.Millisecond
	storeTimeout    = time.Second // of one call of the store
	membersEvery    = time.Second // between two reads of the entries while none is linked
)

// Agent is one incarnation of the process.
type Agent struct {
	actor *control.Actor

	node  platform.Node
	deps  control.Deps
	mesh  *mesh.Mesh
	store *platform.Store
	odd   *control.OddRows
	ctx   context.Context //nolint:containedctx // of the process; ends its background work

	toWrite   chan platform.Announcement // newest announcement that is waiting to be written to the store
	unwritten atomic.Int32               // announcements that the store has not confirmed yet
	stopping  atomic.Bool
	idle      chan struct{} // closed once a stopping agent has no runs and no unacknowledged ends
	running   chan struct{} // closed once Run has used the settings
	state     *state
}

// New returns an agent that Run starts.
func New(node platform.Node, deps control.Deps) *Agent {
	deps = deps.WithLimiter(node)
	a := &Agent{actor: control.NewActor(), node: node, deps: deps, store: platform.NewStore(node.StoreAddr), odd: control.NewOddRows(deps), toWrite: make(chan platform.Announcement, 1), idle: make(chan struct{}), running: make(chan struct{})}
	hello := wire.NodeHello{
		Name: node.Name, Incarnation: control.NewIncarnation(), Role: wire.RoleAgent, Zone: node.Zone, NewestKind: wire.NewestKind,
	}
	a.mesh = mesh.New(hello, a.actor, wire.Count(deps.Metrics), deps.Log)
	a.state = newState(a)
	return a
}

// Run serves until the context stopping is cancelled, then until the runs have
// ended and their owners have acknowledged the ends, within the grace period.
func (a *Agent) Run(stopping context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a.ctx = ctx
	a.actor.Start(a.receive)
	defer a.actor.Shutdown()
	server, err := a.listen(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = server.Close() }()
	a.mesh.SetTargets(ctx, mesh.SeedAddrs(a.node))
	close(a.running)
	go a.findEntries(ctx)
	go a.readEndpoint(ctx)
	go a.writeEndpoints(ctx)
	a.actor.Send(control.Tick{})
	a.deps.Log.Info().Str("event", "start").Str("endpoint", a.node.EndpointAddr).Msg("agent started")
	<-stopping.Done()
	began := mesh.Now()
	a.stopping.Store(true)
	a.actor.Send(control.Stop{})
	end := time.Now().Add(a.node.Grace - stopMargin)
	select {
	case <-a.idle:
	case <-time.After(time.Until(end)):
		a.deps.Log.Warn().Str("event", "cut_off").Msg("runs or unacknowledged ends were left at the end of the grace period")
	}
	a.stopControl(server, end)
	a.deps.Log.Info().Str("event", "stop").Dur("took_ms", mesh.Now()-began).Msg("agent stopped")
	return nil
}

// stopControl stops receiving heartbeats once all announcements are written: if
// the endpoint's acknowledged heartbeat says that it drains, the agent's next
// incarnation must know.
func (a *Agent) stopControl(server *http.Server, end time.Time) {
	a.waitWritten(time.Until(end))
	// If Shutdown reads a heartbeat and closes its connection without an answer,
	// the endpoint takes the heartbeat as not acknowledged and sends another.
	ctx, cancel := context.WithTimeout(context.Background(), controlStopTime)
	defer cancel()
	_ = server.Shutdown(ctx) // the deferred Close ends open connections
	if !a.waitWritten(time.Until(end)) {
		a.deps.Log.Error().Str("event", "not_remembered").Msg("announcement of the endpoint not written to the store")
	}
}

func (a *Agent) listen(ctx context.Context) (*http.Server, error) {
	bounds := a.deps.Limiter
	listener, err := bounds.Listen(ctx, a.node.ControlAddr, bounds.Service("control"))
	if err != nil {
		return nil, err
	}
	server := bounds.Server(platform.ControlHandler(a, a.badAnnouncement), headerTimeout)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			a.deps.Log.Error().Err(err).Msg("control listener ended")
		}
	}()
	return server, nil
}

func (a *Agent) badAnnouncement(err error) {
	a.deps.Metrics.Count("bergamotwing_bad_heartbeats_total", "Heartbeats of endpoints that could not be read.", 1)
	a.deps.Log.Warn().Str("event", "bad_heartbeat").Err(err).Msg("heartbeat of endpoint ignored")
}

// findEntries reads the entries from the store whenever no entry is linked.
func (a *Agent) findEntries(ctx context.Context) {
	for ctx.Err() == nil {
		if !a.linked() {
			a.readEntries(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(membersEvery):
		}
	}
}

func (a *Agent) readEntries(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	members, odd, err := mesh.ReadMembers(ctx, a.store)
	if err != nil {
		a.deps.Log.Warn().Str("event", "store_failed").Err(err).Msg("entries not read from the store")
		return
	}
	a.odd.Report(odd...)
	a.actor.Send(control.MembersRead{Members: members})
}

func (a *Agent) linked() bool {
	reply := make(chan bool, 1)
	a.actor.Send(askLinked{reply})
	select {
	case linked := <-reply:
		return linked
	case <-a.ctx.Done():
		return false
	}
}

// Announced implements platform.EndpointEvents.
func (a *Agent) Announced(n platform.Announcement) bool {
	if err := a.checkService(n); err != nil {
		a.badAnnouncement(err)
		return false
	}
	taken := make(chan struct{}, 1)
	a.actor.Send(announced{n, taken})
	select {
	case <-taken:
		if n.Draining {
			// If the announcement is not written within drainAckTimeout, the heartbeat
			// is acknowledged all the same, and only this agent knows that the endpoint
			// drains.
			a.waitWritten(drainAckTimeout)
		}
		return true
	case <-a.ctx.Done():
		return false
	}
}

// checkService returns an error if an announcement names another service than the
// settings name for the endpoint on this host.
func (a *Agent) checkService(n platform.Announcement) error {
	if a.node.Service != "" && n.Service != a.node.Service {
		return eris.Errorf("endpoint %s names service %q, not %q", n.Endpoint.ID, n.Service, a.node.Service)
	}
	return nil
}

// Ended implements platform.EndpointEvents.
func (a *Agent) Ended(id string) { a.actor.Send(endpointEnded{id}) }

// Reload applies settings that have changed: the hosts where entries may listen.
func (a *Agent) Reload(node platform.Node) {
	<-a.running // before that the actor does not run, and Run would replace these settings by the first ones
	a.actor.Send(control.Reload{Node: node})
}
