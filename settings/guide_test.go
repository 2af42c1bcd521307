package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// guideExample writes settings example n, counted from 0, of the operators' guide to
// a file.
func guideExample(t *testing.T, n int) string {
	t.Helper()
	guide, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	examples := strings.Split(string(guide), "```jsonc\n")[1:]
	if n >= len(examples) {
		t.Fatalf("the guide has %d examples", len(examples))
	}
	text, _, _ := strings.Cut(examples[n], "```")
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestExamplesOfTheOperatorsGuideLoad(t *testing.T) {
	if _, err := LoadEntry(guideExample(t, 0)); err != nil {
		t.Error(err)
	}
	if _, err := LoadAgent(guideExample(t, 1)); err != nil {
		t.Error(err)
	}
}
