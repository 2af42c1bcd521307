package notestore

import (
	"context"
	"errors"

	"bergamotwing.example/release"
	"bergamotwing.example/result"
	"bergamotwing.example/tablestore"
)

// maxAttempts bounds the transactions of one call.
const maxAttempts = 4

// attempt is what a call reads before each of its transactions.
type attempt struct {
	state      release.State
	rowVersion uint64
	done       *release.NoteRecord // the note's own record, if it is accepted already
}

// ApplyNote accepts a note and returns the state after it. A note that was
// accepted before with the same content gives the same state again.
//
// The error has code NoteInvalid, NoteReused for an id with other content,
// NoteConflict (a *ConflictError) when another note came first, or
// StoreUnavailable, after which the note may be accepted or not.
func (s Store) ApplyNote(ctx context.Context, n release.Note) (release.State, error) {
	if err := n.Check(); err != nil {
		return release.State{}, err
	}
	return s.accept(ctx, n.ID, n.Equal, func(state release.State) (release.State, release.Note, error) {
		next, err := s.applyTo(ctx, state, n)
		return next, n, err
	})
}

// ApplyZone accepts a note that puts a zone in or out of service, written
// against the version in force. When another note comes first it is written
// again, unless that note touches the same zone. It is idempotent by noteID and
// succeeds if the zone is already in that state. Errors are those of ApplyNote.
func (s Store) ApplyZone(ctx context.Context, zone string, inService bool, noteID string) (release.State, error) {
	if !release.ValidName(noteID) {
		return release.State{}, result.Errorf(result.NoteInvalid, "note id %q is malformed", noteID)
	}
	same := func(n release.Note) bool { return sameZoneNote(n, zone, inService) }
	var base *uint64 // version that the first attempt was written against
	return s.accept(ctx, noteID, same, func(state release.State) (release.State, release.Note, error) {
		if base == nil {
			base = &state.Version
		}
		if err := s.zoneConflict(ctx, noteID, zone, *base, state.Version); err != nil {
			return release.State{}, release.Note{}, err
		}
		return release.SetZone(state, zone, inService, noteID)
	})
}

// accept commits the note that write makes for the state in force. It repeats
// that while other notes come first or answers are lost.
func (s Store) accept(
	ctx context.Context, id string, same func(release.Note) bool,
	write func(release.State) (release.State, release.Note, error),
) (release.State, error) {
	var last error
	for tries := 0; ; tries++ {
		a, err := s.read(ctx, id)
		if err != nil {
			return release.State{}, err
		}
		if a.done != nil {
			return s.outcome(ctx, a, same(a.done.Note))
		}
		if tries == maxAttempts {
			return release.State{}, unavailable(last)
		}
		next, n, err := write(a.state)
		if err != nil {
			return release.State{}, err
		}
		last = s.commit(ctx, n, next, a.rowVersion)
		if last == nil {
			return next, nil
		}
		if !worthReading(last) {
			return release.State{}, unavailable(last)
		}
	}
}

// worthReading reports whether reading again can tell a transaction's fate.
func worthReading(err error) bool {
	return errors.Is(err, tablestore.ErrConflict) || errors.Is(err, tablestore.ErrUnknown)
}

// read reads the state before the note, so that a note which is absent cannot
// be part of the state.
func (s Store) read(ctx context.Context, noteID string) (attempt, error) {
	state, rowVersion, err := s.load(ctx)
	if err != nil {
		return attempt{}, err
	}
	a := attempt{state: state, rowVersion: rowVersion}
	rec, found, err := s.find(ctx, noteID)
	if found {
		a.done = &rec
	}
	return a, err
}

// outcome answers a call whose note is accepted already.
func (s Store) outcome(ctx context.Context, a attempt, same bool) (release.State, error) {
	if !same {
		return release.State{}, result.Errorf(result.NoteReused, "note %q has other content, as version %d", a.done.Note.ID, a.done.Version)
	}
	if a.state.Version == a.done.Version {
		return a.state, nil
	}
	records, err := s.List(ctx)
	if err != nil {
		return release.State{}, err
	}
	return release.Replay(records, a.done.Version)
}

// applyTo applies a note to the state and looks up who came first if it conflicts.
func (s Store) applyTo(ctx context.Context, state release.State, n release.Note) (release.State, error) {
	next, err := release.Apply(state, n)
	if !errors.Is(err, &result.Error{Code: result.NoteConflict}) {
		return next, err
	}
	first, ok, listErr := s.firstAfter(ctx, n.WrittenAgainst, anyNote)
	if listErr != nil {
		return release.State{}, listErr
	}
	if !ok {
		return release.State{}, err
	}
	return release.State{}, conflictWith(first, n.ID, n.WrittenAgainst, state.Version)
}

// zoneConflict looks for a note of the zone between two versions.
func (s Store) zoneConflict(ctx context.Context, noteID, zone string, base, current uint64) error {
	if base == current {
		return nil
	}
	first, ok, err := s.firstAfter(ctx, base, touchesZone(zone))
	if err != nil || !ok {
		return err
	}
	return conflictWith(first, noteID, base, current)
}

func (s Store) firstAfter(ctx context.Context, version uint64, touches func(release.Note) bool) (release.NoteRecord, bool, error) {
	records, err := s.List(ctx)
	if err != nil {
		return release.NoteRecord{}, false, err
	}
	first, ok := firstAfter(records, version, touches)
	return first, ok, nil
}

func sameZoneNote(n release.Note, zone string, inService bool) bool {
	again := release.Note{
		ID:             n.ID,
		WrittenAgainst: n.WrittenAgainst,
		Zones:          release.ZoneDelta{Change: map[string]release.Zone{zone: {InService: inService}}},
	}
	return n.Equal(again)
}
