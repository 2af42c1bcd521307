package dispatch

import "testing"

// The time of day may jump back between two lifetimes that one agent finds.
func TestAGenerationNumberRisesWithEachLifetime(t *testing.T) {
	var f Fence
	last := f.Number()
	for _, unixMicro := range []int64{5_000_000, 5_000_000, 3_000_000, 9_000_000} {
		f.Raise(unixMicro)
		if f.Number() <= last || f.Number() < unixMicro {
			t.Errorf("number %d at %d, after %d", f.Number(), unixMicro, last)
		}
		last = f.Number()
	}
}

// If it were used on, every call would be refused. A call that was sent before the number
// was raised says nothing about the one in use.
func TestARefusedGenerationNumberIsRaisedOnce(t *testing.T) {
	var f Fence
	f.Raise(5_000_000)
	if !f.Refused(5_000_000) || f.Number() != 5_000_000+fenceStep {
		t.Errorf("number %d after a refusal", f.Number())
	}
	if f.Refused(5_000_000) || f.Number() != 5_000_000+fenceStep {
		t.Errorf("number %d after the refusal of an earlier one", f.Number())
	}
}

// Where endpoints check none, a number that a refusal of another kind had raised would be sent.
func TestWhereNoGenerationNumberIsSentNoneIsRaised(t *testing.T) {
	var f Fence
	if f.Refused(0) || f.Number() != 0 {
		t.Errorf("number %d", f.Number())
	}
}

// The endpoint has done nothing, and is not at fault: the run is neither kept nor counted
// against its health.
func TestAStartOfAnEarlierGenerationIsReportedAsExpired(t *testing.T) {
	g, now := newGuard(t)
	run := ref("j", 0, 1)
	g.Start(now, order(ownerA, run, now))
	g.TakeActions()
	g.StartAnswered(now+ms, run, CallResult{Refusal: NotStarted, Fence: 7})
	wantEnds(t, g, map[RunRef]EndReason{run: Expired})
	if g.Runs() != 0 {
		t.Errorf("%d runs kept", g.Runs())
	}
}
