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
	resp, err := http.Get(a.MetricsURL)
	if err != nil {
		t.Fatalf("metrics of %s: %v", a.ID, err)
	}
	defer func() { _ = resp.Body.Close() }()
	var sum float64
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		sum += sample(lines.Text(), name)
	}
	return sum
}

// sample returns the value of a line of the metrics text if it is of the counter.
func sample(line, name string) float64 {
	rest, ok := strings.CutPrefix(line, name)
	if !ok || rest == "" || rest[0] != ' ' && rest[0] != '{' {
		return 0
	}
	value, err := strconv.ParseFloat(rest[strings.LastIndexByte(rest, ' ')+1:], 64)
	if err != nil {
		return 0
	}
	return value
}
