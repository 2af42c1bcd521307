package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/client/api"
	"bergamotwing.example/integration/harness"
	"bergamotwing.example/result"
)

func TestIssuerKilledJobIsSettled(t *testing.T) {
	t.Run("tasks were running", func(t *testing.T) {
		d := deploy(t, harness.Options{})
		job := harness.NewJob("running", 6, 2*time.Second)
		ticket := mustTicket(t, newCaller(t), d.Entries[0])
		forwarded := submit(t.Context(), d.Entries[1], ticket, job)
		waitStarted(t, d, len(job.Tasks))
		d.Entries[0].Kill()
		if r := <-forwarded; r.err != nil {
			t.Fatalf("the forwarding entry gave no answer: %v", r.err)
		}
		wantCode(t, submitUntilKnown(t, d, d.Entries[1], ticket, job), result.OK, result.SettledFailed)
		d.Oracle.Check(t)
	})
	t.Run("job was never submitted", func(t *testing.T) {
		d := deploy(t, harness.Options{})
		job := harness.NewJob("never", 6, 50*time.Millisecond)
		ticket := mustTicket(t, newCaller(t), d.Entries[0])
		d.Entries[0].Kill()
		wantCode(t, submitUntilKnown(t, d, d.Entries[1], ticket, job), result.SettledNotRun)
		d.Entries[0].Restart(t)
		d.WaitReady(t, 1)
		for _, e := range d.Entries {
			wantCode(t, submitUntilKnown(t, d, e, ticket, job), result.SettledNotRun)
		}
		d.Oracle.Check(t)
	})
}

func TestIssuerFrozenOverSettlement(t *testing.T) {
	t.Run("job was never submitted", func(t *testing.T) {
		d := deploy(t, harness.Options{})
		job := harness.NewJob("never", 6, 50*time.Millisecond)
		ticket := mustTicket(t, newCaller(t), d.Entries[0])
		mustSignal(t, d.Entries[0].Freeze)
		wantCode(t, submitUntilKnown(t, d, d.Entries[1], ticket, job), result.SettledNotRun)
		mustSignal(t, d.Entries[0].Thaw)
		answer := submitUntilKnown(t, d, d.Entries[0], ticket, job)
		if answer.Code == result.OK {
			t.Error("a settled job ran after all")
		}
		d.Oracle.Check(t)
	})
	t.Run("tasks were running and waiting", func(t *testing.T) {
		d := deploy(t, harness.Options{})
		job := harness.NewJob("half", 60, 400*time.Millisecond)
		ticket := mustTicket(t, newCaller(t), d.Entries[0])
		first := submit(t.Context(), d.Entries[0], ticket, job)
		waitStarted(t, d, 10)
		mustSignal(t, d.Entries[0].Freeze)
		wantCode(t, submitUntilKnown(t, d, d.Entries[1], ticket, job), result.SettledFailed)
		mustSignal(t, d.Entries[0].Thaw)
		if answer := await(t, d, ticket, job, first); answer.Code == result.OK {
			t.Error("a job settled as failed was answered ok")
		}
		wantCode(t, submitNew(t, d, d.Entries[0], harness.NewJob("after", 8, 50*time.Millisecond)), result.OK)
		d.Oracle.Check(t)
	})
}

func TestIssuerCutOffLosesOnlyTheSettledJob(t *testing.T) {
	d := deploy(t, harness.Options{})
	issuer := d.Entries[0]
	settled := harness.NewJob("settled", 4, 50*time.Millisecond)
	ticket := mustTicket(t, newCaller(t), issuer)
	d.DisconnectPeers(issuer)
	wantCode(t, submitUntilKnown(t, d, d.Entries[1], ticket, settled), result.SettledNotRun)
	if answer := submitUntilKnown(t, d, issuer, ticket, settled); answer.Code == result.OK {
		t.Error("a settled job ran after all")
	}
	wantCode(t, submitNew(t, d, issuer, harness.NewJob("other", 4, 50*time.Millisecond)), result.OK)
	d.HealPeers(issuer)
	d.WaitReady(t, 1)
	d.Oracle.Check(t)
}

// mustSignal sends a signal to a process that must be running.
func mustSignal(t *testing.T, send func() error) {
	t.Helper()
	if err := send(); err != nil {
		t.Fatal(err)
	}
}

// settledJob is a job with its ticket and the answers of two entries to which it
// was submitted at the same time.
type settledJob struct {
	ticket  string
	job     api.Job
	answers [2]api.Answer
}

func TestIssuerKilledWithManyOpenJobsIsSettledAlikeByTwoEntries(t *testing.T) {
	harness.Sweep(t, 3, func(t *testing.T, seed uint64) {
		d := deploy(t, harness.Options{})
		rng := rand.New(rand.NewPCG(seed, 0))
		jobs := openJobs(t, d, rng, 120)
		waitStarted(t, d, 10+rng.IntN(100))
		d.Entries[0].Kill()
		resubmitAtOnce(t, d, jobs)
		counts := map[result.Code]int{}
		for _, j := range jobs {
			counts[j.answers[0].Code]++
			wantCode(t, j.answers[0], result.OK, result.SettledFailed, result.SettledNotRun)
			if diff := cmp.Diff(j.answers[0], j.answers[1]); diff != "" {
				t.Errorf("%s: two entries differ:\n%s", j.ticket, diff)
			}
		}
		t.Logf("answers: %v", counts)
		d.Oracle.Check(t)
	})
}

// openJobs submits n jobs to the first entry, which the test kills later. For
// every tenth job the ticket is taken, but the job is not submitted.
func openJobs(t *testing.T, d *harness.Deployment, rng *rand.Rand, n int) []*settledJob {
	t.Helper()
	c := newCaller(t)
	jobs := make([]*settledJob, n)
	for i := range jobs {
		run := time.Duration(20+rng.IntN(400)) * time.Millisecond
		jobs[i] = &settledJob{ticket: mustTicket(t, c, d.Entries[0]), job: harness.NewJob(fmt.Sprintf("job%d", i), 1+rng.IntN(4), run)}
		if i%10 != 0 {
			submit(t.Context(), d.Entries[0], jobs[i].ticket, jobs[i].job)
		}
	}
	return jobs
}

// resubmitAtOnce submits every job through the second and the third entry at the
// same time, until each of them states the job's outcome.
func resubmitAtOnce(t *testing.T, d *harness.Deployment, jobs []*settledJob) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*answerLimit)
	defer cancel()
	var wg sync.WaitGroup
	for _, j := range jobs {
		for n := range j.answers {
			wg.Go(func() { j.answers[n] = resubmitUntilKnown(ctx, d.Entries[1+n], j.ticket, j.job) })
		}
	}
	wg.Wait()
	for _, j := range jobs {
		for _, answer := range j.answers {
			d.Oracle.Record(j.ticket, j.job, answer)
		}
	}
}

// resubmitUntilKnown is submitUntilKnown for goroutines other than the test's.
func resubmitUntilKnown(ctx context.Context, e *harness.Entry, ticket string, job api.Job) api.Answer {
	for {
		r := <-submit(ctx, e, ticket, job)
		if r.err == nil && !harness.OutcomeOpen(r.answer.Code) {
			return r.answer
		}
		if ctx.Err() != nil {
			return api.Answer{Code: result.OutcomeUnknown, Name: "no answer in time", Detail: fmt.Sprint(r.err)}
		}
	}
}

func TestSettlementWithoutAnAgentNeverHeardOfIsUnknown(t *testing.T) {
	d := deploy(t, harness.Options{})
	issuer, settling, hidden := d.Entries[0], d.Entries[1], d.Agents[0]
	job := harness.NewJob("hidden", 6, 50*time.Millisecond)
	ticket := mustTicket(t, newCaller(t), issuer)
	settling.Links.Disconnect(hidden.ID)
	settling.Restart(t)
	waitAgents(t, d, settling, len(d.Agents)-1)
	issuer.Kill()
	for range 3 {
		wantCode(t, await(t, d, ticket, job, submit(t.Context(), settling, ticket, job)), result.OutcomeUnknown)
	}
	settling.Links.Heal(hidden.ID)
	waitAgents(t, d, settling, len(d.Agents))
	wantCode(t, submitUntilKnown(t, d, settling, ticket, job), result.SettledNotRun)
	d.Oracle.Check(t)
}

// waitAgents waits until an entry is ready and linked to n agents.
func waitAgents(t *testing.T, d *harness.Deployment, e *harness.Entry, n int) {
	t.Helper()
	harness.Eventually(t, answerLimit, fmt.Sprintf("%s is linked to %d agents", e.ID, n), func() bool {
		status, err := d.Operator.Status(t.Context(), e.OperatorURL)
		return err == nil && status.Version > 0 && len(status.Agents) == n
	})
}

func TestAgentBootedAfterSettlementRefusesTheThawedIssuer(t *testing.T) {
	d := deploy(t, harness.Options{})
	issuer := d.Entries[0]
	job := harness.NewJob("fenced", 4, 50*time.Millisecond)
	ticket := mustTicket(t, newCaller(t), issuer)
	d.DisconnectPeers(issuer) // else the issuer would receive a forwarded copy of the submission once it is thawed
	mustSignal(t, issuer.Freeze)
	wantCode(t, submitUntilKnown(t, d, d.Entries[1], ticket, job), result.SettledNotRun)
	for _, a := range d.Agents {
		issuer.Links.Disconnect(a.ID)
	}
	added := d.AddAgent(t)
	mustSignal(t, issuer.Thaw)
	harness.Eventually(t, answerLimit, "the issuer is linked to the new agent alone", func() bool {
		status, err := d.Operator.Status(t.Context(), issuer.OperatorURL)
		return err == nil && len(status.Agents) == 1 && status.Agents[0].ID == added.ID
	})
	d.HealPeers(issuer)
	answer := submitUntilKnown(t, d, issuer, ticket, job)
	// The issuer cannot distinguish a refused grant from one that is still in
	// transit.
	wantCode(t, answer, result.SettledNotRun, result.SettledFailed)
	if n := harness.Metric(t, added.MetricsURL, "bergamotwing_refused_total", result.TicketFenced.String()); n == 0 {
		t.Error("the agent that started after the settlement refused no grant of the settled ticket")
	}
	other := submitNew(t, d, issuer, harness.NewJob("after", 4, 50*time.Millisecond))
	wantCode(t, other, result.OK)
	d.Oracle.Check(t)
}

func TestSettlementWithStoreDown(t *testing.T) {
	t.Run("job was never submitted", func(t *testing.T) {
		d := deploy(t, harness.Options{})
		job := harness.NewJob("never", 4, 50*time.Millisecond)
		ticket := mustTicket(t, newCaller(t), d.Entries[0])
		storeDown(t, d, "")
		d.Entries[0].Kill()
		for _, e := range d.Entries[1:] {
			wantCode(t, await(t, d, ticket, job, submit(t.Context(), e, ticket, job)), result.OutcomeUnknown)
		}
		storeUp(t, d, "")
		for _, e := range d.Entries[1:] {
			wantCode(t, submitUntilKnown(t, d, e, ticket, job), result.SettledNotRun)
		}
		d.Oracle.Check(t)
	})
	t.Run("tasks were running", func(t *testing.T) {
		d := deploy(t, harness.Options{Slots: 2})
		job := harness.NewJob("running", 12, 2*time.Second)
		ticket := mustTicket(t, newCaller(t), d.Entries[0])
		submit(t.Context(), d.Entries[0], ticket, job)
		waitStarted(t, d, 6)
		storeDown(t, d, "")
		d.Entries[0].Kill()
		wantCode(t, await(t, d, ticket, job, submit(t.Context(), d.Entries[1], ticket, job)), result.OutcomeUnknown)
		storeUp(t, d, "")
		wantCode(t, submitUntilKnown(t, d, d.Entries[1], ticket, job), result.SettledFailed)
		d.Oracle.Check(t)
	})
	t.Run("job was complete", func(t *testing.T) {
		d := deploy(t, harness.Options{})
		job := harness.NewJob("complete", 6, 50*time.Millisecond)
		ticket := mustTicket(t, newCaller(t), d.Entries[0])
		want := submitUntilKnown(t, d, d.Entries[0], ticket, job)
		wantCode(t, want, result.OK)
		storeDown(t, d, "")
		d.Entries[0].Kill()
		got := submitUntilKnown(t, d, d.Entries[1], ticket, job)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("answers differ (-issuer +settlement):\n%s", diff)
		}
		d.Oracle.Check(t)
	})
}
