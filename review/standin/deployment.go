package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names and ports of the deployment, as on a day of a small one.
const (
	service   = "huvo11a"
	routeHost = "nony24.example"
	prefix    = "/lohu930/"

	linkPort, frontPort, readyPort, controlPort, executorPort, platformPort = 7720, 8161, 8167, 8166, 8165, 8169

	probeEvery = time.Second // of the platform's forwarder
)

var zones = []string{"gent-noord", "brugge-oost", "kortrijk-zuid"}

// deployment is a front machine in each zone and some side machines.
type deployment struct {
	rec    *record
	store  *store
	fronts []*machine
	sides  []*machine
	dir    string
	binary string
	net    byte // third byte of all addresses
	cancel context.CancelFunc
}

// machine is a host with its process of the system.
type machine struct {
	name, role, zone, ip string
	file                 string // settings
	executor             *executor
	d                    *deployment

	mu         sync.Mutex
	process    *exec.Cmd
	exited     chan struct{}
	inRotation bool
	misses     int
}

func startDeployment(rec *record, binary string, sides int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{rec: rec, store: newStore(), dir: dir, binary: binary, net: byte(os.Getpid()), cancel: cancel}
	go d.closeOnSignal()
	if err := d.serve(d.ip(250), platformPort, d.store); err != nil {
		return d, err
	}
	d.setConfig(7, ownRoute, otherRoute)
	for i, zone := range zones {
		d.fronts = append(d.fronts, &machine{name: "front-" + zone + "-1", role: "entry", zone: zone, ip: d.ip(10 + i), d: d})
	}
	for i := range sides {
		zone := zones[i%len(zones)]
		m := &machine{name: fmt.Sprintf("side-%s-%d", zone, 1+i/len(zones)), role: "agent", zone: zone, ip: d.ip(30 + i), d: d}
		m.executor = &executor{
			id: fmt.Sprintf("i-%08x", 0x7f3a9000+i), addr: address(m.ip, executorPort), service: service, zone: zone,
			control: address(m.ip, controlPort), rack: fmt.Sprintf("r1-%d", 1+i/3), rec: rec,
		}
		d.sides = append(d.sides, m)
	}
	for _, m := range append(append([]*machine{}, d.fronts...), d.sides...) {
		if err := m.start(); err != nil {
			return d, err
		}
	}
	for _, m := range d.sides {
		if err := m.executor.start(); err != nil {
			return d, err
		}
		go m.executor.keepStepping(ctx)
		go m.executor.keepBeating(ctx)
	}
	go d.probe(ctx)
	return d, d.waitServing()
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func (d *deployment) ip(last int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8%64, d.net, last)
}

func (d *deployment) serve(ip string, port int, h http.Handler) error {
	l, err := net.Listen("tcp", address(ip, port))
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: time.Second}).Serve(l) }()
	return nil
}

// route is a route of the desired state.
type route struct{ name, host, prefix string }

var (
	ownRoute   = route{"r-3hwrr6x", routeHost, prefix}
	otherRoute = route{"r-73d3zji", "ficu95.example", "/pufi791/"}
)

// setConfig writes a desired state.
func (d *deployment) setConfig(version int, routes ...route) {
	var rows []map[string]any
	for _, r := range routes {
		rows = append(rows, map[string]any{
			"Name": r.name, "Host": r.host, "Prefix": r.prefix, "Kind": "unsafe", "TimeoutMs": 1500, "TargetLatencyMs": 60,
			"Priority": 0, "Service": service, "MaxAttempts": 4, "Stretch": 1.6,
		})
	}
	d.store.put("op", "config", map[string]any{
		"Version": version, "Routes": rows,
		"Services": []map[string]any{{
			"Name": service, "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1", "Tls": false, "ColdStartS": 0,
			"ColdPerS": 0, "AdmissionCheck": true, "Spare": false,
		}},
		"Limits": map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	d.rec.note("desired state %d with the routes %v", version, routes)
}

// settings returns the settings file of a machine.
func (m *machine) settings() ([]byte, error) {
	d := m.d
	seeds, regions := []string{}, map[string]string{}
	for i, zone := range zones {
		seeds, regions[zone] = append(seeds, address(d.ip(10+i), controlPort)), "vlaanderen"
	}
	doc := map[string]any{
		"NodeName": m.name, "Role": m.role, "Ip": m.ip, "Zone": m.zone, "Region": "vlaanderen", "Zones": regions,
		"PortRange": []int{linkPort, linkPort + 15}, "Seeds": seeds, "Bootstrap": true, "InTolerance": false, "DataDir": nil,
		"Discovery": "local", "Entry": "vip", "HeartbeatMs": beatEvery.Milliseconds(), "Orders": "rpc",
		"FaultTolerance": map[string]int{"Machines": 1, "Zones": 1, "Regions": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 6,
			"LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "MaxStretchMs": 5000, "EvacuateMs": 5000,
			"RecoveryS": 12, "HoldMaxMs": holdMaxMs, "StopTimeoutMs": 50, "GangTimeoutMs": 3000, "cancel_ms": 3000,
			"visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "FarFactor": 1.5, "NoticeMs": 4500,
			"EnforceFencing": true, "LeaseMs": 3000, "ThawSlackMs": 300, "PaceMs": 100, "HarmMs": 4000, "ResendMs": 1300,
		},
		"platform": map[string]any{
			"Address": address(d.ip(250), platformPort), "form": "table", "WritesPerS": 800, "ReadsPerS": 2000, "TxMs": 6,
			"PartWritesPerS": 200, "RowBytes": 65536, "Across": false, "HistoryS": 20,
		},
		"Limits": map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000, "DiskMb": 0},
	}
	if m.role == "entry" {
		doc["MachineClass"], doc["Serves"] = "front", []string{"front", "control"}
		doc["Listen"] = map[string]string{"Front": address(m.ip, frontPort), "Ready": address(m.ip, readyPort), "Control": address(m.ip, controlPort)}
	} else {
		doc["MachineClass"], doc["Serves"] = "side", []string{"side"}
		doc["Listen"] = map[string]string{"Control": address(m.ip, controlPort)}
		doc["app"], doc["Service"] = address(m.ip, executorPort), service
	}
	return json.Marshal(doc)
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() error {
	text, err := m.settings()
	if err != nil {
		return err
	}
	m.file = filepath.Join(m.d.dir, m.name+".json")
	if err := os.WriteFile(m.file, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process = exec.Command(m.d.binary, "hosted", m.role, "--metrics-port", "9464")
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BERGAMOTWING_NODE_FILE=" + m.file}
	m.process.Stdout, m.process.Stderr = log, log
	if err := m.process.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(p *exec.Cmd, exited chan struct{}) {
		_ = p.Wait()
		close(exited)
	}(m.process, m.exited)
	m.d.rec.note("%s starts", m.name)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s)
		m.d.rec.note("%s gets %v", m.name, s)
	}
}

// waitExited reports whether the process has ended within a time.
func (m *machine) waitExited(limit time.Duration) bool {
	select {
	case <-m.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// closeOnSignal ends all processes when a run is stopped early.
func (d *deployment) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	d.close(false)
	os.Exit(couldNot)
}

// close ends all processes.
func (d *deployment) close(keepLogs bool) {
	d.cancel()
	for _, m := range append(append([]*machine{}, d.fronts...), d.sides...) {
		if m.process == nil {
			continue
		}
		_ = m.process.Process.Signal(syscall.SIGCONT)
		_ = m.process.Process.Kill()
		<-m.exited
	}
	if keepLogs {
		fmt.Println("logs of the processes: " + d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

// probe keeps the rotation of the platform's forwarder: out after two misses.
func (d *deployment) probe(ctx context.Context) {
	for ctx.Err() == nil {
		for _, m := range d.fronts {
			go m.probe(ctx)
		}
		time.Sleep(probeEvery)
	}
}

func (m *machine) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeEvery)
	defer cancel()
	ok := false
	if req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address(m.ip, readyPort)+"/-/ready", nil); err == nil {
		if resp, err := http.DefaultClient.Do(req); err == nil {
			ok = resp.StatusCode == http.StatusOK
			_ = resp.Body.Close()
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.inRotation
	if ok {
		m.misses, m.inRotation = 0, true
	} else if m.misses++; m.misses >= 2 {
		m.inRotation = false
	}
	if before != m.inRotation {
		m.d.rec.note("forwarder: %s in rotation: %v", m.name, m.inRotation)
	}
}

func (m *machine) rotates() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inRotation
}

// frontFor returns the front machine that gets a new channel of a client in a zone: that
// of the zone or, if it is not in rotation, that of the nearest zone.
func (d *deployment) frontFor(zone int) *machine {
	for i := range d.fronts {
		if m := d.fronts[(zone+i)%len(d.fronts)]; m.rotates() {
			return m
		}
	}
	return d.fronts[zone]
}

// answer is what a client got: a status of 0 stands for no answer.
type answer struct {
	status int
	body   string
}

func (a answer) completed() bool { return a.status == 200 && strings.Contains(a.body, "completed") }

// call makes a request to a front machine on a new channel. ctx ends when the client
// closes it.
func (d *deployment) call(ctx context.Context, m *machine, method, job, body string, wait time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address(m.ip, frontPort)+prefix+job, strings.NewReader(body))
	if err != nil {
		return answer{}
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Deadline", strconv.FormatInt(wait.Milliseconds(), 10))
	d.rec.note("client sends %s %s%s to %s, waits %v", method, prefix, job, m.name, wait)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		d.rec.note("client gets no answer to %s %s%s from %s", method, prefix, job, m.name)
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		d.rec.note("client gets a broken answer to %s %s%s from %s", method, prefix, job, m.name)
		return answer{}
	}
	d.rec.note("client gets %d %s to %s %s%s from %s", resp.StatusCode, text, method, prefix, job, m.name)
	return answer{resp.StatusCode, string(text)}
}

// jobBody returns a job of one step. The run time and the Cpu stand in its Spec.
func jobBody(tasks, ms, cpu int) string {
	return fmt.Sprintf(`{"Spec":"%d %d","BestEffort":true,"Steps":[{"Count":%d,"Cpu":%d,"MemMb":64,"EstimateMs":%d}]}`, ms, cpu, tasks, cpu, ms)
}

var errNotServing = errors.New("the deployment does not serve")

// waitServing waits until all front machines are in rotation and serve a job that needs
// all executors.
func (d *deployment) waitServing() error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, m := range d.fronts {
			all = all && m.rotates()
		}
		if !all {
			continue
		}
		served := 0
		for _, m := range d.fronts {
			if d.call(context.Background(), m, http.MethodPost, newID(), jobBody(len(d.sides), 50, 40000), 3*time.Second).completed() {
				served++
			}
		}
		if served == len(d.fronts) {
			return nil
		}
	}
	return errNotServing
}

// settle waits until the links and clocks of a deployment have settled.
func settle() { time.Sleep(4 * time.Second) }
