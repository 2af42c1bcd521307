// Package agent is the process beside an endpoint. It alone calls the endpoint,
// and a dispatch.Guard for each lifetime of it decides every start and stop.
package agent

import (
	"context"
	"errors"
	"net"
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
	headerTimeout = time.Second            // for a request's header
	stopMargin    = 500 * time.Millisecond // kept of the time between SIGTERM and SIGKILL
	// controlStopTime is how long heartbeats that were read may take at the end.
	controlStopTime = 150 * time.Millisecond
	rowsTimeout     = time.Second // of one reading of the entries
	rowsPause       = time.Second // between two readings while no entry is linked
)

// Agent is one run of the process.
type Agent struct {
	actor *control.Actor

	node  platform.Node
	deps  control.Deps
	mesh  *mesh.Mesh
	store *platform.Store
	ctx   context.Context //nolint:containedctx // of the process; ends its background work

	toRemember chan platform.Announcement // the newest that is not written yet
	unwritten  atomic.Int32               // announcements that the store has not taken yet
	stopping   atomic.Bool
	idle       chan struct{} // closed once a stopping agent keeps no run
	running    chan struct{} // closed once Run has used the settings
	state      *state
}

// New returns an agent that does nothing yet.
func New(node platform.Node, deps control.Deps) *Agent {
	a := &Agent{actor: control.NewActor(), node: node, deps: deps, store: platform.NewStore(node.StoreAddr), toRemember: make(chan platform.Announcement, 1), idle: make(chan struct{}), running: make(chan struct{})}
	hello := wire.NodeHello{
		Name: node.Name, Incarnation: control.NewIncarnation(), Role: wire.RoleAgent, Zone: node.Zone,
	}
	a.mesh = mesh.New(hello, a.actor, wire.Count(deps.Metrics), deps.Log)
	a.state = newState(a)
	return a
}

// Run serves until stopping ends, then until the kept runs have ended.
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
	go a.recall(ctx)
	go a.remember(ctx)
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
		a.deps.Log.Warn().Str("event", "cut_off").Msg("runs were kept at the end of the grace period")
	}
	a.endControl(server, end)
	a.deps.Log.Info().Str("event", "stop").Dur("took_ms", mesh.Now()-began).Msg("agent stopped")
	return nil
}

// endControl takes no more heartbeats once what was announced is written: the
// agent's successor must know of a draining endpoint that was acknowledged.
func (a *Agent) endControl(server *http.Server, end time.Time) {
	a.waitRemembered(time.Until(end))
	// A heartbeat that Shutdown reads and does not answer counts as not
	// acknowledged; the endpoint sends another.
	ctx, cancel := context.WithTimeout(context.Background(), controlStopTime)
	defer cancel()
	_ = server.Shutdown(ctx) // the deferred Close ends what is open
	if !a.waitRemembered(time.Until(end)) {
		a.deps.Log.Error().Str("event", "not_remembered").Msg("the store has not taken what the endpoint announced")
	}
}

func (a *Agent) listen(ctx context.Context) (*http.Server, error) {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", a.node.ControlAddr)
	if err != nil {
		return nil, eris.Wrap(err, "listen for the endpoint")
	}
	server := &http.Server{
		Handler:           platform.ControlHandler(a, a.badAnnouncement),
		ReadHeaderTimeout: headerTimeout,
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			a.deps.Log.Error().Err(err).Msg("control listener ended")
		}
	}()
	return server, nil
}

func (a *Agent) badAnnouncement(err error) {
	a.deps.Metrics.Count("bergamotwing_bad_heartbeats_total", "Heartbeats of endpoints that could not be read.", 1)
	a.deps.Log.Warn().Err(err).Msg("heartbeat of endpoint ignored")
}

// findEntries reads the entries from the store until one is linked, and again
// whenever none is.
func (a *Agent) findEntries(ctx context.Context) {
	for ctx.Err() == nil {
		if !a.linked() {
			a.readEntries(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(rowsPause):
		}
	}
}

func (a *Agent) readEntries(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rowsTimeout)
	defer cancel()
	members, err := mesh.ReadMembers(ctx, a.store)
	if err != nil {
		a.deps.Log.Warn().Str("event", "store_failed").Err(err).Msg("entries not read from the store")
		return
	}
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
	taken := make(chan struct{}, 1)
	a.actor.Send(announced{n, taken})
	select {
	case <-taken:
		if n.Draining {
			a.waitRemembered(drainAckLimit) // if the store is out, this agent alone knows
		}
		return true
	case <-a.ctx.Done():
		return false
	}
}

// Left implements platform.EndpointEvents.
func (a *Agent) Left(id string) { a.actor.Send(left{id}) }

// Reload takes in settings that have changed: the hosts to ask for entries.
func (a *Agent) Reload(node platform.Node) {
	<-a.running // before that there is no actor, and the first settings would replace these
	a.actor.Send(control.Reload{Node: node})
}
