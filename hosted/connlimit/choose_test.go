package connlimit

import (
	"testing"
	"time"
)

const (
	soon = 100 * time.Millisecond
	long = 5 * time.Second
	now  = time.Minute
)

func aged(p phase, age time.Duration) holding { return holding{phase: p, since: now - age} }

func TestAnOpenRequestIsNeverClosedToMakeRoom(t *testing.T) {
	open := aged(phaseOpen, long)
	open.held = 1 << 20
	conns := []holding{open, open}
	if i := closeForRoom(now, conns); i != -1 {
		t.Errorf("for room: %d", i)
	}
	if i := closeForBytes(now, conns); i != -1 {
		t.Errorf("for bytes: %d", i)
	}
	if i := closeUnfinished(conns); i != -1 {
		t.Errorf("for a link: %d", i)
	}
}

func TestRoomIsMadeByUnfinishedRequestsThenByIdleConnections(t *testing.T) {
	known := aged(phaseNew, long)
	known.known = true
	for _, tc := range []struct {
		name  string
		conns []holding
		want  int
	}{
		{"unfinished for long before idle", []holding{aged(phaseIdle, 2*long), aged(phaseBody, long), aged(phaseHeader, 2*long)}, 2},
		{"idle before just begun", []holding{aged(phaseNew, soon), aged(phaseIdle, soon)}, 1},
		{"the longest idle", []holding{aged(phaseIdle, soon), aged(phaseIdle, long)}, 1},
		{"just begun, none other", []holding{aged(phaseOpen, long), aged(phaseNew, soon)}, 1},
		{"members last", []holding{known, aged(phaseNew, soon)}, 1},
	} {
		if got := closeForRoom(now, tc.conns); got != tc.want {
			t.Errorf("%s: %d, want %d", tc.name, got, tc.want)
		}
	}
}

func TestLinksOfMembersAreClosedOnlyIfThereAreNoOthers(t *testing.T) {
	known := aged(phaseNew, long)
	known.known = true
	if got := closeUnfinished([]holding{known, aged(phaseNew, soon), aged(phaseBody, long)}); got != 2 {
		t.Errorf("%d, want 2", got)
	}
	if got := closeUnfinished([]holding{aged(phaseOpen, long), known}); got != 1 {
		t.Errorf("%d, want 1", got)
	}
}

func TestRequestsSentAheadDoNotKeepTheirBytes(t *testing.T) {
	ahead := aged(phaseOpen, soon)
	ahead.held, ahead.ahead = 1000, true
	if got := closeForBytes(now, []holding{aged(phaseOpen, long), ahead}); got != 1 {
		t.Errorf("%d, want 1", got)
	}
}

func TestBytesAreTakenFromWhatHoldsTheMostForTheLongest(t *testing.T) {
	held := func(bytes int64, age time.Duration) holding {
		return holding{phase: phaseBody, since: now - age, held: bytes}
	}
	if got := closeForBytes(now, []holding{held(1000, soon), held(900, long), held(10, 10*long), aged(phaseNew, long)}); got != 1 {
		t.Errorf("%d, want 1", got)
	}
	if got := closeForBytes(now, []holding{aged(phaseIdle, long), aged(phaseNew, long)}); got != -1 {
		t.Errorf("%d, want none", got)
	}
}

// The machines of the deployments, and what their clients may use of them.
func TestLimitsLeaveRoomForClientsInsideThePages(t *testing.T) {
	for _, machine := range []struct{ memoryMB, descriptors int }{{128, 4096}, {152, 4096}, {160, 4100}, {184, 4100}, {284, 4100}, {536, 8192}, {144, 3075}, {0, 0}} {
		l, err := LimitsOf(machine.memoryMB, machine.descriptors, Options{})
		if err != nil {
			t.Error(err)
		}
		// A body of 262,144 bytes that is read, and a job of as many steps as it can hold.
		if whole := int64(262144*bodyCost + 262144 + 262144/12*700); l.Held < whole {
			t.Errorf("%+v: %d bytes held, a request inside the limits takes %d", machine, l.Held, whole)
		}
		if l.Clients < 1500 || l.Links < 700 {
			t.Errorf("%+v: %d clients, %d links", machine, l.Clients, l.Links)
		}
	}
}

func TestLimitsOverTheMachineAreAnError(t *testing.T) {
	for _, o := range []Options{{Clients: 4000}, {Links: 4000}, {HeldBytes: 200 << 20}} {
		if _, err := LimitsOf(284, 4100, o); err == nil {
			t.Errorf("%+v: no error", o)
		}
	}
}
