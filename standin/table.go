package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"bergamotwing.example/tablestore"
)

// readHandler wraps a handler of reads: it applies the faults and counts the read.
func (p *Platform) readHandler(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.admit(w) {
			return
		}
		p.mu.Lock()
		p.counts.Reads++
		p.mu.Unlock()
		serve(w, r)
	}
}

func (p *Platform) serveRow(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	p.mu.Lock()
	row, ok := p.rows[key]
	p.mu.Unlock()
	if !ok {
		row.Key = key
	}
	p.waitHalf()
	writeJSON(w, row)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	rows := p.list(r.URL.Query().Get("prefix"))
	p.waitHalf()
	writeJSON(w, rows)
}

func (p *Platform) list(prefix string) []tablestore.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := make([]tablestore.Row, 0)
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b tablestore.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var tx tablestore.Transaction
	body := http.MaxBytesReader(w, r.Body, tablestore.MaxCommitBytes)
	if err := json.NewDecoder(body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.admit(w) {
		return
	}
	status := http.StatusNoContent
	if !p.commit(tx.Ops) {
		status = http.StatusConflict
	}
	p.answerWrite(w, status)
}

// commit applies all writes of a transaction or none, and reports whether it
// applied them.
func (p *Platform) commit(ops []tablestore.Op) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.commits++
	forced := p.faults.ConflictEvery > 0 && p.commits%uint64(p.faults.ConflictEvery) == 0 //nolint:gosec // positive
	if forced || !p.versionsMatch(ops) {
		p.counts.Conflicts++
		return false
	}
	p.counts.Writes++
	p.counts.Version++
	for _, op := range ops {
		p.apply(op)
	}
	return true
}

// versionsMatch reports whether each row has the version that its write expects.
func (p *Platform) versionsMatch(ops []tablestore.Op) bool {
	for _, op := range ops {
		if !op.Any && p.rows[op.Key].Version != op.IfVersion {
			return false
		}
	}
	return true
}

func (p *Platform) apply(op tablestore.Op) {
	if op.Delete {
		delete(p.rows, op.Key)
		return
	}
	p.rows[op.Key] = tablestore.Row{Key: op.Key, Value: op.Value, Version: p.counts.Version}
}
