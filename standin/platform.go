package standin

import (
	"net/http"
	"sync"
	"time"

	"bergamotwing.example/tablestore"
)

// Faults are the faults of a Platform.
type Faults struct {
	DelayMS       int  `json:"delayMs"`       // added to each call, half before and half after its effect
	Down          bool `json:"down"`          // every call is answered 503
	LoseAnswers   bool `json:"loseAnswers"`   // writes are made, then the connection closes without an answer
	ConflictEvery int  `json:"conflictEvery"` // every n-th transaction is answered 409; 0 means none
}

// PlatformCounts counts the calls of a Platform.
type PlatformCounts struct {
	Reads       uint64 `json:"reads"`
	Writes      uint64 `json:"writes"`      // transactions and objects that took effect
	Conflicts   uint64 `json:"conflicts"`   // transactions answered 409
	Refused     uint64 `json:"refused"`     // calls answered 503
	LostAnswers uint64 `json:"lostAnswers"` // writes that took effect and were not answered
	Version     uint64 `json:"version"`     // of the rows of the latest transaction
}

// Platform stands in for the platform's table and object store. It is an
// http.Handler, safe for concurrent use.
type Platform struct {
	mux *http.ServeMux

	mu      sync.Mutex
	faults  Faults
	counts  PlatformCounts
	commits uint64 // transactions requested; ConflictEvery counts by them
	rows    map[string]tablestore.Row
	objects map[string][]byte
}

// NewPlatform returns an empty platform without faults.
func NewPlatform() *Platform {
	p := &Platform{
		mux:     http.NewServeMux(),
		rows:    make(map[string]tablestore.Row),
		objects: make(map[string][]byte),
	}
	p.mux.HandleFunc("GET /table/row", p.readHandler(p.serveRow))
	p.mux.HandleFunc("GET /table/list", p.readHandler(p.serveList))
	p.mux.HandleFunc("POST /table/commit", p.serveCommit)
	p.mux.HandleFunc("GET /objects/{key...}", p.readHandler(p.serveObject))
	p.mux.HandleFunc("PUT /objects/{key...}", p.servePutObject)
	p.mux.HandleFunc("GET /control", p.serveState)
	p.mux.HandleFunc("POST /control", p.serveControl)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Faults returns the faults in force.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counts returns the counts so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// admit waits for half the delay and reports whether the call may proceed. While
// the platform is down, admit refuses the call.
func (p *Platform) admit(w http.ResponseWriter) bool {
	p.waitHalf()
	p.mu.Lock()
	down := p.faults.Down
	if down {
		p.counts.Refused++
	}
	p.mu.Unlock()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
	}
	return !down
}

// waitHalf waits for half the delay, even if the caller has disconnected.
func (p *Platform) waitHalf() {
	if half := time.Duration(p.Faults().DelayMS) * time.Millisecond / 2; half > 0 {
		time.Sleep(half)
	}
}

// answerWrite waits for half the delay and answers a write. With LoseAnswers it
// closes the connection instead, unless the write was a conflict.
func (p *Platform) answerWrite(w http.ResponseWriter, status int) {
	p.waitHalf()
	p.mu.Lock()
	lose := p.faults.LoseAnswers && status != http.StatusConflict
	if lose {
		p.counts.LostAnswers++
	}
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}
