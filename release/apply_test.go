package release_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bergamotwing.example/release"
	"bergamotwing.example/result"
)

var names = rapid.SampledFrom([]string{"gwent", "powys", "hire-desk", "", "not a name"})

// drawNote draws a note against a state's version. About half of these notes apply
// to the state.
func drawNote(t *rapid.T, version uint64) release.Note {
	n := release.Note{
		ID:             rapid.SampledFrom([]string{"n1", "n2", "n3", "/"}).Draw(t, "id"),
		WrittenAgainst: version - rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "behind"),
	}
	zone := map[string]release.Zone{names.Draw(t, "zone"): {InService: rapid.Bool().Draw(t, "inService")}}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0, 1:
		n.Zones.Add = zone
	case 2:
		n.Zones.Change = zone
	case 3:
		n.Zones.Withdraw = []string{names.Draw(t, "zone")}
	case 4:
		n.Services.Add = map[string]release.Service{"s": {MaxTaskMS: rapid.Int64Range(0, 2).Draw(t, "ms"), MaxTasks: 1, MaxPayloadB: 16}}
	default:
		n.Settings = &release.Settings{EjectMaxPct: rapid.IntRange(-1, 101).Draw(t, "pct")}
	}
	return n
}

func drawState(t *rapid.T) release.State {
	var s release.State
	for range rapid.IntRange(0, 6).Draw(t, "notes") {
		if next, err := release.Apply(s, drawNote(t, s.Version)); err == nil {
			s = next
		}
	}
	return s
}

func clone(s release.State) release.State {
	c := s
	c.Zones, c.Services = map[string]release.Zone{}, map[string]release.Service{}
	for k, v := range s.Zones {
		c.Zones[k] = v
	}
	for k, v := range s.Services {
		c.Services[k] = v
	}
	if s.Version == 0 {
		c.Zones, c.Services = nil, nil
	}
	return c
}

func TestAcceptedNotesRaiseTheVersionByOneAndRefusedOnesChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawState(t)
		before := clone(s)
		n := drawNote(t, s.Version)
		next, err := release.Apply(s, n)
		if diff := cmp.Diff(before, s); diff != "" {
			t.Fatalf("the state was changed in place: %s", diff)
		}
		switch {
		case err == nil && (next.Version != s.Version+1 || next.NoteID != n.ID || n.WrittenAgainst != s.Version):
			t.Fatalf("%+v after %+v", next, n)
		case err != nil && !errors.Is(err, code(result.NoteConflict)) && !errors.Is(err, code(result.NoteInvalid)):
			t.Fatal(err)
		case err != nil && next.Version != 0:
			t.Fatalf("a refused note gave %+v", next)
		}
	})
}

func TestNoteIsKnownOnceAppliedAndUntilRecentNotesHaveFollowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := release.State{Zones: map[string]release.Zone{"gwent": {}}}
		count := rapid.IntRange(1, 3*release.RecentNotes).Draw(t, "notes")
		for i := range count {
			next, _, err := release.SetZone(s, "gwent", rapid.Bool().Draw(t, "inService"), fmt.Sprintf("n%d", i))
			if err != nil {
				t.Fatal(err)
			}
			s = next
		}
		for i := range count {
			id := fmt.Sprintf("n%d", i)
			if want := i >= count-release.RecentNotes; s.HasNote(id) != want {
				t.Fatalf("note %d of %d: known is %t", i, count, !want)
			}
		}
	})
}

func TestAppliedNoteIsKnownAndThoseBeforeItStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawState(t)
		n := drawNote(t, s.Version)
		next, err := release.Apply(s, n)
		if err != nil {
			return
		}
		if !next.HasNote(n.ID) {
			t.Fatalf("note %q is not among %v", n.ID, next.Recent)
		}
		for _, id := range s.Recent {
			if !next.HasNote(id) {
				t.Fatalf("note %q was lost", id)
			}
		}
	})
}

// setZone applies a note that puts zone gwent in or out of service. It must succeed.
func setZone(t *testing.T, s release.State, inService bool, id string) release.State {
	t.Helper()
	next, _, err := release.SetZone(s, "gwent", inService, id)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestHoldEndsWithItsNoteAlsoWhenAnotherNoteFollowed(t *testing.T) {
	s := release.State{Version: 1, Zones: map[string]release.Zone{"gwent": {InService: true}}}
	holds := []release.Hold{{Zone: "gwent", NoteID: "out"}}
	if s.InService("gwent", holds) || s.InService("powys", nil) {
		t.Error("a held zone or an unknown one is in service")
	}
	if other := setZone(t, s, true, "other"); other.InService("gwent", holds) {
		t.Error("a note with another id ended the hold")
	}
	out := setZone(t, s, false, "out")
	if out.InService("gwent", holds) {
		t.Error("the zone is in service under the note that took it out")
	}
	back := setZone(t, out, true, "back")
	if !back.InService("gwent", holds) {
		t.Error("the zone was put back in service, but the hold still blocks it")
	}
	if later := setZone(t, back, true, "later"); !later.InService("gwent", holds) {
		t.Error("the hold blocks the zone again after a later note")
	}
}

func code(c result.Code) error { return &result.Error{Code: c} }

func TestMergeKeepsTheHigherVersionInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() *release.State {
			if rapid.Bool().Draw(t, "nil") {
				return nil
			}
			s := drawState(t)
			return &s
		}
		a, b, c := draw(), draw(), draw()
		m := release.Merge
		if m(a, a) != a {
			t.Fatal("not idempotent")
		}
		if !sameVersion(m(a, b), m(b, a)) || !sameVersion(m(m(a, b), c), m(a, m(b, c))) {
			t.Fatal("the result depends on the order of the states")
		}
		if got := m(a, b); a != nil && (got == nil || got.Version < a.Version) {
			t.Fatal("the version went down")
		}
	})
}

func sameVersion(a, b *release.State) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Version == b.Version && a.NoteID == b.NoteID
}

func TestReplayGivesEachEarlierState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := []release.State{{}}
		var records []release.NoteRecord
		for range rapid.IntRange(1, 8).Draw(t, "notes") {
			last := states[len(states)-1]
			n := drawNote(t, last.Version)
			if next, err := release.Apply(last, n); err == nil {
				states = append(states, next)
				records = append([]release.NoteRecord{{Note: n, Version: next.Version}}, records...)
			}
		}
		for _, want := range states {
			got, err := release.Replay(records, want.Version)
			if diff := cmp.Diff(want, got); diff != "" || err != nil {
				t.Fatal(diff, err)
			}
		}
		if _, err := release.Replay(records, uint64(len(states))); err == nil {
			t.Fatal("a version without a note was replayed")
		}
	})
}

func TestNotesThatDoNotApplyAreInvalid(t *testing.T) {
	s, err := release.Apply(release.State{}, release.Note{
		ID:    "first",
		Zones: release.ZoneDelta{Add: map[string]release.Zone{"gwent": {InService: true}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	in := map[string]release.Zone{"gwent": {InService: true}}
	for name, n := range map[string]release.Note{
		"empty":              {},
		"same zone":          {Zones: release.ZoneDelta{Change: in}},
		"same settings":      {Settings: &release.Settings{EjectMaxPct: 50, RetryBudgetPct: 20}},
		"add of existing":    {Zones: release.ZoneDelta{Add: in}},
		"change of missing":  {Teams: release.TeamDelta{Change: map[string]release.Team{"crew": {Weight: 1}}}},
		"withdraw missing":   {Services: release.ServiceDelta{Withdraw: []string{"postlink"}}},
		"named twice":        {Zones: release.ZoneDelta{Change: in, Withdraw: []string{"gwent"}}},
		"weight too small":   {Teams: release.TeamDelta{Add: map[string]release.Team{"crew": {}}}},
		"rate without burst": {Teams: release.TeamDelta{Add: map[string]release.Team{"crew": {TasksPerSecond: 1, Weight: 1}}}},
	} {
		n.ID, n.WrittenAgainst = "second", 1
		if _, err := release.Apply(s, n); !errors.Is(err, code(result.NoteInvalid)) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestSetZoneAcceptsANoteThatChangesNothing(t *testing.T) {
	s := release.State{Version: 4, Zones: map[string]release.Zone{"gwent": {}}}
	next, n, err := release.SetZone(s, "gwent", false, "again")
	if err != nil || next.Version != 5 || next.NoteID != "again" || n.WrittenAgainst != 4 {
		t.Errorf("%+v %+v %v", next, n, err)
	}
	if _, _, err := release.SetZone(s, "powys", false, "again"); !errors.Is(err, code(result.NoteInvalid)) {
		t.Errorf("unknown zone: %v", err)
	}
}

func TestNoteTextErrorsNameLineKeyAndRange(t *testing.T) {
	for text, want := range map[string]string{
		"{\n\"id\": \"a\",\n\"zone\": {}}":                           "line 3: zone: unknown key",
		"{\n\"id\": \"a b\"}":                                        `line 2: id = "a b": must be 1 to 64 letters`,
		"{\"id\": \"a\",\n\"settings\": {\n\"ejectMaxPct\": 101}}":   "line 3: settings.ejectMaxPct = 101: must be from 0 to 100",
		"{\"id\": \"a\",\n\"services\": {\"add\": {\n\"x\": {}}}}":   "line 3: services.add.x.maxTaskMs: must be from 1 to 600000",
		"{\"id\": \"a\",\n\"zones\": {\"add\": {\n\"a/b\": {}}}}":    "line 3: zones.add.a/b: must be 1 to 64 letters",
		"{\"id\": \"a\",\n\"writtenAgainst\": -1}":                   "line 2: writtenAgainst = -1: must be a whole number from 0 on",
		"{\"id\": \"a\",\n\"zones\": {\"withdraw\": [\"x\",\"x\"]}}": `line 2: zones.withdraw[1] = "x": the note names "x" twice`,
		"{": "line 1: column",
	} {
		_, err := release.ParseNote([]byte(text))
		if !errors.Is(err, code(result.NoteInvalid)) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s:\n got %v\nwant %s", text, err, want)
		}
	}
}

func FuzzParseNote(f *testing.F) {
	f.Add([]byte(`{"id": "a", "zones": {"change": {"gwent": {"inService": false}}}} // out`))
	f.Add([]byte(`{"id": "a", "teams": {"add": {"t": {"tasksPerSecond": 1e400}}}}`))
	f.Add([]byte("{\"id\": \"\xff\", \"settings\": null,}"))
	f.Add([]byte("[[[["))
	f.Fuzz(func(t *testing.T, text []byte) {
		n, err := release.ParseNote(text)
		if err != nil && !errors.Is(err, code(result.NoteInvalid)) {
			t.Fatal(err)
		}
		if err != nil {
			return
		}
		encoded, err := json.Marshal(n)
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := release.ParseNote(encoded); err != nil || !decoded.Equal(n) {
			t.Fatalf("%+v was encoded as %s: %v", n, encoded, err)
		}
	})
}
