package hostedtrial

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bergamotwing.example/hosted/agent"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/entry"
	"bergamotwing.example/platform"
	"bergamotwing.example/platform/fake"
	"bergamotwing.example/telemetry"
)

// Parts of the deployment.
const (
	entryCount       = 3
	agentCount       = 4
	service          = "svc"
	routeHost        = "jobs.example"
	prefix           = "/q/"
	endpointCPUMilli = 8000
	readyPoll        = 50 * time.Millisecond
	stopTimeout      = 7 * time.Second // longest graceful stop

	// Last bytes of the hosts' addresses.
	firstEntry = 10
	firstAgent = 100
	storeHost  = 250
	storePort  = 8169 // not an address: the port at storeHost
)

var zones = []string{"z1", "z2", "z3"}

// process is a hosted process that runs in a goroutine.
type process struct {
	name   string
	ip     string
	cancel context.CancelFunc
	done   chan struct{}
}

// stop stops the process as SIGTERM does and waits until it has ended, at most
// for stopTimeout.
func (p *process) stop() {
	p.cancel()
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
	}
}

// deployment holds the hosted processes and their stand-ins.
type deployment struct {
	store     *fake.Store
	record    *fake.Record
	entries   []*process
	agents    []*process
	endpoints []*fake.Endpoint
	log       io.Writer
	servers   []*http.Server
	ctx       context.Context //nolint:containedctx // ends the heartbeats of endpoints
}

// host returns the address of the n-th host. It depends on the process id, so
// that trials that run at the same time have different addresses.
func host(n int) string {
	pid := os.Getpid()
	return net.IPv4(127, 64|byte(pid>>8)&63, byte(pid), byte(n)).String() //nolint:gosec // the low bytes are meant
}

func start(ctx context.Context, log io.Writer) (*deployment, error) {
	d := &deployment{store: fake.NewStore(), record: fake.NewRecord(), log: &lockedWriter{w: log}, ctx: ctx}
	if err := d.serve(fake.Addr(host(storeHost), storePort), d.store); err != nil {
		return nil, err
	}
	d.store.SetConfig(1, routeHost, prefix, service)
	for i := range entryCount {
		if err := d.startEntry(i); err != nil {
			return nil, err
		}
	}
	for i := range agentCount {
		if err := d.startAgent(i); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// lockedWriter lets all processes log to one writer.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write implements io.Writer.
func (l *lockedWriter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(b)
}

func (d *deployment) serve(addr string, handler http.Handler) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(d.ctx, "tcp", addr)
	if err != nil {
		return eris.Wrap(err, "stand-in")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }() // ends with Close
	return nil
}

// node returns the settings of a host, as the platform writes them.
func node(name, ip, zone, endpointService string) (platform.Node, error) {
	text, err := fake.Node{
		Name: name, IP: ip, Zone: zone, StoreAddr: fake.Addr(host(storeHost), storePort),
		Seeds: []string{host(firstEntry), host(firstEntry + 1)}, Service: endpointService,
	}.SettingsFile()
	if err != nil {
		return platform.Node{}, err
	}
	return platform.ParseNode(text)
}

func (d *deployment) startEntry(i int) error {
	name, ip, zone := fmt.Sprintf("entry-%d", i), host(firstEntry+i), zones[i%len(zones)]
	n, err := node(name, ip, zone, "")
	if err != nil {
		return err
	}
	deps, err := d.deps("entry", n)
	if err != nil {
		return err
	}
	d.entries = append(d.entries, runProcess(n, deps, entry.New(n, entry.Options{}, deps).Run))
	return nil
}

func (d *deployment) startAgent(i int) error {
	name, ip, zone := fmt.Sprintf("agent-%d", i), host(firstAgent+i), zones[i%len(zones)]
	n, err := node(name, ip, zone, service)
	if err != nil {
		return err
	}
	deps, err := d.deps("agent", n)
	if err != nil {
		return err
	}
	d.agents = append(d.agents, runProcess(n, deps, agent.New(n, deps).Run))
	e := fake.NewEndpoint(fake.EndpointConfig{
		ID: fmt.Sprintf("i-%d", i), Service: service, Zone: zone, Addr: fake.Addr(ip, fake.EndpointPort),
		CPUMilli: endpointCPUMilli, Record: d.record,
	})
	d.endpoints = append(d.endpoints, e)
	go e.KeepAnnouncing(d.ctx, fake.Addr(ip, fake.ControlPort))
	return d.serve(fake.Addr(ip, fake.EndpointPort), e)
}

func (d *deployment) deps(role string, n platform.Node) (control.Deps, error) {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return control.Deps{}, err
	}
	log := zerolog.New(d.log).With().Timestamp().Str("process", role).Str("host", n.Name).Logger()
	return control.Deps{Log: log, Metrics: metrics}, nil
}

func runProcess(n platform.Node, deps control.Deps, run func(context.Context) error) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{name: n.Name, ip: n.IP, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		if err := run(ctx); err != nil {
			deps.Log.Error().Err(err).Msg("process ended")
		}
	}()
	return p
}

// untilReady waits until every entry reports that it is ready.
func (d *deployment) untilReady(ctx context.Context) error {
	for _, e := range d.entries {
		for !fake.Ready(ctx, e.ip) {
			if err := pause(ctx, readyPoll); err != nil {
				return eris.Wrapf(err, "%s is not ready", e.name)
			}
		}
	}
	return nil
}

// submit submits a job at the n-th entry.
func (d *deployment) submit(n int, id, body string) fake.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	return fake.Call(ctx, http.MethodPost, d.entries[n%len(d.entries)].ip, routeHost, prefix+id, body, clientTimeout)
}

// startsIn returns how many runs began in a zone.
func (d *deployment) startsIn(zone string) int {
	n := 0
	for i, e := range d.endpoints {
		if zones[i%len(zones)] == zone {
			n += d.record.StartsAt(e.ID())
		}
	}
	return n
}

// stop stops all processes at the same time, then the stand-ins.
func (d *deployment) stop() {
	var wg sync.WaitGroup
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		wg.Go(p.stop)
	}
	wg.Wait()
	for _, s := range d.servers {
		_ = s.Close() // nothing is left to serve
	}
}
