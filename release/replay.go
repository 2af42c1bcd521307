package release

import (
	"cmp"
	"slices"

	"bergamotwing.example/result"
)

// Replay computes the state at a version from the records of all notes up to that
// version, in any order. The error has code NoteInvalid when a record is missing.
func Replay(records []NoteRecord, version uint64) (State, error) {
	sorted := slices.SortedFunc(slices.Values(records), func(a, b NoteRecord) int { return cmp.Compare(a.Version, b.Version) })
	var s State
	for _, r := range sorted {
		if s.Version == version {
			break
		}
		if r.Version != s.Version+1 {
			return State{}, result.Errorf(result.NoteInvalid, "the note of version %d is missing", s.Version+1)
		}
		next, err := applyChecked(s, r.Note)
		if err != nil {
			return State{}, err
		}
		s = next
	}
	if s.Version != version {
		return State{}, result.Errorf(result.NoteInvalid, "the note of version %d is missing", s.Version+1)
	}
	return s, nil
}
