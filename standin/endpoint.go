package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of a task's request to an endpoint.
const (
	HeaderTask       = "Bergamotwing-Task"       // entry/incarnation in hex/seq/index
	HeaderAttempt    = "Bergamotwing-Attempt"    // from 1
	HeaderStartBy    = "Bergamotwing-Start-By"   // Unix ms; the endpoint refuses with 412 after it
	HeaderIdempotent = "Bergamotwing-Idempotent" // true or false
)

// HeaderStarted is "false" when a task is refused before its start.
const HeaderStarted = "Bergamotwing-Started"

// MaxTaskBytes bounds a task's payload.
const MaxTaskBytes = 16 << 20

// EndpointConfig holds the id, the zone and the limits of an Endpoint.
type EndpointConfig struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Slots       int    `json:"slots"`       // tasks at once; 0 means no limit
	Connections int    `json:"connections"` // connections at once; 0 means no limit, more are only counted
}

// EndpointFaults are the faults of an Endpoint.
type EndpointFaults struct {
	FailAll     bool    `json:"failAll"`     // every task fails at once after its start
	SlowFactor  float64 `json:"slowFactor"`  // run times are multiplied by it; 0 means 1
	NeverAnswer bool    `json:"neverAnswer"` // tasks start and are never answered
	DelayMS     int     `json:"delayMs"`     // one way, before the start and before the answer
}

// EndpointCounts counts the tasks and connections of an Endpoint.
type EndpointCounts struct {
	Started         uint64 `json:"started"`
	Finished        uint64 `json:"finished"` // answered 200
	Failed          uint64 `json:"failed"`   // answered 500
	Running         int64  `json:"running"`
	OverSlots       uint64 `json:"overSlots"`       // tasks refused with 503 because all slots were busy
	TooLate         uint64 `json:"tooLate"`         // tasks refused with 412 after their start-by time
	Connections     int64  `json:"connections"`     // open now
	OverConnections uint64 `json:"overConnections"` // connections opened over the limit
}

// Endpoint stands in for an endpoint's HTTP service. It is an http.Handler,
// safe for concurrent use.
type Endpoint struct {
	cfg    EndpointConfig
	mux    *http.ServeMux
	faults atomic.Pointer[EndpointFaults]
	starts startLog

	started, finished, failed, overSlots, tooLate, overConnections atomic.Uint64
	running, connections                                           atomic.Int64
	open                                                           sync.Map // connections that are counted
}

// NewEndpoint returns an endpoint without faults.
func NewEndpoint(cfg EndpointConfig) *Endpoint {
	e := &Endpoint{cfg: cfg, mux: http.NewServeMux()}
	e.SetFaults(EndpointFaults{})
	e.mux.HandleFunc("POST /task", e.serveTask)
	e.mux.HandleFunc("GET /starts", e.serveStarts)
	e.mux.HandleFunc("GET /control", e.serveState)
	e.mux.HandleFunc("POST /control", e.serveControl)
	e.mux.HandleFunc("GET /healthz", e.serveHealth)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (e *Endpoint) SetFaults(f EndpointFaults) { e.faults.Store(&f) }

// Faults returns the faults in force.
func (e *Endpoint) Faults() EndpointFaults { return *e.faults.Load() }

// Counts returns the counts so far.
func (e *Endpoint) Counts() EndpointCounts {
	return EndpointCounts{
		Started:         e.started.Load(),
		Finished:        e.finished.Load(),
		Failed:          e.failed.Load(),
		Running:         e.running.Load(),
		OverSlots:       e.overSlots.Load(),
		TooLate:         e.tooLate.Load(),
		Connections:     e.connections.Load(),
		OverConnections: e.overConnections.Load(),
	}
}

// ConnState counts connections. It is the http.Server.ConnState hook of the
// endpoint's server.
func (e *Endpoint) ConnState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		e.open.Store(c, true)
		if n := e.connections.Add(1); e.cfg.Connections > 0 && n > int64(e.cfg.Connections) {
			e.overConnections.Add(1)
		}
	case http.StateClosed, http.StateHijacked:
		if _, counted := e.open.LoadAndDelete(c); counted {
			e.connections.Add(-1)
		}
	default:
	}
}

func (e *Endpoint) serveTask(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxTaskBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := e.Faults()
	wait(time.Duration(faults.DelayMS) * time.Millisecond)
	defer e.running.Add(-1)
	if n := e.running.Add(1); e.cfg.Slots > 0 && n > int64(e.cfg.Slots) {
		e.overSlots.Add(1)
		refuse(w, "all slots are busy", http.StatusServiceUnavailable)
		return
	}
	if late(r.Header.Get(HeaderStartBy), time.Now()) {
		e.tooLate.Add(1)
		refuse(w, "the start-by time has passed", http.StatusPreconditionFailed)
		return
	}
	e.run(w, r, faults, payload)
}

// refuse answers a task that was not started.
func refuse(w http.ResponseWriter, detail string, status int) {
	w.Header().Set(HeaderStarted, "false")
	http.Error(w, detail, status)
}

// run runs a task and answers the request. The start is recorded before anything
// else.
func (e *Endpoint) run(w http.ResponseWriter, r *http.Request, faults EndpointFaults, payload []byte) {
	p := parsePayload(payload)
	digest := sha256.Sum256(payload)
	start := newStart(r.Header, digest)
	start.Echo = p.Echo
	e.starts.add(start)
	e.started.Add(1)
	if faults.NeverAnswer {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !faults.FailAll {
		wait(runTime(p, faults))
	}
	wait(time.Duration(faults.DelayMS) * time.Millisecond)
	if p.Fail || faults.FailAll {
		e.failed.Add(1)
		http.Error(w, "the task failed", http.StatusInternalServerError)
		return
	}
	e.finished.Add(1)
	writeResult(w, answer(p, digest))
}

func writeResult(w http.ResponseWriter, body []byte) {
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func runTime(p Payload, f EndpointFaults) time.Duration {
	d := time.Duration(p.RunMS) * time.Millisecond
	if f.SlowFactor > 0 {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	return d
}

func late(startBy string, now time.Time) bool {
	ms, err := strconv.ParseInt(startBy, 10, 64)
	return err == nil && now.UnixMilli() > ms
}

func wait(d time.Duration) {
	if d > 0 {
		time.Sleep(d)
	}
}

func newStart(h http.Header, digest [sha256.Size]byte) Start {
	attempt, _ := strconv.Atoi(h.Get(HeaderAttempt)) // 0 when absent
	return Start{
		Task:       h.Get(HeaderTask),
		Attempt:    attempt,
		Idempotent: h.Get(HeaderIdempotent) == "true",
		At:         time.Now().UnixMilli(),
		Digest:     hex.EncodeToString(digest[:]),
	}
}
