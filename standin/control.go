package standin

import (
	"encoding/json"
	"net/http"
)

const maxControlBytes = 4096

// PlatformState is the answer to GET /control of a Platform.
type PlatformState struct {
	Faults Faults         `json:"faults"`
	Counts PlatformCounts `json:"counts"`
}

func (p *Platform) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, PlatformState{Faults: p.Faults(), Counts: p.Counts()})
}

// serveControl sets the faults that the body names and leaves the others as they
// are.
func (p *Platform) serveControl(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	if !readControl(w, r, &faults) {
		return
	}
	p.SetFaults(faults)
	p.serveState(w, r)
}

// readControl decodes a body into the current values and reports whether it could.
func readControl(w http.ResponseWriter, r *http.Request, into any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
