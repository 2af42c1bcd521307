package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotwing.example/dispatch"
)

// The search simulates one job in every combination of a change of the home
// entry, its moment, and one call to an endpoint that is carried out late
// without an answer. The client submits the job again at the new home entry. It
// checks that no task runs twice at the same time and that a job refused as not
// run did not run.

// resubmission is when a job is submitted again, how many agents there are, and
// how long its tasks run.
type resubmission struct {
	agents int
	pause  dispatch.Time // since the change
	work   dispatch.Time
}

// resubmissions are the ones that must be safe: at the same endpoint at any
// time, since it refuses older runs; at another endpoint after the time that
// clients wait before they resend, within which all leases of the old home end.
var resubmissions = []resubmission{{1, ms, shortWork}, {1, ms, longWork}, {2, simResend, shortWork}, {2, simResend, longWork}}

const (
	shortWork = 200 * ms        // ends in time
	longWork  = 4 * time.Second // outlasts every lease, so that the run goes on unless it is stopped
)

// homeChange is what happens to the entry that holds the job when the client
// disconnects from it.
type homeChange struct {
	name string
	play func(s *sim, home *simEntry)
}

func homeChanges() []homeChange {
	outages := []dispatch.Time{300 * ms, 1200 * ms, 3000 * ms}
	changes := make([]homeChange, 0, 2+2*len(outages))
	changes = append(changes,
		homeChange{"home without fault", func(*sim, *simEntry) {}},
		homeChange{"home killed", func(_ *sim, home *simEntry) { home.start() }})
	for _, lasts := range outages {
		changes = append(changes,
			homeChange{fmt.Sprintf("home frozen for %v", lasts), func(_ *sim, home *simEntry) { home.freeze(lasts) }},
			homeChange{fmt.Sprintf("home partitioned from an agent for %v", lasts), func(s *sim, home *simEntry) {
				home.links[s.agents[0].name].partitionedUntil = s.now + lasts
			}})
	}
	return changes
}

const (
	exploredJob   = "j"
	exploredSpan  = 8 * time.Second // after which every lease and late call is over
	exploredCalls = 10              // calls from the submission on, each of which is late once
	// guardReady is when the agent's guard accepts orders.
	guardReady = 10*time.Second + 600*ms
)

// lateCall is a call that is carried out late; call 0 stands for none.
type lateCall struct {
	call  int
	delay dispatch.Time
}

func lateCalls() []lateCall {
	calls := []lateCall{{}}
	for call := 1; call <= exploredCalls; call++ {
		// Just after the call's timeout, while a second run may go on, within a
		// lease, after one lease, after two.
		for _, delay := range []dispatch.Time{simCallTime + 5*ms, 150 * ms, 600 * ms, 1200 * ms, 2500 * ms} {
			calls = append(calls, lateCall{call, delay})
		}
	}
	return calls
}

// moments returns when a change happens after the submission: dense while
// messages are in transit.
func moments() []dispatch.Time {
	var at []dispatch.Time
	for t := dispatch.Time(0); t < 20*ms; t += 4 * ms {
		at = append(at, t)
	}
	for t := 20 * ms; t <= 350*ms; t += 60 * ms {
		at = append(at, t)
	}
	return at
}

// explore plays one combination and returns the simulation at its end.
func explore(change homeChange, at dispatch.Time, resub resubmission, late lateCall) *sim {
	s := newSim(1, resub.agents)
	s.work = resub.work
	s.behavior = func() callBehavior { return callBehavior{delay: ms} }
	s.play(guardReady)
	calls := 0
	s.behavior = func() callBehavior {
		if calls++; calls == late.call {
			return callBehavior{delay: late.delay, lost: true}
		}
		return callBehavior{delay: ms}
	}
	home, next := s.entries[0], s.entries[1]
	s.submitAt(home, exploredJob)
	s.after(at, func() {
		if _, waits := s.attempt[exploredJob]; !waits {
			return // answered before
		}
		delete(s.attempt, exploredJob)
		change.play(s, home)
		// A frozen home receives the client's disconnection when it thaws.
		home.run(home.incarnation, func() { home.sched.Cancel(s.now, exploredJob, simClient) })
		s.after(resub.pause, func() { s.submitAt(next, exploredJob) })
	})
	s.play(guardReady + exploredSpan)
	return s
}

func TestNoInterleavingOfAHomeChangeAndALateCallRunsATaskTwice(t *testing.T) {
	for _, change := range homeChanges() {
		t.Run(change.name, func(t *testing.T) {
			t.Parallel()
			played := 0
			for _, at := range moments() {
				for _, resub := range resubmissions {
					for _, late := range lateCalls() {
						played++
						s := explore(change, at, resub, late)
						if s.violation != "" {
							t.Fatalf("%d agents, change after %v, sent again after %v, call %d late by %v: %s", resub.agents, at, resub.pause, late.call, late.delay, s.violation)
						}
						if _, waits := s.attempt[exploredJob]; waits && resub.work == shortWork {
							t.Fatalf("%d agents, change after %v, sent again after %v, call %d late by %v: no answer", resub.agents, at, resub.pause, late.call, late.delay)
						}
					}
				}
			}
			t.Logf("%d combinations", played)
		})
	}
}

// replacedSpan is the time after which the late call and the runs that it may have
// started are over.
const replacedSpan = 3 * time.Second

// newReplacement returns a simulation of two agents and one submitted job of long
// tasks, of which one call to an endpoint is carried out late.
func newReplacement(late lateCall) *sim {
	s := newSim(1, 2)
	s.work = longWork
	s.behavior = func() callBehavior { return callBehavior{delay: ms} }
	s.play(guardReady)
	calls := 0
	s.behavior = func() callBehavior {
		if calls++; calls == late.call {
			return callBehavior{delay: late.delay, lost: true}
		}
		return callBehavior{delay: ms}
	}
	s.submitAt(s.entries[0], exploredJob)
	return s
}

// A start that an agent sent before it was killed is valid for longer than the next
// agent looks for earlier runs.
func TestNoInterleavingOfAReplacedAgentAndALateCallRunsATaskTwice(t *testing.T) {
	for agent := range 2 {
		t.Run(fmt.Sprintf("agent %d", agent), func(t *testing.T) {
			t.Parallel()
			played := 0
			for _, at := range moments() {
				for call := 1; call <= exploredCalls; call++ {
					for _, delay := range []dispatch.Time{30 * ms, 60 * ms, 85 * ms, 150 * ms, 300 * ms, 600 * ms, 780 * ms, 1200 * ms} {
						played++
						s := newReplacement(lateCall{call, delay})
						s.after(at, s.agents[agent].start)
						s.play(guardReady + replacedSpan)
						if s.violation != "" {
							t.Fatalf("killed after %v, call %d late by %v: %s", at, call, delay, s.violation)
						}
					}
				}
			}
			t.Logf("%d combinations", played)
		})
	}
}

// The home that is partitioned from the agent takes its runs as over at the end of their lease,
// though the agent's next incarnation extends the endpoint's lease for other homes.
func TestNoLateStartOfAReplacedAgentOutlastsTheLeaseOfAPartitionedHome(t *testing.T) {
	for others := 100 * ms; others < 260*ms; others += 20 * ms {
		for delay := 620 * ms; delay < 800*ms; delay += 8 * ms {
			s := newReplacement(lateCall{1, delay})
			s.after(8*ms, func() {
				a := s.agents[0]
				s.entries[0].links[a.name].partitionedUntil = s.now + replacedSpan
				a.start()
			})
			for i := range 2 {
				s.after(others, func() { s.submitAt(s.entries[1], fmt.Sprintf("other%d", i)) })
			}
			s.play(guardReady + replacedSpan)
			if s.violation != "" {
				t.Fatalf("start late by %v, jobs of another home after %v: %s", delay, others, s.violation)
			}
		}
	}
}
