//go:build measure

package integration

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/load"
	"bergamotwing.example/result"
)

// The measurements are not part of CI. They are run with
//
//	go test -tags measure -run TestMeasure -timeout 3h -v -artifacts ./integration
//
// and the parameters below in the environment. Each is a comma-separated list
// except the seconds. Reports and pictures are kept as artifacts of the tests.
const (
	variableEntries      = "BERGAMOTWING_ENTRIES"
	variableUtilizations = "BERGAMOTWING_UTILIZATIONS"
	variableSeeds        = "BERGAMOTWING_SEEDS"
	variableSeconds      = "BERGAMOTWING_SECONDS"
)

// Parameters of the deployment that is measured.
const (
	measuredAgents   = 10
	measuredSlots    = 8
	measuredCallers  = 40
	measuredDelay    = time.Millisecond // one way
	measuredHops     = 4                // caller, entry, agent and back
	measuredMaxJobs  = 100_000
	measuredDeadline = time.Minute
)

const tableHeader = `| entries | utilization | seed | jobs | offered | mean/central | p99/central | job/ideal mean | p50 | p99 | p99.9 | /run p99 | wasted/task | tasks/s | not whole | wrong | no answer | late p99 ms | entry CPU s | agent CPU s | max RSS MB | control kB/s |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|`

// experiment is one measured load on one deployment.
type experiment struct {
	entries     int
	utilization float64
	seed        uint64
	zoneEvent   bool // takes a zone out after a third of the load and back after two thirds
}

func TestMeasureResponse(t *testing.T) {
	fmt.Println(tableHeader)
	for _, x := range experiments(t, "0.5,0.8,0.95") {
		t.Run(x.name(), x.run)
	}
}

func TestMeasureZoneOutAndBack(t *testing.T) {
	fmt.Println(tableHeader)
	for _, x := range experiments(t, "0.5") {
		x.zoneEvent = true
		t.Run(x.name(), x.run)
	}
}

// experiments returns every combination of the parameters.
func experiments(t *testing.T, utilizations string) []experiment {
	t.Helper()
	all := []experiment{{}}
	all = combine(all, list(variableEntries, "3"), func(x *experiment, v string) { x.entries = int(number(t, v)) })
	all = combine(all, list(variableUtilizations, utilizations), func(x *experiment, v string) { x.utilization = number(t, v) })
	return combine(all, list(variableSeeds, "1"), func(x *experiment, v string) { x.seed = uint64(number(t, v)) })
}

// combine returns each experiment once for each value, with that value set.
func combine(from []experiment, values []string, set func(*experiment, string)) []experiment {
	all := make([]experiment, 0, len(from)*len(values))
	for _, x := range from {
		for _, v := range values {
			set(&x, v)
			all = append(all, x)
		}
	}
	return all
}

func list(variable, otherwise string) []string {
	if v := os.Getenv(variable); v != "" {
		return strings.Split(v, ",")
	}
	return strings.Split(otherwise, ",")
}

func number(t *testing.T, text string) float64 {
	t.Helper()
	v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func (x experiment) name() string {
	return fmt.Sprintf("entries=%d/utilization=%g/seed=%d", x.entries, x.utilization, x.seed)
}

func (x experiment) run(t *testing.T) {
	d := deploy(t, harness.Options{
		Entries:   x.entries,
		Agents:    measuredAgents,
		Slots:     measuredSlots,
		LinkDelay: measuredDelay,
	})
	report, err := load.Run(t.Context(), x.options(t, d), os.Stderr)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println(x.row(report))
	for _, m := range report.Messages {
		fmt.Printf("  %-14s %.3f a task\n", m.Kind, m.PerTask)
	}
	fmt.Printf("  refused %v, retried %v\n", report.Refused, report.Retried)
	for _, e := range report.Events {
		fmt.Printf("zone %s out=%t: %s %s, answered after %.3f s\n", e.Zone, e.Out, e.Answer, e.Error, e.AnsweredSeconds-e.SentSeconds)
		if e.Answer != result.OK.String() {
			t.Errorf("the order was answered %s", e.Answer)
		}
	}
	if report.WrongAnswers > 0 {
		t.Errorf("%d wrong answers", report.WrongAnswers)
	}
	d.Oracle.CheckStarts(t)
}

func (x experiment) options(t *testing.T, d *harness.Deployment) load.Options {
	t.Helper()
	duration := time.Duration(number(t, list(variableSeconds, "60")[0]) * float64(time.Second))
	o := load.Options{
		Seed:           x.seed,
		Jobs:           measuredMaxJobs,
		Duration:       duration,
		Utilization:    x.utilization,
		Sizes:          load.DefaultSizes(),
		RunTimes:       load.DefaultRunTimes(),
		DeclaredFactor: 3,
		Mix:            []load.Share{{Service: harness.DefaultService, Weight: 1, Slots: measuredAgents * measuredSlots}},
		Callers:        measuredCallers,
		Deadline:       measuredDeadline,
		Network:        measuredHops * measuredDelay,
		Operators:      d.Entries[0].OperatorURL,
		OperatorToken:  harness.OperatorToken,
		Sources:        sources(d),
		Expected:       expectedResult,
		ReportFile:     filepath.Join(t.ArtifactDir(), "report.json"),
		PictureFile:    filepath.Join(t.ArtifactDir(), "picture.png"),
	}
	for _, e := range d.Entries {
		o.Entries = append(o.Entries, e.URL)
	}
	if x.zoneEvent {
		zone := d.Zones[0]
		o.ZoneEvents = []load.ZoneEvent{{At: duration / 3, Zone: zone, Out: true}, {At: duration * 2 / 3, Zone: zone}}
	}
	return o
}

func sources(d *harness.Deployment) []load.Source {
	all := make([]load.Source, 0, len(d.Entries)+len(d.Agents))
	for _, e := range d.Entries {
		all = append(all, load.Source{Name: e.ID, Zone: e.Zone, URL: e.MetricsURL})
	}
	for _, a := range d.Agents {
		all = append(all, load.Source{Name: a.ID, Zone: a.Zone, Endpoint: true, URL: a.MetricsURL})
	}
	return all
}

func (x experiment) row(r *load.Report) string {
	var notOK float64
	for code, n := range r.Answers {
		if code != result.OK.String() {
			notOK += n
		}
	}
	entryCPU, agentCPU, rss, control := totals(r.Processes)
	return fmt.Sprintf("| %d | %g | %d | %d | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.1f | %.0f | %d | %d | %.2f | %.2f | %.2f | %.1f | %.1f |",
		x.entries, x.utilization, x.seed, r.Jobs, r.OfferedLoad, r.MeanOverCentral, r.P99OverCentral,
		r.VersusIdeal.Mean, r.VersusIdeal.P50, r.VersusIdeal.P99, r.VersusIdeal.P999, r.VersusRun.P99,
		r.WastedPerTask, r.TasksPerSecond, notOK, r.WrongAnswers, r.NoAnswer, r.GeneratorLateMS.P99,
		entryCPU, agentCPU, rss/1e6, control/1e3)
}

// totals returns the CPU seconds of all entries and of all agents, the largest
// resident memory of a process in bytes, and the control bytes per second of all
// processes.
func totals(processes []load.ProcessUse) (entryCPU, agentCPU, rss, control float64) {
	for _, p := range processes {
		if strings.HasPrefix(p.Name, "entry") {
			entryCPU += p.CPUSeconds
		} else {
			agentCPU += p.CPUSeconds
		}
		rss = max(rss, p.RSSBytes)
		control += p.ControlBytesPerSecond
	}
	return entryCPU, agentCPU, rss, control
}
