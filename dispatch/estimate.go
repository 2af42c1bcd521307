package dispatch

import (
	"math"
	"time"
)

const (
	estimateWeight = 0.02 // of one run in the moving averages of a route: about the last fifty count, some of them of one job
	estimateMin    = 0.3
	estimateMax    = 4.0
	firstSpread    = 0.4 // spread of run times that is assumed before any is observed
)

// estimate corrects a route's declared run times by the run times observed. The factor is
// that of their sums, so that the work of many tasks is expected right: a mean of
// ratios is too large if declared run times are off both ways.
type estimate struct {
	factor           float64
	declared, actual float64 // moving averages, in seconds
	spread           float64 // mean difference of a run time from the expected one, as a share of that
}

func (s *Scheduler) estimateOf(route string) *estimate {
	e := s.estimates[route]
	if e == nil {
		e = &estimate{factor: 1, spread: firstSpread}
		s.estimates[route] = e
	}
	return e
}

func (e *estimate) apply(t Time) Time { return time.Duration(float64(t) * e.factor) }

// observe updates the estimate with a task's declared and actual run time.
func (e *estimate) observe(declared, actual Time) {
	if declared <= 0 {
		return
	}
	ratio := min(max(float64(actual)/float64(declared), estimateMin), estimateMax)
	e.spread += estimateWeight * (math.Abs(ratio/e.factor-1) - e.spread)
	if e.declared == 0 {
		e.declared, e.actual = declared.Seconds(), declared.Seconds()
	}
	e.declared += estimateWeight * (declared.Seconds() - e.declared)
	e.actual += estimateWeight * (ratio*declared.Seconds() - e.actual)
	e.factor = e.actual / e.declared
}
