package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A client's job may run on for an entry's lease at its home, and then for an
// owner's lease at an agent. It has to be stopped before the client resends it,
// even by an endpoint whose clock is 2% slow.
func TestRunsAreOverBeforeClientsSendTheirJobsAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			ResendAfter: Time(rapid.Int64Range(int64(600*time.Millisecond), int64(5*time.Second)).Draw(t, "resend")),
			MaxLease:    Time(rapid.Int64Range(int64(200*time.Millisecond), int64(3*time.Second)).Draw(t, "lease")),
			StopTime:    Time(rapid.Int64Range(0, int64(50*time.Millisecond)).Draw(t, "stop")),
		}
		timing := NewTiming(limits)
		slow := timing.OwnerLease * clockDriftPercent / 100
		if over := timing.EntryLease + timing.OwnerLease + slow; over >= limits.ResendAfter {
			t.Errorf("with %+v runs are over after %v", limits, over)
		}
		if timing.OwnerLease <= timing.StopLead() {
			t.Errorf("with %+v a lease of %v ends before its runs can be stopped", limits, timing.OwnerLease)
		}
	})
}

func TestTimesThatThePlatformDoesNotSayHaveDefaults(t *testing.T) {
	timing := NewTiming(Limits{})
	if timing.EntryLease != 300*ms || timing.OwnerLease != 800*ms || timing.StopLead() != 150*ms || timing.RunsEndBy(0) != 900*ms {
		t.Errorf("%+v", timing)
	}
}
