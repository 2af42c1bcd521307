package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bergamotwing.example/client"
	"bergamotwing.example/client/api"
)

// payload tells a stand-in endpoint what to do for a task.
type payload struct {
	RunMS       int64  `json:"runMs"`
	ResultBytes int    `json:"resultBytes"`
	Echo        string `json:"echo"` // names the task, so that a result that belongs to another task is detected
}

// loads is the running load of all users.
type loads struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// startLoad starts the load of all users.
func (t *trial) startLoad(ctx context.Context) *loads {
	arrivals, cancel := context.WithCancel(ctx)
	l := &loads{cancel: cancel}
	for i, u := range users {
		cl, err := client.New(client.Config{Entries: t.cluster.callerURLs()})
		if err != nil {
			t.report.violation("client of %s: %v", u.name, err)
			continue
		}
		t.clients = append(t.clients, cl)
		random := rand.New(rand.NewPCG(t.cfg.Seed, uint64(i))) //nolint:gosec // repeatable load
		l.wg.Go(func() { t.submitJobs(ctx, arrivals, l, cl, u, random) })
	}
	return l
}

// stop ends the arrivals and waits for the answers.
func (l *loads) stop() {
	l.cancel()
	l.wg.Wait()
}

// submitJobs submits jobs with random gaps until arrivals ends.
func (t *trial) submitJobs(ctx, arrivals context.Context, l *loads, cl *client.Client, u user, random *rand.Rand) {
	for number := 0; ; number++ {
		gap := time.Duration(random.ExpFloat64() * float64(time.Second) / jobsPerSecond)
		if pause(arrivals, gap) != nil {
			return
		}
		r := newRecord(u, number, random, t.journal.current())
		l.wg.Go(func() {
			r.submit(ctx, cl)
			t.journal.add(r)
		})
	}
}

// record is one job and its outcome.
type record struct {
	user     user
	phase    string
	payloads []payload
	job      api.Job
	ideal    time.Duration // run time of the longest task
	started  time.Time
	took     time.Duration
	answer   *api.Answer
	err      error
}

func newRecord(u user, number int, random *rand.Rand, phase string) *record {
	r := &record{user: u, phase: phase, job: api.Job{Service: u.service, DeadlineMS: jobDeadline.Milliseconds()}}
	for i := range 1 + random.IntN(maxTasks) {
		p := payload{RunMS: runMS(random), ResultBytes: resultBytes, Echo: fmt.Sprintf("%s/%d/%d", u.service, number, i)}
		r.payloads = append(r.payloads, p)
		r.job.Tasks = append(r.job.Tasks, api.Task{Payload: p.encode(), RunMS: p.RunMS})
		r.ideal = max(r.ideal, time.Duration(p.RunMS)*time.Millisecond)
	}
	return r
}

func runMS(random *rand.Rand) int64 {
	if random.IntN(longEvery) == 0 {
		return longRunMS
	}
	return minRunMS + random.Int64N(spanRunMS)
}

func (p payload) encode() []byte {
	b, _ := json.Marshal(p) // strings and numbers always encode
	return b
}

func (r *record) submit(ctx context.Context, cl *client.Client) {
	r.started = time.Now()
	r.answer, r.err = cl.Submit(ctx, r.job)
	r.took = time.Since(r.started)
}
