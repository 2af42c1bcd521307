package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bergamotwing.example/client/api"
	"bergamotwing.example/result"
)

// fakeDeployment answers every job at once; the 10th answer is wrong, the 20th
// job is refused and the 30th answer is lost.
type fakeDeployment struct{ jobs atomic.Int64 }

var errLost = errors.New("the answer is lost")

func (f *fakeDeployment) Submit(_ context.Context, _, _ int, job api.Job) (api.Answer, error) {
	n := f.jobs.Add(1)
	answer := api.Answer{}
	for _, task := range job.Tasks {
		answer.Results = append(answer.Results, task.Payload)
	}
	switch n {
	case 10:
		answer.Results[0] = nil
	case 20:
		return api.Answer{Code: result.Overloaded}, nil
	case 30:
		return api.Answer{}, errLost
	}
	return answer, nil
}

// startMetrics serves counters that grow by one with each read.
func startMetrics(t *testing.T) string {
	t.Helper()
	var reads atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := reads.Add(1)
		for _, kind := range []string{"grant", "refuse", "credit_ask"} {
			_, _ = fmt.Fprintf(w, "%s{kind=%q} %d\n", metricSent, kind, n)
		}
		_, _ = fmt.Fprintf(w, "%s{reason=\"stale_credit\"} %d\n%s %d\n", metricRefused, n, metricCPU, n)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

func TestRunReportsWhatItMeasured(t *testing.T) {
	o := testOptions()
	o.Jobs, o.Duration, o.Utilization = 40, 2*time.Second, 20
	o.Submitter = &fakeDeployment{}
	o.Sources = []Source{{Name: "entry0", URL: startMetrics(t)}}
	dir := t.TempDir()
	o.ReportFile, o.PictureFile = filepath.Join(dir, "report.json"), filepath.Join(dir, "picture.png")
	var progress bytes.Buffer
	report, err := Run(t.Context(), o, &progress)
	if err != nil {
		t.Fatal(err)
	}
	if report.WrongAnswers != 1 || report.NoAnswer != 1 || report.Answers["overloaded"] != 1 {
		t.Errorf("%d wrong, %d lost, %v", report.WrongAnswers, report.NoAnswer, report.Answers)
	}
	if want := int64(report.Jobs - 3); report.VersusIdeal.Count != want {
		t.Errorf("%d response times, want %d", report.VersusIdeal.Count, want)
	}
	if want := 3 / float64(report.Tasks); math.Abs(report.WastedPerTask-want) > 1e-9 {
		t.Errorf("%f messages wasted per task, want %f", report.WastedPerTask, want)
	}
	if report.Refused["stale_credit"] != 1 || report.Processes[0].CPUSeconds != 1 {
		t.Errorf("refused %v, processes %v", report.Refused, report.Processes)
	}
	if !strings.Contains(progress.String(), "seed 7") {
		t.Errorf("the seed is not printed: %s", progress.String())
	}
	for _, file := range []string{o.ReportFile, o.PictureFile} {
		if info, err := os.Stat(file); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", file, err)
		}
	}
}

func TestHTTPSubmitterTakesTicketsInBatches(t *testing.T) {
	var tickets, jobs atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathTickets, func(w http.ResponseWriter, _ *http.Request) {
		tickets.Add(1)
		_, _ = fmt.Fprint(w, `{"tickets":["one","two"]}`)
	})
	mux.HandleFunc("PUT "+api.PathJobs+"/{ticket}", func(w http.ResponseWriter, _ *http.Request) {
		if jobs.Add(1) == 3 {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprint(w, `{"code":200,"name":"overloaded"}`)
			return
		}
		_, _ = fmt.Fprint(w, `{"code":0,"name":"ok"}`)
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	s := newHTTPSubmitter([]string{server.URL}, 1, time.Second)
	defer s.close()
	for i, want := range []result.Code{result.OK, result.OK, result.Overloaded} {
		answer, err := s.Submit(t.Context(), 0, 0, api.Job{})
		if err != nil || answer.Code != want {
			t.Errorf("job %d: %s %v, want %s", i, answer.Code, err, want)
		}
	}
	if n := tickets.Load(); n != 2 {
		t.Errorf("tickets were taken %d times, want 2", n)
	}
}
