package harness

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/rotisserie/eris"

	"bergamotwing.example/settings"
)

// Entry is an entry process with the proxies of its connections.
type Entry struct {
	*Process
	ID          string
	Zone        string
	URL         string // for callers; leads through the proxy Callers
	OperatorURL string
	MetricsURL  string
	Callers     *Proxy // from callers
	Links       *Proxy // from agents and other entries; its sources are their ids
	Store       *Proxy // to the platform
	settings    settings.Entry
}

func newEntry(t testing.TB, d *Deployment, i int) *Entry {
	t.Helper()
	s := settings.DefaultEntry()
	s.ID = fmt.Sprintf("entry%d", i)
	s.Zone = d.Zones[i%len(d.Zones)]
	s.Listen, s.OperatorListen = FreeAddr(t), FreeAddr(t)
	s.LinkListen, s.MetricsListen = FreeAddr(t), FreeAddr(t)
	s.OperatorToken = OperatorToken
	s.Keys = keys()
	s.Peers = []string{} // start adds them, once all entries have their proxies
	if d.opts.ReadTimeout > 0 {
		s.Limits.ReadTimeout = settings.Duration(d.opts.ReadTimeout)
	}
	if d.opts.StopTimeout > 0 {
		s.StopTimeout = settings.Duration(d.opts.StopTimeout)
	}
	d.opts.EntrySettings(&s)
	scheme := "http://"
	if s.TLS.CertFile != "" {
		scheme = "https://"
	}
	e := &Entry{
		ID:          s.ID,
		Zone:        s.Zone,
		OperatorURL: scheme + s.OperatorListen,
		MetricsURL:  "http://" + s.MetricsListen + "/metrics",
		Callers:     StartProxy(t, FreeAddr(t), s.Listen),
		Links:       StartProxy(t, FreeAddr(t), s.LinkListen),
		Store:       StartProxy(t, FreeAddr(t), d.Platform.Addr),
	}
	e.URL = scheme + e.Callers.Addr
	e.Links.Delay(d.opts.LinkDelay)
	e.Callers.Delay(d.opts.LinkDelay)
	s.LinkAddr = e.Links.Addr
	s.Platform.URL = "http://" + e.Store.Addr
	e.settings = s
	return e
}

func (e *Entry) start(t testing.TB, d *Deployment) {
	t.Helper()
	for _, other := range d.Entries {
		if other != e {
			e.settings.Peers = append(e.settings.Peers, other.Links.Addr)
		}
	}
	e.Process = StartProcess(t, e.ID, "entry", "--settings", writeSettings(t, e.ID, e.settings))
}

// Agent is an agent process with its endpoint.
type Agent struct {
	*Process
	ID            string
	Zone          string
	URL           string // the agent's own listener
	MetricsURL    string
	Endpoint      *Standin
	EndpointProxy *Proxy // to the endpoint; nil without Options.ProxyEndpoints
	Store         *Proxy // to the platform
}

func startAgent(t testing.TB, d *Deployment, i int) *Agent {
	t.Helper()
	id := fmt.Sprintf("agent%d", i)
	endpoint := startEndpoint(t, d, i)
	store := StartProxy(t, FreeAddr(t), d.Platform.Addr)
	s := settings.DefaultAgent()
	s.ID = id
	s.Zone = d.Zones[i%len(d.Zones)]
	s.Service = DefaultService
	s.Endpoint = endpoint.URL
	var endpointProxy *Proxy
	if d.opts.ProxyEndpoints {
		endpointProxy = StartProxy(t, FreeAddr(t), endpoint.Addr)
		s.Endpoint = "http://" + endpointProxy.Addr
	}
	s.Slots = d.opts.Slots
	s.Listen = FreeAddr(t)
	s.Keys = keys()
	s.Platform.URL = "http://" + store.Addr
	for _, e := range d.Entries {
		s.Entries = append(s.Entries, e.Links.Addr)
	}
	d.opts.AgentSettings(&s)
	return &Agent{
		Process:       StartProcess(t, id, "agent", "--settings", writeSettings(t, id, s)),
		ID:            id,
		Zone:          s.Zone,
		URL:           "http://" + s.Listen,
		MetricsURL:    "http://" + s.Listen + "/metrics",
		Endpoint:      endpoint,
		EndpointProxy: endpointProxy,
		Store:         store,
	}
}

func startEndpoint(t testing.TB, d *Deployment, i int) *Standin {
	t.Helper()
	if d.opts.SharedEndpoint && i > 0 {
		return d.Agents[0].Endpoint
	}
	return startStandin(t, fmt.Sprintf("endpoint%d", i), "endpoint")
}

// pathLeaving is the agent's path for an endpoint to announce that it is leaving.
const pathLeaving = "/leave"

// AnnounceLeaving tells the agent that its endpoint is leaving.
func (a *Agent) AnnounceLeaving(ctx context.Context) error {
	c := NewCaller("")
	defer c.Close()
	return c.call(ctx, http.MethodPost, a.URL+pathLeaving, nil, nil)
}

// Standin is a running stand-in for the platform or an endpoint.
type Standin struct {
	*Process
	Addr string
	URL  string
	http *Caller
}

// Paths of the stand-ins' HTTP interface.
const (
	pathControl = "/control"
	pathStarts  = "/starts"
)

func startStandin(t testing.TB, name, kind string) *Standin {
	t.Helper()
	addr := FreeAddr(t)
	s := &Standin{Addr: addr, URL: "http://" + addr, http: NewCaller("")}
	s.Process = StartProcess(t, name, "standin", kind, "--listen", addr)
	t.Cleanup(s.http.Close)
	probe := pathControl
	if kind == "endpoint" {
		probe = pathStarts
	}
	Eventually(t, readyTimeout, name+" answers", func() bool { return s.http.Ready(t.Context(), s.URL+probe) })
	return s
}

// PlatformFaults are the faults of the platform's stand-in.
type PlatformFaults struct {
	DelayMS       int64 `json:"delayMs"`
	Down          bool  `json:"down"`
	LoseAnswers   bool  `json:"loseAnswers"`   // writes take effect, their answers are lost
	ConflictEvery int   `json:"conflictEvery"` // every n-th write conflicts
}

// EndpointFaults are the faults of an endpoint's stand-in.
type EndpointFaults struct {
	FailAll     bool    `json:"failAll"`
	SlowFactor  float64 `json:"slowFactor"`
	NeverAnswer bool    `json:"neverAnswer"`
	DelayMS     int64   `json:"delayMs"`
}

// SetFaults sets the faults of a stand-in. faults is a PlatformFaults or an
// EndpointFaults.
func (s *Standin) SetFaults(t testing.TB, faults any) {
	t.Helper()
	err := s.http.call(t.Context(), http.MethodPost, s.URL+pathControl, faults, nil)
	if err != nil {
		t.Fatalf("set faults of %s: %v", s.Name, err)
	}
}

// EndpointCounts holds the numbers of tasks at an endpoint's stand-in.
type EndpointCounts struct {
	Started  int `json:"started"`
	Finished int `json:"finished"` // answered with a result
	Running  int `json:"running"`
}

// Counts returns the numbers of tasks at an endpoint's stand-in.
func (s *Standin) Counts(t testing.TB) EndpointCounts {
	t.Helper()
	var state struct {
		Counts EndpointCounts `json:"counts"`
	}
	if err := s.http.call(t.Context(), http.MethodGet, s.URL+pathControl, nil, &state); err != nil {
		t.Fatalf("counts of %s: %v", s.Name, err)
	}
	return state.Counts
}

// Starts returns every start that an endpoint has recorded.
func (s *Standin) Starts(ctx context.Context) ([]Start, error) {
	var starts []Start
	err := s.http.call(ctx, http.MethodGet, s.URL+pathStarts, nil, &starts)
	return starts, eris.Wrapf(err, "starts of %s", s.Name)
}

// CallersAddr returns the address on which the entry itself, behind the proxy
// Callers, listens for callers.
func (e *Entry) CallersAddr() string { return e.settings.Listen }
