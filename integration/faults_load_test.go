//go:build measure

package integration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotwing.example/client"
	"bergamotwing.example/client/api"
	"bergamotwing.example/integration/harness"
	"bergamotwing.example/load"
	"bergamotwing.example/release"
	"bergamotwing.example/result"
)

const faultsHeader = `| fault | load | deadline s | seed | jobs | whole | overloaded | unmet | late | failed | other | tasks/s | wasted starts % | response p50 ms | p99 ms | refusal p99 ms | retries % | not run untrue | started twice | max entry RSS MB before | after |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|`

// warmUp is the first part of a load; rates of work leave it out.
const warmUp = 2 * time.Second

// faultLoad is a load on a deployment with a fault.
type faultLoad struct {
	name           string
	utilization    float64
	duration       time.Duration
	deadline       time.Duration
	declaredFactor float64
	mix            []load.Share
	runTimes       load.RunTimes
	sizes          load.Sizes
	entries        int // callers use only this many, the first ones; 0 means all
	events         []faultEvent
}

// faultEvent is an action at a time after the start of a load.
type faultEvent struct {
	at time.Duration
	do func()
}

func defaultFaultLoad(name string, utilization float64, duration, deadline time.Duration) faultLoad {
	return faultLoad{
		name: name, utilization: utilization, duration: duration, deadline: deadline, declaredFactor: 3,
		mix:      []load.Share{{Service: harness.DefaultService, Weight: 1, Slots: measuredAgents * measuredSlots}},
		runTimes: load.DefaultRunTimes(), sizes: load.DefaultSizes(),
	}
}

func deployMeasured(t *testing.T) *harness.Deployment {
	t.Helper()
	return deploy(t, harness.Options{Agents: measuredAgents, Slots: measuredSlots, LinkDelay: measuredDelay})
}

// faultSeed returns the seed of a fault measurement.
func faultSeed(t *testing.T) uint64 {
	t.Helper()
	return uint64(number(t, list(variableSeeds, "1")[0]))
}

// warm runs a load at 50 % utilization first, so that the entries know the run
// times.
func warm(t *testing.T, d *harness.Deployment) *harness.Deployment {
	t.Helper()
	defaultFaultLoad("warm", 0.5, 3*time.Second, 20*time.Second).run(t, d)
	return d
}

// submission is the outcome of one job.
type submission struct {
	mark     string
	team     string
	tasks    int
	code     result.Code
	notRun   bool
	at       time.Time
	response time.Duration
}

// clientSubmitter submits through the client library; each caller has its own
// client.
type clientSubmitter struct {
	clients []*client.Client

	mu   sync.Mutex
	done []submission
}

func newClientSubmitter(t *testing.T, entries []string) *clientSubmitter {
	t.Helper()
	s := &clientSubmitter{}
	for range measuredCallers {
		c, err := client.New(client.Config{Entries: entries})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		s.clients = append(s.clients, c)
	}
	return s
}

// Submit implements load.Submitter.
func (s *clientSubmitter) Submit(ctx context.Context, caller, _ int, job api.Job) (api.Answer, error) {
	begin := time.Now()
	answer, err := s.clients[caller].Submit(ctx, job)
	var notRun *client.NotRunError
	out := submission{
		mark: jobMark(job), team: job.Team, tasks: len(job.Tasks), code: codeOf(err),
		notRun: errors.As(err, &notRun), at: begin, response: time.Since(begin),
	}
	s.mu.Lock()
	s.done = append(s.done, out)
	s.mu.Unlock()
	if err != nil {
		return api.Answer{Code: out.code}, nil
	}
	return *answer, nil
}

// codeOf returns the code of a client's error.
func codeOf(err error) result.Code {
	var notRun *client.NotRunError
	var failed *client.FailedError
	switch {
	case err == nil:
		return result.OK
	case errors.As(err, &notRun):
		return notRun.Err.Code
	case errors.As(err, &failed):
		return failed.Err.Code
	default:
		return result.OutcomeUnknown
	}
}

// jobMark returns the mark of a job: the common start of the echoes of its tasks.
func jobMark(job api.Job) string {
	var p harness.Payload
	_ = json.Unmarshal(job.Tasks[0].Payload, &p)
	return markOf(p.Echo)
}

func markOf(echo string) string {
	if i := strings.LastIndexByte(echo, '-'); i >= 0 {
		return echo[:i]
	}
	return echo
}

// retriesPct returns the retries of all clients as a percentage of their first
// attempts.
func (s *clientSubmitter) retriesPct() float64 {
	var first, retries uint64
	for _, c := range s.clients {
		stats := c.Stats()
		first += stats.FirstTries
		for _, n := range stats.Retries {
			retries += n
		}
	}
	return 100 * float64(retries) / float64(max(1, first))
}

// faultResult holds what was measured under a load with a fault.
type faultResult struct {
	load         faultLoad
	seed         uint64
	report       *load.Report
	done         []submission
	retriesPct   float64
	started      map[string]int // by mark of the job
	falseNotRun  int            // answers "not run" of jobs that started a task
	startedTwice int            // tasks that started more than once
	rssBefore    float64        // MB, the largest of an entry, before the load
	rssAfter     float64        // the same after the load

	mostEjected int // largest number of agents ejected at once, as reported by one entry
}

// runEvents starts the events at their times and watches the ejected agents until
// the returned function is called.
func (r *faultResult) runEvents(t *testing.T, d *harness.Deployment) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	all.Go(func() { r.watchEjected(ctx, d) })
	for _, e := range r.load.events {
		all.Go(func() {
			if waitUntil(ctx, e.at) {
				e.do()
			}
		})
	}
	return func() {
		cancel()
		all.Wait()
	}
}

func waitUntil(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// watchInterval is the time between two readings of an entry's status.
const watchInterval = 300 * time.Millisecond

func (r *faultResult) watchEjected(ctx context.Context, d *harness.Deployment) {
	for waitUntil(ctx, watchInterval) {
		for _, e := range d.Entries {
			status, err := d.Operator.Status(ctx, e.OperatorURL)
			if err != nil {
				continue
			}
			n := 0
			for _, a := range status.Agents {
				if a.Ejected {
					n++
				}
			}
			r.mostEjected = max(r.mostEjected, n)
		}
	}
}

// run offers the load and compares the answers with the starts at the endpoints.
func (f faultLoad) run(t *testing.T, d *harness.Deployment) *faultResult {
	t.Helper()
	seed := faultSeed(t)
	s := newClientSubmitter(t, f.urls(d))
	r := &faultResult{load: f, seed: seed, rssBefore: entryRSS(t, d)}
	stop := r.runEvents(t, d)
	report, err := load.Run(t.Context(), f.options(d, seed, s), os.Stderr)
	stop()
	if err != nil {
		t.Fatal(err)
	}
	r.report, r.done, r.retriesPct, r.rssAfter = report, s.done, s.retriesPct(), entryRSS(t, d)
	r.compare(d.Oracle.MustStarts(t))
	fmt.Println(r.row())
	r.check(t)
	return r
}

func (f faultLoad) options(d *harness.Deployment, seed uint64, s load.Submitter) load.Options {
	return load.Options{
		Seed: seed, Jobs: measuredMaxJobs, Duration: f.duration, Utilization: f.utilization,
		Sizes: f.sizes, RunTimes: f.runTimes, DeclaredFactor: f.declaredFactor, Mix: f.mix,
		Callers: measuredCallers, Entries: entryURLs(d), Deadline: f.deadline,
		Network: measuredHops * measuredDelay, Sources: sources(d), Expected: expectedResult,
		Submitter: s,
		Payload:   func(mark string, run time.Duration) []byte { return load.StandinPayload(f.name+"-"+mark, run) },
	}
}

func (f faultLoad) urls(d *harness.Deployment) []string {
	urls := entryURLs(d)
	if f.entries > 0 {
		return urls[:f.entries]
	}
	return urls
}

func entryURLs(d *harness.Deployment) []string {
	urls := make([]string, 0, len(d.Entries))
	for _, e := range d.Entries {
		urls = append(urls, e.URL)
	}
	return urls
}

// entryRSS returns the largest resident memory of an entry in MB.
func entryRSS(t *testing.T, d *harness.Deployment) float64 {
	t.Helper()
	var rss float64
	for _, e := range d.Entries {
		m, err := load.Scrape(t.Context(), e.MetricsURL)
		if err == nil {
			rss = max(rss, m.RSSBytes/1e6)
		}
	}
	return rss
}

// compare counts the starts of each job, tasks that started more than once, and
// answers "not run" of jobs that started tasks.
func (r *faultResult) compare(starts []harness.Start) {
	r.started = map[string]int{}
	seen := map[string]int{}
	for _, s := range starts {
		seen[s.Echo]++
		if seen[s.Echo] == 2 {
			r.startedTwice++
		}
		if strings.HasPrefix(s.Echo, r.load.name+"-") {
			r.started[markOf(s.Echo)]++
		}
	}
	for _, s := range r.done {
		if s.notRun && r.started[s.mark] > 0 {
			r.falseNotRun++
		}
	}
}

// check fails the test if a guarantee that holds under every fault was broken.
func (r *faultResult) check(t *testing.T) {
	t.Helper()
	if r.falseNotRun > 0 {
		t.Errorf("%d jobs were answered \"not run\" but started tasks", r.falseNotRun)
	}
	if r.startedTwice > 0 {
		t.Errorf("%d tasks started twice", r.startedTwice)
	}
	if r.report.WrongAnswers > 0 {
		t.Errorf("%d wrong answers", r.report.WrongAnswers)
	}
}

func (r *faultResult) count(codes ...result.Code) int {
	n := 0
	for _, s := range r.done {
		if slices.Contains(codes, s.code) {
			n++
		}
	}
	return n
}

// wastedPct returns the starts of jobs that were not answered ok, as a percentage
// of all starts.
func (r *faultResult) wastedPct() float64 {
	all, wasted := 0, 0
	for _, s := range r.done {
		all += r.started[s.mark]
		if s.code != result.OK {
			wasted += r.started[s.mark]
		}
	}
	return 100 * float64(wasted) / float64(max(1, all))
}

// workRate returns the results per second from warmUp to the end of the arrivals.
func (r *faultResult) workRate() float64 {
	var sum float64
	n := 0
	for _, p := range r.report.Work {
		if p.AtSeconds < warmUp.Seconds() || p.AtSeconds > r.load.duration.Seconds() {
			continue
		}
		n++
		for _, rate := range p.TasksPerSecond {
			sum += rate
		}
	}
	return sum / float64(max(1, n))
}

// workOverTime returns the results per second at each sample.
func (r *faultResult) workOverTime() string {
	var b strings.Builder
	for _, p := range r.report.Work {
		var sum float64
		for _, rate := range p.TasksPerSecond {
			sum += rate
		}
		fmt.Fprintf(&b, "%.1f:%.0f ", p.AtSeconds, sum)
	}
	return b.String()
}

// usefulRate is workRate without the share of wasted starts.
func (r *faultResult) usefulRate() float64 { return r.workRate() * (1 - r.wastedPct()/100) }

// responses returns the sorted response times in ms of the jobs that match.
func (r *faultResult) responses(match func(submission) bool) []float64 {
	var all []float64
	for _, s := range r.done {
		if match(s) {
			all = append(all, float64(s.response)/float64(time.Millisecond))
		}
	}
	slices.Sort(all)
	return all
}

func answeredOK(s submission) bool { return s.code == result.OK }

// quantile returns a quantile of sorted values, or 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func (r *faultResult) row() string {
	ok, over, unmet := r.count(result.OK), r.count(result.Overloaded), r.count(result.DeadlineUnmet)
	late, failed := r.count(result.DeadlinePassed), r.count(result.TaskFailed, result.EndpointTimeout)
	response := r.responses(answeredOK)
	refusal := r.responses(func(s submission) bool { return s.code == result.Overloaded })
	return fmt.Sprintf("| %s | %g | %g | %d | %d | %d | %d | %d | %d | %d | %d | %.0f | %.1f | %.0f | %.0f | %.0f | %.1f | %d | %d | %.0f | %.0f |",
		r.load.name, r.load.utilization, r.load.deadline.Seconds(), r.seed, r.report.Jobs,
		ok, over, unmet, late, failed, r.report.Jobs-ok-over-unmet-late-failed,
		r.workRate(), r.wastedPct(), quantile(response, 0.5), quantile(response, 0.99), quantile(refusal, 0.99),
		r.retriesPct, r.falseNotRun, r.startedTwice, r.rssBefore, r.rssAfter)
}

// changeSettings posts a note and waits until it is in force everywhere.
func changeSettings(t *testing.T, d *harness.Deployment, id string, change func(*release.Note)) {
	t.Helper()
	note := release.Note{ID: id, WrittenAgainst: d.Version(t.Context(), d.Entries[0])}
	change(&note)
	answer, err := d.Operator.Note(t.Context(), d.Entries[0].OperatorURL, note)
	if err != nil || answer.Code != result.OK {
		t.Fatalf("note %s: %s %s %v", id, answer.Name, answer.Detail, err)
	}
	d.WaitReady(t, answer.Version)
}
