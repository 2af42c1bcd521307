// Package hostedtrial runs the hosted processes in one process over loopback,
// against stand-ins of the hosting platform. It puts them under load while a
// zone is evacuated, an endpoint fails all its tasks and an entry stops, and
// checks every answer against the endpoints' own record.
package hostedtrial

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"bergamotwing.example/platform/fake"
)

// Config says how to run a trial.
type Config struct {
	Seed     uint64
	Log      io.Writer // the processes' logs
	Progress io.Writer // a line at each phase
}

const (
	trialTimeout    = 20 * time.Second
	phaseTime       = 2 * time.Second
	evacuationBound = 2 * time.Second // how long tasks may still start in an evacuated zone
	clients         = 6
	clientPause     = 20 * time.Millisecond
	clientTimeout   = 3 * time.Second
	maxAttempts     = 3
	maxTasks        = 6
	minTaskMs       = 20
	maxTaskMs       = 150
)

// Report holds the counts, answer times and violations of a trial.
type Report struct {
	Jobs       int
	Completed  int
	Resent     int             // submissions sent again for lack of an answer
	Took       []time.Duration // of the jobs that were completed by their first submission
	Violations []string        // broken guarantees
}

// Write prints the report.
func (r *Report) Write(w io.Writer) error {
	slices.Sort(r.Took)
	_, err := fmt.Fprintf(w, "%d jobs, %d completed, %d sent again; answered after %v (half) and %v (99 of 100)\n",
		r.Jobs, r.Completed, r.Resent, r.percentile(50), r.percentile(99))
	for _, f := range r.Violations {
		_, err = fmt.Fprintf(w, "fault: %s\n", f)
	}
	if err == nil && len(r.Violations) == 0 {
		_, err = fmt.Fprintln(w, "no fault")
	}
	return err
}

func (r *Report) percentile(p int) time.Duration {
	if len(r.Took) == 0 {
		return 0
	}
	return r.Took[(len(r.Took)-1)*p/100].Round(time.Millisecond)
}

// trial is the state of one trial.
type trial struct {
	cfg        Config
	deployment *deployment

	mu     sync.Mutex
	report Report
}

// Run runs the trial. It returns an error if the trial could not be carried out;
// broken guarantees are in the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	t := &trial{cfg: cfg}
	t.logProgress("starting a store, %d entries, %d agents and endpoints", entryCount, agentCount)
	d, err := start(ctx, cfg.Log)
	if err != nil {
		return nil, eris.Wrap(err, "start")
	}
	t.deployment = d
	defer d.stop()
	if err := d.untilReady(ctx); err != nil {
		return nil, err
	}
	stopLoad := t.load(ctx)
	err = t.phases(ctx)
	stopLoad()
	if err != nil {
		return nil, err
	}
	t.checkRuns()
	return &t.report, nil
}

func (t *trial) phases(ctx context.Context) error {
	t.logProgress("steady load")
	if err := pause(ctx, phaseTime); err != nil {
		return err
	}
	if err := t.evacuation(ctx); err != nil {
		return err
	}
	bad := t.deployment.endpoints[0]
	t.logProgress("endpoint %s fails all its tasks", bad.ID())
	bad.SetFault(fake.EndpointFailsTasks)
	if err := pause(ctx, phaseTime); err != nil {
		return err
	}
	bad.SetFault(fake.EndpointHealthy)
	t.logProgress("entry %s stops", t.deployment.entries[0].name)
	t.deployment.entries[0].stop()
	return pause(ctx, phaseTime)
}

// evacuation takes a zone out of service and back.
func (t *trial) evacuation(ctx context.Context) error {
	zone := zones[0]
	t.logProgress("zone %s evacuated", zone)
	t.deployment.store.Evacuate(zone)
	if err := pause(ctx, evacuationBound); err != nil {
		return err
	}
	before := t.deployment.startsIn(zone)
	if err := pause(ctx, phaseTime); err != nil {
		return err
	}
	if n := t.deployment.startsIn(zone) - before; n > 0 {
		t.violation("%d tasks started in zone %s more than %v after its evacuation", n, zone, evacuationBound)
	}
	t.deployment.store.EndEvacuation(zone)
	return nil
}

// load starts clients that submit jobs until the returned function is called.
func (t *trial) load(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for n := range clients {
		rng := rand.New(rand.NewPCG(t.cfg.Seed, uint64(n))) //nolint:gosec // reproducible
		wg.Go(func() {
			for i := n; ctx.Err() == nil; i++ {
				t.job(i, rng)
				_ = pause(ctx, clientPause) // the loop ends with ctx
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// job submits one job as the platform's clients do: a job without an answer is
// sent again to another entry.
func (t *trial) job(n int, rng *rand.Rand) {
	id := fmt.Sprintf("%016x", rng.Uint64())
	tasks := 1 + rng.IntN(maxTasks)
	body := fake.Tasks(tasks, minTaskMs+rng.IntN(maxTaskMs-minTaskMs))
	began := time.Now()
	for attempt := range maxAttempts {
		a := t.deployment.submit(n+attempt, id, body)
		if !a.Retryable() {
			t.recordAnswer(id, tasks, attempt, a, time.Since(began))
			return
		}
		time.Sleep(fake.ResendAfter)
	}
	t.recordAnswer(id, tasks, maxAttempts, fake.Answer{}, time.Since(began))
}

// recordAnswer checks a job's answer against the endpoints' record and counts it.
func (t *trial) recordAnswer(id string, tasks, resent int, a fake.Answer, took time.Duration) {
	done, starts := t.deployment.record.Done(id), t.deployment.record.Starts(id)
	switch {
	case a.Completed() && done < tasks:
		t.violation("job %s was answered as completed with %d of %d tasks done", id, done, tasks)
	case a.NotRun() && resent == 0 && starts > 0:
		t.violation("job %s was refused as not run, but %d runs began", id, starts)
	case !a.Completed() && !a.NotRun():
		t.violation("job %s: status %d after %d tries", id, a.Status, resent+1)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Jobs++
	t.report.Resent += resent
	if a.Completed() {
		t.report.Completed++
		if resent == 0 {
			t.report.Took = append(t.report.Took, took)
		}
	}
}

func (t *trial) checkRuns() {
	for _, task := range t.deployment.record.Overlapping() {
		t.violation("ran twice at the same time: %s", task)
	}
	if t.report.Completed == 0 {
		t.violation("no job was completed")
	}
}

func (t *trial) violation(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Violations = append(t.report.Violations, fmt.Sprintf(format, args...))
}

func (t *trial) logProgress(format string, args ...any) {
	_, _ = fmt.Fprintf(t.cfg.Progress, format+"\n", args...) // progress only
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "trial ended early")
	}
}
