package control

import (
	"sync"

	"bergamotwing.example/platform"
)

// maxOddRows is how many rows are reported in a process's lifetime.
const maxOddRows = 1000

// OddRows reports rows that cannot be used, each version of a row once.
type OddRows struct {
	deps Deps

	mu   sync.Mutex
	seen map[rowVersion]bool
}

type rowVersion struct {
	table, key string
	version    uint64
}

// NewOddRows returns a reporter that has reported no row.
func NewOddRows(deps Deps) *OddRows { return &OddRows{deps: deps, seen: map[rowVersion]bool{}} }

// Report counts and logs the rows that it has not reported yet.
func (o *OddRows) Report(rows ...platform.OddRow) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, row := range rows {
		r := rowVersion{row.Table, row.Key, row.Version}
		if o.seen[r] || len(o.seen) >= maxOddRows {
			continue
		}
		o.seen[r] = true
		o.deps.Metrics.Count("bergamotwing_odd_rows_total", "Rows of the store that could not be used.", 1)
		o.deps.Log.Warn().Str("event", "odd_row").Str("table", row.Table).Str("key", row.Key).Uint64("version", row.Version).
			AnErr("cause", row.Cause).Msg("row of the store left out")
	}
}
