// Package hostedtrial runs the hosted processes in one process over loopback,
// against stand-ins of the hosting platform. It puts them under load while a
// zone is evacuated, an endpoint fails all its tasks and an entry stops, and
// checks every answer by the endpoints' own record.
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
	runTimeout  = 20 * time.Second
	phaseTime   = 2 * time.Second
	zoneApplies = 2 * time.Second // bound on starts in a zone that was evacuated
	clients     = 6
	clientPause = 20 * time.Millisecond
	clientWaits = 3 * time.Second
	maxTries    = 3
	maxTasks    = 6
	minTaskMs   = 20
	maxTaskMs   = 150
)

// Report says what happened.
type Report struct {
	Jobs       int
	Completed  int
	Resent     int             // submissions that had no answer and were sent again
	Took       []time.Duration // of the jobs that were completed at once
	Violations []string        // promises that were broken
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

// trial is one run.
type trial struct {
	cfg  Config
	host *deployment

	mu     sync.Mutex
	report Report
}

// Run runs the trial. The error says that it could not be carried out; broken
// promises are in the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	t := &trial{cfg: cfg}
	t.say("starting a store, %d entries, %d agents and endpoints", entryCount, agentCount)
	host, err := start(ctx, cfg.Log)
	if err != nil {
		return nil, eris.Wrap(err, "start")
	}
	t.host = host
	defer host.stop()
	if err := host.untilReady(ctx); err != nil {
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
	t.say("steady load")
	if err := pause(ctx, phaseTime); err != nil {
		return err
	}
	if err := t.evacuation(ctx); err != nil {
		return err
	}
	bad := t.host.endpoints[0]
	t.say("endpoint %s fails all its tasks", bad.ID())
	bad.SetFault(fake.EndpointFailsTasks)
	if err := pause(ctx, phaseTime); err != nil {
		return err
	}
	bad.SetFault(fake.EndpointHealthy)
	t.say("entry %s stops", t.host.entries[0].name)
	t.host.entries[0].stop()
	return pause(ctx, phaseTime)
}

// evacuation takes a zone out of service and back.
func (t *trial) evacuation(ctx context.Context) error {
	zone := zones[0]
	t.say("zone %s evacuated", zone)
	t.host.store.Evacuate(zone)
	if err := pause(ctx, zoneApplies); err != nil {
		return err
	}
	before := t.host.startsIn(zone)
	if err := pause(ctx, phaseTime); err != nil {
		return err
	}
	if n := t.host.startsIn(zone) - before; n > 0 {
		t.fault("%d tasks started in zone %s more than %v after its evacuation", n, zone, zoneApplies)
	}
	t.host.store.EndEvacuation(zone)
	return nil
}

// load has clients submit jobs until the function that it returns is called.
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

// job submits one job as the platform's clients do: one without an answer is
// sent again at another entry.
func (t *trial) job(n int, rng *rand.Rand) {
	id := fmt.Sprintf("%016x", rng.Uint64())
	tasks := 1 + rng.IntN(maxTasks)
	body := fake.Tasks(tasks, minTaskMs+rng.IntN(maxTaskMs-minTaskMs))
	began := time.Now()
	for try := range maxTries {
		a := t.host.submit(n+try, id, body)
		if !a.Retryable() {
			t.ended(id, tasks, try, a, time.Since(began))
			return
		}
		time.Sleep(fake.ResendAfter)
	}
	t.ended(id, tasks, maxTries, fake.Answer{}, time.Since(began))
}

// ended notes a job's answer and checks it.
func (t *trial) ended(id string, tasks, resent int, a fake.Answer, took time.Duration) {
	done, starts := t.host.record.Done(id), t.host.record.Starts(id)
	switch {
	case a.Completed() && done < tasks:
		t.fault("job %s was answered as completed with %d of %d tasks done", id, done, tasks)
	case a.NotRun() && resent == 0 && starts > 0:
		t.fault("job %s was refused as not run, but %d runs began", id, starts)
	case !a.Completed() && !a.NotRun():
		t.fault("job %s: status %d after %d tries", id, a.Status, resent+1)
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
	for _, twice := range t.host.record.Overlapping() {
		t.fault("ran twice at the same time: %s", twice)
	}
	if t.report.Completed == 0 {
		t.fault("no job was completed")
	}
}

func (t *trial) fault(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Violations = append(t.report.Violations, fmt.Sprintf(format, args...))
}

func (t *trial) say(format string, args ...any) {
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
