package integration

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/client/api"
	"bergamotwing.example/integration/harness"
	"bergamotwing.example/result"
)

// stopLimit bounds a graceful stop; it is longer than the stop timeout in the
// settings.
const stopLimit = 35 * time.Second

// signalPause is the time between two signals in series.
const signalPause = 100 * time.Millisecond

func TestEntryStopCutsOffNoRequest(t *testing.T) {
	d := deploy(t, harness.Options{})
	stopped, other := d.Entries[0], d.Entries[1]
	const jobs = 12
	unused := mustTicket(t, newCaller(t), stopped)
	tickets, submitted := make([]string, jobs), make([]api.Job, jobs)
	replies := make([]<-chan reply, jobs)
	for i := range jobs {
		submitted[i] = harness.NewJob(fmt.Sprintf("job%d", i), 4, 500*time.Millisecond)
		tickets[i] = mustTicket(t, newCaller(t), stopped)
		replies[i] = submit(t.Context(), stopped, tickets[i], submitted[i])
	}
	waitStarted(t, d, 1)
	if err := stopped.Terminate(); err != nil {
		t.Fatal(err)
	}
	answers := make([]api.Answer, jobs)
	for i := range jobs {
		answers[i] = await(t, d, tickets[i], submitted[i], replies[i])
		wantCode(t, answers[i], result.OK, result.Stopping)
	}
	if err := stopped.Wait(stopLimit); err != nil {
		t.Errorf("stop: %v", err)
	}
	for i := range jobs {
		if answers[i].Code != result.OK {
			continue
		}
		if diff := cmp.Diff(answers[i], submitUntilKnown(t, d, other, tickets[i], submitted[i])); diff != "" {
			t.Errorf("the stored answer differs (-before +after the stop):\n%s", diff)
		}
	}
	job := harness.NewJob("unused", 1, 50*time.Millisecond)
	wantCode(t, submitUntilKnown(t, d, other, unused, job), result.IssuerClosed)
	d.Oracle.Check(t)
}

func TestAgentStopGetsNoNewTask(t *testing.T) {
	d := deploy(t, harness.Options{Agents: 6})
	agent := d.Agents[0]
	traffic := d.StartTraffic(t, harness.Seed(t))
	waitStartAfter(t, d, time.Now(), harness.OfAgent(agent.ID))
	if err := agent.Terminate(); err != nil {
		t.Fatal(err)
	}
	notifiedAt := time.Now()
	if err := agent.Wait(stopLimit); err != nil {
		t.Errorf("stop: %v", err)
	}
	wantNoWorkAt(t, d, agent, notifiedAt, traffic)
}

func TestEndpointLeavingGetsNoNewTask(t *testing.T) {
	d := deploy(t, harness.Options{Agents: 6})
	agent := d.Agents[0]
	traffic := d.StartTraffic(t, harness.Seed(t))
	waitStartAfter(t, d, time.Now(), harness.OfAgent(agent.ID))
	if err := agent.AnnounceLeaving(t.Context()); err != nil {
		t.Fatal(err)
	}
	wantNoWorkAt(t, d, agent, time.Now(), traffic)
}

// wantNoWorkAt checks that an agent starts nothing later than stopBound after
// notifiedAt, that work goes on elsewhere, and that every job is answered ok.
func wantNoWorkAt(t *testing.T, d *harness.Deployment, agent *harness.Agent, notifiedAt time.Time, traffic *harness.Traffic) {
	t.Helper()
	elsewhere := func(s harness.Start) bool { return s.Agent != agent.ID }
	waitStartAfter(t, d, notifiedAt.Add(watchTime), elsewhere)
	traffic.Stop()
	for _, s := range d.Oracle.StartsAfter(t, notifiedAt.Add(stopBound), harness.OfAgent(agent.ID)) {
		t.Errorf("%s started %v after the agent was notified", s.Task, s.At().Sub(notifiedAt))
	}
	for code, n := range d.Oracle.Answers() {
		if code != result.OK {
			t.Errorf("%d answers %s", n, code)
		}
	}
	d.Oracle.Check(t)
}

func TestStoppedIssuersAnswersAreTheSameBytesThroughEveryEntry(t *testing.T) {
	d := deploy(t, harness.Options{})
	issuer := d.Entries[0]
	passing, failing := harness.NewJob("whole", 5, 50*time.Millisecond), harness.NewJob("failing", 1, 50*time.Millisecond)
	failing.Tasks[0].Payload = []byte(`{"runMs":20,"fail":true}`)
	jobs := []api.Job{passing, failing}
	tickets, before := make([]string, len(jobs)), make([][]byte, len(jobs))
	for i, job := range jobs {
		tickets[i] = mustTicket(t, newCaller(t), issuer)
		before[i] = rawAnswer(t, issuer, tickets[i], job)
	}
	if err := issuer.Stop(stopLimit); err != nil {
		t.Errorf("stop: %v", err)
	}
	for _, e := range d.Entries[1:] {
		for i, job := range jobs {
			if diff := cmp.Diff(string(before[i]), string(rawAnswer(t, e, tickets[i], job))); diff != "" {
				t.Errorf("answer through %s differs (-issuer +now):\n%s", e.ID, diff)
			}
			wantRecorded(t, d, e, tickets[i], job)
		}
	}
	d.Oracle.Check(t)
}

// rawAnswer submits a job and returns the body of the answer, not decoded.
func rawAnswer(t *testing.T, e *harness.Entry, ticket string, job api.Job) []byte {
	t.Helper()
	body, err := json.Marshal(job)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, e.URL+api.PathJobs+"/"+ticket, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req) //nolint:gosec // the tests' own processes
	if err != nil {
		t.Fatalf("no answer through %s: %v", e.ID, err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("answer through %s: %v", e.ID, err)
	}
	return answer
}

// wantRecorded submits once more and records the answer for the oracle.
func wantRecorded(t *testing.T, d *harness.Deployment, e *harness.Entry, ticket string, job api.Job) {
	t.Helper()
	await(t, d, ticket, job, submit(t.Context(), e, ticket, job))
}

// openRequest is a submission that is not answered yet.
type openRequest struct {
	ticket string
	job    api.Job
	reply  <-chan reply
}

func TestEntryStopAnswersForwardedRequests(t *testing.T) {
	cases := []struct {
		name            string
		issuer, through int // of the entries; the first one stops
	}{
		{"to the stopping entry", 0, 1},
		{"through the stopping entry", 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, harness.Options{})
			short := openRequests(t, d, c.issuer, c.through, 6, 300*time.Millisecond)
			long := openRequests(t, d, c.issuer, c.through, 6, 9*time.Second)
			waitStarted(t, d, 12)
			if err := d.Entries[0].Terminate(); err != nil {
				t.Fatal(err)
			}
			for _, r := range append(short, long...) {
				wantCode(t, await(t, d, r.ticket, r.job, r.reply), result.OK)
			}
			if err := d.Entries[0].Wait(stopLimit); err != nil {
				t.Errorf("stop: %v", err)
			}
			d.Oracle.Check(t)
		})
	}
}

func TestEntryStopTellsRequestsThatOutlastItToAskAgain(t *testing.T) {
	d := deploy(t, harness.Options{StopTimeout: 2 * time.Second})
	own := openRequests(t, d, 0, 0, 2, 8*time.Second)
	forwarded := openRequests(t, d, 1, 0, 2, 8*time.Second)
	waitStarted(t, d, 4)
	if err := d.Entries[0].Stop(stopLimit); err != nil {
		t.Errorf("stop: %v", err)
	}
	for _, r := range append(own, forwarded...) {
		wantCode(t, await(t, d, r.ticket, r.job, r.reply), result.OutcomeUnknown)
	}
	for _, r := range forwarded {
		wantCode(t, submitUntilKnown(t, d, d.Entries[2], r.ticket, r.job), result.OK)
	}
	d.Oracle.Check(t)
}

// openRequests submits n jobs of one task under tickets of the entry issuer
// through the entry through.
func openRequests(t *testing.T, d *harness.Deployment, issuer, through, n int, run time.Duration) []openRequest {
	t.Helper()
	open := make([]openRequest, n)
	for i := range open {
		job := harness.NewJob(fmt.Sprintf("%v-%d", run, i), 1, run)
		ticket := mustTicket(t, newCaller(t), d.Entries[issuer])
		open[i] = openRequest{ticket, job, submit(t.Context(), d.Entries[through], ticket, job)}
	}
	return open
}

func TestEntryStopUnderLoadLosesNoJob(t *testing.T) {
	d := deploy(t, harness.Options{})
	traffic := d.StartTraffic(t, harness.Seed(t))
	waitStartAfter(t, d, time.Now(), anyStart)
	if err := d.Entries[0].Stop(stopLimit); err != nil {
		t.Errorf("stop: %v", err)
	}
	waitStartAfter(t, d, time.Now().Add(time.Second), anyStart)
	traffic.Stop()
	for code, n := range d.Oracle.Answers() {
		if code != result.OK && code != result.Stopping && code != result.IssuerClosed {
			t.Errorf("%d answers %s", n, code)
		}
	}
	d.Oracle.Check(t)
}

func TestAgentsStoppedOneAfterTheOtherLoseNoJob(t *testing.T) {
	harness.Sweep(t, 2, func(t *testing.T, seed uint64) {
		d := deploy(t, harness.Options{Agents: 4})
		traffic := d.StartTraffic(t, seed)
		for _, a := range d.Agents {
			waitStartAfter(t, d, time.Now(), harness.OfAgent(a.ID))
			if err := a.Stop(stopLimit); err != nil {
				t.Errorf("stop of %s: %v", a.ID, err)
			}
			a.Start(t)
			d.WaitReady(t, 1)
		}
		waitStartAfter(t, d, time.Now(), harness.OfAgent(d.Agents[0].ID))
		traffic.Stop()
		for code, n := range d.Oracle.Answers() {
			if code != result.OK {
				t.Errorf("%d answers %s", n, code)
			}
		}
		d.Oracle.Check(t)
	})
}

func TestAnswersOutliveARollingRestartOfTheEntries(t *testing.T) {
	d := deploy(t, harness.Options{})
	jobs := []api.Job{harness.NewJob("whole", 5, 50*time.Millisecond), harness.NewJob("failing", 1, 50*time.Millisecond)}
	jobs[1].Tasks[0].Payload = []byte(`{"runMs":20,"fail":true}`)
	tickets, answers := make([]string, len(jobs)), make([]api.Answer, len(jobs))
	for i, job := range jobs {
		tickets[i] = mustTicket(t, newCaller(t), d.Entries[0])
		answers[i] = await(t, d, tickets[i], job, submit(t.Context(), d.Entries[0], tickets[i], job))
	}
	wantCode(t, answers[0], result.OK)
	wantCode(t, answers[1], result.TaskFailed)
	for _, e := range d.Entries {
		if err := e.Stop(stopLimit); err != nil {
			t.Errorf("stop of %s: %v", e.ID, err)
		}
		e.Start(t)
		d.WaitReady(t, 1)
		for i, job := range jobs {
			wantSameOutcome(t, d, tickets[i], job, answers[i])
		}
	}
	d.Oracle.Check(t)
}

// wantSameOutcome resubmits a job through every entry. An ok answer must be
// identical; for a failed job settled_failed is accepted as well, since the
// failure may be known only from a settlement.
func wantSameOutcome(t *testing.T, d *harness.Deployment, ticket string, job api.Job, first api.Answer) {
	t.Helper()
	for _, through := range d.Entries {
		got := await(t, d, ticket, job, submit(t.Context(), through, ticket, job))
		if first.Code != result.OK {
			wantCode(t, got, first.Code, result.SettledFailed)
			continue
		}
		if diff := cmp.Diff(first, got); diff != "" {
			t.Errorf("answer through %s differs (-first +now):\n%s", through.ID, diff)
		}
	}
}

// The process that reads the logs may exit; this must not end any request.
func TestALostLogReaderLosesNoJob(t *testing.T) {
	d := deploy(t, harness.Options{})
	open := openRequests(t, d, 0, 0, 2, 2*time.Second)
	waitStarted(t, d, 2)
	processes := processesOf(d)
	for _, p := range processes {
		if err := errors.Join(p.CloseLog(), p.Hangup()); err != nil { // a signal is logged
			t.Error(err)
		}
	}
	for _, r := range open {
		wantCode(t, await(t, d, r.ticket, r.job, r.reply), result.OK)
	}
	for _, p := range processes {
		if !p.Running() {
			t.Errorf("%s: %v", p.Name, p.Wait(stopLimit))
		}
	}
	d.Oracle.Check(t)
}

// processesOf returns the entries' and agents' processes of a deployment.
func processesOf(d *harness.Deployment) []*harness.Process {
	processes := make([]*harness.Process, 0, len(d.Entries)+len(d.Agents))
	for _, e := range d.Entries {
		processes = append(processes, e.Process)
	}
	for _, a := range d.Agents {
		processes = append(processes, a.Process)
	}
	return processes
}

// A stopping process may get further signals; none of them may abort an answer.
func TestSignalsWhileStoppingLoseNoJob(t *testing.T) {
	d := deploy(t, harness.Options{Agents: 4})
	open := openRequests(t, d, 0, 0, 4, 2*time.Second)
	waitStarted(t, d, 4)
	traffic := d.StartTraffic(t, harness.Seed(t))
	stopped := []*harness.Process{d.Entries[0].Process, d.Agents[0].Process, d.Agents[1].Process}
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		for _, p := range stopped {
			if err := p.Signal(s); err != nil {
				t.Error(err)
			}
		}
		time.Sleep(signalPause)
	}
	for _, r := range open {
		wantCode(t, await(t, d, r.ticket, r.job, r.reply), result.OK)
	}
	for _, p := range stopped {
		if err := p.Wait(stopLimit); err != nil {
			t.Errorf("stop: %v", err)
		}
	}
	traffic.Stop()
	d.Oracle.Check(t)
}

// A request that an entry reads to its end must be answered, even if its last
// bytes arrive after the entry has closed its listener.
func TestEntryStopAnswersARequestThatIsReadInItsLastMoment(t *testing.T) {
	d := deploy(t, harness.Options{})
	e := d.Entries[0]
	addr := e.CallersAddr()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "GET /healthz HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := e.Terminate(); err != nil {
		t.Fatal(err)
	}
	harness.Eventually(t, stopLimit, "the listener is closed", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil && strings.Contains(err.Error(), "refused")
	})
	if !e.Running() {
		t.Fatal("the entry has ended, with a connection that it had accepted")
	}
	if closedWithin(t, conn, signalPause) {
		return // the entry closed the connection without having read the whole request
	}
	if _, err := io.WriteString(conn, "Host: entry\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(stopLimit)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_ = resp.Body.Close()
}

// closedWithin reports whether the other side closes a connection within limit.
func closedWithin(t *testing.T, conn net.Conn, limit time.Duration) bool {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		t.Fatal(err)
	}
	_, err := conn.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}
