package harness

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// Counter returns the sum of an agent's counter over all its labels, or 0 if it
// has not counted yet.
func (a *Agent) Counter(t testing.TB, name string) float64 {
	t.Helper()
	return Metric(t, a.MetricsURL, name, "")
}

// Metric reads the metrics at url and returns the sum of the series called
// name whose labels contain label, or 0 if there is none.
func Metric(t testing.TB, url, name, label string) float64 {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Close = true                        // an idle connection would be counted among the process's goroutines
	resp, err := http.DefaultClient.Do(req) //nolint:gosec // the tests' own processes
	if err != nil {
		t.Fatalf("metrics at %s: %v", url, err)
	}
	defer func() { _ = resp.Body.Close() }()
	var sum float64
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		sum += series(lines.Text(), name, label)
	}
	return sum
}

// series returns the value of a line of the text format if it matches, or 0.
func series(line, name, label string) float64 {
	rest, ok := strings.CutPrefix(line, name)
	if !ok || !strings.HasPrefix(rest, "{") && !strings.HasPrefix(rest, " ") || !strings.Contains(rest, label) {
		return 0
	}
	v, err := strconv.ParseFloat(rest[strings.LastIndexByte(rest, ' ')+1:], 64)
	if err != nil {
		return 0
	}
	return v
}
