//go:build measure

package integration

import (
	"fmt"
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

// The measurements of faults are run one deployment at a time, for example with
//
//	go test -count=1 -tags measure -run TestMeasureOverload -v ./integration
//
// The first number in BERGAMOTWING_SEEDS is the seed; without it the seed is 1.

// Targets.
const (
	overloadWorkPct  = 95.0 // at least, of the useful work per second at full load
	overloadRetryPct = 10.0 // at most, retries of the clients in per cent of their first attempts
	lightP99Factor   = 1.5  // at most, of the p99 without the flood
)

func TestMeasureOverload(t *testing.T) {
	fmt.Println(faultsHeader)
	full := defaultFaultLoad("full", 1.3, 15*time.Second, time.Minute).run(t, deployMeasured(t))
	oneEntry := defaultFaultLoad("one entry", 5, 10*time.Second, 10*time.Second)
	oneEntry.entries = 1
	for _, f := range []faultLoad{
		defaultFaultLoad("burst", 5, 10*time.Second, 10*time.Second),
		defaultFaultLoad("steady", 5, 20*time.Second, 5*time.Second),
		oneEntry,
	} {

		r := f.run(t, warm(t, deployMeasured(t)))
		work := 100 * r.usefulRate() / full.usefulRate()
		fmt.Printf("%s: useful work %.0f of %.0f tasks/s (%.0f%%), met %t\n",
			f.name, r.usefulRate(), full.usefulRate(), work, work >= overloadWorkPct && r.retriesPct <= overloadRetryPct)
	}
}

func TestMeasureFloodBesideQuietTeam(t *testing.T) {
	fmt.Println(faultsHeader)
	calm := lightTeamLoad("calm", 0).run(t, deployTeams(t))
	flood := lightTeamLoad("flood", 3).run(t, deployTeams(t))
	before := quantile(calm.responses(ofLightTeam), 0.99)
	after := quantile(flood.responses(ofLightTeam), 0.99)
	fmt.Printf("quiet team: p99 calm %.0f ms, beside the flood %.0f ms, met %t\n", before, after, after <= lightP99Factor*before)
	fmt.Printf("quiet team: p50 calm %.0f ms, beside the flood %.0f ms\n",
		quantile(calm.responses(ofLightTeam), 0.5), quantile(flood.responses(ofLightTeam), 0.5))
}

const (
	teamLight        = "quiet"
	teamFlood        = "flood"
	lightUtilization = 0.1 // of the slots
)

func ofLightTeam(s submission) bool { return s.team == teamLight && s.code == result.OK }

// lightTeamLoad is the load of a lightly loaded team, together with a flood from
// another team if flood is over 0.
func lightTeamLoad(name string, flood float64) faultLoad {
	f := defaultFaultLoad(name, lightUtilization+flood, 15*time.Second, 10*time.Second)
	slots := f.mix[0].Slots
	f.mix = []load.Share{{Service: harness.DefaultService, Team: teamLight, Weight: lightUtilization, Slots: slots}}
	if flood > 0 {
		f.mix = append(f.mix, load.Share{Service: harness.DefaultService, Team: teamFlood, Weight: flood, Slots: slots})
	}
	f.sizes = load.Sizes{Mean: 4, Max: 20}
	return f
}

// deployTeams starts a deployment with two teams of equal weight.
func deployTeams(t *testing.T) *harness.Deployment {
	t.Helper()
	d := deployMeasured(t)
	changeSettings(t, d, "teams", func(n *release.Note) {
		n.Teams.Add = map[string]release.Team{teamLight: {Weight: 1}, teamFlood: {Weight: 1}}
	})
	return d
}

// Values of the setting EjectMaxPct that turn ejection off and on.
const (
	ejectOffPct = 1 // 1 % of ten agents is none
	ejectOnPct  = 30
)

func setEjection(t *testing.T, d *harness.Deployment, pct int) {
	t.Helper()
	changeSettings(t, d, fmt.Sprintf("eject-%d", pct), func(n *release.Note) {
		n.Settings = &release.Settings{EjectMaxPct: pct, RetryBudgetPct: 20}
	})
}

// shortJobs is a load of jobs of few tasks, so that a failing endpoint affects
// only some of the jobs.
func shortJobs(name string, utilization float64) faultLoad {
	f := defaultFaultLoad(name, utilization, 18*time.Second, 15*time.Second)
	f.sizes = load.Sizes{Mean: 2, Max: 10}
	return f
}

func TestMeasureFailingEndpoint(t *testing.T) {
	fmt.Println(faultsHeader)
	for _, pct := range []int{ejectOffPct, ejectOnPct} {
		d := deployMeasured(t)
		setEjection(t, d, pct)
		bad := d.Agents[0]
		f := shortJobs(fmt.Sprintf("fails all, eject %d", pct), 0.6)
		f.events = []faultEvent{
			{at: 3 * time.Second, do: func() { bad.Endpoint.SetFaults(t, harness.EndpointFaults{FailAll: true}) }},
			{at: 10 * time.Second, do: func() { bad.Endpoint.SetFaults(t, harness.EndpointFaults{}) }},
		}
		begin := time.Now()
		r := f.run(t, d)
		failed := r.count(result.TaskFailed)
		fmt.Printf("%s: %.1f%% of jobs failed, most ejected %d, starts there %s\n", f.name,
			100*float64(failed)/float64(r.report.Jobs), r.mostEjected, perSecond(t, d, bad, begin, f.duration))
	}
}

func TestMeasureManyFailingEndpoints(t *testing.T) {
	fmt.Println(faultsHeader)
	d := deployMeasured(t)
	setEjection(t, d, ejectOnPct)
	f := shortJobs("six fail all", 0.3)
	f.events = []faultEvent{{at: 3 * time.Second, do: func() {
		for _, a := range d.Agents[:6] {
			a.Endpoint.SetFaults(t, harness.EndpointFaults{FailAll: true})
		}
	}}}
	r := f.run(t, d)
	limit := measuredAgents * ejectOnPct / 100
	fmt.Printf("%s: most ejected %d of at most %d, met %t\n", f.name, r.mostEjected, limit, r.mostEjected <= limit)
}

func TestMeasureSlowAndSilentEndpoints(t *testing.T) {
	fmt.Println(faultsHeader)
	faults := []struct {
		name string
		set  harness.EndpointFaults
	}{
		{"calm", harness.EndpointFaults{}},
		{"ten times slower", harness.EndpointFaults{SlowFactor: 10}},
		{"never answers", harness.EndpointFaults{NeverAnswer: true}},
	}
	for _, fault := range faults {
		for _, pct := range []int{ejectOffPct, ejectOnPct} {
			d := deployMeasured(t)
			setEjection(t, d, pct)
			f := shortJobs(fmt.Sprintf("%s, eject %d", fault.name, pct), 0.6)
			f.events = []faultEvent{{at: 3 * time.Second, do: func() { d.Agents[0].Endpoint.SetFaults(t, fault.set) }}}
			begin := time.Now()
			r := f.run(t, d)
			fmt.Printf("%s: %.1f%% of jobs not whole, most ejected %d, starts there %s\n", f.name,
				100*float64(r.report.Jobs-r.count(result.OK))/float64(r.report.Jobs), r.mostEjected,
				perSecond(t, d, d.Agents[0], begin, f.duration))
		}
	}
}

// perSecond returns the number of starts at an agent's endpoint in each second.
func perSecond(t *testing.T, d *harness.Deployment, a *harness.Agent, begin time.Time, span time.Duration) string {
	t.Helper()
	counts := make([]int, int(span/time.Second)+1)
	for _, s := range d.Oracle.StartsAfter(t, begin, harness.OfAgent(a.ID)) {
		if i := int(s.At().Sub(begin) / time.Second); i < len(counts) {
			counts[i]++
		}
	}
	return fmt.Sprint(counts)
}

// almostExact is a factor over 1, so that as many random numbers are drawn as for
// a wrong hint and both loads have the same jobs.
const almostExact = 1.001

func TestMeasureWrongHints(t *testing.T) {
	fmt.Println(faultsHeader)
	for _, factor := range []float64{almostExact, 10} {
		f := defaultFaultLoad(fmt.Sprintf("declared off by %g", factor), 0.8, 15*time.Second, 30*time.Second)
		f.declaredFactor = factor
		f.run(t, deployMeasured(t))
	}
}

func TestMeasureJobThatNeverFits(t *testing.T) {
	d := deployMeasured(t)
	f := defaultFaultLoad("never fits", 0.8, 10*time.Second, 30*time.Second)
	var took time.Duration
	f.events = []faultEvent{{at: 5 * time.Second, do: func() {
		job := harness.NewJob("huge", 2, time.Second)
		job.Tasks[1].MemoryMB = 1 << 30
		ticket := mustTicket(t, newCaller(t), d.Entries[0])
		begin := time.Now()
		wantCode(t, await(t, d, ticket, job, submit(t.Context(), d.Entries[0], ticket, job)), result.NeverFits)
		took = time.Since(begin)
	}}}
	f.run(t, d)
	fmt.Printf("never fits: answered after %v\n", took)
}

// Sizes of the wave of cancellations.
const (
	waveJobs  = 300
	waveTasks = 2               // of each job
	waveRun   = 2 * time.Second // run time of each task
)

func TestMeasureWaveOfCancellations(t *testing.T) {
	d := deployMeasured(t)
	c, err := client.New(client.Config{Entries: entryURLs(d)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	tickets, err := c.Tickets(t.Context(), waveJobs)
	if err != nil {
		t.Fatal(err)
	}
	var jobs, cancels sync.WaitGroup
	for i, ticket := range tickets {
		job := harness.NewJob(fmt.Sprintf("wave-%d", i), waveTasks, waveRun)
		jobs.Go(func() { recordSubmission(t, d, c, ticket, job) })
	}
	waitStarted(t, d, measuredAgents*measuredSlots)
	begin := time.Now()
	for i, ticket := range tickets {
		if i%5 > 0 {
			cancels.Go(func() { _, _ = c.Cancel(t.Context(), ticket) })
		}
	}
	cancels.Wait()
	cancelled := time.Since(begin)
	jobs.Wait()
	others := time.Since(begin)
	ideal := time.Duration(waveJobs/5*waveTasks/(measuredAgents*measuredSlots)+1) * waveRun
	fmt.Printf("cancel 80%% of %d jobs: cancelled after %v, the others answered after %v (ideal about %v): %v\n",
		waveJobs, cancelled.Round(time.Millisecond), others.Round(time.Millisecond), ideal, d.Oracle.Answers())
	d.Oracle.Check(t)
	checkAllSlots(t, d)
}

// recordSubmission submits a job and records its answer.
func recordSubmission(t *testing.T, d *harness.Deployment, c *client.Client, ticket string, job api.Job) {
	answer, err := c.SubmitTicket(t.Context(), ticket, job)
	if answer == nil {
		t.Errorf("ticket %s: no answer: %v", ticket, err)
		return
	}
	d.Oracle.Record(ticket, job, *answer)
}

// checkAllSlots runs one task on every slot at the same time.
func checkAllSlots(t *testing.T, d *harness.Deployment) {
	t.Helper()
	begin := time.Now()
	answer := submitNew(t, d, d.Entries[0], harness.NewJob("all slots", measuredAgents*measuredSlots, time.Second))
	wantCode(t, answer, result.OK)
	took := time.Since(begin)
	fmt.Printf("all slots at once: %v for tasks of 1 s\n", took.Round(time.Millisecond))
	if took > 1900*time.Millisecond {
		t.Errorf("not all slots are in use again: %v", took)
	}
}

func TestMeasureEntryKilledAndJoining(t *testing.T) {
	fmt.Println(faultsHeader)
	d := deployMeasured(t)
	f := shortJobs("entry killed and back", 0.6)
	f.events = []faultEvent{
		{at: 6 * time.Second, do: d.Entries[0].Kill},
		{at: 11 * time.Second, do: func() { d.Entries[0].Start(t) }},
	}
	r := f.run(t, d)
	fmt.Printf("%s: tasks/s %s\n", f.name, r.workOverTime())
}

func TestMeasureAllEntriesRestart(t *testing.T) {
	for range 2 {
		d := deployMeasured(t)
		f := shortJobs("all entries restart", 0.6)
		var restarted time.Time
		f.events = []faultEvent{{at: 6 * time.Second, do: func() {
			for _, e := range d.Entries {
				e.Kill()
			}
			restarted = time.Now()
			for _, e := range d.Entries {
				e.Start(t)
			}
		}}}
		r := f.run(t, d)
		starts := d.Oracle.StartsAfter(t, restarted, anyStart)
		agents := map[string]time.Duration{}
		for _, s := range starts {
			if at := s.At().Sub(restarted); agents[s.Agent] == 0 || at < agents[s.Agent] {
				agents[s.Agent] = at
			}
		}
		var first, last time.Duration
		for _, at := range agents {
			last = max(last, at)
			if first == 0 || at < first {
				first = at
			}
		}
		fmt.Printf("%s: first start after %v, at all of %d agents after %v; tasks/s %s\n", f.name, first, len(agents), last, r.workOverTime())
	}
}
