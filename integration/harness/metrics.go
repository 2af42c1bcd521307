package harness

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// Counter returns the sum of an agent's counter over all its labels, or 0 if the
// agent has not counted anything yet.
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
	req.Close = true                        // an idle connection would add to the process's go_goroutines
	resp, err := http.DefaultClient.Do(req) //nolint:gosec // the tests' own processes
	if err != nil {
		t.Fatalf("metrics at %s: %v", url, err)
	}
	defer func() { _ = resp.Body.Close() }()
	var sum float64
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		sum += seriesValue(lines.Text(), name, label)
	}
	return sum
}

// seriesValue returns the value in a line of the Prometheus text format if name and
// label match, or 0.
func seriesValue(line, name, label string) float64 {
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
