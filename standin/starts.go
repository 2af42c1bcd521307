package standin

import (
	"net/http"
	"strconv"
	"sync"
)

// MaxStarts is how many starts an Endpoint records; later ones are only counted.
const MaxStarts = 1_000_000

// Start is one start of a task at an Endpoint.
type Start struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Idempotent bool   `json:"idempotent,omitempty"`
	At         int64  `json:"at"`             // Unix ms
	Digest     string `json:"digest"`         // SHA-256 of the payload, in hex
	Echo       string `json:"echo,omitempty"` // of the payload
}

// startLog is append-only, so that a slice of it may be read without the lock.
type startLog struct {
	mu     sync.Mutex
	starts []Start
}

func (l *startLog) add(s Start) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.starts) < MaxStarts {
		l.starts = append(l.starts, s)
	}
}

func (l *startLog) since(index int) []Start {
	l.mu.Lock()
	defer l.mu.Unlock()
	index = min(max(index, 0), len(l.starts))
	return l.starts[index:len(l.starts):len(l.starts)]
}

// Starts returns the recorded starts from an index on, in the order of starting.
func (e *Endpoint) Starts(since int) []Start { return e.starts.since(since) }

// serveStarts answers with a JSON list of the starts from the index "since" on.
func (e *Endpoint) serveStarts(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	if err != nil {
		since = 0
	}
	starts := e.Starts(since)
	if starts == nil {
		starts = []Start{}
	}
	writeJSON(w, starts)
}

// EndpointState is the answer to GET /control and GET /healthz of an Endpoint.
type EndpointState struct {
	Config EndpointConfig `json:"config"`
	Faults EndpointFaults `json:"faults"`
	Counts EndpointCounts `json:"counts"`
}

func (e *Endpoint) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, EndpointState{Config: e.cfg, Faults: e.Faults(), Counts: e.Counts()})
}

func (e *Endpoint) serveHealth(w http.ResponseWriter, r *http.Request) { e.serveState(w, r) }

// serveControl sets the faults that the body names and leaves the others as they
// are.
func (e *Endpoint) serveControl(w http.ResponseWriter, r *http.Request) {
	faults := e.Faults()
	if !readControl(w, r, &faults) {
		return
	}
	e.SetFaults(faults)
	e.serveState(w, r)
}
