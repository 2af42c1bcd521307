package release

import (
	"maps"
	"reflect"
	"slices"
	"strings"

	"bergamotwing.example/result"
)

// DefaultSettings are in force until a note replaces them.
func DefaultSettings() Settings { return Settings{EjectMaxPct: 50, RetryBudgetPct: 20} }

// Apply returns the state after a note, at the next version. It never changes
// s. The error has code NoteConflict when the note was written against another
// version, and NoteInvalid when it is out of range, does not apply to s or
// changes nothing.
func Apply(s State, n Note) (State, error) {
	if err := n.Check(); err != nil {
		return State{}, err
	}
	if n.WrittenAgainst != s.Version {
		return State{}, result.Errorf(result.NoteConflict,
			"written against version %d, but version %d of note %q is in force", n.WrittenAgainst, s.Version, s.NoteID)
	}
	next, err := applyChecked(s, n)
	if err != nil {
		return State{}, err
	}
	if !changed(s, next) {
		return State{}, result.Errorf(result.NoteInvalid, "the note changes nothing")
	}
	return next, nil
}

// SetZone returns the note that puts a zone in or out of service, and the state
// after it. Unlike Apply, it accepts a note that changes nothing, so that the
// note's id is in force afterwards.
func SetZone(s State, zone string, inService bool, noteID string) (State, Note, error) {
	n := Note{
		ID:             noteID,
		WrittenAgainst: s.Version,
		Zones:          ZoneDelta{Change: map[string]Zone{zone: {InService: inService}}},
	}
	if err := n.Check(); err != nil {
		return State{}, Note{}, err
	}
	next, err := applyChecked(s, n)
	return next, n, err
}

// Merge returns the state with the higher version, or the other if one is nil.
func Merge(a, b *State) *State {
	switch {
	case a == nil:
		return b
	case b == nil || a.Version > b.Version:
		return a
	case a.Version == b.Version && a.NoteID >= b.NoteID:
		return a
	default:
		return b
	}
}

// Check checks everything about the note that does not depend on the
// configuration in force. Its error has code NoteInvalid.
func (n Note) Check() error {
	problems := n.problems()
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.key + ": " + p.detail
	}
	return result.Errorf(result.NoteInvalid, "%s", strings.Join(lines, "; "))
}

// applyChecked returns the state after a note that has passed Check.
func applyChecked(s State, n Note) (State, error) {
	next := State{Version: s.Version + 1, NoteID: n.ID, Settings: s.Settings, Recent: appendRecent(s.Recent, n.ID)}
	if s.Version == 0 {
		next.Settings = DefaultSettings()
	}
	if n.Settings != nil {
		next.Settings = *n.Settings
	}
	var err error
	d := n.Services
	if next.Services, err = applyDelta("service", s.Services, d.Add, d.Change, d.Withdraw, MaxServices); err != nil {
		return State{}, err
	}
	z := n.Zones
	if next.Zones, err = applyDelta("zone", s.Zones, z.Add, z.Change, z.Withdraw, MaxZones); err != nil {
		return State{}, err
	}
	t := n.Teams
	if next.Teams, err = applyDelta("team", s.Teams, t.Add, t.Change, t.Withdraw, MaxTeams); err != nil {
		return State{}, err
	}
	return next, nil
}

// appendRecent returns a new slice with id at its end and the newest of ids before
// it, at most RecentNotes together.
func appendRecent(ids []string, id string) []string {
	kept := ids[max(0, len(ids)-RecentNotes+1):]
	return append(slices.Clone(kept), id)
}

func applyDelta[T any](kind string, in, add, change map[string]T, withdraw []string, most int) (map[string]T, error) {
	out := make(map[string]T, len(in)+len(add))
	maps.Copy(out, in)
	for name, v := range add {
		if _, ok := out[name]; ok {
			return nil, result.Errorf(result.NoteInvalid, "%s %q is added but exists already", kind, name)
		}
		out[name] = v
	}
	for name, v := range change {
		if _, ok := in[name]; !ok {
			return nil, result.Errorf(result.NoteInvalid, "%s %q is changed but does not exist", kind, name)
		}
		out[name] = v
	}
	for _, name := range withdraw {
		if _, ok := in[name]; !ok {
			return nil, result.Errorf(result.NoteInvalid, "%s %q is withdrawn but does not exist", kind, name)
		}
		delete(out, name)
	}
	if len(out) > most {
		return nil, result.Errorf(result.NoteInvalid, "there would be %d of kind %s, the most is %d", len(out), kind, most)
	}
	return out, nil
}

// changed reports whether the states differ in more than their version and notes.
func changed(s, next State) bool {
	before := s.Settings
	if s.Version == 0 {
		before = DefaultSettings()
	}
	return before != next.Settings || !maps.Equal(s.Services, next.Services) ||
		!maps.Equal(s.Zones, next.Zones) || !maps.Equal(s.Teams, next.Teams)
}

// Equal reports whether two notes have the same content. Nil and empty lists are
// equal.
func (n Note) Equal(o Note) bool {
	return n.ID == o.ID && n.WrittenAgainst == o.WrittenAgainst && n.By == o.By && n.Text == o.Text &&
		n.Services.equal(o.Services) && n.Zones.equal(o.Zones) && n.Teams.equal(o.Teams) &&
		reflect.DeepEqual(n.Settings, o.Settings)
}

func (d ServiceDelta) equal(o ServiceDelta) bool {
	return maps.Equal(d.Add, o.Add) && maps.Equal(d.Change, o.Change) && slices.Equal(d.Withdraw, o.Withdraw)
}

func (d ZoneDelta) equal(o ZoneDelta) bool {
	return maps.Equal(d.Add, o.Add) && maps.Equal(d.Change, o.Change) && slices.Equal(d.Withdraw, o.Withdraw)
}

func (d TeamDelta) equal(o TeamDelta) bool {
	return maps.Equal(d.Add, o.Add) && maps.Equal(d.Change, o.Change) && slices.Equal(d.Withdraw, o.Withdraw)
}
