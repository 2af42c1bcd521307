package release

import (
	"cmp"
	"slices"

	"bergamotwing.example/result"
)

// Replay returns the state as of a version from the records of all notes up to
// it, in any order. The error has code NoteInvalid when one is missing.
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
		next, err := step(s, r.Note)
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
