package entry

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"bergamotwing.example/release"
	"bergamotwing.example/tablestore"
	"bergamotwing.example/wire"
)

// view is an immutable snapshot of the control state.
type view struct {
	State      *release.State // nil until a configuration has been received
	Holds      []release.Hold
	Registered []wire.Peer // entries in the table, as last read
	Members    []string    // ids of Registered and of the entries linked at that time; majorities are counted over these
	Peers      []wire.Peer // all entries known, except this one
	StoreRead  time.Time   // start of the last successful reading of the version
	StoreDown  bool        // the last reading failed
}

func (v *view) version() uint64 {
	if v.State == nil {
		return 0
	}
	return v.State.Version
}

// Messages of the control actor.
type (
	stateReceived struct{ state *release.State }
	storeRead     struct {
		state *release.State
		began time.Time
	}
	storeFailed struct{}
	holdAdded   struct{ holds []release.Hold }
	holdEnded   struct {
		noteID string
		state  *release.State // with the hold's note applied; nil if the zone of the hold was withdrawn
	}
	entriesRead   struct{ rows []tablestore.EntryRecord }
	peersReceived struct{ peers []wire.Peer }
	ackTo         struct{ peer *peerLink } // acknowledge the version in force to a peer
)

// control owns the entry's control state. It is a protoactor-go actor, which
// handles one message at a time; other goroutines send it messages and read the
// published view.
type control struct {
	e          *Entry
	system     *actor.ActorSystem
	pid        *actor.PID
	latest     atomic.Pointer[view]
	endedHolds map[string]bool // note ids of ended holds; only the actor uses it
	// lastConfirmed is the moment, in nanoseconds since the entry's start, at
	// which the version in force was last known to be current; 0 is never.
	// Heartbeats of peers and confirmVersions raise it without passing through the
	// actor.
	lastConfirmed atomic.Int64
}

func newControl(e *Entry) *control {
	c := &control{e: e, system: actor.NewActorSystem(
		actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }),
		// Messages to a stopped actor start a goroutine that lives this long.
		actor.WithDeadLetterThrottleInterval(time.Millisecond),
	), endedHolds: map[string]bool{}}
	c.latest.Store(&view{})
	c.pid = c.system.Root.Spawn(actor.PropsFromFunc(c.receive))
	return c
}

// view returns the latest snapshot.
func (c *control) view() *view { return c.latest.Load() }

func (c *control) send(m any) { c.system.Root.Send(c.pid, m) }

// run starts the goroutines that read and write the store for the actor.
func (c *control) run(ctx context.Context) {
	c.e.background(ctx, c.readVersions)
	c.e.background(ctx, c.confirmVersions)
	c.e.background(ctx, c.register)
	c.e.background(ctx, c.writeHolds)
}

func (c *control) stop() {
	_ = c.system.Root.StopFuture(c.pid).Wait()
	c.system.Shutdown()
}

func (c *control) receive(ctx actor.Context) {
	next := *c.view()
	switch m := ctx.Message().(type) {
	case stateReceived:
		c.adopt(&next, m.state)
	case storeRead:
		c.adopt(&next, m.state)
		next.StoreDown = false
		if m.began.After(next.StoreRead) {
			next.StoreRead = m.began
		}
	case storeFailed:
		next.StoreDown = true
	case holdAdded:
		c.addHolds(&next, m.holds)
	case holdEnded:
		c.adopt(&next, m.state)
		c.endedHolds[m.noteID] = true
		next.Holds = slices.DeleteFunc(slices.Clone(next.Holds), func(h release.Hold) bool { return h.NoteID == m.noteID })
	case entriesRead:
		c.updateMembers(&next, m.rows)
	case peersReceived:
		c.addPeers(&next, m.peers)
	case ackTo:
		m.peer.send(&wire.ConfigAck{Version: next.version()})
		return
	default:
		return
	}
	c.publish(&next)
	if m, ok := ctx.Message().(storeRead); ok && m.state.Version >= next.version() {
		c.raiseConfirmed(m.began)
	}
}

// adopt takes a configuration if it is newer; versions never go down.
func (c *control) adopt(next *view, s *release.State) {
	if s == nil || s.Version == 0 || s.Version <= next.version() {
		return
	}
	next.State = s
	next.Holds = slices.DeleteFunc(slices.Clone(next.Holds), func(h release.Hold) bool { return s.HasNote(h.NoteID) })
}

func (c *control) addHolds(next *view, holds []release.Hold) {
	for _, h := range holds {
		if c.endedHolds[h.NoteID] || next.State.HasNote(h.NoteID) || slices.Contains(next.Holds, h) {
			continue
		}
		next.Holds = append(slices.Clone(next.Holds), h)
	}
}

func (c *control) updateMembers(next *view, rows []tablestore.EntryRecord) {
	peers := make([]wire.Peer, 0, len(rows))
	for _, r := range rows {
		peers = append(peers, wire.Peer{ID: r.ID, Incarnation: wire.Incarnation(r.Incarnation), Addr: r.Addr, Zone: r.Zone})
	}
	next.Registered = peers
	next.Members = c.e.withLinked(ids(peers))
	// An entry that is neither in the table nor linked has ended, so it is removed.
	next.Peers = slices.DeleteFunc(slices.Clone(next.Peers), func(p wire.Peer) bool {
		registered := slices.ContainsFunc(peers, func(r wire.Peer) bool { return r.ID == p.ID })
		return !registered && c.e.peers.get(p.ID) == nil
	})
	c.addPeers(next, peers)
}

func ids(peers []wire.Peer) []string {
	out := make([]string, len(peers))
	for i, p := range peers {
		out[i] = p.ID
	}
	return out
}

// withLinked returns members and the ids of the entries linked now.
func (e *Entry) withLinked(members []string) []string {
	out := slices.Clone(members)
	e.peers.each(func(p *peerLink) {
		if !slices.Contains(out, p.id) {
			out = append(out, p.id)
		}
	})
	return out
}

// addPeers adds or replaces the records of other entries.
func (c *control) addPeers(next *view, received []wire.Peer) {
	peers := slices.Clone(next.Peers)
	for _, p := range received {
		if p.ID == c.e.self.ID {
			continue
		}
		i := slices.IndexFunc(peers, func(q wire.Peer) bool { return q.ID == p.ID })
		if i < 0 {
			peers = append(peers, p)
			continue
		}
		peers[i] = p
	}
	next.Peers = peers
}

// publish makes next the snapshot and sends what changed to agents and peers.
// They receive a configuration before any confirmation of its version.
func (c *control) publish(next *view) {
	last := c.view()
	changed := next.version() != last.version() || !slices.Equal(next.Holds, last.Holds)
	if changed {
		c.e.sendConfig(next)
	}
	c.latest.Store(next)
	if changed {
		c.e.log.Info().Uint64("version", next.version()).Interface("holds", next.Holds).Msg("configuration in force")
		c.e.configChanged(next)
	}
	if !slices.Equal(next.Peers, last.Peers) {
		c.e.agents.each(func(a *agentLink) { _ = a.link.Send(&wire.Config{Peers: c.e.allPeers(next)}) })
	}
}

// allPeers returns all entries known, this one included.
func (e *Entry) allPeers(v *view) []wire.Peer { return append(slices.Clone(v.Peers), e.self) }

func (e *Entry) sendConfig(v *view) {
	e.agents.each(func(a *agentLink) { _ = a.link.Send(e.agentConfig(v)) })
	e.peers.each(func(p *peerLink) { _ = p.link.Send(&wire.Config{State: v.State, Holds: v.Holds}) })
}

// configChanged applies a new configuration to the quotas, agents and services.
func (e *Entry) configChanged(v *view) {
	e.quotas.prune(v.State)
	e.agents.each(func(a *agentLink) { e.services.get(a.service).setAgent(a) })
	if v.State != nil {
		e.services.each(func(s *service) { s.configure(v.State) })
	}
}

// agentConfig returns the part of the configuration that an agent needs.
func (e *Entry) agentConfig(v *view) *wire.Config {
	if v.State == nil {
		return &wire.Config{Holds: v.Holds}
	}
	s := *v.State
	s.Teams = nil
	return &wire.Config{State: &s, Holds: v.Holds}
}
