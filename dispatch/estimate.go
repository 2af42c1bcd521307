package dispatch

import (
	"math"
	"time"
)

const (
	estimateWeight = 0.05 // of one run in the moving average of a route
	workWeight     = 0.02 // of one run in the averages for the work of many tasks: about the last fifty count
	estimateMin    = 0.3
	estimateMax    = 4.0
	firstSpread    = 0.4 // spread of run times that is assumed before any is observed
)

// estimate corrects a route's declared run times by the run times observed.
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

// applyToWork returns the expected run time as part of the work of many tasks. It goes by the
// ratio of sums: a mean of ratios is too large if declared run times are off both ways.
func (e *estimate) applyToWork(t Time) Time {
	if e.declared == 0 {
		return t
	}
	return time.Duration(float64(t) * e.actual / e.declared)
}

// observe updates the estimate with a task's declared and actual run time.
func (e *estimate) observe(declared, actual Time) {
	if declared <= 0 {
		return
	}
	ratio := min(max(float64(actual)/float64(declared), estimateMin), estimateMax)
	e.spread += estimateWeight * (math.Abs(ratio/e.factor-1) - e.spread)
	e.factor += estimateWeight * (ratio - e.factor)
	if e.declared == 0 {
		e.declared, e.actual = declared.Seconds(), declared.Seconds()
	}
	e.declared += workWeight * (declared.Seconds() - e.declared)
	e.actual += workWeight * (ratio*declared.Seconds() - e.actual)
}
