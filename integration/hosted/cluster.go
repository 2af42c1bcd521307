// Package hosted runs the hosted processes against stand-ins of the hosting
// platform, for tests: real processes over loopback, each host with an address
// of its own.
package hosted

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/platform/fake"
)

// Ports of every host, and parts of the deployment's configuration.
const (
	linkPort, clientPort, readyPort, controlPort, endpointPort = 7720, 8161, 8167, 8166, 8165

	service   = "svc"
	routeHost = "jobs.example"
	prefix    = "/q/"

	heartbeat     = 500 * time.Millisecond
	endpointCores = 8000
	resendAfter   = 1300 * time.Millisecond
	clientWaits   = 3 * time.Second
	readyLimit    = 15 * time.Second
)

// Zones of the hosts, in turn.
var zones = []string{"z1", "z2", "z3"}

// Cluster is a deployment.
type Cluster struct {
	Store   *fake.Store
	Record  *fake.Record
	Entries []*Host
	Agents  []*Host

	t   testing.TB
	dir string
}

// Host is an entry's or an agent's host.
type Host struct {
	*harness.Process
	IP       string
	Zone     string
	Endpoint *fake.Endpoint // agents' hosts only
}

// New starts a deployment and waits until all entries are ready.
func New(t testing.TB, entries, agents int) *Cluster {
	t.Helper()
	c := &Cluster{Store: fake.NewStore(), Record: fake.NewRecord(), t: t, dir: t.TempDir()}
	serve(t, c.storeAddr(), c.Store)
	c.SetConfig(1, prefix)
	for i := range entries {
		c.Entries = append(c.Entries, c.start("entry", i, 10+i))
	}
	for i := range agents {
		h := c.start("agent", i, 100+i)
		c.Agents = append(c.Agents, h)
		c.startEndpoint(h, i)
	}
	c.WaitReady()
	return c
}

// address returns the address of the n-th host of this test binary.
func address(n int) string {
	pid := os.Getpid()
	return net.IPv4(127, 128|byte(pid>>8), byte(pid), byte(n)).String() //nolint:gosec // the low bytes are meant
}

func (c *Cluster) storeAddr() string { return net.JoinHostPort(address(250), "8169") }

func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// SetConfig writes the operator's configuration with one route at pathPrefix.
func (c *Cluster) SetConfig(version int, pathPrefix string) {
	c.Store.Put("op", "config", map[string]any{
		"Version": version,
		"Routes": []map[string]any{{
			"Name": "r", "Host": routeHost, "Prefix": pathPrefix, "Service": service, "TimeoutMs": 1500,
			"TargetLatencyMs": 500, "Priority": 0, "MaxAttempts": 3, "Stretch": 3,
		}},
		"Services": []map[string]any{{"Name": service, "AdmissionCheck": true}},
		"Limits":   map[string]int{"MaxBodyBytes": 1 << 18},
	})
}

func (c *Cluster) start(role string, index, n int) *Host {
	c.t.Helper()
	ip := address(n)
	name := fmt.Sprintf("%s-%d", role, index)
	zone := zones[index%len(zones)]
	node := map[string]any{
		"NodeName": name, "Ip": ip, "HeartbeatMs": heartbeat.Milliseconds(), "Zone": zone, "PortRange": []int{linkPort, linkPort + 9},
		"Listen": map[string]string{"Control": at(ip, controlPort)},
		"Seeds":  []string{at(address(10), controlPort), at(address(11), controlPort)},
		"Bounds": map[string]float64{"ConfigApplyMs": 2000, "GraceS": 6, "HoldMaxMs": 1000, "StopTimeoutMs": 50, "ResendMs": 1300},
		"Limits": map[string]float64{"CpuShare": 0.4}, "platform": map[string]string{"Address": c.storeAddr()},
	}
	if role == "entry" {
		node["Listen"] = map[string]string{"Front": at(ip, clientPort), "Ready": at(ip, readyPort), "Control": at(ip, controlPort)}
	} else {
		node["app"], node["Service"] = at(ip, endpointPort), service
	}
	text, err := json.Marshal(node)
	if err != nil {
		c.t.Fatal(err)
	}
	file := filepath.Join(c.dir, name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		c.t.Fatal(err)
	}
	return &Host{Process: harness.StartProcess(c.t, name, "hosted", role, "--node-file", file), IP: ip, Zone: zone}
}

// startEndpoint starts an endpoint that sends heartbeats to its agent.
func (c *Cluster) startEndpoint(h *Host, index int) {
	h.Endpoint = fake.NewEndpoint(fake.EndpointConfig{
		ID: fmt.Sprintf("i-%d", index), Service: service, Zone: h.Zone, Addr: at(h.IP, endpointPort),
		CPUMilli: endpointCores, Record: c.Record,
	})
	serve(c.t, at(h.IP, endpointPort), h.Endpoint)
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for ctx.Err() == nil {
			_ = h.Endpoint.Announce(at(h.IP, controlPort)) // the agent may be down
			select {
			case <-ctx.Done():
			case <-ticker.C:
			}
		}
	}()
}

func serve(t testing.TB, addr string, handler http.Handler) {
	t.Helper()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

// Ready reports whether an entry says that it is ready.
func (h *Host) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at(h.IP, readyPort)+"/-/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until all running entries are ready and jobs are served.
func (c *Cluster) WaitReady() {
	c.t.Helper()
	harness.Eventually(c.t, readyLimit, "all entries are ready", func() bool {
		for _, e := range c.Entries {
			if !e.Ready() {
				return false
			}
		}
		return true
	})
	harness.Eventually(c.t, readyLimit, "a job uses all endpoints", func() bool {
		a := c.Submit(c.Entries[0], NewJobID(), Tasks(8*len(c.Agents)-4, 50))
		return a.Completed()
	})
}

// Answer is what a client got.
type Answer struct {
	Err        error // no whole answer
	Status     int
	RetryAfter string
	Body       string
}

// Completed reports whether the job ended well.
func (a Answer) Completed() bool {
	return a.Status == http.StatusOK && strings.Contains(a.Body, `"completed"`)
}

// Failed reports whether the job ended as failed.
func (a Answer) Failed() bool {
	return a.Status == http.StatusOK && strings.Contains(a.Body, `"failed"`)
}

// NewJobID returns a random job id.
func NewJobID() string {
	return fmt.Sprintf("%016x", rand.Uint64()) //nolint:gosec // ids of a test
}

// Tasks returns a job of n tasks that run for ms milliseconds on a core each.
func Tasks(n, ms int) string {
	return fmt.Sprintf(`{"Spec":"%d","BestEffort":true,"Steps":[{"Count":%d,"Cpu":1000,"MemMb":64,"EstimateMs":%d}]}`, ms, n, ms)
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}

// Submit submits a job once and waits for the answer.
func (c *Cluster) Submit(e *Host, id, body string) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), clientWaits)
	defer cancel()
	return c.SubmitWithin(ctx, e, prefix, id, body)
}

// SubmitWithin submits a job once under a path prefix until ctx ends.
func (c *Cluster) SubmitWithin(ctx context.Context, e *Host, pathPrefix, id, body string) Answer {
	return call(ctx, http.MethodPost, e, pathPrefix+id, body)
}

func call(ctx context.Context, method string, e *Host, path, body string) Answer {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at(e.IP, clientPort)+path, strings.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = routeHost
	req.Header.Set("X-Request-Deadline", fmt.Sprint(clientWaits.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return Answer{Err: err, Status: resp.StatusCode, RetryAfter: resp.Header.Get("Retry-After"), Body: string(text)}
}

// Traffic submits jobs all the time, as clients do: a job without an answer, or
// with 502 or 504, is sent again at another entry 1.3 s later.
type Traffic struct {
	c       *Cluster
	stop    context.CancelFunc
	wait    sync.WaitGroup
	mu      sync.Mutex
	answers []Answer
	cutOff  int // connections that ended without a whole answer
	lies    []string
}

// StartTraffic starts clients that each submit a job every pause.
func (c *Cluster) StartTraffic(clients int, pause time.Duration) *Traffic {
	ctx, cancel := context.WithCancel(context.Background())
	tr := &Traffic{c: c, stop: cancel}
	c.t.Cleanup(tr.Stop)
	for i := range clients {
		tr.wait.Add(1)
		go func() {
			defer tr.wait.Done()
			tr.client(ctx, i, pause)
		}()
	}
	return tr
}

// Stop ends the traffic and waits for the open jobs.
func (tr *Traffic) Stop() {
	tr.stop()
	tr.wait.Wait()
}

func (tr *Traffic) client(ctx context.Context, n int, pause time.Duration) {
	for ctx.Err() == nil {
		tr.job(ctx, n)
		n++
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (tr *Traffic) job(ctx context.Context, n int) {
	id, body := NewJobID(), Tasks(1+rand.IntN(4), 20+rand.IntN(200)) //nolint:gosec // sizes of a test
	for try := range 3 {
		a := tr.c.Submit(tr.c.Entries[(n+try)%len(tr.c.Entries)], id, body)
		tr.note(id, a)
		if a.Err == nil && a.Status != http.StatusBadGateway && a.Status != http.StatusGatewayTimeout {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(resendAfter):
		}
	}
}

// note keeps an answer. A refusal that says that the job has not run is
// checked against the endpoints' record.
func (tr *Traffic) note(id string, a Answer) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.answers = append(tr.answers, a)
	if a.Err != nil {
		tr.cutOff++
	}
	if a.Status == http.StatusServiceUnavailable && tr.c.Record.Starts(id) > 0 {
		tr.lies = append(tr.lies, id)
	}
}

// Counts returns how many answers came, how many of them were completed jobs
// and how many connections ended without a whole answer.
func (tr *Traffic) Counts() (all, completed, cutOff int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, a := range tr.answers {
		if a.Completed() {
			completed++
		}
	}
	return len(tr.answers), completed, tr.cutOff
}

// Check fails the test if a promise was broken.
func (tr *Traffic) Check() {
	t := tr.c.t
	t.Helper()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, task := range tr.c.Record.Twice() {
		t.Errorf("ran twice at the same time: %s", task)
	}
	for _, id := range tr.lies {
		t.Errorf("job %s was refused as not run, but had run", id)
	}
}
