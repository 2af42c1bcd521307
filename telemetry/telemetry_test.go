package telemetry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/result"
)

func newMetrics(tb testing.TB) *Metrics {
	tb.Helper()
	m, err := NewMetrics()
	if err != nil {
		tb.Fatal(err)
	}
	return m
}

// samples returns the sample lines of the metrics text, without the metrics of the
// Go runtime and of the operating system process, which every process serves.
func samples(t *testing.T, m *Metrics) []string {
	t.Helper()
	return slices.DeleteFunc(allSamples(t, m), func(line string) bool {
		return strings.HasPrefix(line, "go_") || strings.HasPrefix(line, "process_")
	})
}

func allSamples(t *testing.T, m *Metrics) []string {
	t.Helper()
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if w.Code != http.StatusOK {
		t.Fatalf("status %d: %s", w.Code, w.Body)
	}
	var out []string
	for line := range strings.Lines(w.Body.String()) {
		if !strings.HasPrefix(line, "#") {
			out = append(out, strings.TrimSpace(line))
		}
	}
	return out
}

func TestCountersAppearWithTheirLabels(t *testing.T) {
	m := newMetrics(t)
	m.Refused(result.Overloaded)
	m.Refused(result.Overloaded)
	m.Refused(result.QuotaExceeded)
	m.Retried(result.StaleCredit)
	m.Sent("grant", 100)
	m.Sent("grant", 20)
	m.Received("result")
	m.Count("bergamotwing_jobs_total", "Jobs.", 3)
	m.Count("bergamotwing_jobs_total", "Jobs.", 1)
	m.Gauge("bergamotwing_open_jobs", "Open jobs.", func() float64 { return 7 })
	want := []string{
		`bergamotwing_jobs_total 4`,
		`bergamotwing_messages_received_total{kind="result"} 1`,
		`bergamotwing_messages_sent_bytes_total{kind="grant"} 120`,
		`bergamotwing_messages_sent_total{kind="grant"} 2`,
		`bergamotwing_open_jobs 7`,
		`bergamotwing_refused_total{reason="overloaded"} 2`,
		`bergamotwing_refused_total{reason="quota_exceeded"} 1`,
		`bergamotwing_retried_total{reason="stale_credit"} 1`,
	}
	if diff := cmp.Diff(want, samples(t, m)); diff != "" {
		t.Error(diff)
	}
}

func TestMetricsOfTwoProcessesAreSeparate(t *testing.T) {
	one, other := newMetrics(t), newMetrics(t)
	one.Refused(result.Overloaded)
	if got := samples(t, other); len(got) != 0 {
		t.Errorf("got %v", got)
	}
}

func TestCPUTimeAndMemoryOfTheProcessAreServed(t *testing.T) {
	got := allSamples(t, newMetrics(t))
	for _, name := range []string{"process_cpu_seconds_total", "process_resident_memory_bytes", "go_goroutines"} {
		if !slices.ContainsFunc(got, func(line string) bool { return strings.HasPrefix(line, name+" ") }) {
			t.Errorf("%s is missing", name)
		}
	}
}

func TestCountsOfManyGoroutinesAddUp(t *testing.T) {
	m := newMetrics(t)
	kinds := []string{"grant", "result", "offer", "refuse"}
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := range 4000 {
				m.Received(kinds[i%len(kinds)])
			}
		})
	}
	wg.Wait()
	got := samples(t, m)
	if len(got) != len(kinds) {
		t.Errorf("%d counters: %v", len(got), got)
	}
	for _, line := range got {
		if !strings.HasSuffix(line, " 8000") {
			t.Error(line)
		}
	}
}

func TestCountingAllocatesNothing(t *testing.T) {
	m := newMetrics(t)
	for name, count := range map[string]func(){
		"Refused":  func() { m.Refused(result.Overloaded) },
		"Retried":  func() { m.Retried(result.StaleCredit) },
		"Sent":     func() { m.Sent("grant", 100) },
		"Received": func() { m.Received("grant") },
		"Count":    func() { m.Count("bergamotwing_jobs_total", "Jobs.", 1) },
	} {
		if n := testing.AllocsPerRun(1000, count); n != 0 {
			t.Errorf("%s allocates %v times", name, n)
		}
	}
}

func TestLogLinesNameTheProcess(t *testing.T) {
	var out bytes.Buffer
	log := NewLog(&out, "warn", "entry", "e1", "gwent")
	log.Info().Msg("below the level")
	log.Warn().Msg("degraded")
	var line map[string]string
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err, out.String())
	}
	delete(line, "time")
	want := map[string]string{"level": "warn", "process": "entry", "id": "e1", "zone": "gwent", "message": "degraded"}
	if diff := cmp.Diff(want, line); diff != "" {
		t.Error(diff)
	}
}

func BenchmarkSent(b *testing.B) {
	m := newMetrics(b)
	b.ReportAllocs()
	for b.Loop() {
		m.Sent("grant", 100)
	}
}

func BenchmarkRefusedParallel(b *testing.B) {
	m := newMetrics(b)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			m.Refused(result.Overloaded)
		}
	})
}
