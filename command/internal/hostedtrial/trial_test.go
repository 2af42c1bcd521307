package hostedtrial

import (
	"io"
	"strings"
	"testing"
	"time"

	"bergamotwing.example/platform/fake"
)

func TestTrialFindsNoViolations(t *testing.T) {
	var progress strings.Builder
	report, err := Run(t.Context(), Config{Seed: 1, Log: io.Discard, Progress: &progress})
	if err != nil {
		t.Fatalf("%v after %s", err, progress.String())
	}
	for _, f := range report.Violations {
		t.Error(f)
	}
}

func TestBrokenGuaranteesAreReported(t *testing.T) {
	record := fake.NewRecord()
	for _, tc := range []struct {
		name   string
		answer fake.Answer
	}{
		{"completed without its tasks", fake.Answer{Status: 200, Body: `{"State":"completed"}`}},
		{"failed", fake.Answer{Status: 200, Body: `{"State":"failed"}`}},
		{"no answer", fake.Answer{}},
	} {
		tr := &trial{deployment: &deployment{record: record}}
		tr.recordAnswer("5c0e7a21d94b36f8", 2, 0, tc.answer, time.Second)
		if len(tr.report.Violations) != 1 {
			t.Errorf("%s: violations %v", tc.name, tr.report.Violations)
		}
	}
}
