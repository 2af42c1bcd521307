package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// The search plays one job through every combination of a change of the home, its
// moment, and one call to an endpoint that is carried out late without an answer.
// The client sends the job again at the new home. It checks that no task runs twice
// at the same time and that refusals as not run are true.

// resubmission is when a job comes again, how many agents there are, and how long
// its tasks run.
type resubmission struct {
	agents int
	pause  Time // since the change
	work   Time
}

// resubmissions are the ones that must be safe: at the same endpoint at any time,
// since it refuses older runs; at another after the time that clients wait, in
// which all leases of the old home end.
var resubmissions = []resubmission{{1, ms, shortWork}, {1, ms, longWork}, {2, simResend, shortWork}, {2, simResend, longWork}}

const (
	shortWork = 200 * ms        // ends in time
	longWork  = 4 * time.Second // goes on beyond every lease unless it is stopped
)

// homeChange is what happens to the entry that has the job when the client leaves it.
type homeChange struct {
	name string
	play func(s *sim, home *simEntry)
}

func homeChanges() []homeChange {
	outages := []Time{300 * ms, 1200 * ms, 3000 * ms}
	changes := make([]homeChange, 0, 2+2*len(outages))
	changes = append(changes,
		homeChange{"home unhurt", func(*sim, *simEntry) {}},
		homeChange{"home killed", func(_ *sim, home *simEntry) { home.boot() }})
	for _, lasts := range outages {
		changes = append(changes,
			homeChange{fmt.Sprintf("home frozen for %v", lasts), func(_ *sim, home *simEntry) { home.freeze(lasts) }},
			homeChange{fmt.Sprintf("home cut from an agent for %v", lasts), func(s *sim, home *simEntry) {
				home.links[s.agents[0].name].cutTill = s.now + lasts
			}})
	}
	return changes
}

const (
	exploredJob   = "j"
	exploredSpan  = 8 * time.Second // after which every lease and late call is over
	exploredCalls = 10              // calls from the submission on, each of which is late once
	// settled is when the agent's guard takes orders.
	settled = 10*time.Second + 600*ms
)

// lateCall is a call that is carried out late; call 0 stands for none.
type lateCall struct {
	call  int
	delay Time
}

func lateCalls() []lateCall {
	calls := []lateCall{{}}
	for call := 1; call <= exploredCalls; call++ {
		// Just after the call's limit, while a second run may go on, within a
		// lease, after it, after two.
		for _, delay := range []Time{simCallTime + 5*ms, 150 * ms, 600 * ms, 1200 * ms, 2500 * ms} {
			calls = append(calls, lateCall{call, delay})
		}
	}
	return calls
}

// moments of a change after the submission: dense while messages are on the way.
func moments() []Time {
	var at []Time
	for t := Time(0); t < 20*ms; t += 4 * ms {
		at = append(at, t)
	}
	for t := 20 * ms; t <= 350*ms; t += 60 * ms {
		at = append(at, t)
	}
	return at
}

// explore plays one combination and returns the simulation at its end.
func explore(change homeChange, at Time, again resubmission, late lateCall) *sim {
	s := newSim(1, again.agents)
	s.work = again.work
	s.fates = func() callFate { return callFate{delay: ms} }
	s.play(settled)
	calls := 0
	s.fates = func() callFate {
		if calls++; calls == late.call {
			return callFate{delay: late.delay, lost: true}
		}
		return callFate{delay: ms}
	}
	home, next := s.entries[0], s.entries[1]
	s.submitAt(home, exploredJob)
	s.after(at, func() {
		if _, waits := s.attempt[exploredJob]; !waits {
			return // answered before
		}
		delete(s.attempt, exploredJob)
		change.play(s, home)
		// A frozen home learns that the client has left when it thaws.
		home.run(home.incarnation, func() { home.sched.Cancel(s.now, exploredJob, simClient) })
		s.after(again.pause, func() { s.submitAt(next, exploredJob) })
	})
	s.play(settled + exploredSpan)
	return s
}

func TestNoInterleavingOfAHomeChangeAndALateCallRunsATaskTwice(t *testing.T) {
	for _, change := range homeChanges() {
		t.Run(change.name, func(t *testing.T) {
			t.Parallel()
			played := 0
			for _, at := range moments() {
				for _, again := range resubmissions {
					for _, late := range lateCalls() {
						played++
						s := explore(change, at, again, late)
						if s.problem != "" {
							t.Fatalf("%d agents, change after %v, sent again after %v, call %d late by %v: %s", again.agents, at, again.pause, late.call, late.delay, s.problem)
						}
						if _, waits := s.attempt[exploredJob]; waits && again.work == shortWork {
							t.Fatalf("%d agents, change after %v, sent again after %v, call %d late by %v: no answer", again.agents, at, again.pause, late.call, late.delay)
						}
					}
				}
			}
			t.Logf("%d combinations", played)
		})
	}
}
