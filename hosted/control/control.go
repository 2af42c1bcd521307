// Package control runs the control actor of a hosted process: the only goroutine
// that accesses the process's state. All others send messages to it.
package control

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rs/zerolog"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/connlimit"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/telemetry"
	"bergamotwing.example/wire"
)

// Deps are the logger and the metrics of a hosted process.
type Deps struct {
	Log     zerolog.Logger
	Metrics *telemetry.Metrics
	Limiter *connlimit.Limiter // of the process's listeners; nil: one with the bounds that follow from the settings
}

// WithLimiter returns d with a limiter.
func (d Deps) WithLimiter(node platform.Node) Deps {
	if d.Limiter == nil {
		limits, _ := connlimit.LimitsOf(node.MemoryMB, node.Descriptors, connlimit.Options{}) // no error without options
		d.Limiter = connlimit.New(limits, NewLimitReport(d).Closed)
	}
	return d
}

// RefuseLate closes a link that comes after a later one, or takes it and returns false.
func (d Deps) RefuseLate(now time.Duration, order *mesh.Order, l *mesh.Link) bool {
	why := order.Refuse(now, l)
	if why == "" {
		return false
	}
	l.Close()
	d.Metrics.Count("bergamotwing_links_late_total", "Links that were closed since a later one to the same process had come before.", 1)
	d.Log.Warn().Str("event", "link_late").Str("peer", l.Hello.Name).Str("reason", why).Uint64("number", l.Number).
		Uint64("incarnation", uint64(l.Hello.Incarnation)).Dur("age_ms", now-l.Began).Msg("link closed since a later one came before")
	return true
}

// Messages that entries and agents have in common.
type (
	// Tick has the actor do the work that is due.
	Tick struct{}
	// Stop says that the process is to stop.
	Stop struct{}
	// Reload carries settings that have changed.
	Reload struct{ Node platform.Node }
	// LinkUp says that a link is open.
	LinkUp struct{ Link *mesh.Link }
	// LinkDown says that a link has ended.
	LinkDown struct{ Link *mesh.Link }
	// Received carries a message that was received on a link.
	Received struct {
		Link    *mesh.Link
		Message wire.Message
	}
	// Refused says that nothing listened at an address.
	Refused struct {
		Addr   string
		Dialed time.Duration // when it was dialed
	}
	// MembersRead carries the entries registered in the store.
	MembersRead struct {
		Members []mesh.MemberRow
		Began   time.Duration // when the read began
	}
)

// Actor is the control actor. It implements mesh.Events by sending itself a message
// for each event.
type Actor struct {
	system *actor.ActorSystem
	pid    *actor.PID
}

// NewActor returns an actor that Start starts.
func NewActor() *Actor {
	return &Actor{system: actor.NewActorSystem(
		actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }),
		actor.WithDeadLetterThrottleInterval(time.Millisecond),
	)}
}

// Start starts the actor. It calls receive for one message at a time.
func (a *Actor) Start(receive func(now time.Duration, message any)) {
	a.pid = a.system.Root.Spawn(actor.PropsFromFunc(func(ctx actor.Context) {
		receive(mesh.Now(), ctx.Message())
	}))
}

// Shutdown ends the actor.
func (a *Actor) Shutdown() { a.system.Shutdown() }

// Send queues a message. It never blocks.
func (a *Actor) Send(message any) { a.system.Root.Send(a.pid, message) }

// TickAfter sends the actor a Tick after a pause.
func (a *Actor) TickAfter(pause time.Duration) {
	time.AfterFunc(pause, func() { a.Send(Tick{}) })
}

// LinkUp implements mesh.Events.
func (a *Actor) LinkUp(l *mesh.Link) { a.Send(LinkUp{l}) }

// LinkDown implements mesh.Events.
func (a *Actor) LinkDown(l *mesh.Link) { a.Send(LinkDown{l}) }

// Received implements mesh.Events.
func (a *Actor) Received(l *mesh.Link, m wire.Message) { a.Send(Received{l, m}) }

// Refused implements mesh.Events.
func (a *Actor) Refused(addr string, dialed time.Duration) { a.Send(Refused{addr, dialed}) }

// NewIncarnation returns a random number that tells this incarnation of a process from others.
func NewIncarnation() wire.Incarnation {
	return wire.Incarnation(rand.Uint64()) //nolint:gosec // keeps no secret
}

// TimingOf returns the timing that follows from the platform's settings.
func TimingOf(node platform.Node) dispatch.Timing {
	return dispatch.NewTiming(dispatch.Limits{ResendAfter: node.ResendAfter, MaxLease: node.MaxLease, StopTime: node.StopTime, RemoteDataFactor: node.RemoteDataFactor})
}
