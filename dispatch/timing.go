package dispatch

import "time"

// Limits are the times that the platform sets.
type Limits struct {
	ResendAfter Time // after which a client resends an unanswered job
	MaxLease    Time // longest lease that an endpoint grants
	StopTime    Time // longest time that an endpoint takes to stop a run
	// RemoteDataFactor is the factor by which a task takes longer on another rack than
	// its data.
	RemoteDataFactor float64
}

// Timing holds the times after which the processes of a deployment consider each
// other lost, and the runs of a lost one ended. All processes use the same
// timing.
type Timing struct {
	Limits
	// EntryLease is how long an entry counts as alive after the last moment at
	// which it is known to have been alive.
	EntryLease Time
	// OwnerLease is how long an agent keeps the runs of an entry after that
	// moment.
	OwnerLease Time
}

// Defaults of the times that the platform's settings leave out, and the longest
// leases that are of use: with them, five heartbeats may be lost.
const (
	defaultResendAfter = 1300 * time.Millisecond
	defaultMaxLease    = time.Second
	defaultStopTime    = 50 * time.Millisecond
	defaultRemoteData  = 1.5
	maxEntryLease      = 300 * time.Millisecond
	maxOwnerLease      = 800 * time.Millisecond
)

// The leases as shares of the time after which clients resend a job. A run may
// go on for an entry's lease and then for an owner's; the rest of the time is
// for stopping the run and for clock drift.
const (
	entryLeaseShare = 3.0 / 13
	ownerLeaseShare = 8.0 / 13
)

// NewTiming returns the timing of a platform with the given limits. A limit of 0
// stands for its default.
func NewTiming(l Limits) Timing {
	l.ResendAfter = orDefault(l.ResendAfter, defaultResendAfter)
	l.MaxLease = orDefault(l.MaxLease, defaultMaxLease)
	l.StopTime = orDefault(l.StopTime, defaultStopTime)
	if l.RemoteDataFactor < 1 {
		l.RemoteDataFactor = defaultRemoteData
	}
	return Timing{
		Limits:     l,
		EntryLease: min(maxEntryLease, Time(entryLeaseShare*float64(l.ResendAfter))),
		OwnerLease: min(maxOwnerLease, Time(ownerLeaseShare*float64(l.ResendAfter))),
	}
}

func orDefault(t, otherwise Time) Time {
	if t <= 0 {
		return otherwise
	}
	return t
}

const (
	// stopMargin is added to the time that a stop takes, for the messages and
	// two attempts.
	stopMargin = 100 * time.Millisecond
	// endMargin is added to the last moment at which the runs of a lost agent
	// end, since the endpoint's clock may be 2% slow.
	endMargin = 50 * time.Millisecond
)

// StopLead returns how long before the end of an owner's lease its runs are stopped.
func (t Timing) StopLead() Time { return t.StopTime + stopMargin }

// RunsEndBy returns the time by which the runs that an agent has for an entry
// have ended, if the agent received nothing that the entry sent after lastSent.
func (t Timing) RunsEndBy(lastSent Time) Time {
	return lastSent + t.OwnerLease + t.StopTime + endMargin
}
