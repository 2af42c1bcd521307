package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Ver     uint64
	Removed bool `json:",omitempty"`
}

type rowKey struct{ table, part, key string }

// store stands in for the platform's store. It loses nothing and keeps all of its
// history.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version uint64
	changed chan struct{} // closed at the next change
	started time.Time
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), started: time.Now()}
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: text})
	s.wake()
}

func (s *store) write(r row) {
	r.Ver = s.version
	key := rowKey{r.Table, r.Part, r.Key}
	if r.Removed {
		delete(s.rows, key)
	} else {
		s.rows[key] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /-/rows-get":
		s.get(w, r)
	case "GET /-/rows-feed":
		s.feed(w, r)
	case "POST /-/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, to := q.Get("From"), q.Get("Target")
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for k, stored := range s.rows {
		if k.table == q.Get("Table") && k.part == q.Get("part") && k.key >= from && (to == "" || k.key < to) {
			found = append(found, stored)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	truncated := len(found) > limit
	s.answer(w, http.StatusOK, map[string]any{"rows": found[:min(limit, len(found))], "Truncated": truncated})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		changes := []row{}
		for _, c := range s.history {
			if c.Table == q.Get("Table") && c.Ver > after {
				changes = append(changes, c)
			}
		}
		if len(changes) > 0 || !waiting {
			s.answer(w, http.StatusOK, map[string]any{"rows": changes})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expect, SetKeys, Remove []row }
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expect {
		if current := s.rows[rowKey{e.Table, e.Part, e.Key}]; current.Ver != e.Ver {
			s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{current}})
			return
		}
	}
	s.version++
	for _, set := range tx.SetKeys {
		s.write(set)
	}
	for _, removed := range tx.Remove {
		removed.Removed = true
		s.write(removed)
	}
	s.wake()
	s.answer(w, http.StatusOK, map[string]any{})
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["Ver"] = s.version
	body["NowMs"] = time.Since(s.started).Milliseconds()
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
