package notestore

import (
	"slices"

	"bergamotwing.example/release"
	"bergamotwing.example/result"
)

// ConflictError reports that another note came first. It unwraps to a
// *result.Error with code NoteConflict.
type ConflictError struct {
	NoteID  string // the note that came first
	Version uint64 // version after that note
	Current uint64 // version in force
	err     *result.Error
}

// Error implements error.
func (e *ConflictError) Error() string { return e.err.Error() }

// Unwrap returns the *result.Error.
func (e *ConflictError) Unwrap() error { return e.err }

func conflictWith(first release.NoteRecord, noteID string, against, current uint64) *ConflictError {
	return &ConflictError{
		NoteID:  first.Note.ID,
		Version: first.Version,
		Current: current,
		err: result.Errorf(result.NoteConflict, "note %q was written against version %d; note %q came first, as version %d",
			noteID, against, first.Note.ID, first.Version),
	}
}

// firstAfter returns the oldest note after a version for which touches is true.
func firstAfter(newestFirst []release.NoteRecord, version uint64, touches func(release.Note) bool) (release.NoteRecord, bool) {
	for i := len(newestFirst) - 1; i >= 0; i-- {
		if rec := newestFirst[i]; rec.Version > version && touches(rec.Note) {
			return rec, true
		}
	}
	return release.NoteRecord{}, false
}

func anyNote(release.Note) bool { return true }

// touchesZone returns a predicate for notes that add, change or withdraw a zone.
func touchesZone(zone string) func(release.Note) bool {
	return func(n release.Note) bool {
		_, added := n.Zones.Add[zone]
		_, changed := n.Zones.Change[zone]
		return added || changed || slices.Contains(n.Zones.Withdraw, zone)
	}
}
