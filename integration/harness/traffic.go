package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"bergamotwing.example/client/api"
	"bergamotwing.example/result"
)

// Payload is what the endpoint stand-in takes as a task.
type Payload struct {
	RunMS       int64  `json:"runMs"`
	ResultBytes int    `json:"resultBytes,omitempty"`
	Fail        bool   `json:"fail,omitempty"`
	Echo        string `json:"echo,omitempty"`
}

// defaultDeadline is the deadline of jobs made by NewJob.
const defaultDeadline = 20 * time.Second

// NewJob returns a job of n tasks that run for run each; mark makes their
// results unlike those of other jobs.
func NewJob(mark string, n int, run time.Duration) api.Job {
	job := api.Job{Service: DefaultService, DeadlineMS: defaultDeadline.Milliseconds()}
	for i := range n {
		payload, _ := json.Marshal(Payload{RunMS: run.Milliseconds(), Echo: fmt.Sprintf("%s-%d", mark, i)})
		job.Tasks = append(job.Tasks, api.Task{Payload: payload, RunMS: run.Milliseconds()})
	}
	return job
}

// Traffic is a bounded stream of jobs from several callers to all entries.
type Traffic struct {
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// Sizes of the jobs that Traffic submits.
const (
	trafficCallers  = 12
	trafficMaxTasks = 4
	trafficMinRunMS = 20
	trafficMaxRunMS = 120
)

// trafficLimit bounds a Traffic that is not stopped.
const trafficLimit = 90 * time.Second

// StartTraffic submits jobs, one at a time for each caller, until Stop. A caller
// whose answer is lost or unknown asks again under the same ticket.
func (d *Deployment) StartTraffic(t testing.TB, seed uint64) *Traffic {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), trafficLimit)
	tr := &Traffic{stop: cancel}
	for i := range trafficCallers {
		rng := rand.New(rand.NewPCG(seed, uint64(i))) //nolint:gosec // reproducible
		tr.wg.Go(func() { d.callerLoop(ctx, fmt.Sprintf("caller%d", i), rng) })
	}
	t.Cleanup(tr.Stop)
	return tr
}

// Stop lets every caller finish its job and returns when all have.
func (tr *Traffic) Stop() {
	tr.stop()
	tr.wg.Wait()
}

func (d *Deployment) callerLoop(stop context.Context, name string, rng *rand.Rand) {
	c := NewCaller("")
	defer c.Close()
	for n := 0; stop.Err() == nil; n++ {
		entry := d.Entries[rng.IntN(len(d.Entries))]
		run := time.Duration(trafficMinRunMS+rng.IntN(trafficMaxRunMS-trafficMinRunMS)) * time.Millisecond
		job := NewJob(fmt.Sprintf("%s-%d", name, n), 1+rng.IntN(trafficMaxTasks), run)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(stop), callTimeout)
		d.submitUntilAnswered(ctx, c, entry, job)
		cancel()
	}
}

// submitUntilAnswered takes a ticket, submits the job and, while the answer is
// lost or unknown, asks again through the next entry. Nothing is recorded if
// there is no ticket or no answer.
func (d *Deployment) submitUntilAnswered(ctx context.Context, c *Caller, entry *Entry, job api.Job) {
	ticket, err := c.Ticket(ctx, entry.URL)
	if err != nil {
		pause(ctx, pollInterval)
		return
	}
	first := d.index(entry)
	for n := 0; ctx.Err() == nil; n++ {
		e := d.Entries[(first+n)%len(d.Entries)]
		answer, err := c.Submit(ctx, e.URL, ticket, job)
		if err == nil && !OutcomeOpen(answer.Code) {
			d.Oracle.Record(ticket, job, answer)
			return
		}
		pause(ctx, askAgainInterval)
	}
}

// OutcomeOpen reports whether an answer leaves open what became of the ticket.
func OutcomeOpen(c result.Code) bool {
	return c == result.OutcomeUnknown || c == result.PeerUnreachable || c == result.SlowRequest
}

func (d *Deployment) index(entry *Entry) int {
	for i, e := range d.Entries {
		if e == entry {
			return i
		}
	}
	return 0
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// askAgainInterval is the time between two submissions under one ticket.
const askAgainInterval = 100 * time.Millisecond

// seedVariable sets the first seed of Sweep.
const seedVariable = "BERGAMOTWING_SEED"

// Seed returns the first seed of a test and prints it.
func Seed(t testing.TB) uint64 {
	t.Helper()
	seed, err := strconv.ParseUint(os.Getenv(seedVariable), 10, 64)
	if err != nil {
		seed = 1
	}
	t.Logf("seed %d (%s)", seed, seedVariable)
	return seed
}

// Sweep runs a case over n seeds in turn.
func Sweep(t *testing.T, n int, run func(t *testing.T, seed uint64)) {
	t.Helper()
	first := Seed(t)
	for i := range n {
		seed := first + uint64(i) //nolint:gosec // small
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { run(t, seed) })
	}
}
