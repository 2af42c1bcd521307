// Package entry is the process behind the platform's balancer. It accepts
// clients' jobs, submits each to the entry that holds the queue of the job's
// shard, and answers the client. Any entry can hold queues.
package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/drain"
	"bergamotwing.example/hosted/arrival"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/wire"
)

const (
	headerTimeout = 3 * time.Second
	// rotationTime is how long an entry may still get new connections after it
	// has stopped being ready: two probes a second apart, and the time they take.
	rotationTime = 2500 * time.Millisecond
	stopMargin   = 500 * time.Millisecond // part of the time between SIGTERM and SIGKILL that is kept in reserve
	// answerTime is the part of stopMargin for answering the requests that are
	// still open when stopMargin begins.
	answerTime = 200 * time.Millisecond
)

// Options are an entry's own settings.
type Options struct {
	// LinkListen is the IP:port at which links are accepted, if a forwarder
	// listens at the address that others dial. Empty: the address that others dial.
	LinkListen string
	// ShardEndpoints is the most endpoints of a service that one entry places
	// tasks on. 0: dispatch.ShardEndpoints.
	ShardEndpoints int
	// Interference says what the entry does about tasks that slow each other down.
	// Empty: nothing.
	Interference dispatch.InterferenceMode
}

// Entry is one incarnation of the process.
type Entry struct {
	actor *control.Actor

	node  platform.Node
	opts  Options
	deps  control.Deps
	self  wire.NodeHello
	mesh  *mesh.Mesh
	store *platform.Store
	odd   *control.OddRows
	ctx   context.Context //nolint:containedctx // of the process; ends its background work

	running    chan struct{}   // closed once Run has used the settings
	woke       chan struct{}   // signals that the process has woken from a pause; buffered: one signal
	arrivals   *arrival.Marker // of the clients' listener
	state      *state
	rowsMu     sync.Mutex
	rows       *operatorRows // as read from the store, here or by an agent; nil: none yet
	rowsReadAt atomic.Uint64 // readAt of rows

	storeFailing bool // the latest call of watchOperator has failed

	operator atomic.Pointer[dispatch.OperatorState] // newest state, also read by the handlers of client requests; nil: none yet
	ready    atomic.Bool
	stopping atomic.Bool

	cancelsKnown atomic.Bool   // all acknowledged cancels are known here; jobs are taken only then
	cancelDoubts atomic.Uint64 // how often the table of cancelled jobs was to be read
	storeClock   atomic.Int64  // nanoseconds from this host's clock to that of the store; 0: not known
}

// New returns an entry that Run starts.
func New(node platform.Node, opts Options, deps control.Deps) *Entry {
	deps = deps.WithLimiter(node)
	e := &Entry{actor: control.NewActor(), node: node, opts: opts, deps: deps, store: platform.NewStore(node.StoreAddr), odd: control.NewOddRows(deps), running: make(chan struct{}), woke: make(chan struct{}, 1), arrivals: arrival.NewMarker()}
	e.self = wire.NodeHello{
		Name: node.Name, Incarnation: control.NewIncarnation(), Role: wire.RoleEntry, Zone: node.Zone,
		Addr:  net.JoinHostPort(node.IP, strconv.Itoa(node.LinkPort)),
		Cores: node.Cores, LinkMbps: node.LinkMbps, NewestKind: wire.NewestKind,
	}
	if e.opts.ShardEndpoints == 0 {
		e.opts.ShardEndpoints = dispatch.ShardEndpoints
	}
	if e.opts.LinkListen == "" {
		e.opts.LinkListen = e.self.Addr
	}
	e.mesh = mesh.New(e.self, e.actor, wire.Count(deps.Metrics), deps.Log)
	e.state = newState(e)
	e.state.interference.register(deps.Metrics)
	if node.StoreAddr == "" {
		e.cancelsKnown.Store(true)
	} else {
		e.cancelDoubts.Store(1)
		e.state.storeCancels = func(set, remove []string) { go e.writeCancels(set, remove) }
	}
	return e
}

func (e *Entry) owner() dispatch.Owner {
	return dispatch.Owner{Entry: e.self.Name, Incarnation: uint64(e.self.Incarnation)}
}

// Run serves until the context stopping is cancelled, then until the open requests
// are answered and other entries have acknowledged the ends of their jobs, within
// the grace period.
func (e *Entry) Run(stopping context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e.ctx = ctx
	e.actor.Start(e.receive)
	defer e.actor.Shutdown()
	clients, err := e.listenAll(ctx)
	if err != nil {
		return err
	}
	e.mesh.SetTargets(ctx, mesh.SeedAddrs(e.node))
	close(e.running)
	go e.watchOperator(ctx)
	go e.register(ctx)
	e.actor.Send(control.Tick{})
	e.deps.Log.Info().Str("event", "start").Str("addr", e.self.Addr).Uint64("incarnation", uint64(e.self.Incarnation)).Msg("entry started")
	<-stopping.Done()
	began := mesh.Now()
	e.drain(clients)
	e.deps.Log.Info().Str("event", "stop").Dur("took_ms", mesh.Now()-began).Msg("entry stopped")
	return nil
}

// drain marks the entry as not ready, goes on serving while the balancer may still
// send clients, and then answers the open requests.
func (e *Entry) drain(clients *drain.Server) {
	limit := e.node.Grace - stopMargin
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	outOfRotation := time.After(min(rotationTime, limit/2))
	e.stopping.Store(true)
	e.ready.Store(false)
	e.actor.Send(control.Stop{})
	e.logDrain(ctx, clients, "stopping", "entry leaves rotation")
	<-outOfRotation
	e.logDrain(ctx, clients, "draining", "entry takes no new connections")
	if err := clients.Stop(ctx); err != nil {
		e.endOpen(clients)
	}
	e.logDrain(ctx, clients, "drained", "clients are answered")
	e.waitIdle(ctx)
}

// endOpen answers the requests that are still open at the end of the time to stop.
func (e *Entry) endOpen(clients *drain.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	e.logDrain(ctx, clients, "ending_open", "open requests are answered without the ends of their jobs")
	e.actor.Send(endRequests{})
	clients.Interrupt()
	if err := clients.Wait(ctx); err != nil {
		e.deps.Log.Warn().Str("event", "cut_off").Err(err).Msg("connections were open at the end of the grace period")
	}
	e.waitIdle(ctx) // until the runs are stopped
}

// logDrain logs a step of a stop and the work that is left.
func (e *Entry) logDrain(ctx context.Context, clients *drain.Server, event, what string) {
	busy, unused := clients.Count(time.Now())
	work := e.unfinished(ctx)
	e.deps.Log.Info().Str("event", event).Int("busy_connections", busy).Int("unused_connections", unused).
		Int("jobs", work.jobs).Int("untold", work.unacknowledged).Msg(what)
}

// unfinished returns the work that is left before this entry may end. It is zero if
// the control actor does not answer before ctx ends.
func (e *Entry) unfinished(ctx context.Context) unfinished {
	reply := make(chan unfinished, 1)
	e.actor.Send(askUnfinished{reply})
	select {
	case work := <-reply:
		return work
	case <-ctx.Done():
		return unfinished{}
	}
}

// waitIdle returns when ctx ends, or when this entry has no open job, its own clients'
// or another entry's, and the other entries have acknowledged the ends of their jobs:
// a client that gets no outcome resubmits its job.
func (e *Entry) waitIdle(ctx context.Context) {
	for ctx.Err() == nil && e.unfinished(ctx) != (unfinished{}) {
		select {
		case <-ctx.Done():
		case <-time.After(drain.IdlePoll):
		}
	}
}

func (e *Entry) listenAll(ctx context.Context) (*drain.Server, error) {
	bounds := e.deps.Limiter
	links, err := bounds.Listen(ctx, e.opts.LinkListen, bounds.Links(e.mesh.Knows))
	if err != nil {
		return nil, err
	}
	e.serve(links, e.mesh.Handler(ctx), "links")
	control := http.NotFoundHandler() // only endpoints call this address, to reach the agents on their hosts
	for _, service := range []struct {
		name, addr string
		handler    http.Handler
	}{{"ready", e.node.ReadyAddr, platform.ReadyHandler(e.ready.Load)}, {"control", e.node.ControlAddr, control}} {
		if service.addr == "" {
			continue
		}
		l, err := bounds.Listen(ctx, service.addr, bounds.Service(service.name))
		if err != nil {
			return nil, err
		}
		e.serve(l, service.handler, service.name)
	}
	kind := bounds.Clients()
	kind.Wrap = e.arrivals.Listen
	l, err := bounds.Listen(ctx, e.node.ClientAddr, kind)
	if err != nil {
		return nil, err
	}
	clients := drain.New(bounds.Server(http.HandlerFunc(e.serveClient), headerTimeout), l)
	go func() {
		if err := clients.Serve(); err != nil {
			e.deps.Log.Error().Err(err).Msg("listener ended")
		}
	}()
	return clients, nil
}

func (e *Entry) serve(l net.Listener, h http.Handler, name string) {
	server := e.deps.Limiter.Server(h, headerTimeout)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			e.deps.Log.Error().Err(eris.Wrap(err, name)).Msg("listener ended")
		}
	}()
}

// Reload applies settings that have changed: the hosts where entries may listen.
func (e *Entry) Reload(node platform.Node) {
	<-e.running // before that the actor does not run, and Run would replace these settings by the first ones
	e.actor.Send(control.Reload{Node: node})
}
