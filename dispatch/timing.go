package dispatch

import "time"

// Limits are the times that a platform sets.
type Limits struct {
	ResendAfter Time // after which a client sends an unanswered job again
	MaxLease    Time // longest lease that an endpoint grants
	StopTime    Time // that an endpoint takes at most to stop a run
}

// Timing holds the times by which the processes of a deployment tell that
// others are gone, and their runs over. All processes have the same.
type Timing struct {
	Limits
	// EntryLease is how long an entry counts as alive after the moment at which
	// it is known to have lived.
	EntryLease Time
	// OwnerLease is how long an agent keeps the runs of an entry after that
	// moment.
	OwnerLease Time
}

// Times where the platform's settings do not say, and the longest leases that
// are of use: five heartbeats may be lost.
const (
	defaultResendAfter = 1300 * time.Millisecond
	defaultMaxLease    = time.Second
	defaultStopTime    = 50 * time.Millisecond
	maxEntryLease      = 300 * time.Millisecond
	maxOwnerLease      = 800 * time.Millisecond
)

// The leases' parts of the time after which clients send a job again. A run
// may go on for an entry's lease and then an owner's; the rest of the time is
// for stopping it and for the drift of clocks.
const (
	entryLeasePart = 3.0 / 13
	ownerLeasePart = 8.0 / 13
)

// NewTiming returns the timing of a platform with the limits. A limit of 0
// stands for its default.
func NewTiming(l Limits) Timing {
	l.ResendAfter = orDefault(l.ResendAfter, defaultResendAfter)
	l.MaxLease = orDefault(l.MaxLease, defaultMaxLease)
	l.StopTime = orDefault(l.StopTime, defaultStopTime)
	return Timing{
		Limits:     l,
		EntryLease: min(maxEntryLease, Time(entryLeasePart*float64(l.ResendAfter))),
		OwnerLease: min(maxOwnerLease, Time(ownerLeasePart*float64(l.ResendAfter))),
	}
}

func orDefault(t, otherwise Time) Time {
	if t <= 0 {
		return otherwise
	}
	return t
}

const (
	// stopMargin is added to the time that a stop takes: the messages, and two
	// tries.
	stopMargin = 100 * time.Millisecond
	// overMargin is added to the last moment at which the runs of a lost agent
	// end: the endpoint's clock may be 2% slow.
	overMargin = 50 * time.Millisecond
)

// StopLead returns how long before the end of an owner's lease its runs are stopped.
func (t Timing) StopLead() Time { return t.StopTime + stopMargin }

// RunsEndBy returns by when the runs that an agent has for an entry are over, if
// the agent got nothing from it after a moment.
func (t Timing) RunsEndBy(lastSent Time) Time {
	return lastSent + t.OwnerLease + t.StopTime + overMargin
}
