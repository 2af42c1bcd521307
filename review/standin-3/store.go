package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	readTime  = 4 * time.Millisecond // of a read
	writeTime = 6 * time.Millisecond // of a transaction
	pageRows  = 500
)

// row is a row of the platform's store as it is sent.
type row struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Ver     uint64
	Removed bool `json:",omitempty"`
}

// store stands in for the platform's store. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	history []row
	version uint64
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), started: time.Now()}
}

func rowKey(r row) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// put writes a row as the operator does.
func (s *store) put(table, key string, value any) {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: text})
}

func (s *store) set(r row) {
	r.Ver = s.version
	s.rows[rowKey(r)] = r
	s.record(r)
}

func (s *store) record(r row) {
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/rows-get":
		time.Sleep(readTime)
		s.get(w, r)
	case "/-/rows-feed":
		time.Sleep(readTime)
		s.feed(w, r)
	case "/-/rows-tx":
		time.Sleep(writeTime)
		s.tx(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n > 0 {
		limit = min(n, pageRows)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for _, x := range s.rows {
		if x.Table == q.Get("Table") && x.Part == q.Get("part") && x.Key >= q.Get("From") && (q.Get("Target") == "" || x.Key < q.Get("Target")) {
			found = append(found, x)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(found) > limit
	s.answer(w, http.StatusOK, map[string]any{"rows": found[:min(len(found), limit)], "Truncated": truncated})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		changes := []row{}
		for _, x := range s.history {
			if x.Table == q.Get("Table") && x.Ver > after {
				changes = append(changes, x)
			}
		}
		if len(changes) > 0 || over {
			s.answer(w, http.StatusOK, map[string]any{"rows": changes})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var body struct{ Expect, SetKeys, Remove []row }
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []row{}
	holds := true
	for _, e := range body.Expect {
		x := s.rows[rowKey(e)]
		holds = holds && x.Ver == e.Ver
		current = append(current, x)
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	for _, x := range append(slices.Clone(body.SetKeys), body.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.version++
	for _, x := range body.SetKeys {
		s.set(x)
	}
	for _, x := range body.Remove {
		if _, ok := s.rows[rowKey(x)]; ok {
			delete(s.rows, rowKey(x))
			s.record(row{Table: x.Table, Part: x.Part, Key: x.Key, Ver: s.version, Removed: true})
		}
	}
	s.answer(w, http.StatusOK, map[string]any{})
}

// answer is called with the mutex held.
func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["Ver"] = s.version
	body["NowMs"] = time.Since(s.started).Milliseconds() + 1
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has left
}
