package integration

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/result"
)

// outageCase describes how the store fails, and what else fails meanwhile.
type outageCase struct {
	name   string
	begin  step
	end    step
	during step // 2 s after begin
	lossy  bool // jobs may fail
}

// TestStoreOutageWorkGoesOn keeps the store out of service for longer than an
// entry could confirm a version from its last read of the store.
func TestStoreOutageWorkGoesOn(t *testing.T) {
	killOne := func(_ *testing.T, d *harness.Deployment, _ string) { d.Entries[1].Kill() }
	cases := []outageCase{
		{name: "refuses calls", begin: storeDown, end: storeUp},
		{name: "does not answer", begin: storeFrozen, end: storeThawed},
		{name: "refuses calls, one entry of three killed", begin: storeDown, end: storeUp, during: killOne, lossy: true},
		{name: "does not answer, one entry of three killed", begin: storeFrozen, end: storeThawed, during: killOne, lossy: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { testOutage(t, c) })
	}
}

func testOutage(t *testing.T, c outageCase) {
	d := deploy(t, harness.Options{})
	waitMembers(t, d)
	traffic := d.StartTraffic(t, harness.Seed(t))
	waitStartAfter(t, d, time.Now(), anyStart)
	c.begin.call(t, d, "")
	waitStartAfter(t, d, time.Now().Add(2*time.Second), anyStart)
	c.during.call(t, d, "")
	down := time.Now()
	for _, zone := range d.Zones {
		waitStartAfter(t, d, down.Add(watchTime), harness.InZone(zone))
	}
	refused := post(t, d, d.Entries[0], settingsNote("refused", 1))
	wantNote(t, refused, result.StoreUnavailable, 1)
	wantNoLapse(t, d)
	c.end.call(t, d, "")
	waitStartAfter(t, d, time.Now().Add(time.Second), anyStart)
	traffic.Stop()
	wantNoGap(t, d, down, down.Add(watchTime))
	if !c.lossy {
		wantAllOK(t, d)
	}
	d.Oracle.Check(t)
}

// wantNoLapse fails the test for each agent whose permission to start lapsed.
func wantNoLapse(t *testing.T, d *harness.Deployment) {
	t.Helper()
	for _, a := range d.Agents {
		if n := a.Counter(t, "bergamotwing_permission_lapses_total"); n > 0 {
			t.Errorf("the permission of %s lapsed %v times", a.ID, n)
		}
	}
}

// maxGap is the longest time without a start in a zone while work goes on.
const maxGap = 500 * time.Millisecond

// wantNoGap fails the test for each pause over maxGap in the starts of a zone
// between from and to.
func wantNoGap(t *testing.T, d *harness.Deployment, from, to time.Time) {
	t.Helper()
	for _, zone := range d.Zones {
		last := from
		starts := d.Oracle.StartsAfter(t, from, harness.InZone(zone))
		slices.SortFunc(starts, func(a, b harness.Start) int { return cmp.Compare(a.UnixMS, b.UnixMS) })
		for _, s := range starts {
			if gap := s.At().Sub(last); gap > maxGap && last.Before(to) {
				t.Errorf("nothing started in %s for %v, from %v on", zone, gap, last.Sub(from))
			}
			last = s.At()
		}
	}
}

func storeFrozen(t *testing.T, d *harness.Deployment, _ string) {
	t.Helper()
	mustSignal(t, d.Platform.Freeze)
}

func storeThawed(t *testing.T, d *harness.Deployment, _ string) {
	t.Helper()
	mustSignal(t, d.Platform.Thaw)
}

func TestStoreOutageWithoutMajorityStopsStartsUntilStoreIsBack(t *testing.T) {
	d := deploy(t, harness.Options{})
	waitMembers(t, d)
	traffic := d.StartTraffic(t, harness.Seed(t))
	waitStartAfter(t, d, time.Now(), anyStart)
	storeDown(t, d, "")
	waitStartAfter(t, d, time.Now().Add(stopBound), anyStart)
	d.Entries[1].Kill()
	d.Entries[2].Kill()
	lost := time.Now()
	harness.Eventually(t, answerLimit, "no task has started for a while", func() bool {
		return time.Since(lost) > stopBound+2*time.Second && len(d.Oracle.StartsAfter(t, time.Now().Add(-time.Second), anyStart)) == 0
	})
	for _, s := range d.Oracle.StartsAfter(t, lost.Add(stopBound), anyStart) {
		t.Errorf("%s started %v after the majority was lost", s.Task, s.At().Sub(lost))
	}
	storeUp(t, d, "")
	back := time.Now()
	harness.Eventually(t, stopBound, "tasks start again", func() bool { return len(d.Oracle.StartsAfter(t, back, anyStart)) > 0 })
	wantNote(t, post(t, d, d.Entries[0], settingsNote("alone", 1)), result.NoteUnconfirmed, 2)
	d.Entries[1].Start(t)
	d.Entries[2].Start(t)
	waitVersion(t, d, 2)
	traffic.Stop()
	d.Oracle.Check(t)
}

func TestProcessesStartedWhileTheStoreIsDown(t *testing.T) {
	d := deploy(t, harness.Options{Agents: 6})
	waitMembers(t, d)
	wantNote(t, post(t, d, d.Entries[0], settingsNote("before", 1)), result.OK, 2)
	storeDown(t, d, "")
	entry, agent := d.Entries[2], d.Agents[0]
	entry.Restart(t)
	agent.Restart(t)
	restarted := time.Now()
	wantInForce(t, d, 2, d.Entries)
	traffic := d.StartTraffic(t, harness.Seed(t))
	waitStartAfter(t, d, restarted.Add(watchTime), harness.InZone(agent.Zone))
	if early := d.Oracle.StartsAfter(t, restarted, harness.OfAgent(agent.ID)); len(early) > 0 {
		t.Errorf("%d tasks started at an agent that is not registered", len(early))
	}
	wantCode(t, submitNew(t, d, entry, harness.NewJob("restarted", 8, 50*time.Millisecond)), result.OK)
	storeUp(t, d, "")
	waitStartAfter(t, d, time.Now(), harness.OfAgent(agent.ID))
	traffic.Stop()
	d.Oracle.Check(t)
}
