package agent

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bergamotwing.example/result"
	"bergamotwing.example/settings"
	"bergamotwing.example/tablestore"
	"bergamotwing.example/telemetry"
	"bergamotwing.example/wire"
)

// Deps holds the dependencies of an agent besides its settings.
type Deps struct {
	Log     zerolog.Logger
	Metrics *telemetry.Metrics
	Table   tablestore.Table
}

// Agent runs the tasks that entries grant to the endpoint beside it.
type Agent struct {
	cfg         settings.Agent
	log         zerolog.Logger
	metrics     *telemetry.Metrics
	table       tablestore.Table
	clock       clock
	startedAt   time.Time
	incarnation wire.Incarnation
	token       string
	linkTLS     *tls.Config
	listener    net.Listener
	killed      context.Context //nolint:containedctx // ends with Kill
	kill        context.CancelFunc

	permission permission
	failures   failures
	running    *running
	slots      *slotTable
	records    *records
	links      *links
	endpoint   *endpoint
	dialers    *dialers
	control    *control
}

// New returns an agent that listens but does nothing else before Run. Errors in
// the settings have code BadSettings.
func New(cfg settings.Agent, deps Deps) (*Agent, error) {
	a := &Agent{
		cfg:         cfg,
		log:         deps.Log,
		metrics:     deps.Metrics,
		table:       deps.Table,
		clock:       newClock(),
		startedAt:   time.Now(),
		incarnation: newIncarnation(),
		running:     newRunning(),
		slots:       newSlotTable(cfg.Slots),
		records:     newRecords(cfg.ResultBytes),
		links:       newLinks(),
	}
	a.killed, a.kill = context.WithCancel(context.Background())
	a.dialers = newDialers(a)
	a.control = newControl(a)
	if err := a.configure(); err != nil {
		return nil, err
	}
	a.registerGauges()
	return a, nil
}

// configure loads the keys and certificates that the settings refer to, and opens
// the listener.
func (a *Agent) configure() error {
	if len(a.cfg.Keys) == 0 {
		return result.Errorf(result.BadSettings, "keys: at least one is needed")
	}
	secrets, err := settings.LoadKeys(a.cfg.Keys)
	if err != nil {
		return err
	}
	a.token = wire.LinkToken(secrets[0])
	if a.linkTLS, err = a.cfg.LinkTLS.Client(); err != nil {
		return err
	}
	if a.endpoint, err = newEndpoint(a.cfg); err != nil {
		return err
	}
	if a.listener, err = net.Listen("tcp", a.cfg.Listen); err != nil {
		return result.Errorf(result.BadSettings, "listen: %v", err)
	}
	return nil
}

// newIncarnation draws the random number of this incarnation; it is never 0.
func newIncarnation() wire.Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return wire.Incarnation(binary.BigEndian.Uint64(b[:]) | 1)
}

func (a *Agent) incarnationText() string { return strconv.FormatUint(uint64(a.incarnation), 16) }

// Addr returns the address of the agent's HTTP listener.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

func (a *Agent) snapshot() *snapshot { return a.control.published.Load() }

// hello returns the first message of a link.
func (a *Agent) hello() *wire.AgentHello {
	snap := a.snapshot()
	return &wire.AgentHello{
		Agent:       a.cfg.ID,
		Incarnation: a.incarnation,
		Zone:        a.cfg.Zone,
		Service:     a.cfg.Service,
		Slots:       a.cfg.Slots,
		MemoryMB:    a.cfg.MemoryMB,
		Version:     snap.version(),
		Clock:       a.clock.millis(),
		Leaving:     snap.leaving,
		State:       snap.state,
	}
}

// Run serves until ctx ends and then stops gracefully: no further task starts,
// running tasks finish and their results are sent, all within StopTimeout. It
// returns an error if tasks were aborted. Run may be called only once.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(a.killed, cancel)()
	if err := a.control.start(); err != nil {
		return err
	}
	server := a.newServer()
	var background sync.WaitGroup
	background.Go(func() { a.serveHTTP(server) })
	background.Go(func() { a.register(ctx) })
	ticks, stopTicks := context.WithCancel(context.Background())
	background.Go(func() { a.tick(ticks) })
	for _, addr := range a.cfg.Entries {
		a.dialers.dial(addr, 0)
	}
	<-ctx.Done()
	err := a.shutdown()
	stopTicks()
	a.dialers.stop()
	a.stopHTTP(server)
	background.Wait()
	a.control.stop()
	a.endpoint.close()
	return err
}

// shutdown drains the agent, unless it was killed.
func (a *Agent) shutdown() error {
	if a.killed.Err() != nil {
		return errKilled
	}
	return a.drain()
}

func (a *Agent) serveHTTP(server *http.Server) {
	if err := server.Serve(a.listener); !errors.Is(err, http.ErrServerClosed) {
		a.log.Error().Err(eris.Wrap(err, "serve http")).Msg("listener ended")
	}
}

// stopHTTP gives open requests up to httpStopTimeout to finish.
func (a *Agent) stopHTTP(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), httpStopTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

func (a *Agent) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.control.send(&tick{})
		case <-ctx.Done():
			return
		}
	}
}
