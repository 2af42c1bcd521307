package dispatch

import (
	"fmt"
	"math"
	"time"
)

// Tasks at one endpoint share more than its capacity counts, and some kinds slow
// others down. The kind of a task is its route. Which kinds do so is seen from the
// run times: docs/design/interference.md.

// InterferenceMode says what a scheduler does about tasks that slow each other down.
type InterferenceMode string

// Modes of a scheduler.
const (
	InterferenceOff       InterferenceMode = "off"
	InterferenceNotice    InterferenceMode = "notice"     // logs which kinds do so
	InterferenceKeepApart InterferenceMode = "keep-apart" // and places them apart where there is room
)

const (
	maxKinds = 8 // told apart; further routes share the last one
	// windowLength is the shortest length of a window: a burst, or the time in which
	// an endpoint turns slow, falls into a few.
	windowLength = time.Second
	// windowRuns is how many runs a window needs more than the endpoints at which
	// they ran, so that each of at most nine terms rests on several.
	windowRuns = 64
	// windowLimit is the length at which a window with too few runs is dropped.
	windowLimit = 30 * time.Second
	// maxRunTimeRatio bounds the influence of one run: beyond the errors of declared
	// times and the slowdowns to be noticed.
	maxRunTimeRatio = 8.0
	// maxSlowdown bounds the effect on the choice: less than endpoints slowed by
	// faults reach.
	maxSlowdown = 4.0
)

// kindSet holds a number for each kind.
type kindSet [maxKinds]float64

// neighbours is what was at an endpoint when a run was ordered there.
type neighbours struct {
	kind  int
	share kindSet // of the endpoint's processors that each kind had
}

// interference is what a scheduler knows of the kinds that slow each other down. A
// nil interference knows and does nothing.
type interference struct {
	mode    InterferenceMode
	kinds   map[string]int // by route
	names   [maxKinds]string
	typical kindSet // share of an endpoint's processors that a task of each kind needs
	windows [maxKinds]*interferenceWindow
	pairs   [maxKinds][maxKinds]interferencePair // by the kind that is slowed and the one that slows it

	stats InterferenceStats
}

// InterferenceStats counts what a scheduler has done about tasks that slow each other
// down.
type InterferenceStats struct {
	Pairs  int   // of kinds, ordered, that are noticed now
	Apart  int64 // runs of noticed kinds that were ordered where none of their pairs ran
	Beside int64 // and where one did, for want of room elsewhere or of a sooner end
}

// Add returns the sum.
func (a InterferenceStats) Add(b InterferenceStats) InterferenceStats {
	return InterferenceStats{a.Pairs + b.Pairs, a.Apart + b.Apart, a.Beside + b.Beside}
}

// SetInterference sets what the scheduler does about tasks that slow each other
// down. It forgets what it has noticed.
func (s *Scheduler) SetInterference(mode InterferenceMode) {
	s.interference = nil
	if mode == InterferenceNotice || mode == InterferenceKeepApart {
		s.interference = &interference{mode: mode, kinds: map[string]int{}}
	}
}

// InterferenceStats returns the scheduler's counts.
func (s *Scheduler) InterferenceStats() InterferenceStats {
	if s.interference == nil {
		return InterferenceStats{}
	}
	return s.interference.stats
}

func (in *interference) kindOf(route string) int {
	kind, ok := in.kinds[route]
	if !ok {
		kind = len(in.kinds)
		if kind >= maxKinds {
			return maxKinds - 1
		}
		in.kinds[route] = kind
		in.names[kind] = route
	}
	return kind
}

// neighboursAt returns what is at an endpoint for a run of a route that is ordered
// there now. Runs that come later are left out: a run that takes long for another
// reason sees more of them.
func (in *interference) neighboursAt(e *endpoint, route string) *neighbours {
	if in == nil {
		return nil
	}
	n := &neighbours{kind: in.kindOf(route)}
	perMilli := 1 / float64(max(e.status.Capacity.CPUMilli, 1))
	for _, r := range e.runs {
		if r.neighbours != nil {
			n.share[r.neighbours.kind] += float64(r.need.CPUMilli) * perMilli
		}
	}
	in.countPlace(n)
	return n
}

// countPlace counts a run whose kind is in a noticed pair.
func (in *interference) countPlace(n *neighbours) {
	if in.stats.Pairs == 0 {
		return
	}
	concerned, beside := false, false
	for other := range maxKinds {
		if in.pairs[n.kind][other].noticed || in.pairs[other][n.kind].noticed {
			concerned = true
			beside = beside || n.share[other] > 0
		}
	}
	switch {
	case beside:
		in.stats.Beside++
	case concerned:
		in.stats.Apart++
	}
}

// slowdown returns the factor by which a task of a route is expected to end later at
// an endpoint because of what runs there, with the time that those runs lose. It
// is 1 unless kinds there are noticed, and orders endpoints with room only.
func (in *interference) slowdown(now Time, e *endpoint, route string, need Resources, expected Time) float64 {
	if in == nil || in.mode != InterferenceKeepApart || in.stats.Pairs == 0 || len(e.runs) == 0 {
		return 1
	}
	kind := in.kindOf(route)
	perMilli := 1 / float64(max(e.status.Capacity.CPUMilli, 1))
	own, lost := 0.0, 0.0
	for _, r := range e.runs {
		if r.neighbours == nil {
			continue
		}
		if p := &in.pairs[kind][r.neighbours.kind]; p.noticed {
			own += p.mean() * float64(r.need.CPUMilli) * perMilli
		}
		if p := &in.pairs[r.neighbours.kind][kind]; p.noticed {
			left := max(r.ordered+r.expected-now, 0)
			lost += float64(left) * (math.Exp(p.mean()*float64(need.CPUMilli)*perMilli) - 1)
		}
	}
	return min(math.Exp(own)+lost/float64(max(expected, time.Millisecond)), maxSlowdown)
}

// recordInterference adds the run time of a run that is done to the window of its
// kind, and judges the kind's pairs when the window is over.
func (s *Scheduler) recordInterference(now Time, r *run, age Time) {
	in, st := s.interference, &r.job.sub.Job.Steps[r.task.step]
	if in == nil || r.neighbours == nil || age <= 0 || st.Estimate <= 0 {
		return
	}
	kind := r.neighbours.kind
	in.typical[kind] += estimateWeight * (float64(r.need.CPUMilli)/float64(max(r.endpoint.status.Capacity.CPUMilli, 1)) - in.typical[kind])
	w := in.windows[kind]
	if w == nil || now-w.opened > windowLimit {
		w = &interferenceWindow{opened: now, sums: map[*endpoint]*regressionSums{}}
		in.windows[kind] = w
	}
	remote := s.penalty(st, r.endpoint) / r.endpoint.slowness() // the speed of endpoints is left to the window
	ratio := float64(age) / float64(st.Estimate) / remote
	w.add(r.endpoint, &r.neighbours.share, math.Log(min(max(ratio, 1/maxRunTimeRatio), maxRunTimeRatio)))
	if now-w.opened < windowLength || w.runs < windowRuns+len(w.sums) {
		return
	}
	in.windows[kind] = nil
	for neighbour, contrast := range w.contrasts(len(in.kinds)) {
		p := &in.pairs[kind][neighbour]
		p.add(contrast, in.typical[neighbour])
		if !p.judge() {
			continue
		}
		event := "interference_forgotten"
		in.stats.Pairs--
		if p.noticed {
			event = "interference_noticed"
			in.stats.Pairs += 2
		}
		s.emit(SchedulerAction{Kind: LogDecision, Event: event, Reason: fmt.Sprintf(
			"%s slows %s at the same endpoint by a factor of %.2f; standard error of its logarithm %.3f, %.1f windows",
			in.names[neighbour], in.names[kind], math.Exp(p.effect()), p.standardError(), p.windows)})
	}
}
