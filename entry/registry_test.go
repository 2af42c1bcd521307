package entry

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/tablestore"
	"bergamotwing.example/wire"
)

// deletionTable is a table that records which rows are deleted.
type deletionTable struct {
	tablestore.Table
	keys []string
	err  error
}

func (d *deletionTable) Commit(_ context.Context, ops ...tablestore.Op) error {
	if d.err != nil {
		return d.err
	}
	for _, op := range ops {
		d.keys = append(d.keys, op.Key)
	}
	return nil
}

// entryRows returns rows of entries, last renewed at the given time.
func entryRows(t *testing.T, renewed time.Time, ids ...string) []tablestore.Row {
	t.Helper()
	rows := make([]tablestore.Row, 0, len(ids))
	for _, id := range ids {
		value, err := json.Marshal(tablestore.EntryRecord{ID: id, RenewedAt: renewed.Unix()})
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, tablestore.Row{Key: tablestore.PrefixEntries + id, Value: value, Version: 1})
	}
	return rows
}

func TestRowsOfLostEntriesAreRemovedOnlyWithAMajorityLinked(t *testing.T) {
	old, fresh := time.Now().Add(-2*entryRowLifetime), time.Now()
	for name, c := range map[string]struct {
		rows    []tablestore.Row
		linked  []string
		err     error
		removed []string
	}{
		"alone of three":             {rows: entryRows(t, old, "a", "b", "c")},
		"two of three":               {rows: entryRows(t, old, "a", "b", "c"), linked: []string{"b"}, removed: []string{"c"}},
		"two of three, all renewed":  {rows: entryRows(t, fresh, "a", "b", "c"), linked: []string{"b"}},
		"all linked after an outage": {rows: entryRows(t, old, "a", "b", "c"), linked: []string{"b", "c"}},
		"row renewed at the same time": {
			rows: entryRows(t, old, "a", "b", "c"), linked: []string{"b"}, err: tablestore.ErrConflict,
		},
	} {
		table := &deletionTable{err: c.err}
		e := &Entry{self: wire.Peer{ID: "a"}, peers: newLinkSet[*peerLink](), table: table}
		for _, id := range c.linked {
			e.peers.swap(&peerLink{id: id})
		}
		live := (&control{e: e}).liveEntries(t.Context(), c.rows)
		var removed []string
		for _, id := range []string{"a", "b", "c"} {
			if !slices.ContainsFunc(live, func(r tablestore.EntryRecord) bool { return r.ID == id }) {
				removed = append(removed, id)
			}
		}
		if diff := cmp.Diff(c.removed, removed); diff != "" {
			t.Errorf("%s: removed (-want +got):\n%s", name, diff)
		}
		if len(table.keys) != len(removed) {
			t.Errorf("%s: rows deleted: %v", name, table.keys)
		}
	}
}
