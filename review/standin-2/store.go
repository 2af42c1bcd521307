package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store stands in for the platform's store: rows in tables, one version counter, and a
// feed of changes. Its answers are linearizable and it loses nothing.
type store struct {
	mu      sync.Mutex
	began   time.Time
	version uint64
	rows    map[rowKey]row
	log     []change // in order of their versions
	changed chan struct{}
}

type rowKey struct{ Table, Part, Key string }

type row struct {
	value []byte
	ver   uint64
}

type change struct {
	rowKey
	row
	removed bool
}

type rowOut struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Ver     uint64
	Removed bool `json:",omitempty"`
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// put writes a row as the operator does, and returns once it is confirmed.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(rowKey{table, "", key}, text)
	s.wake()
}

func (s *store) set(key rowKey, value []byte) {
	r := row{value, s.version}
	s.rows[key] = r
	s.log = append(s.log, change{key, r, false})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) nowMs() int64 { return time.Since(s.began).Milliseconds() }

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond) // an answer takes that long at the small deployments
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
	limit, _ := strconv.Atoi(q.Get("Limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []rowOut{}
	for k, v := range s.rows {
		if k.Table == q.Get("Table") && k.Part == q.Get("part") && k.Key >= q.Get("From") && (q.Get("Target") == "" || k.Key < q.Get("Target")) {
			out = append(out, rowOut{Table: k.Table, Part: k.Part, Key: k.Key, Value: v.value, Ver: v.ver})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	truncated := len(out) > limit
	out = out[:min(limit, len(out))]
	writeJSON(w, http.StatusOK, map[string]any{"rows": out, "Truncated": truncated, "Ver": s.version, "NowMs": s.nowMs()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		out := []rowOut{}
		for _, c := range s.log {
			if c.Table == q.Get("Table") && c.ver > after {
				out = append(out, rowOut{c.Table, c.Part, c.Key, c.value, c.ver, c.removed})
			}
		}
		changed, version, now := s.changed, s.version, s.nowMs()
		s.mu.Unlock()
		if len(out) > 0 || over {
			writeJSON(w, http.StatusOK, map[string]any{"rows": out, "Ver": version, "NowMs": now})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	type key struct {
		Table string
		Part  string `json:"part"`
		Key   string
	}
	var tx struct {
		Expect []struct {
			key
			Ver uint64
		}
		SetKeys []struct {
			key
			Value []byte
		}
		Remove []key
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	readOnly := func(k key) bool { return k.Table == "op" || k.Table == "servers" }
	for _, k := range tx.SetKeys {
		if readOnly(k.key) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, k := range tx.Remove {
		if readOnly(k) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	now := []rowOut{}
	fits := true
	for _, e := range tx.Expect {
		k := rowKey{e.Table, e.Part, e.Key}
		v, ok := s.rows[k]
		fits = fits && v.ver == e.Ver
		if ok {
			now = append(now, rowOut{Table: k.Table, Part: k.Part, Key: k.Key, Value: v.value, Ver: v.ver})
		}
	}
	if !fits {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": now, "Ver": s.version, "NowMs": s.nowMs()})
		return
	}
	s.version++
	for _, k := range tx.SetKeys {
		s.set(rowKey{k.Table, k.Part, k.Key}, k.Value)
	}
	for _, k := range tx.Remove {
		gone := rowKey{k.Table, k.Part, k.Key}
		delete(s.rows, gone)
		s.log = append(s.log, change{gone, row{nil, s.version}, true})
	}
	s.wake()
	writeJSON(w, http.StatusOK, map[string]any{"Ver": s.version, "NowMs": s.nowMs()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller is gone
}
