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

// Payload is the payload of a task, as the endpoint's stand-in decodes it.
type Payload struct {
	RunMS       int64  `json:"runMs"`
	ResultBytes int    `json:"resultBytes,omitempty"`
	Fail        bool   `json:"fail,omitempty"`
	Echo        string `json:"echo,omitempty"`
}

// defaultDeadline is the deadline of the jobs that NewJob returns.
const defaultDeadline = 20 * time.Second

// NewJob returns a job of n tasks that run for runTime each. mark makes their
// results differ from those of other jobs.
func NewJob(mark string, n int, runTime time.Duration) api.Job {
	job := api.Job{Service: DefaultService, DeadlineMS: defaultDeadline.Milliseconds()}
	for i := range n {
		payload, _ := json.Marshal(Payload{RunMS: runTime.Milliseconds(), Echo: fmt.Sprintf("%s-%d", mark, i)})
		job.Tasks = append(job.Tasks, api.Task{Payload: payload, RunMS: runTime.Milliseconds()})
	}
	return job
}

// Traffic is a stream of jobs from several callers to all entries. It starts
// no jobs after trafficTimeout.
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

// trafficTimeout bounds a Traffic that is not stopped.
const trafficTimeout = 90 * time.Second

// StartTraffic submits jobs, one at a time for each caller, until Stop. A caller
// that gets no answer, or one that leaves the outcome open, resubmits its job
// under the same ticket.
func (d *Deployment) StartTraffic(t testing.TB, seed uint64) *Traffic {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), trafficTimeout)
	tr := &Traffic{stop: cancel}
	for i := range trafficCallers {
		rng := rand.New(rand.NewPCG(seed, uint64(i))) //nolint:gosec // reproducible
		tr.wg.Go(func() { d.callerLoop(ctx, fmt.Sprintf("caller%d", i), rng) })
	}
	t.Cleanup(tr.Stop)
	return tr
}

// Stop lets every caller finish its current job and returns when all have.
func (tr *Traffic) Stop() {
	tr.stop()
	tr.wg.Wait()
}

func (d *Deployment) callerLoop(stop context.Context, name string, rng *rand.Rand) {
	c := NewCaller("")
	defer c.Close()
	for n := 0; stop.Err() == nil; n++ {
		entry := d.Entries[rng.IntN(len(d.Entries))]
		runTime := time.Duration(trafficMinRunMS+rng.IntN(trafficMaxRunMS-trafficMinRunMS)) * time.Millisecond
		job := NewJob(fmt.Sprintf("%s-%d", name, n), 1+rng.IntN(trafficMaxTasks), runTime)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(stop), callTimeout)
		d.submitUntilAnswered(ctx, c, entry, job)
		cancel()
	}
}

// submitUntilAnswered requests a ticket and submits the job. While there is no
// answer, or one that leaves the outcome open, it resubmits the job through the
// next entry. Nothing is recorded if there is no ticket or no final answer.
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
		pause(ctx, resubmitInterval)
	}
}

// OutcomeOpen reports whether an answer with code c leaves open what became of the
// ticket's job.
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

// resubmitInterval is the time between two submissions under one ticket.
const resubmitInterval = 100 * time.Millisecond

// seedVariable is the environment variable with the first seed of a test.
const seedVariable = "BERGAMOTWING_SEED"

// Seed returns the first seed of a test, 1 unless seedVariable sets it, and logs it.
func Seed(t testing.TB) uint64 {
	t.Helper()
	seed, err := strconv.ParseUint(os.Getenv(seedVariable), 10, 64)
	if err != nil {
		seed = 1
	}
	t.Logf("seed %d (%s)", seed, seedVariable)
	return seed
}

// Sweep runs a subtest for each of n consecutive seeds, in turn.
func Sweep(t *testing.T, n int, run func(t *testing.T, seed uint64)) {
	t.Helper()
	first := Seed(t)
	for i := range n {
		seed := first + uint64(i) //nolint:gosec // small
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { run(t, seed) })
	}
}
