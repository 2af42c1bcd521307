//go:build measure

package integration

import (
	"fmt"
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/load"
	"bergamotwing.example/release"
	"bergamotwing.example/result"
)

// The measurements of faults are run one deployment at a time as
//
//	go test -count=1 -tags measure -run TestMeasureOverload -v ./integration
//
// with BERGAMOTWING_SEEDS for the seed.

// Targets.
const (
	overloadWorkPct  = 95.0 // of the useful work at full load
	overloadRetryPct = 10.0
	quietFactor      = 1.5 // of the calm p99
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
		r := f.run(t, deployMeasured(t))
		work := 100 * r.usefulRate() / full.usefulRate()
		fmt.Printf("%s: useful work %.0f of %.0f tasks/s (%.0f%%), met %t\n",
			f.name, r.usefulRate(), full.usefulRate(), work, work >= overloadWorkPct && r.retries <= overloadRetryPct)
	}
}

func TestMeasureFloodBesideQuietTeam(t *testing.T) {
	fmt.Println(faultsHeader)
	calm := quietLoad("calm", 0).run(t, deployTeams(t))
	flood := quietLoad("flood", 3).run(t, deployTeams(t))
	before := quantile(calm.responses(quietTeam), 0.99)
	after := quantile(flood.responses(quietTeam), 0.99)
	fmt.Printf("quiet team: p99 calm %.0f ms, beside the flood %.0f ms, met %t\n", before, after, after <= quietFactor*before)
	fmt.Printf("quiet team: p50 calm %.0f ms, beside the flood %.0f ms\n",
		quantile(calm.responses(quietTeam), 0.5), quantile(flood.responses(quietTeam), 0.5))
}

const (
	teamQuiet = "quiet"
	teamFlood = "flood"
	quietUse  = 0.1 // of the slots
)

func quietTeam(s submission) bool { return s.team == teamQuiet && s.code == result.OK }

// quietLoad is the quiet team's load beside one of another team.
func quietLoad(name string, flood float64) faultLoad {
	f := defaultFaultLoad(name, quietUse+flood, 15*time.Second, 10*time.Second)
	slots := f.mix[0].Slots
	f.mix = []load.Share{{Service: harness.DefaultService, Team: teamQuiet, Weight: quietUse, Slots: slots}}
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
		n.Teams.Add = map[string]release.Team{teamQuiet: {Weight: 1}, teamFlood: {Weight: 1}}
	})
	return d
}
