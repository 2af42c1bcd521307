package notestore

import (
	"context"
	"errors"

	"bergamotwing.example/release"
	"bergamotwing.example/result"
	"bergamotwing.example/tablestore"
)

// maxAttempts limits the transactions of one call.
const maxAttempts = 4

// snapshot holds what a call reads before each of its transactions.
type snapshot struct {
	state      release.State
	rowVersion uint64
	accepted   *release.NoteRecord // the note's own record; nil if it is not accepted yet
}

// ApplyNote accepts a note and returns the state after it. For a note that was
// accepted before with the same content it returns the same state as then.
//
// The error has code NoteInvalid, NoteReused if the id was used for other content,
// NoteConflict (a *ConflictError) if another note came first, or StoreUnavailable,
// after which the note may or may not have been accepted.
func (s Store) ApplyNote(ctx context.Context, n release.Note) (release.State, error) {
	if err := n.Check(); err != nil {
		return release.State{}, err
	}
	return s.accept(ctx, n.ID, n.Equal, func(state release.State) (release.State, release.Note, error) {
		next, err := s.applyTo(ctx, state, n)
		return next, n, err
	})
}

// ApplyZone accepts a note that puts a zone in or out of service, written against
// the version in force. If another note comes first, ApplyZone writes its note
// against the new version, unless the other note touches the same zone. It is
// idempotent by noteID and succeeds if the zone is already in the wanted state.
// Errors are those of ApplyNote.
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

// accept commits the note that build returns for the state in force. If the
// transaction fails because another note came first, or its answer is lost, accept
// repeats this, with at most maxAttempts transactions in all. If a note with the id
// is accepted already, same reports whether it has the wanted content.
func (s Store) accept(
	ctx context.Context, id string, same func(release.Note) bool,
	build func(release.State) (release.State, release.Note, error),
) (release.State, error) {
	var last error
	for attempts := 0; ; attempts++ {
		a, err := s.read(ctx, id)
		if err != nil {
			return release.State{}, err
		}
		if a.accepted != nil {
			return s.acceptedState(ctx, a, same(a.accepted.Note))
		}
		if attempts == maxAttempts {
			return release.State{}, unavailable(last)
		}
		next, n, err := build(a.state)
		if err != nil {
			return release.State{}, err
		}
		last = s.commit(ctx, n, next, a.rowVersion)
		if last == nil {
			return next, nil
		}
		if !resolvable(last) {
			return release.State{}, unavailable(last)
		}
	}
}

// resolvable reports whether reading the table again can show what became of a
// failed transaction.
func resolvable(err error) bool {
	return errors.Is(err, tablestore.ErrConflict) || errors.Is(err, tablestore.ErrUnknown)
}

// read reads the state first and the note's row second, so that the state cannot
// include a note whose row is absent.
func (s Store) read(ctx context.Context, noteID string) (snapshot, error) {
	state, rowVersion, err := s.load(ctx)
	if err != nil {
		return snapshot{}, err
	}
	a := snapshot{state: state, rowVersion: rowVersion}
	rec, found, err := s.find(ctx, noteID)
	if found {
		a.accepted = &rec
	}
	return a, err
}

// acceptedState returns the state after a note that is accepted already, or
// NoteReused if that note has other content.
func (s Store) acceptedState(ctx context.Context, a snapshot, same bool) (release.State, error) {
	if !same {
		return release.State{}, result.Errorf(result.NoteReused, "note %q has other content, as version %d", a.accepted.Note.ID, a.accepted.Version)
	}
	if a.state.Version == a.accepted.Version {
		return a.state, nil
	}
	records, err := s.List(ctx)
	if err != nil {
		return release.State{}, err
	}
	return release.Replay(records, a.accepted.Version)
}

// applyTo applies a note to the state. In case of a conflict it looks up the note
// that came first.
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

// zoneConflict returns a conflict if a note after version base touches the zone.
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
	want := release.Note{
		ID:             n.ID,
		WrittenAgainst: n.WrittenAgainst,
		Zones:          release.ZoneDelta{Change: map[string]release.Zone{zone: {InService: inService}}},
	}
	return n.Equal(want)
}
