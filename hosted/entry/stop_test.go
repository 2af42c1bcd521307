package entry

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/drain/draintest"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/telemetry"
)

// A job may end while the link to the entry whose client waits is down. The link
// may be restored within the lease, and only this entry knows the outcome: if it
// stopped at once, the outcome would be lost.
func TestAStopWaitsForTheEntryThatHasNotHeardAnEnd(t *testing.T) {
	const lease = 300 * time.Millisecond
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	e := New(platform.Node{Name: "stopping"}, Options{}, control.Deps{Log: zerolog.Nop(), Metrics: metrics})
	caller := dispatch.Owner{Entry: "caller", Incarnation: 1}
	now := mesh.Now()
	e.state.recent[submittedJob{job: "job", caller: caller}] = recentEnd{at: now}
	e.state.lost[caller.Entry] = lostEntry{owner: caller, until: now + lease}
	e.actor.Start(e.receive)
	defer e.actor.Shutdown()
	e.actor.Send(control.Tick{})
	ctx, cancel := context.WithTimeout(t.Context(), draintest.Timeout)
	defer cancel()
	e.waitIdle(ctx)
	if took := mesh.Now() - now; took < lease {
		t.Errorf("the stop waited for %v, less than the lease", took)
	}
	if ctx.Err() != nil {
		t.Error("the stop waits for an entry that has given up")
	}
}
