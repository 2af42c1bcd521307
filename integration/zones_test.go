package integration

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"bergamotwing.example/client/api"
	"bergamotwing.example/integration/harness"
	"bergamotwing.example/result"
)

// slowStoreDelay is the duration of each call of the slow store.
const slowStoreDelay = 300 * time.Millisecond

// watchTime is how long after an order the starts of tasks are watched.
const watchTime = 8 * time.Second

// step is an action on a deployment, such as a fault or its end; a nil step does
// nothing.
type step func(t *testing.T, d *harness.Deployment, zone string)

func (s step) call(t *testing.T, d *harness.Deployment, zone string) {
	t.Helper()
	if s != nil {
		s(t, d, zone)
	}
}

// zoneOutCase describes the faults around an order that takes a zone out: before is
// called before the order, after as soon as the order is answered, and end once
// watchTime is over. A nil order is orderOut.
type zoneOutCase struct {
	name   string
	before step
	after  step
	order  func(t *testing.T, d *harness.Deployment, zone string) api.NoteAnswer
	end    step
	code   result.Code
	lossy  bool // processes are killed, partitioned, disconnected or frozen, so jobs may fail
}

func TestZoneOutStopsStartsWithin3s(t *testing.T) {
	cases := []zoneOutCase{
		{name: "nothing else wrong"},
		{
			name:  "accepting entry killed at once",
			after: func(_ *testing.T, d *harness.Deployment, _ string) { d.Entries[0].Kill() },
			lossy: true,
		},
		{
			name:   "agents cut from all entries",
			before: func(_ *testing.T, d *harness.Deployment, zone string) { d.PartitionAgents(d.AgentsInZone(zone)...) },
			end:    healAgents,
			lossy:  true,
		},
		{name: "agents linked only to an isolated entry", before: partition, end: rejoin, lossy: true},
		{name: "agents frozen across it", before: freezeAgents, after: thawAgents, lossy: true},
		{name: "store down before", before: storeDown, end: storeUp, code: result.HeldNotDurable},
		{
			name: "agents frozen across it with the store down",
			before: func(t *testing.T, d *harness.Deployment, zone string) {
				t.Helper()
				storeDown(t, d, zone)
				freezeAgents(t, d, zone)
			},
			after: thawAgents,
			end:   storeUp,
			code:  result.HeldNotDurable,
			lossy: true,
		},
		{name: "store down just after", after: storeDown, end: storeUp},
		{name: "store slow", before: storeSlow, end: storeUp},
		{name: "two operators racing", order: orderTwice},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { testZoneOut(t, c) })
	}
}

// waitMembers waits until every entry has all entries as members, so that
// majorities are counted of all of them.
func waitMembers(t *testing.T, d *harness.Deployment) {
	t.Helper()
	for _, e := range d.Entries {
		harness.Eventually(t, answerLimit, e.ID+" has all members", func() bool {
			status, err := d.Operator.Status(t.Context(), e.OperatorURL)
			return err == nil && len(status.Members) == len(d.Entries)
		})
	}
}

func testZoneOut(t *testing.T, c zoneOutCase) {
	d := deploy(t, harness.Options{Agents: 6})
	waitMembers(t, d)
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
	if !c.lossy {
		wantAllOK(t, d)
	}
	d.Oracle.Check(t)
}

// wantAllOK fails the test for answers other than ok.
func wantAllOK(t *testing.T, d *harness.Deployment) {
	t.Helper()
	for code, n := range d.Oracle.Answers() {
		if code != result.OK {
			t.Errorf("%d answers %s", n, code)
		}
	}
}

// partition leaves the zone's agents linked only to the last entry, which can
// reach neither the store nor the other entries.
func partition(_ *testing.T, d *harness.Deployment, zone string) {
	last := d.Entries[len(d.Entries)-1]
	d.PartitionAgentsExceptFrom(last, d.AgentsInZone(zone)...)
	d.Isolate(last)
}

func rejoin(t *testing.T, d *harness.Deployment, zone string) {
	t.Helper()
	d.Rejoin(d.Entries[len(d.Entries)-1])
	healAgents(t, d, zone)
}

func healAgents(_ *testing.T, d *harness.Deployment, zone string) {
	d.HealAgents(d.AgentsInZone(zone)...)
}

func freezeAgents(t *testing.T, d *harness.Deployment, zone string) {
	t.Helper()
	for _, a := range d.AgentsInZone(zone) {
		mustSignal(t, a.Freeze)
	}
}

// thawAgents continues the zone's agents 5 s later.
func thawAgents(t *testing.T, d *harness.Deployment, zone string) {
	t.Helper()
	waitStartAfter(t, d, time.Now().Add(5*time.Second), harness.NotInZone(zone))
	for _, a := range d.AgentsInZone(zone) {
		mustSignal(t, a.Thaw)
	}
}

func orderOut(t *testing.T, d *harness.Deployment, zone string) api.NoteAnswer {
	t.Helper()
	answer, err := d.Operator.ZoneOut(t.Context(), d.Entries[0].OperatorURL, zone)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// orderTwice takes a zone out through two entries at once and returns an ok
// answer if there is one.
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
	d.Platform.SetFaults(t, harness.PlatformFaults{Down: true})
}

func storeUp(t *testing.T, d *harness.Deployment, _ string) {
	t.Helper()
	d.Platform.SetFaults(t, harness.PlatformFaults{})
}

func storeSlow(t *testing.T, d *harness.Deployment, _ string) {
	t.Helper()
	d.Platform.SetFaults(t, harness.PlatformFaults{DelayMS: slowStoreDelay.Milliseconds()})
}

func orderBack(t *testing.T, d *harness.Deployment, e *harness.Entry, zone string) api.NoteAnswer {
	t.Helper()
	answer, err := d.Operator.ZoneBack(t.Context(), e.OperatorURL, zone)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// wantStartsReturn waits until every agent of the zone has started a task after a
// time, at most until stopBound has passed since then.
func wantStartsReturn(t *testing.T, d *harness.Deployment, zone string, after time.Time) {
	t.Helper()
	for _, a := range d.AgentsInZone(zone) {
		harness.Eventually(t, stopBound-time.Since(after), "tasks start at "+a.ID+" again", func() bool {
			return len(d.Oracle.StartsAfter(t, after, harness.OfAgent(a.ID))) > 0
		})
	}
}

// wantNoBurst fails the test if an endpoint got more tasks at once than it has
// slots.
func wantNoBurst(t *testing.T, d *harness.Deployment) {
	t.Helper()
	for _, a := range d.Agents {
		if n := a.Endpoint.EndpointCounts(t).OverSlots; n > 0 {
			t.Errorf("%s refused %d tasks because all slots were busy", a.Endpoint.Name, n)
		}
	}
}

func TestZoneBackWorkReturnsWithin3s(t *testing.T) {
	d := deploy(t, harness.Options{Agents: 6})
	zone := d.Zones[1]
	traffic := d.StartTraffic(t, harness.Seed(t))
	if answer := orderOut(t, d, zone); answer.Code != result.OK {
		t.Fatalf("out: %s (%s)", answer.Name, answer.Detail)
	}
	waitStartAfter(t, d, time.Now().Add(stopBound), harness.NotInZone(zone))
	if answer := orderBack(t, d, d.Entries[1], zone); answer.Code != result.OK {
		t.Fatalf("back: %s (%s)", answer.Name, answer.Detail)
	}
	wantStartsReturn(t, d, zone, time.Now())
	waitStartAfter(t, d, time.Now().Add(stopBound), harness.InZone(zone))
	traffic.Stop()
	wantAllOK(t, d)
	wantNoBurst(t, d)
	d.Oracle.Check(t)
}

// holdZone takes a zone out while the store is down and waits until every entry
// has received the hold.
func holdZone(t *testing.T, d *harness.Deployment, zone string) {
	t.Helper()
	storeDown(t, d, zone)
	if answer := orderOut(t, d, zone); answer.Code != result.HeldNotDurable {
		t.Fatalf("out: %s (%s)", answer.Name, answer.Detail)
	}
	waitHolds(t, d, 1, d.Entries)
}

// waitHolds waits until each of the entries has n holds.
func waitHolds(t *testing.T, d *harness.Deployment, n int, entries []*harness.Entry) {
	t.Helper()
	for _, e := range entries {
		harness.Eventually(t, stopBound, fmt.Sprintf("%s has %d holds", e.ID, n), func() bool {
			status, err := d.Operator.Status(t.Context(), e.OperatorURL)
			return err == nil && len(status.Holds) == n
		})
	}
}

func TestHoldBecomesNoteAndEndsWhenZoneIsBack(t *testing.T) {
	d := deploy(t, harness.Options{Agents: 6})
	zone := d.Zones[0]
	traffic := d.StartTraffic(t, harness.Seed(t))
	holdZone(t, d, zone)
	storeUp(t, d, zone)
	waitHolds(t, d, 0, d.Entries)
	waitVersion(t, d, 2)
	wantNote(t, post(t, d, d.Entries[1], settingsNote("later", 2)), result.OK, 3)
	waitStartAfter(t, d, time.Now().Add(stopBound), harness.NotInZone(zone))
	ordered := time.Now()
	if answer := orderBack(t, d, d.Entries[2], zone); answer.Code != result.OK {
		t.Fatalf("back: %s (%s)", answer.Name, answer.Detail)
	}
	wantStartsReturn(t, d, zone, time.Now())
	waitStartAfter(t, d, time.Now().Add(stopBound), harness.InZone(zone))
	waitHolds(t, d, 0, d.Entries)
	waitVersion(t, d, 4)
	traffic.Stop()
	for _, s := range d.Oracle.StartsAfter(t, ordered.Add(-stopBound), harness.InZone(zone)) {
		if s.At().Before(ordered) {
			t.Errorf("%s started %v before the zone was taken back", s.Task, ordered.Sub(s.At()))
		}
	}
	wantAllOK(t, d)
	d.Oracle.Check(t)
}

func TestZoneTakenBackBeforeItsHoldIsWrittenStaysBack(t *testing.T) {
	const rounds = 5
	d := deploy(t, harness.Options{})
	zone := d.Zones[0]
	for i := range rounds {
		holdZone(t, d, zone)
		storeUp(t, d, zone)
		answer := orderBack(t, d, d.Entries[i%len(d.Entries)], zone)
		if answer.Code != result.OK {
			t.Fatalf("back: %s (%s)", answer.Name, answer.Detail)
		}
		waitHolds(t, d, 0, d.Entries)
		waitVersion(t, d, uint64(3+2*i))
		wantInService(t, d, zone)
	}
}

// TestHoldEndsAtAnEntryThatDoesNotReachTheStore takes a zone back into service
// while one entry, disconnected from the store, can receive the hold's note only
// in the state that the other entries send.
func TestHoldEndsAtAnEntryThatDoesNotReachTheStore(t *testing.T) {
	d := deploy(t, harness.Options{Agents: 6})
	waitMembers(t, d)
	zone := d.Zones[0]
	traffic := d.StartTraffic(t, harness.Seed(t))
	holdZone(t, d, zone)
	d.Entries[2].Store.Disconnect()
	storeUp(t, d, zone)
	waitHolds(t, d, 0, d.Entries)
	if answer := orderBack(t, d, d.Entries[0], zone); answer.Code != result.OK {
		t.Fatalf("back: %s (%s)", answer.Name, answer.Detail)
	}
	wantStartsReturn(t, d, zone, time.Now())
	waitVersion(t, d, 3)
	wantInService(t, d, zone)
	traffic.Stop()
	wantAllOK(t, d)
	d.Oracle.Check(t)
}

// wantInService fails the test unless every entry lists the zone as in service.
func wantInService(t *testing.T, d *harness.Deployment, zone string) {
	t.Helper()
	for _, e := range d.Entries {
		zones, err := d.Operator.Zones(t.Context(), e.OperatorURL)
		if err != nil {
			t.Fatal(err)
		}
		for _, z := range zones.Zones {
			if z.Zone == zone && (!z.InService || z.Held) {
				t.Errorf("%s lists %+v", e.ID, z)
			}
		}
	}
}

func TestHoldOutlivesTheEntryThatTookIt(t *testing.T) {
	d := deploy(t, harness.Options{Agents: 6})
	zone := d.Zones[0]
	traffic := d.StartTraffic(t, harness.Seed(t))
	holdZone(t, d, zone)
	accepted := time.Now()
	d.Entries[0].Kill()
	waitStartAfter(t, d, accepted.Add(watchTime), harness.NotInZone(zone))
	storeUp(t, d, zone)
	others := d.Entries[1:]
	waitHolds(t, d, 0, others)
	wantInForce(t, d, 2, others)
	d.Entries[0].Start(t)
	waitVersion(t, d, 2)
	waitStartAfter(t, d, time.Now().Add(time.Second), harness.NotInZone(zone))
	traffic.Stop()
	for _, s := range d.Oracle.StartsAfter(t, accepted.Add(stopBound), harness.InZone(zone)) {
		t.Errorf("%s started at %s %v after the order", s.Task, s.Agent, s.At().Sub(accepted))
	}
	d.Oracle.Check(t)
}

func TestOperatorsRaceZoneOutAndBack(t *testing.T) {
	const races = 5
	d := deploy(t, harness.Options{})
	zone := d.Zones[0]
	traffic := d.StartTraffic(t, harness.Seed(t))
	for range races {
		answers := raceZone(t, d, zone)
		answered := time.Now()
		inService := wantRaceDecided(t, d, zone, answers)
		waitVersion(t, d, max(answers[0].Version, answers[1].Version))
		if inService {
			wantStartsReturn(t, d, zone, answered)
			continue
		}
		waitStartAfter(t, d, answered.Add(stopBound+time.Second), harness.NotInZone(zone))
		if late := d.Oracle.StartsAfter(t, answered.Add(stopBound), harness.InZone(zone)); len(late) > 0 {
			t.Errorf("%d tasks started in the zone that is out", len(late))
		}
	}
	traffic.Stop()
	wantAllOK(t, d)
	d.Oracle.Check(t)
}

// raceZone orders a zone out and back through two entries at once.
func raceZone(t *testing.T, d *harness.Deployment, zone string) []api.NoteAnswer {
	t.Helper()
	answers := make([]api.NoteAnswer, 2)
	var wg sync.WaitGroup
	wg.Go(func() { answers[0] = orderOut(t, d, zone) })
	wg.Go(func() { answers[1] = orderBack(t, d, d.Entries[1], zone) })
	wg.Wait()
	return answers
}

// wantRaceDecided checks that an accepted order is stored as a note, that a
// refused order is not stored and its answer names a stored note as the one that
// it conflicts with, and that the newest note is one of the two. It returns
// whether the zone is in service by the newest note.
func wantRaceDecided(t *testing.T, d *harness.Deployment, zone string, answers []api.NoteAnswer) bool {
	t.Helper()
	notes, err := d.Operator.Notes(t.Context(), d.Entries[2].OperatorURL)
	if err != nil {
		t.Fatal(err)
	}
	stored := map[string]bool{}
	for _, n := range notes.Notes {
		stored[n.Note.ID] = true
	}
	for _, a := range answers {
		refused := a.Code == result.NoteConflict && stored[a.ConflictsAt]
		if a.Code != result.OK && !refused || stored[a.NoteID] != (a.Code == result.OK) {
			t.Errorf("%s: %s (%s), conflicts at %q, stored %t", a.NoteID, a.Name, a.Detail, a.ConflictsAt, stored[a.NoteID])
		}
	}
	newest := notes.Notes[0].Note
	if newest.ID != answers[0].NoteID && newest.ID != answers[1].NoteID {
		t.Errorf("the newest note is %s", newest.ID)
	}
	return newest.Zones.Change[zone].InService
}

// TestRestartedEntryDoesNotConfirmTheVersionBefore restarts an entry that has
// acknowledged a note, so that it no longer holds the note, and links it only to
// an entry that never received the note. The two must not confirm the previous
// version as current.
func TestRestartedEntryDoesNotConfirmTheVersionBefore(t *testing.T) {
	d := deploy(t, harness.Options{Agents: 6})
	zone := d.Zones[0]
	waitMembers(t, d)
	partition(t, d, zone)
	if answer := orderOut(t, d, zone); answer.Code != result.OK {
		t.Fatalf("out: %s (%s)", answer.Name, answer.Detail)
	}
	accepted := time.Now()
	storeDown(t, d, zone)
	first, restarted, unaware := d.Entries[0], d.Entries[1], d.Entries[2]
	first.Kill()
	for _, a := range d.Agents {
		restarted.Links.Disconnect(a.ID)
	}
	restarted.Restart(t)
	unaware.Links.Heal(restarted.ID)
	harness.Eventually(t, answerLimit, "the restarted entry has the version before", func() bool {
		return d.Version(t.Context(), restarted) == 1
	})
	harness.Eventually(t, answerLimit, "the two entries are linked", func() bool { return linkedTo(t, d, unaware, restarted) })
	harness.Eventually(t, answerLimit, "the bound has passed", func() bool { return time.Since(accepted) > stopBound })
	job := harness.NewJob("unaware", 200, 50*time.Millisecond)
	job.DeadlineMS = watchTime.Milliseconds()
	ticket := mustTicket(t, newCaller(t), unaware)
	answer := await(t, d, ticket, job, submit(t.Context(), unaware, ticket, job))
	if answer.Code == result.OK {
		t.Error("the job ran without a majority that has the version")
	}
	for _, s := range d.Oracle.StartsAfter(t, accepted.Add(stopBound), harness.InZone(zone)) {
		t.Errorf("%s started at %s %v after the order", s.Task, s.Agent, s.At().Sub(accepted))
	}
	for _, a := range d.Agents {
		restarted.Links.Heal(a.ID)
	}
	storeUp(t, d, zone)
	rejoin(t, d, zone)
	first.Start(t)
	waitVersion(t, d, 2)
	wantCode(t, submitNew(t, d, unaware, harness.NewJob("after", 8, 50*time.Millisecond)), result.OK)
	d.Oracle.Check(t)
}

// linkedTo reports whether an entry reports a link to another entry.
func linkedTo(t *testing.T, d *harness.Deployment, e, other *harness.Entry) bool {
	t.Helper()
	status, err := d.Operator.Status(t.Context(), e.OperatorURL)
	return err == nil && slices.ContainsFunc(status.Entries, func(v api.EntryView) bool { return v.ID == other.ID && v.Linked })
}
