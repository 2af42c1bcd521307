package agent

import (
	"encoding/json"
	"net/http"
	"time"

	"bergamotwing.example/result"
)

// Times of the HTTP listener.
const (
	headerTimeout   = 5 * time.Second
	httpStopTimeout = 2 * time.Second
)

// view is the answer to GET /state, for debugging.
type view struct {
	ID           string   `json:"id"`
	Incarnation  string   `json:"incarnation"`
	Version      uint64   `json:"version"`
	Registered   bool     `json:"registered"`
	Leaving      bool     `json:"leaving"`
	InService    bool     `json:"inService"`
	PermittedMS  int64    `json:"permittedMs"` // until the permission lapses
	Links        []string `json:"links"`
	FreeSlots    int      `json:"freeSlots"`
	RunningTasks int      `json:"runningTasks"`
	Starts       int      `json:"starts"`
	FailurePct   int      `json:"failurePct"`
}

func (a *Agent) newServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", a.serveHealth)
	mux.HandleFunc("GET /state", a.serveState)
	mux.HandleFunc("POST /leave", func(w http.ResponseWriter, _ *http.Request) { a.serveLeaving(w, true) })
	mux.HandleFunc("POST /return", func(w http.ResponseWriter, _ *http.Request) { a.serveLeaving(w, false) })
	mux.Handle("GET /metrics", a.metrics.Handler())
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

// serveHealth answers 200 once the agent is registered and linked to an entry.
func (a *Agent) serveHealth(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if !a.snapshot().registered || len(a.links.all()) == 0 {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, a.view())
}

func (a *Agent) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.view())
}

// serveLeaving answers 200 once the request is in force, and 409 if the agent
// is shutting down and the endpoint cannot return.
func (a *Agent) serveLeaving(w http.ResponseWriter, leaving bool) {
	inForce, err := a.control.setLeaving(leaving, false)
	switch {
	case err != nil:
		writeJSON(w, http.StatusServiceUnavailable, a.view())
	case inForce != leaving:
		writeJSON(w, result.Lookup(result.EndpointLeaving).HTTPStatus, a.view())
	default:
		writeJSON(w, http.StatusOK, a.view())
	}
}

func (a *Agent) view() view {
	snap := a.snapshot()
	now := a.clock.now()
	v := view{
		ID:          a.cfg.ID,
		Incarnation: a.incarnationText(),
		Version:     snap.version(),
		Registered:  snap.registered,
		Leaving:     snap.leaving,
		InService:   snap.inService,
		PermittedMS: a.permission.remaining(snap.version(), now).Milliseconds(),
		Starts:      a.records.size(),
		FailurePct:  a.failures.pct(),
	}
	for _, s := range a.links.all() {
		v.Links = append(v.Links, s.entry.id)
	}
	v.FreeSlots = a.slots.idle()
	v.RunningTasks, _ = a.running.count()
	return v
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
