package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The deployment is like the small ones: three entries and six agents with an executor
// each, in three zones.
const (
	service    = "hire-desk"
	routeHost  = "jobs.example"
	routePath  = "/q/"
	entries    = 3
	agents     = 6
	coresMilli = 32000
	configMs   = 2000
	cancelTime = 3000 * time.Millisecond // cancel_ms
)

var zones = []string{"gwent", "ceredigion", "powys"}

// ports are the same on all machines.
type ports struct{ front, ready, control, app, link, forwarded, store int }

type machine struct {
	name, role, ip, zone, file string
	cmd                        *exec.Cmd
	ended                      chan struct{}
	executor                   *executor
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

type deployment struct {
	rec     *record
	dir     string // temporary
	root    string // of the repository
	command map[string][]string
	ports   ports
	net     *network // nil: links are not forwarded
	store   *store
	entries []*machine
	agents  []*machine
	stop    context.CancelFunc
}

// newDeployment starts a deployment and waits until it serves. forwarded puts a proxy in
// front of the links to entries.
func newDeployment(rec *record, root string, forwarded bool) (*deployment, error) {
	d := &deployment{rec: rec, root: root, store: newStore()}
	var err error
	if d.ports, err = choosePorts(); err != nil {
		return d, err
	}
	if d.dir, err = os.MkdirTemp("", "review2-"); err != nil {
		return d, err
	}
	if d.command, err = commands(filepath.Join(root, "deploy", "system.toml")); err != nil {
		return d, err
	}
	if forwarded {
		d.net = newNetwork()
	}
	d.setConfig(1)
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	for i := range entries {
		d.entries = append(d.entries, &machine{name: fmt.Sprintf("front-%d", i), role: "entry", ip: address(10 + i), zone: zones[i%3]})
	}
	for i := range agents {
		d.agents = append(d.agents, &machine{name: fmt.Sprintf("side-%d", i), role: "agent", ip: address(30 + i), zone: zones[i%3]})
	}
	if _, err := serve(d.storeAddr(), d.store); err != nil {
		return d, err
	}
	for i, m := range d.agents {
		m.executor = newExecutor(fmt.Sprintf("i-%d", i), m.addr(d.ports.app), m.addr(d.ports.control), service, m.zone, coresMilli,
			[]string{"a", fmt.Sprintf("r%d", i/3)}, rec)
		if _, err := serve(m.addr(d.ports.app), m.executor); err != nil {
			return d, err
		}
	}
	var names []string
	for _, m := range append(append([]*machine{}, d.entries...), d.agents...) {
		names = append(names, m.name)
	}
	for _, m := range d.entries {
		if d.net != nil {
			if _, err := d.net.listen(m.addr(d.ports.link), m.addr(d.ports.forwarded), m.name, names); err != nil {
				return d, err
			}
		}
	}
	for _, m := range append(append([]*machine{}, d.entries...), d.agents...) {
		if err := d.start(m); err != nil {
			return d, err
		}
	}
	for _, m := range d.agents {
		go m.executor.announce(ctx)
	}
	return d, d.waitServing()
}

// address returns the loopback address of a machine of this run.
func address(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid>>8)%64, pid%256, n)
}

// choosePorts returns ports that are free on all loopback addresses.
func choosePorts() (ports, error) {
	for base := 20000 + os.Getpid()%1000*10; base < 32000; base += 20 {
		free := true
		for port := base; port < base+20 && free; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf(":%d", port))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return ports{base, base + 1, base + 2, base + 3, base + 4, base + 15, base + 16}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

// commands returns the words of the deploy file's run lines, by role.
func commands(path string) (map[string][]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	found := map[string][]string{}
	role := ""
	for _, line := range strings.Split(string(text), "\n") {
		if name, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(name, "]")
		}
		if words, ok := strings.CutPrefix(line, "run = "); ok {
			found[role] = strings.Fields(strings.Trim(words, `"`))
		}
	}
	return found, nil
}

func serve(addr string, h http.Handler) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	return l, nil
}

// setConfig writes a desired state, and returns when it is confirmed.
func (d *deployment) setConfig(version int) time.Duration {
	d.store.put("op", "config", map[string]any{
		"Version": version,
		"Routes": []map[string]any{{
			"Name": "r-1", "Host": routeHost, "Prefix": routePath, "Kind": "unsafe", "TimeoutMs": 1500, "TargetLatencyMs": 60,
			"Service": service, "MaxAttempts": 3, "Stretch": 1.6,
		}},
		"Services": []map[string]any{{"Name": service, "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1", "AdmissionCheck": true}},
		"Limits":   map[string]int{"MaxBodyBytes": 262144},
	})
	return d.rec.note("operator desired state %d is confirmed", version)
}

// settings returns the text of a machine's settings file.
func (d *deployment) settings(m *machine) []byte {
	seeds := []string{}
	for _, e := range d.entries {
		seeds = append(seeds, e.addr(d.ports.control))
	}
	s := map[string]any{
		"NodeName": m.name, "Role": m.role, "MachineClass": "front", "Serves": []string{"front", "control"}, "Ip": m.ip, "Zone": m.zone, "Region": "cymru",
		"Zones": map[string]string{"gwent": "cymru", "ceredigion": "cymru", "powys": "cymru"},
		"Listen": map[string]string{
			"Front": m.addr(d.ports.front), "Ready": m.addr(d.ports.ready), "Control": m.addr(d.ports.control),
		},
		"PortRange": []int{d.ports.link, d.ports.link + 15}, "Seeds": seeds, "Bootstrap": true, "InTolerance": false,
		"Limits":    map[string]float64{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000, "DiskMb": 0},
		"Discovery": "local", "Entry": "vip", "HeartbeatMs": heartbeat.Milliseconds(),
		"FaultTolerance": map[string]int{"Machines": 1, "Zones": 1, "Regions": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200,
			"ConfigApplyMs": configMs, "RollbackSlackMs": 250, "MaxStretchMs": 5000, "EvacuateMs": 5000, "RecoveryS": 12,
			"HoldMaxMs": holdMax.Milliseconds(), "StopTimeoutMs": 50, "GangTimeoutMs": 3000, "cancel_ms": cancelTime.Milliseconds(), "visible_ms": 3000,
			"finish_s": 14, "status_s": 120, "FarFactor": 1.5, "EnforceFencing": true, "LeaseMs": 3000, "ThawSlackMs": 300, "ResendMs": 1300,
		},
		"Orders":   "rpc",
		"platform": map[string]any{"Address": d.storeAddr(), "form": "table", "WritesPerS": 800, "ReadsPerS": 2000, "HistoryS": 20},
	}
	if m.role == "agent" {
		s["MachineClass"], s["Serves"], s["app"], s["Service"] = "side", []string{"side"}, m.addr(d.ports.app), service
		s["Listen"] = map[string]string{"Control": m.addr(d.ports.control)}
		s["Limits"] = map[string]float64{"CpuShare": 0.24, "Cores": 1, "MemoryMb": 152, "MaxFds": 4096, "LinkMbps": 1000, "DiskMb": 0}
	}
	text, _ := json.Marshal(s)
	return text
}

// start starts a machine's process with the command of the deploy file.
func (d *deployment) start(m *machine) error {
	m.file = filepath.Join(d.dir, m.name+".json")
	if err := os.WriteFile(m.file, d.settings(m), 0o600); err != nil {
		return err
	}
	words := append([]string{}, d.command[m.role]...)
	if m.role == "entry" && d.net != nil {
		words = append(words, "--link-listen", m.addr(d.ports.forwarded))
	}
	log, err := os.OpenFile(filepath.Join(d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(d.root, words[0]), words[1:]...)
	cmd.Dir = d.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "LANG=C", "BERGAMOTWING_NODE_FILE=" + m.file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.cmd, m.ended = cmd, ended
	go func() { _ = cmd.Wait(); close(ended) }()
	d.rec.note("process  %s starts", m.name)
	return nil
}

// kill kills a machine's process and waits for its end.
func (d *deployment) kill(m *machine) {
	d.rec.note("process  %s is killed", m.name)
	_ = m.cmd.Process.Kill()
	<-m.ended
}

// signal sends a signal to a machine's process.
func (d *deployment) signal(m *machine, s syscall.Signal) {
	d.rec.note("process  %s gets %v", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

// close ends all processes that were started.
func (d *deployment) close() {
	if d.stop != nil {
		d.stop()
	}
	for _, m := range append(append([]*machine{}, d.entries...), d.agents...) {
		if m.cmd != nil {
			_ = m.cmd.Process.Kill()
			<-m.ended
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// ready reports whether an entry answers that it is ready.
func (d *deployment) ready(m *machine) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.addr(d.ports.ready) + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitServing waits until all entries are ready and a job has run through each.
func (d *deployment) waitServing() error {
	until := time.Now().Add(20 * time.Second)
	for _, m := range d.entries {
		for !d.ready(m) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // heartbeats of all executors have come
	for _, m := range d.entries {
		for {
			a := d.submit(m, newID(), steps(1, agents, 50*time.Millisecond, 20000), 3*time.Second)
			if a.status == http.StatusOK && strings.Contains(a.body, "completed") {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s does not serve", m.name)
			}
		}
	}
	d.rec.note("ready    the deployment serves")
	return nil
}

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// steps returns a job of n steps, one after the other, of count tasks each.
func steps(n, count int, length time.Duration, cpu int) string {
	list := []map[string]any{}
	for i := range n {
		step := map[string]any{"Count": count, "Cpu": cpu, "MemMb": 64, "EstimateMs": length.Milliseconds()}
		if i > 0 {
			step["After"] = []int{i - 1}
		}
		list = append(list, step)
	}
	text, _ := json.Marshal(map[string]any{"Spec": spec(length, cpu), "BestEffort": true, "Steps": list})
	return string(text)
}

func (d *deployment) submit(m *machine, id, body string, wait time.Duration) answer {
	return d.call(m, http.MethodPost, routePath+id, body, wait)
}

func (d *deployment) cancel(m *machine, id string) answer {
	return d.call(m, http.MethodDelete, routePath+id, "", 3*time.Second)
}

func (d *deployment) storeAddr() string { return fmt.Sprintf("%s:%d", address(7), d.ports.store) }
