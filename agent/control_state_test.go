package agent

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/release"
	"bergamotwing.example/tablestore"
	"bergamotwing.example/wire"
)

func TestPermissionHoldsUnderTheConfirmedVersionAndLaterOnes(t *testing.T) {
	const now = 10 * time.Second
	for _, c := range []struct {
		name          string
		confirmations []wire.Confirmation
		want          time.Duration
	}{
		{"none", nil, 0},
		{"no echo", []wire.Confirmation{{Version: 5}}, 0},
		{"echo from the future", []wire.Confirmation{{Version: 5, Echo: 10001}}, 0},
		{"fresh", []wire.Confirmation{{Version: 5, Echo: 9900}}, release.PermissionLifetime - 100*time.Millisecond},
		{"older echo later", []wire.Confirmation{{Version: 5, Echo: 9900}, {Version: 5, Echo: 9000}}, release.PermissionLifetime - 100*time.Millisecond},
		{"lower version", []wire.Confirmation{{Version: 4, Echo: 9900}}, release.PermissionLifetime - 100*time.Millisecond},
		{"lower version after a higher one", []wire.Confirmation{{Version: 6, Echo: 9800}, {Version: 4, Echo: 9900}}, 0},
		{"higher version confirmed", []wire.Confirmation{{Version: 5, Echo: 9900}, {Version: 6, Echo: 9800}}, 0},
		{"lapsed", []wire.Confirmation{{Version: 5, Echo: 7400}}, release.PermissionLifetime - 2600*time.Millisecond},
	} {
		var p permission
		for _, v := range c.confirmations {
			p.update(v, now)
		}
		if got := p.remaining(5, now); got != c.want {
			t.Errorf("%s: remaining %v, want %v", c.name, got, c.want)
		}
	}
}

func TestHoldsLastUntilTheirSourceEndsThemOrIsUnlinked(t *testing.T) {
	first, second := release.Hold{Zone: "z", NoteID: "n1"}, release.Hold{Zone: "z", NoteID: "n2"}
	linked := func(entry entryIncarnation) bool { return entry == entryB }
	h := newHoldSet()
	h.replace(entryA, []release.Hold{first})
	h.replace(entryB, []release.Hold{first})
	h.replace(entryB, []release.Hold{first, second})
	if got := len(h.all()); got != 3 {
		t.Errorf("%d holds, want 3", got)
	}
	h.dropUnlinked(linked)
	if diff := cmp.Diff([]release.Hold{first, second}, h.all()); diff != "" {
		t.Error(diff)
	}
	h.replace(entryB, nil)
	if got := h.all(); got != nil {
		t.Errorf("remaining holds: %v", got)
	}
}

func TestFailurePctLooksAtRecentTasksOnly(t *testing.T) {
	var f failures
	got := make([]int, 0, 6)
	for _, failed := range []bool{true, false, false, true} {
		f.add(failed)
		got = append(got, f.pct())
	}
	for range failureWindow - 1 {
		f.add(false)
	}
	got = append(got, f.pct())
	f.add(false)
	got = append(got, f.pct())
	if diff := cmp.Diff([]int{100, 50, 33, 50, 6, 0}, got); diff != "" {
		t.Error(diff)
	}
}

func TestReplacedIncarnationsKeepRecentOnesAndAddTheLast(t *testing.T) {
	now := time.Unix(100000, 0)
	old, recent := now.Add(-replacedRetention).Unix(), now.Add(-time.Minute).Unix()
	earlier := tablestore.AgentRecord{
		Incarnation: 3,
		CleanStopAt: 99,
		Replaced:    []tablestore.ReplacedIncarnation{{Incarnation: 1, At: old}, {Incarnation: 2, At: recent}},
	}
	want := []tablestore.ReplacedIncarnation{{Incarnation: 2, At: recent}, {Incarnation: 3, At: 100000, Clean: true}}
	if diff := cmp.Diff(want, replacedIncarnations(earlier, now)); diff != "" {
		t.Error(diff)
	}
}
