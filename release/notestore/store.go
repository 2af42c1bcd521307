package notestore

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"bergamotwing.example/release"
	"bergamotwing.example/result"
	"bergamotwing.example/tablestore"
)

// Store reads and writes notes in the table. It holds no state of its own and is
// safe for concurrent use.
type Store struct {
	Table tablestore.Table
	Now   func() time.Time // nil means time.Now
}

// Load returns the state in force. Before the first note, its version is 0.
// The error has code StoreUnavailable.
func (s Store) Load(ctx context.Context) (release.State, error) {
	state, _, err := s.load(ctx)
	return state, err
}

// Get returns a note's record. The error has code NotFound or StoreUnavailable.
func (s Store) Get(ctx context.Context, id string) (release.NoteRecord, error) {
	rec, found, err := s.find(ctx, id)
	if err == nil && !found {
		return release.NoteRecord{}, result.Errorf(result.NotFound, "there is no note %q", id)
	}
	return rec, err
}

// List returns the records of all notes, newest first. The error has code
// StoreUnavailable.
func (s Store) List(ctx context.Context) ([]release.NoteRecord, error) {
	rows, err := s.Table.List(ctx, tablestore.PrefixNotes)
	if err != nil {
		return nil, unavailable(err)
	}
	records := make([]release.NoteRecord, len(rows))
	for i, row := range rows {
		if err := decode(row, &records[i]); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(records, func(a, b release.NoteRecord) int { return cmp.Compare(b.Version, a.Version) })
	return records, nil
}

// load returns the state with the version of its row.
func (s Store) load(ctx context.Context) (release.State, uint64, error) {
	var state release.State
	row, err := s.Table.Get(ctx, tablestore.KeyState)
	if err != nil {
		return release.State{}, 0, unavailable(err)
	}
	if row.Version == 0 {
		return release.State{}, 0, nil
	}
	err = decode(row, &state)
	return state, row.Version, err
}

func (s Store) find(ctx context.Context, id string) (release.NoteRecord, bool, error) {
	var rec release.NoteRecord
	row, err := s.Table.Get(ctx, tablestore.PrefixNotes+id)
	if err != nil {
		return rec, false, unavailable(err)
	}
	if row.Version == 0 {
		return rec, false, nil
	}
	err = decode(row, &rec)
	return rec, err == nil, err
}

// commit writes a note and the state after it, on condition that the state's row is
// still at rowVersion and that no note with this id exists.
func (s Store) commit(ctx context.Context, n release.Note, next release.State, rowVersion uint64) error {
	rec := release.NoteRecord{Note: n, Version: next.Version, At: s.now().Unix()}
	noteRow, err := json.Marshal(rec)
	if err != nil {
		return result.Errorf(result.NoteInvalid, "%v", err)
	}
	stateRow, err := json.Marshal(next)
	if err != nil {
		return result.Errorf(result.NoteInvalid, "%v", err)
	}
	return s.Table.Commit(ctx,
		tablestore.Op{Key: tablestore.PrefixNotes + n.ID, Value: noteRow},
		tablestore.Op{Key: tablestore.KeyState, Value: stateRow, IfVersion: rowVersion},
	)
}

func (s Store) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}

func decode(row tablestore.Row, into any) error {
	if err := json.Unmarshal(row.Value, into); err != nil {
		return result.Errorf(result.StoreUnavailable, "row %s cannot be read: %v", row.Key, err)
	}
	return nil
}

func unavailable(err error) error { return result.Errorf(result.StoreUnavailable, "%v", err) }
