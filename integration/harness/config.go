package harness

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"bergamotwing.example/settings"
)

// OperatorToken is the operator token of every deployment.
const OperatorToken = "operators-of-the-test-deployment"

// sharedKey signs the tickets and links of every deployment.
const sharedKey = "shared-key-of-the-test-deployment"

func keys() []settings.Key { return []settings.Key{{Secret: sharedKey}} }

// writeSettings writes a settings file for the test and returns its path.
func writeSettings(t testing.TB, name string, v any) string {
	t.Helper()
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		t.Fatalf("encode settings of %s: %v", name, err)
	}
	file := filepath.Join(t.TempDir(), name+".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		t.Fatalf("write settings of %s: %v", name, err)
	}
	return file
}
