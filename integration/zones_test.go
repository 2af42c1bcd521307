package integration

import (
	"testing"
	"time"

	"bergamotwing.example/client/api"
	"bergamotwing.example/integration/harness"
	"bergamotwing.example/result"
)

// watchTime is how long after an order starts are watched.
const watchTime = 8 * time.Second

// step is something that happens to a deployment; a nil step is nothing.
type step func(t *testing.T, d *harness.Deployment, zone string)

func (s step) call(t *testing.T, d *harness.Deployment, zone string) {
	t.Helper()
	if s != nil {
		s(t, d, zone)
	}
}

// zoneOutCase is what goes wrong around an order that takes a zone out.
type zoneOutCase struct {
	name   string
	before step
	after  step
	order  func(t *testing.T, d *harness.Deployment, zone string) api.NoteAnswer
	end    step
	code   result.Code
}

func TestZoneOutStopsStartsWithin3s(t *testing.T) {
	cases := []zoneOutCase{
		{name: "nothing else wrong"},
		{
			name:  "accepting entry killed at once",
			after: func(_ *testing.T, d *harness.Deployment, _ string) { d.Entries[0].Kill() },
		},
		{
			name:   "agents cut from entries",
			before: func(_ *testing.T, d *harness.Deployment, zone string) { d.CutAgents(d.Zone(zone)...) },
			end:    func(_ *testing.T, d *harness.Deployment, zone string) { d.HealAgents(d.Zone(zone)...) },
		},
		{
			name: "agent frozen across it",
			before: func(t *testing.T, d *harness.Deployment, zone string) {
				t.Helper()
				mustSignal(t, d.Zone(zone)[0].Freeze)
			},
			after: func(t *testing.T, d *harness.Deployment, zone string) {
				t.Helper()
				waitStartAfter(t, d, time.Now().Add(stopBound+time.Second), harness.NotInZone(zone))
				mustSignal(t, d.Zone(zone)[0].Thaw)
			},
		},
		{name: "store down before", before: storeDown, end: storeUp, code: result.HeldNotDurable},
		{name: "store down just after", after: storeDown, end: storeUp},
		{name: "two operators racing", order: orderTwice},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { testZoneOut(t, c) })
	}
}

func testZoneOut(t *testing.T, c zoneOutCase) {
	d := deploy(t, harness.Options{Agents: 6})
	zone := d.Zones[0]
	traffic := d.StartTraffic(t, harness.Seed(t))
	waitStartAfter(t, d, time.Now(), harness.InZone(zone))
	c.before.call(t, d, zone)
	order := c.order
	if order == nil {
		order = orderOut
	}
	answer := order(t, d, zone)
	accepted := time.Now()
	if answer.Code != c.code {
		t.Fatalf("the order was answered %s (%s), want %s", answer.Name, answer.Detail, c.code)
	}
	c.after.call(t, d, zone)
	waitStartAfter(t, d, accepted.Add(watchTime), harness.NotInZone(zone))
	c.end.call(t, d, zone)
	waitStartAfter(t, d, time.Now().Add(time.Second), harness.NotInZone(zone))
	traffic.Stop()
	for _, s := range d.Oracle.StartsAfter(t, accepted.Add(stopBound), harness.InZone(zone)) {
		t.Errorf("%s started at %s %v after the order", s.Task, s.Agent, s.At().Sub(accepted))
	}
	d.Oracle.Check(t)
}

func orderOut(t *testing.T, d *harness.Deployment, zone string) api.NoteAnswer {
	t.Helper()
	answer, err := d.Operator.ZoneOut(t.Context(), d.Entries[0].OperatorURL, zone)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// orderTwice takes a zone out through two entries at once and returns the
// better answer.
func orderTwice(t *testing.T, d *harness.Deployment, zone string) api.NoteAnswer {
	t.Helper()
	answers := make(chan api.NoteAnswer, 2)
	for _, e := range d.Entries[:2] {
		go func() {
			answer, err := d.Operator.ZoneOut(t.Context(), e.OperatorURL, zone)
			if err != nil {
				answer = api.NoteAnswer{Code: result.StoreUnavailable, Detail: err.Error()}
			}
			answers <- answer
		}()
	}
	first, second := <-answers, <-answers
	if first.Code == result.OK {
		return first
	}
	return second
}

func storeDown(t *testing.T, d *harness.Deployment, _ string) {
	t.Helper()
	d.Platform.Control(t, harness.PlatformFaults{Down: true})
}

func storeUp(t *testing.T, d *harness.Deployment, _ string) {
	t.Helper()
	d.Platform.Control(t, harness.PlatformFaults{})
}

func TestZoneBackWorkReturnsWithin3s(t *testing.T) {
	d := deploy(t, harness.Options{Agents: 6})
	zone := d.Zones[1]
	traffic := d.StartTraffic(t, harness.Seed(t))
	if answer := orderOut(t, d, zone); answer.Code != result.OK {
		t.Fatalf("out: %s (%s)", answer.Name, answer.Detail)
	}
	waitStartAfter(t, d, time.Now().Add(stopBound), harness.NotInZone(zone))
	answer, err := d.Operator.ZoneBack(t.Context(), d.Entries[1].OperatorURL, zone)
	if err != nil || answer.Code != result.OK {
		t.Fatalf("back: %s (%s) %v", answer.Name, answer.Detail, err)
	}
	back := time.Now()
	harness.Eventually(t, stopBound, "tasks start in the zone again", func() bool {
		return len(d.Oracle.StartsAfter(t, back, harness.InZone(zone))) > 0
	})
	traffic.Stop()
	d.Oracle.Check(t)
}

func TestStoreOutageWorkGoesOn(t *testing.T) {
	d := deploy(t, harness.Options{})
	traffic := d.StartTraffic(t, harness.Seed(t))
	waitStartAfter(t, d, time.Now(), anyStart)
	storeDown(t, d, "")
	down := time.Now()
	for _, zone := range d.Zones {
		waitStartAfter(t, d, down.Add(watchTime), harness.InZone(zone))
	}
	traffic.Stop()
	for code, n := range d.Oracle.Answers() {
		if code != result.OK {
			t.Errorf("%d answers %s", n, code)
		}
	}
	d.Oracle.Check(t)
}
