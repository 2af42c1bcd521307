// Package agent is the process beside an endpoint. It alone calls the endpoint,
// and a dispatch.Guard for each lifetime of it decides every start and stop.
package agent

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/telemetry"
	"bergamotwing.example/wire"
)

const (
	headerTimeout = time.Second            // for a request's header
	stopMargin    = 500 * time.Millisecond // kept of the time between SIGTERM and SIGKILL
	rowsTimeout   = time.Second            // of one reading of the entries
	rowsPause     = time.Second            // between two readings while no entry is linked
)

// Deps are what an agent works with.
type Deps struct {
	Log     zerolog.Logger
	Metrics *telemetry.Metrics
}

// Agent is one run of the process.
type Agent struct {
	node  platform.Node
	deps  Deps
	mesh  *mesh.Mesh
	store *platform.Store
	ctx   context.Context //nolint:containedctx // of the process; ends its background work

	system     *actor.ActorSystem
	pid        *actor.PID
	toRemember chan platform.Announcement // the newest that is not written yet
	idle       chan struct{}              // closed once a stopping agent keeps no run
	state      *state
}

// New returns an agent that does nothing yet.
func New(node platform.Node, deps Deps) *Agent {
	a := &Agent{node: node, deps: deps, store: platform.NewStore(node.StoreAddr), toRemember: make(chan platform.Announcement, 1), idle: make(chan struct{})}
	hello := wire.NodeHello{
		Name: node.Name, Incarnation: wire.Incarnation(rand.Uint64()), Role: wire.RoleAgent, Zone: node.Zone, //nolint:gosec // tells runs apart, keeps no secret
	}
	a.mesh = mesh.New(hello, a, wire.Count(deps.Metrics), deps.Log)
	a.system = actor.NewActorSystem(
		actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }),
		actor.WithDeadLetterThrottleInterval(time.Millisecond),
	)
	a.state = newState(a)
	return a
}

// Run serves until stopping ends, then until the kept runs have ended.
func (a *Agent) Run(stopping context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a.ctx = ctx
	a.pid = a.system.Root.Spawn(actor.PropsFromFunc(a.receive))
	defer a.system.Shutdown()
	server, err := a.listen(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = server.Close() }()
	a.mesh.SetTargets(ctx, mesh.SeedAddrs(a.node))
	go a.findEntries(ctx)
	go a.recall(ctx)
	go a.remember(ctx)
	a.send(tick{})
	a.deps.Log.Info().Str("event", "start").Str("endpoint", a.node.EndpointAddr).Msg("agent started")
	<-stopping.Done()
	a.send(stop{})
	select {
	case <-a.idle:
	case <-time.After(a.node.Grace - stopMargin):
	}
	a.deps.Log.Info().Str("event", "stop").Msg("agent stopped")
	return nil
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
	a.send(membersRead{members})
}

func (a *Agent) linked() bool {
	reply := make(chan bool, 1)
	a.send(askLinked{reply})
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
	a.send(announced{n, taken})
	select {
	case <-taken:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// Left implements platform.EndpointEvents.
func (a *Agent) Left(id string) { a.send(left{id}) }

// LinkUp implements mesh.Events.
func (a *Agent) LinkUp(l *mesh.Link) { a.send(linkUp{l}) }

// LinkDown implements mesh.Events.
func (a *Agent) LinkDown(l *mesh.Link) { a.send(linkDown{l}) }

// Received implements mesh.Events.
func (a *Agent) Received(l *mesh.Link, m wire.Message) { a.send(received{l, m}) }

// Refused implements mesh.Events.
func (a *Agent) Refused(addr string) { a.send(refused{addr}) }

func (a *Agent) send(m any) { a.system.Root.Send(a.pid, m) }

// Reload takes in settings that have changed: the hosts to ask for entries.
func (a *Agent) Reload(node platform.Node) { a.send(reload{node}) }
