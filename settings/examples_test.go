package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"bergamotwing.example/release"
	"bergamotwing.example/settings"
)

// files returns the files under examples that match a pattern. There must be n.
func files(t *testing.T, n int, pattern ...string) []string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(append([]string{"..", "examples"}, pattern...)...))
	if err != nil || len(names) != n {
		t.Fatalf("%d files match %v, want %d: %v", len(names), pattern, n, err)
	}
	return names
}

func TestExamplesFitTogether(t *testing.T) {
	for _, user := range []string{"bannerstroom", "cymdeithas"} {
		t.Run(user, func(t *testing.T) {
			state := applyNotes(t, files(t, 3, user, "notes", "*.jsonc"))
			links := make(map[string]bool)
			for _, file := range files(t, 3, user, "entry-*.jsonc") {
				s, err := settings.LoadEntry(file)
				if err != nil {
					t.Error(err)
				}
				if _, ok := state.Zones[s.Zone]; !ok {
					t.Errorf("%s: no note adds zone %s", file, s.Zone)
				}
				links[s.LinkAddr] = true
			}
			for _, file := range files(t, 3, user, "agent-*.jsonc") {
				checkAgent(t, file, state, links)
			}
		})
	}
}

func applyNotes(t *testing.T, names []string) release.State {
	t.Helper()
	var state release.State
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		note, err := release.ParseNote(text)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if state, err = release.Apply(state, note); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	return state
}

func checkAgent(t *testing.T, file string, state release.State, links map[string]bool) {
	t.Helper()
	s, err := settings.LoadAgent(file)
	if err != nil {
		t.Error(err)
	}
	_, zone := state.Zones[s.Zone]
	_, service := state.Services[s.Service]
	if !zone || !service || s.Slots != 8 || s.Connections != 60 {
		t.Errorf("%s: %+v does not fit the notes", file, s)
	}
	for _, e := range s.Entries {
		if !links[e] {
			t.Errorf("%s: no entry listens on %s", file, e)
		}
	}
}
