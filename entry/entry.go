// Package entry implements the process on an entry host: it accepts jobs from
// callers, places their tasks on agents, gives each ticket that it issued
// exactly one final answer, and applies and distributes release notes.
//
// Control state (configuration, holds, members) lives in one actor that publishes
// snapshots (control.go); the moment at which the version was last confirmed is an
// atomic beside it (vouch.go). Traffic reads both and never waits for the actor.
package entry

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bergamotwing.example/ledger"
	"bergamotwing.example/release/notestore"
	"bergamotwing.example/settings"
	"bergamotwing.example/tablestore"
	"bergamotwing.example/telemetry"
	"bergamotwing.example/wire"
)

// Intervals and limits of the entry's periodic work and HTTP servers.
const (
	dispatchTick   = 5 * time.Millisecond  // places waiting tasks, requests and transfers credits; also the poll interval of a stop
	expireTick     = 50 * time.Millisecond // fails late jobs and jobs on lost agents, checks the agent links
	drainDelay     = time.Second           // /healthz refuses for this long before the entry closes, so that the load balancer notices
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// Deps are the dependencies that the program passes to an entry.
type Deps struct {
	Log     zerolog.Logger
	Metrics *telemetry.Metrics
	Table   tablestore.Table
}

// Addrs are the addresses an entry listens on, as IP:port.
type Addrs struct {
	Callers   string
	Operators string
	Links     string
	Metrics   string // empty if not served
}

// Entry is one incarnation of the entry process.
type Entry struct {
	cfg     settings.Entry
	log     zerolog.Logger
	metrics *telemetry.Metrics
	table   tablestore.Table
	notes   *notestore.Store
	obs     wire.Observer

	self       wire.Peer
	secrets    [][]byte
	ticketKeys []ledger.Key
	linkTLS    *tls.Config
	start      time.Time

	ledger     *ledger.Ledger
	control    *control
	agents     *linkSet[*agentLink]
	peers      *linkSet[*peerLink]
	services   *serviceSet
	quotas     *quotas
	successors *successorSet
	settler    *settler
	forwards   *forwards

	stopping  atomic.Bool
	openJobs  atomic.Int64
	requests  openRequests
	listeners listeners
	wg        sync.WaitGroup
}

// New loads the keys and certificates that the settings name and opens the
// listeners.
func New(cfg settings.Entry, deps Deps) (*Entry, error) {
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	secrets, err := settings.LoadKeys(cfg.Keys)
	if err != nil {
		return nil, err
	}
	linkTLS, err := cfg.LinkTLS.Client()
	if err != nil {
		return nil, err
	}
	e := &Entry{
		cfg:     cfg,
		log:     deps.Log.With().Uint64("incarnation", uint64(incarnation)).Logger(),
		metrics: deps.Metrics,
		table:   deps.Table,
		notes:   &notestore.Store{Table: deps.Table},
		obs:     wire.Count(deps.Metrics),
		secrets: secrets,
		linkTLS: linkTLS,
		start:   time.Now(),
		ledger:  ledger.New(cfg.ID, uint64(incarnation), cfg.Limits.ResultBytes),
	}
	for _, s := range secrets {
		e.ticketKeys = append(e.ticketKeys, ledger.Key(s))
	}
	if err := e.listeners.open(cfg); err != nil {
		return nil, err
	}
	e.self = wire.Peer{ID: cfg.ID, Incarnation: incarnation, Addr: linkAddr(cfg, e.listeners.links), Zone: cfg.Zone}
	e.agents = newLinkSet[*agentLink]()
	e.peers = newLinkSet[*peerLink]()
	e.services = newServiceSet(e)
	e.quotas = newQuotas()
	e.successors = newSuccessorSet()
	e.settler = newSettler(e)
	e.forwards = newForwards()
	e.requests = newOpenRequests()
	e.control = newControl(e)
	e.registerGauges()
	return e, nil
}

// Addrs returns the bound addresses.
func (e *Entry) Addrs() Addrs { return e.listeners.addrs() }

// Run serves until ctx ends, then stops gracefully: every open request gets an
// answer, at the latest that its outcome is unknown.
func (e *Entry) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e.log.Info().Str("callers", e.Addrs().Callers).Str("links", e.Addrs().Links).Msg("entry started")
	e.control.run(runCtx)
	e.background(runCtx, e.dialPeers)
	e.background(runCtx, e.tick)
	e.background(runCtx, e.settler.run)
	servers, err := e.serve()
	if err != nil {
		return err
	}
	<-ctx.Done()
	e.stop(servers)
	cancel()
	e.agents.closeAll()
	e.peers.closeAll()
	e.wg.Wait()
	e.control.stop()
	e.log.Info().Msg("entry stopped")
	return nil
}

func (e *Entry) background(ctx context.Context, f func(context.Context)) {
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		f(ctx)
	}()
}

// clock returns the milliseconds since the start of the process, on its
// monotonic clock, counted from 1.
func (e *Entry) clock() int64 { return time.Since(e.start).Milliseconds() + 1 }

// tick runs the periodic work of the services and the checks of the agent links.
func (e *Entry) tick(ctx context.Context) {
	fast := time.NewTicker(dispatchTick)
	defer fast.Stop()
	slow := time.NewTicker(expireTick)
	defer slow.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-fast.C:
			e.services.each(func(s *service) { s.tick() })
		case <-slow.C:
			e.services.each(func(s *service) { s.setHomes(); s.expire() })
			e.agents.each(e.checkAgent)
		}
	}
}

func newIncarnation() (wire.Incarnation, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, eris.Wrap(err, "generate incarnation")
	}
	return wire.Incarnation(binary.BigEndian.Uint64(b[:])), nil
}
