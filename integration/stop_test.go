package integration

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/client/api"
	"bergamotwing.example/integration/harness"
	"bergamotwing.example/result"
)

// stopLimit bounds a graceful stop; it is over the settings' stop timeout.
const stopLimit = 35 * time.Second

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
	told := time.Now()
	if err := agent.Wait(stopLimit); err != nil {
		t.Errorf("stop: %v", err)
	}
	wantNoWorkAt(t, d, agent, told, traffic)
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

// wantNoWorkAt checks that an agent starts nothing once the bound after told has
// passed, that work goes on elsewhere, and that no job was lost by it.
func wantNoWorkAt(t *testing.T, d *harness.Deployment, agent *harness.Agent, told time.Time, traffic *harness.Traffic) {
	t.Helper()
	elsewhere := func(s harness.Start) bool { return s.Agent != agent.ID }
	waitStartAfter(t, d, told.Add(watchTime), elsewhere)
	traffic.Stop()
	for _, s := range d.Oracle.StartsAfter(t, told.Add(stopBound), harness.OfAgent(agent.ID)) {
		t.Errorf("%s started %v after the agent was told", s.Task, s.At().Sub(told))
	}
	for code, n := range d.Oracle.Answers() {
		if code != result.OK {
			t.Errorf("%d answers %s", n, code)
		}
	}
	d.Oracle.Check(t)
}
