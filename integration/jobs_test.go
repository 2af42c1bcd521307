package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/client/api"
	"bergamotwing.example/integration/harness"
	"bergamotwing.example/release"
	"bergamotwing.example/result"
)

func TestJobRunsWholeThroughSeparateProcesses(t *testing.T) {
	d := deploy(t, harness.Options{})
	for _, e := range d.Entries {
		answer := submitNew(t, d, e, harness.NewJob(e.ID, 40, 50*time.Millisecond))
		wantCode(t, answer, result.OK)
	}
	d.Oracle.Check(t)
}

func TestResubmitThroughOtherEntryJoinsRunningJob(t *testing.T) {
	d := deploy(t, harness.Options{})
	job := harness.NewJob("joined", 3, time.Second)
	ticket := mustTicket(t, newCaller(t), d.Entries[0])
	first := submit(t.Context(), d.Entries[0], ticket, job)
	waitStarted(t, d, len(job.Tasks))
	second := submit(t.Context(), d.Entries[1], ticket, job)
	third := submit(t.Context(), d.Entries[2], ticket, job)
	want := await(t, d, ticket, job, first)
	wantCode(t, want, result.OK)
	for _, other := range []<-chan reply{second, third} {
		if diff := cmp.Diff(want, await(t, d, ticket, job, other)); diff != "" {
			t.Errorf("answers differ (-issuer +other entry):\n%s", diff)
		}
	}
	d.Oracle.Check(t)
}

func TestResubmitAfterLostAnswerStartsNothingTwice(t *testing.T) {
	d := deploy(t, harness.Options{})
	job := harness.NewJob("lost", 5, 300*time.Millisecond)
	entry := d.Entries[0]
	ticket := mustTicket(t, newCaller(t), entry)
	entry.Callers.DropDirection(harness.FromTarget)
	lost := submit(t.Context(), entry, ticket, job)
	waitStarted(t, d, len(job.Tasks))
	entry.Callers.Disconnect()
	if r := <-lost; r.err == nil {
		t.Fatalf("the answer was not lost: %s", r.answer.Name)
	}
	entry.Callers.Heal()
	for _, e := range d.Entries {
		wantCode(t, submitUntilKnown(t, d, e, ticket, job), result.OK)
	}
	d.Oracle.Check(t)
}

func TestSameTicketWithDifferentBodyIsRefused(t *testing.T) {
	d := deploy(t, harness.Options{})
	job := harness.NewJob("first", 2, 50*time.Millisecond)
	ticket := mustTicket(t, newCaller(t), d.Entries[0])
	wantCode(t, await(t, d, ticket, job, submit(t.Context(), d.Entries[0], ticket, job)), result.OK)
	other := harness.NewJob("second", 2, 50*time.Millisecond)
	for _, e := range d.Entries {
		r := <-submit(t.Context(), e, ticket, other)
		if r.err != nil {
			t.Fatal(r.err)
		}
		wantCode(t, r.answer, result.TicketReused)
	}
	if n := len(d.Oracle.MustStarts(t)); n != len(job.Tasks) {
		t.Errorf("%d tasks started, want the %d of the first body", n, len(job.Tasks))
	}
	d.Oracle.Check(t)
}

func TestAnswersThatCrossReachTheirOwnCallers(t *testing.T) {
	d := deploy(t, harness.Options{})
	entry := d.Entries[0]
	early, late := harness.NewJob("early", 4, 100*time.Millisecond), harness.NewJob("late", 4, 100*time.Millisecond)
	tickets := []string{mustTicket(t, newCaller(t), entry), mustTicket(t, newCaller(t), entry)}
	held := submit(t.Context(), entry, tickets[0], early)
	waitStarted(t, d, 1)
	entry.Callers.Hold()
	wantCode(t, await(t, d, tickets[1], late, submit(t.Context(), entry, tickets[1], late)), result.OK)
	entry.Callers.Release()
	wantCode(t, await(t, d, tickets[0], early, held), result.OK)
	d.Oracle.Check(t)
}

func TestAgentKilledDuringTask(t *testing.T) {
	d := deploy(t, harness.Options{})
	job := harness.NewJob("agent", 24, time.Second)
	ticket := mustTicket(t, newCaller(t), d.Entries[0])
	running := submit(t.Context(), d.Entries[0], ticket, job)
	waitStartAfter(t, d, time.Time{}, harness.OfAgent(d.Agents[0].ID))
	d.Agents[0].Kill()
	wantCode(t, await(t, d, ticket, job, running), result.AgentLost)
	wantCode(t, submitNew(t, d, d.Entries[1], harness.NewJob("others", 8, 50*time.Millisecond)), result.OK)
	d.Agents[0].Restart(t)
	d.WaitReady(t, 1)
	wantCode(t, submitNew(t, d, d.Entries[2], harness.NewJob("again", 24, 50*time.Millisecond)), result.OK)
	d.Oracle.Check(t)
}

func TestAgentKilledBetweenAcceptAndStart(t *testing.T) {
	harness.Sweep(t, 3, func(t *testing.T, seed uint64) {
		d := deploy(t, harness.Options{ProxyEndpoints: true})
		rng := rand.New(rand.NewPCG(seed, 0))
		agent := d.Agents[rng.IntN(len(d.Agents))]
		entry := d.Entries[rng.IntN(len(d.Entries))]
		agent.Requests.DropDirection(harness.ToTarget)
		job := harness.NewJob("accepted", 24, 300*time.Millisecond)
		ticket := mustTicket(t, newCaller(t), entry)
		running := submit(t.Context(), entry, ticket, job)
		harness.Eventually(t, answerLimit, "the agent has accepted tasks", func() bool {
			return harness.Metric(t, agent.MetricsURL, "bergamotwing_running_tasks", "") > 0
		})
		agent.Kill()
		answer := await(t, d, ticket, job, running)
		wantCode(t, answer, result.AgentLost)
		agent.Requests.Heal()
		agent.Restart(t)
		d.WaitReady(t, 1)
		wantSameAnswerEverywhere(t, d, ticket, job, answer)
		if n := len(d.Oracle.StartsAfter(t, time.Time{}, harness.OfAgent(agent.ID))); n != 0 {
			t.Errorf("%d tasks started at the killed agent's endpoint", n)
		}
		d.Oracle.Check(t)
	})
}

func TestAgentKilledWithResultOnItsWay(t *testing.T) {
	harness.Sweep(t, 3, func(t *testing.T, seed uint64) {
		d := deploy(t, harness.Options{})
		rng := rand.New(rand.NewPCG(seed, 0))
		entry := d.Entries[rng.IntN(len(d.Entries))]
		job := harness.NewJob("finished", 12, time.Second)
		ticket := mustTicket(t, newCaller(t), entry)
		running := submit(t.Context(), entry, ticket, job)
		waitStarted(t, d, len(job.Tasks))
		agent := agentWithStarts(t, d, rng)
		entry.Links.DropDirection(harness.ToTarget, agent.ID)
		waitFinished(t, d, len(job.Tasks))
		agent.Kill()
		answer := await(t, d, ticket, job, running)
		wantCode(t, answer, result.AgentLost)
		entry.Links.Heal(agent.ID)
		agent.Restart(t)
		d.WaitReady(t, 1)
		wantSameAnswerEverywhere(t, d, ticket, job, answer)
		d.Oracle.Check(t)
	})
}

// agentWithStarts returns a random one of the agents whose endpoints have started
// a task.
func agentWithStarts(t *testing.T, d *harness.Deployment, rng *rand.Rand) *harness.Agent {
	t.Helper()
	var candidates []*harness.Agent
	for _, a := range d.Agents {
		if a.Endpoint.Counts(t).Started > 0 {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		t.Fatal("no task has started")
	}
	return candidates[rng.IntN(len(candidates))]
}

func TestResultsLostOnTheirWayArriveOnceTheLinkIsHealed(t *testing.T) {
	faults := map[string]func(p *harness.Proxy, agent string){
		"link closed":          func(p *harness.Proxy, agent string) { p.Disconnect(agent) },
		"agent to entry lost":  func(p *harness.Proxy, agent string) { p.DropDirection(harness.ToTarget, agent) },
		"both directions lost": bothDirectionsLost,
		"entry to agent lost":  func(p *harness.Proxy, agent string) { p.DropDirection(harness.FromTarget, agent) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, harness.Options{})
			entry := d.Entries[0]
			job := harness.NewJob("healed", 20, 800*time.Millisecond)
			ticket := mustTicket(t, newCaller(t), entry)
			running := submit(t.Context(), entry, ticket, job)
			waitStarted(t, d, len(job.Tasks))
			for _, a := range d.Agents {
				fault(entry.Links, a.ID)
			}
			waitFinished(t, d, len(job.Tasks))
			for _, a := range d.Agents {
				entry.Links.Heal(a.ID)
			}
			wantCode(t, await(t, d, ticket, job, running), result.OK)
			d.Oracle.Check(t)
		})
	}
}

func bothDirectionsLost(p *harness.Proxy, agent string) {
	p.DropDirection(harness.ToTarget, agent)
	p.DropDirection(harness.FromTarget, agent)
}

func TestGrantsLostOnTheirWayAreGrantedAgainOnce(t *testing.T) {
	d := deploy(t, harness.Options{})
	entry := d.Entries[0]
	for _, a := range d.Agents {
		entry.Links.DropDirection(harness.FromTarget, a.ID)
	}
	job := harness.NewJob("grants", 12, 100*time.Millisecond)
	ticket := mustTicket(t, newCaller(t), entry)
	running := submit(t.Context(), entry, ticket, job)
	harness.Eventually(t, answerLimit, "grants are on their way", func() bool { return runningAt(t, d, entry) > 0 })
	if n := len(d.Oracle.MustStarts(t)); n != 0 {
		t.Fatalf("%d tasks started by grants that were lost", n)
	}
	for _, a := range d.Agents {
		entry.Links.Heal(a.ID)
	}
	wantCode(t, await(t, d, ticket, job, running), result.OK)
	d.Oracle.Check(t)
}

// runningAt returns how many tasks an entry has granted without having received
// their results.
func runningAt(t *testing.T, d *harness.Deployment, e *harness.Entry) int {
	t.Helper()
	status, err := d.Operator.Status(t.Context(), e.OperatorURL)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, a := range status.Agents {
		n += a.Running
	}
	return n
}

// waitFinished waits until all endpoints together have answered n tasks.
func waitFinished(t *testing.T, d *harness.Deployment, n int) {
	t.Helper()
	harness.Eventually(t, answerLimit, fmt.Sprintf("%d tasks have finished", n), func() bool {
		finished := 0
		for _, a := range d.Agents {
			finished += a.Endpoint.Counts(t).Finished
		}
		return finished >= n
	})
}

// wantSameAnswerEverywhere resubmits a job through every entry and checks that the
// answer is the same.
func wantSameAnswerEverywhere(t *testing.T, d *harness.Deployment, ticket string, job api.Job, want api.Answer) {
	t.Helper()
	for _, e := range d.Entries {
		got := await(t, d, ticket, job, submit(t.Context(), e, ticket, job))
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("answer through %s differs (-first +now):\n%s", e.ID, diff)
		}
	}
}

func TestDelayedCopyOfARefusedSubmissionDoesNotRun(t *testing.T) {
	t.Run("service was withdrawn", func(t *testing.T) {
		d := deploy(t, harness.Options{})
		entry := d.Entries[0]
		ticket := mustTicket(t, newCaller(t), entry)
		job := harness.NewJob("copy", 4, 50*time.Millisecond)
		first := d.FirstNote()
		mustNote(t, d, release.Note{ID: "without", WrittenAgainst: 1, Services: release.ServiceDelta{Withdraw: []string{harness.DefaultService}}})
		d.WaitReady(t, 2)
		refused := await(t, d, ticket, job, submit(t.Context(), entry, ticket, job))
		wantCode(t, refused, result.UnknownService)
		mustNote(t, d, release.Note{ID: "with", WrittenAgainst: 2, Services: first.Services})
		d.WaitReady(t, 3)
		wantCode(t, submitNew(t, d, entry, harness.NewJob("other", 4, 50*time.Millisecond)), result.OK)
		wantSameAnswerEverywhere(t, d, ticket, job, refused)
		d.Oracle.Check(t)
	})
	t.Run("deadline passed without a slot", func(t *testing.T) {
		d := deploy(t, harness.Options{})
		entry := d.Entries[0]
		ticket := mustTicket(t, newCaller(t), entry)
		job := harness.NewJob("copy", 4, 50*time.Millisecond)
		job.DeadlineMS = 300
		d.PartitionAgents(d.Agents...)
		for _, a := range d.Agents {
			entry.Links.Disconnect(a.ID)
		}
		refused := await(t, d, ticket, job, submit(t.Context(), entry, ticket, job))
		if result.Lookup(refused.Code).Ran != result.RanNo {
			t.Errorf("answer is %s (%s), want one that says not run", refused.Name, refused.Detail)
		}
		d.HealAgents(d.Agents...)
		d.WaitReady(t, 1)
		wantCode(t, submitNew(t, d, entry, harness.NewJob("other", 4, 50*time.Millisecond)), result.OK)
		wantSameAnswerEverywhere(t, d, ticket, job, refused)
		d.Oracle.Check(t)
	})
}

// mustNote posts a release note and fails the test unless it is accepted.
func mustNote(t *testing.T, d *harness.Deployment, note release.Note) {
	t.Helper()
	answer, err := d.Operator.Note(t.Context(), d.Entries[0].OperatorURL, note)
	if err != nil || answer.Code != result.OK {
		t.Fatalf("note %s: %s (%s) %v", note.ID, answer.Name, answer.Detail, err)
	}
}

func TestCancelBeforeSubmissionKeepsTheJobFromRunning(t *testing.T) {
	d := deploy(t, harness.Options{})
	for _, through := range d.Entries {
		job := harness.NewJob("cancelled-"+through.ID, 4, 50*time.Millisecond)
		ticket := mustTicket(t, newCaller(t), d.Entries[0])
		cancelled := mustCancel(t, d, through, ticket, job)
		wantCode(t, cancelled, result.CancelledNotRun)
		wantSameAnswerEverywhere(t, d, ticket, job, cancelled)
	}
	d.Oracle.Check(t)
}

func TestCancelWhileRunningStartsNothingMore(t *testing.T) {
	harness.Sweep(t, 3, func(t *testing.T, seed uint64) {
		d := deploy(t, harness.Options{})
		through := d.Entries[int(seed%3)] //nolint:gosec // small
		job := harness.NewJob("cancelled", 100, 300*time.Millisecond)
		ticket := mustTicket(t, newCaller(t), d.Entries[0])
		running := submit(t.Context(), d.Entries[1], ticket, job)
		waitStarted(t, d, 1)
		cancelled := mustCancel(t, d, through, ticket, job)
		wantCode(t, cancelled, result.Cancelled)
		if diff := cmp.Diff(cancelled, await(t, d, ticket, job, running)); diff != "" {
			t.Errorf("answers differ (-cancel +submission):\n%s", diff)
		}
		ofJob := harness.OfTicket(t, ticket)
		before := len(d.Oracle.StartsAfter(t, time.Time{}, ofJob))
		wantCode(t, submitNew(t, d, d.Entries[0], harness.NewJob("other", 48, 300*time.Millisecond)), result.OK)
		// Tasks whose grants were in transit when the job was cancelled may still
		// start.
		if n := len(d.Oracle.StartsAfter(t, time.Time{}, ofJob)); n > cancelled.Started || n < before {
			t.Errorf("%d tasks started after all, %d at the cancellation, the answer says %d", n, before, cancelled.Started)
		}
		wantSameAnswerEverywhere(t, d, ticket, job, cancelled)
		d.Oracle.Check(t)
	})
}

// mustCancel cancels a job and records the answer for the oracle.
func mustCancel(t *testing.T, d *harness.Deployment, e *harness.Entry, ticket string, job api.Job) api.Answer {
	t.Helper()
	answer, err := newCaller(t).Cancel(t.Context(), e.URL, ticket)
	if err != nil {
		t.Fatalf("cancel of %s: %v", ticket, err)
	}
	d.Oracle.Record(ticket, job, answer)
	return answer
}

func TestJobOfACallerThatIsGoneRunsOnceAndKeepsItsAnswer(t *testing.T) {
	d := deploy(t, harness.Options{})
	for _, through := range d.Entries {
		job := harness.NewJob("gone-"+through.ID, 6, 600*time.Millisecond)
		ticket := mustTicket(t, newCaller(t), d.Entries[0])
		ctx, disconnect := context.WithCancel(t.Context())
		abandoned := submit(ctx, through, ticket, job)
		ofJob := harness.OfTicket(t, ticket)
		waitStartAfter(t, d, time.Time{}, ofJob)
		disconnect()
		if r := <-abandoned; r.err == nil {
			t.Fatalf("the caller got an answer: %s", r.answer.Name)
		}
		shown, err := newCaller(t).Get(t.Context(), d.Entries[2].URL, ticket)
		if err != nil || !shown.Running {
			t.Errorf("the job has stopped running: %+v %v", shown, err)
		}
		wantCode(t, submitUntilKnown(t, d, d.Entries[1], ticket, job), result.OK)
	}
	d.Oracle.Check(t)
}

func TestResultAfterTheDeadlineDoesNotChangeTheAnswer(t *testing.T) {
	d := deploy(t, harness.Options{})
	entry := d.Entries[0]
	job := harness.NewJob("late", 6, 700*time.Millisecond)
	job.DeadlineMS = time.Second.Milliseconds()
	ticket := mustTicket(t, newCaller(t), entry)
	running := submit(t.Context(), entry, ticket, job)
	waitStarted(t, d, len(job.Tasks))
	for _, a := range d.Agents {
		entry.Links.Delay(time.Second, a.ID)
	}
	answer := await(t, d, ticket, job, running)
	wantCode(t, answer, result.DeadlinePassed)
	waitFinished(t, d, len(job.Tasks))
	for _, a := range d.Agents {
		entry.Links.Delay(0, a.ID)
	}
	harness.Eventually(t, answerLimit, "the late results have arrived", func() bool { return runningAt(t, d, entry) == 0 })
	wantSameAnswerEverywhere(t, d, ticket, job, answer)
	d.Oracle.Check(t)
}

func TestSameTicketAtEveryEntryAtOnceRunsOneJob(t *testing.T) {
	const copies = 4 // of each submission at each entry
	harness.Sweep(t, 3, func(t *testing.T, seed uint64) {
		d := deploy(t, harness.Options{})
		rng := rand.New(rand.NewPCG(seed, 0))
		ticket := mustTicket(t, newCaller(t), d.Entries[rng.IntN(len(d.Entries))])
		bodies := []api.Job{harness.NewJob("one", 4, 200*time.Millisecond), harness.NewJob("other", 4, 200*time.Millisecond)}
		replies := make([][]<-chan reply, len(bodies))
		for range copies * len(d.Entries) * len(bodies) {
			body := rng.IntN(len(bodies))
			replies[body] = append(replies[body], submit(t.Context(), d.Entries[rng.IntN(len(d.Entries))], ticket, bodies[body]))
		}
		winners := 0
		for body, job := range bodies {
			if wantOneAnswer(t, d, ticket, job, replies[body]) == result.OK {
				winners++
			}
		}
		if winners != 1 {
			t.Errorf("%d bodies ran under one ticket", winners)
		}
		if n := len(d.Oracle.MustStarts(t)); n != len(bodies[0].Tasks) {
			t.Errorf("%d tasks started", n)
		}
		d.Oracle.Check(t)
	})
}

// wantOneAnswer checks that all copies of a submission have the same answer,
// ok or ticket_reused, and returns its code.
func wantOneAnswer(t *testing.T, d *harness.Deployment, ticket string, job api.Job, replies []<-chan reply) result.Code {
	t.Helper()
	var first api.Answer
	for i, r := range replies {
		answer := await(t, d, ticket, job, r)
		if i == 0 {
			first = answer
		}
		if diff := cmp.Diff(first, answer); diff != "" {
			t.Errorf("copies of a submission differ:\n%s", diff)
		}
	}
	wantCode(t, first, result.OK, result.TicketReused)
	return first.Code
}

func TestEndpointFaultFailsTheWholeJob(t *testing.T) {
	const overLimit = 4<<20 + 1 // bytes of a result
	failing := harness.NewJob("failing", 8, 50*time.Millisecond)
	failing.Tasks[3].Payload = []byte(`{"fail":true}`)
	large := harness.NewJob("large", 8, 50*time.Millisecond)
	large.Tasks[3].Payload = fmt.Appendf(nil, `{"resultBytes":%d}`, overLimit)
	plain := harness.NewJob("plain", 24, 50*time.Millisecond)
	cases := []struct {
		name   string
		faults harness.EndpointFaults
		job    api.Job
		code   result.Code
	}{
		{"fails one task", harness.EndpointFaults{}, failing, result.TaskFailed},
		{"fails every task", harness.EndpointFaults{FailAll: true}, plain, result.TaskFailed},
		{"never answers", harness.EndpointFaults{NeverAnswer: true}, plain, result.EndpointTimeout},
		{"answers too much", harness.EndpointFaults{}, large, result.ResultTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, harness.Options{})
			for _, a := range d.Agents {
				a.Endpoint.Control(t, c.faults)
			}
			ticket := mustTicket(t, newCaller(t), d.Entries[0])
			answer := await(t, d, ticket, c.job, submit(t.Context(), d.Entries[0], ticket, c.job))
			wantCode(t, answer, c.code)
			wantSameAnswerEverywhere(t, d, ticket, c.job, answer)
			d.Oracle.Check(t)
		})
	}
}
