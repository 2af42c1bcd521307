package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"bergamotwing.example/client/api"
	"bergamotwing.example/result"
)

const (
	progressInterval = 5 * time.Second
	answerGrace      = 10 * time.Second // after the deadline, for an answer to arrive
)

// outcome is the result of one job.
type outcome struct {
	response time.Duration // from the job's planned arrival to its answer
	late     time.Duration // how late the generator submitted the job
	code     result.Code
	failed   bool // no answer
	wrong    bool // a complete answer with a wrong result
}

// runner holds the state of one Run.
type runner struct {
	opts      Options
	arrivals  []Arrival
	submitter Submitter
	start     time.Time
	outcomes  []outcome
	answered  atomic.Int64
}

// Run offers the load, waits for every answer, and reports. It writes the seed
// and its progress to progress.
func Run(ctx context.Context, o Options, progress io.Writer) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	if o.Payload == nil {
		o.Payload = StandinPayload
	}
	r := &runner{opts: o, arrivals: Arrivals(o), submitter: o.Submitter}
	if r.submitter == nil {
		s := newHTTPSubmitter(o.Entries, o.Callers, o.Deadline+answerGrace)
		defer s.close()
		r.submitter = s
	}
	r.outcomes = make([]outcome, len(r.arrivals))
	_, _ = fmt.Fprintf(progress, "seed %d: %d jobs over %v\n", o.Seed, len(r.arrivals), o.Duration)
	sampler := newSampler(o.Sources)
	if err := sampler.begin(ctx); err != nil {
		return nil, err
	}
	events := r.offer(ctx, sampler, progress)
	if err := ctx.Err(); err != nil {
		return nil, eris.Wrap(err, "load")
	}
	report := newReport(r, sampler.end(ctx), events)
	return report, report.write(o)
}

// offer submits every job at its time while samples are taken and zones are
// taken out of service and back, and returns the outcomes of the zone events.
func (r *runner) offer(ctx context.Context, s *sampler, progress io.Writer) []EventReport {
	bgCtx, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	var events []EventReport
	r.start = time.Now()
	s.start = r.start
	background.Go(func() { s.run(bgCtx) })
	background.Go(func() { r.reportProgress(bgCtx, progress) })
	background.Go(func() { events = r.runEvents(bgCtx, progress) })
	var jobs sync.WaitGroup
	for i, a := range r.arrivals {
		if !waitFor(ctx, time.Until(r.start.Add(a.At))) {
			break
		}
		jobs.Go(func() { r.submit(ctx, i) })
	}
	jobs.Wait()
	stop()
	background.Wait()
	return events
}

func (r *runner) submit(ctx context.Context, i int) {
	a := r.arrivals[i]
	due := r.start.Add(a.At)
	late := time.Since(due)
	job := r.job(i)
	answer, err := r.submitter.Submit(ctx, a.Caller, a.Entry, job)
	out := outcome{response: time.Since(due), late: late, code: answer.Code}
	var refusal *result.Error
	switch {
	case eris.As(err, &refusal):
		out.code = refusal.Code
	case err != nil:
		out.failed = true
	case answer.Code == result.OK:
		out.wrong = !r.correct(job, answer)
	}
	r.outcomes[i] = out
	r.answered.Add(1)
}

func (r *runner) job(i int) api.Job {
	a := r.arrivals[i]
	job := api.Job{Service: a.Service, Team: a.Team, DeadlineMS: r.opts.Deadline.Milliseconds()}
	for n, task := range a.Tasks {
		payload := r.opts.Payload(fmt.Sprintf("%d-%d-%d", r.opts.Seed, i, n), task.Run)
		job.Tasks = append(job.Tasks, api.Task{Payload: payload, RunMS: task.Declared.Milliseconds()})
	}
	return job
}

// correct reports whether a complete answer holds the expected results, byte for
// byte.
func (r *runner) correct(job api.Job, answer api.Answer) bool {
	if len(answer.Results) != len(job.Tasks) {
		return false
	}
	for i, task := range job.Tasks {
		if !bytes.Equal(answer.Results[i], r.opts.Expected(task.Payload)) {
			return false
		}
	}
	return true
}

func (r *runner) reportProgress(ctx context.Context, progress io.Writer) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			at := time.Since(r.start).Round(time.Second)
			_, _ = fmt.Fprintf(progress, "%v: %d of %d jobs answered\n", at, r.answered.Load(), len(r.arrivals))
		}
	}
}

// runEvents posts the zone events to the operators' listener at their times.
func (r *runner) runEvents(ctx context.Context, progress io.Writer) []EventReport {
	client := &http.Client{Timeout: answerGrace}
	defer client.CloseIdleConnections()
	var outcomes []EventReport
	for _, e := range r.opts.ZoneEvents {
		if !waitFor(ctx, time.Until(r.start.Add(e.At))) {
			return outcomes
		}
		out := EventReport{ZoneEvent: e, SentSeconds: time.Since(r.start).Seconds()}
		out.Answer, out.Error = r.postZoneEvent(ctx, client, e)
		out.AnsweredSeconds = time.Since(r.start).Seconds()
		_, _ = fmt.Fprintf(progress, "zone %s out=%t: %s %s\n", e.Zone, e.Out, out.Answer, out.Error)
		outcomes = append(outcomes, out)
	}
	return outcomes
}

func (r *runner) postZoneEvent(ctx context.Context, client *http.Client, e ZoneEvent) (answer, failure string) {
	action := "back"
	if e.Out {
		action = "out"
	}
	url := fmt.Sprintf("%s%s/%s/%s", r.opts.Operators, api.PathZones, e.Zone, action)
	var out api.NoteAnswer
	if err := call(ctx, client, http.MethodPost, url, r.opts.OperatorToken, nil, &out); err != nil {
		return "", err.Error()
	}
	return out.Name, ""
}

// waitFor waits and reports whether ctx has not ended.
func waitFor(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// StandinPayload returns a payload that makes the endpoint stand-in run for the
// given time and echo mark.
func StandinPayload(mark string, run time.Duration) []byte {
	payload, _ := json.Marshal(struct {
		RunMS int64  `json:"runMs"`
		Echo  string `json:"echo"`
	}{run.Milliseconds(), mark})
	return payload
}
