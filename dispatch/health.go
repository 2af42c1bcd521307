package dispatch

import (
	"math"
	"slices"
	"time"
)

// Limits of an endpoint's health.
const (
	failedWeight     = 0.15                   // of one run in the share that failed: about the last seven count
	failedLimit      = 0.38                   // share of failed runs that ejects; three in a row reach it
	unansweredWeight = 0.1                    // of one order in the share without an answer: about the last ten count
	unansweredLimit  = 0.46                   // share of unanswered orders that ejects; six in a row reach it
	othersFactor     = 2.5                    // times the median share of the other endpoints that a share has to be
	ejectMaxShare    = 0.5                    // of a service's available endpoints, but at least one: the others have to carry the load
	restoredShare    = 0.5                    // of failedLimit that a restored endpoint begins with: two more failures in a row eject it
	halfLife         = 3 * time.Second        // of the shares while nothing is learned; a run a second still ejects
	minSuccess       = 0.1                    // least share of good runs that placement reckons with
	restoreAfter     = 8                      // good probes in a row
	ejectFirst       = 500 * time.Millisecond // pause before the first probe
	ejectMax         = time.Second            // pause before later probes: half of the time in which a recovered endpoint is to be back
)

// health judges an endpoint by how the runs there end. It goes by shares, since
// an endpoint that fails only a part of its tasks has good runs in between.
type health struct {
	failed       float64 // share of recent runs that failed
	unanswered   float64 // share of recent orders without an answer
	ejectedAt    Time    // 0: not ejected
	ejectedUntil Time    // pause before the next probe
	pause        Time
	goodProbes   int // in a row
}

func (h *health) ejected() bool { return h.ejectedAt != 0 }

// runsAllowed returns how many runs may be active at an ejected endpoint. The
// probes double with each good one, so that an endpoint that is well again is
// back in use after three run times.
func (h *health) runsAllowed(now Time) int {
	if now < h.ejectedUntil {
		return 0
	}
	return 1 << h.goodProbes
}

// limits are the shares from which on an endpoint is ejected.
type limits struct {
	failed, unanswered float64
	full               bool // as many endpoints are ejected as may be
}

// ejectionLimits returns the limits of an endpoint by the health of the others:
// what goes wrong everywhere is not one endpoint's fault, and most endpoints of
// a service are never ejected.
func ejectionLimits(others []health) limits {
	failed := make([]float64, 0, len(others))
	unanswered := make([]float64, 0, len(others))
	ejected := 0
	for _, h := range others {
		failed = append(failed, h.failed)
		unanswered = append(unanswered, h.unanswered)
		if h.ejected() {
			ejected++
		}
	}
	return limits{
		failed:     max(failedLimit, othersFactor*lowerMedian(failed)),
		unanswered: max(unansweredLimit, othersFactor*lowerMedian(unanswered)),
		full:       ejected >= max(1, int(ejectMaxShare*float64(len(others)+1))),
	}
}

// lowerMedian returns 0 for no values.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// failedRun counts a run, ordered at a time, that failed for a reason that may
// be the endpoint's. It reports whether the endpoint is ejected.
func (h *health) failedRun(now, ordered Time, l limits) bool {
	h.failed += failedWeight * (1 - h.failed)
	return h.fault(now, ordered, h.failed >= l.failed && !l.full)
}

// unansweredOrder counts an order without an answer, as failedRun does.
func (h *health) unansweredOrder(now, ordered Time, l limits) bool {
	h.unanswered += unansweredWeight * (1 - h.unanswered)
	return h.fault(now, ordered, h.unanswered >= l.unanswered && !l.full)
}

// attempts returns how many runs a task is expected to need at an endpoint
// that is not ejected only because too many others are.
func (h *health) attempts() float64 {
	if h.ejected() || h.failed < failedLimit && h.unanswered < unansweredLimit {
		return 1
	}
	return 1 / max((1-h.failed)*(1-h.unanswered), minSuccess)
}

// fade lets the shares fade with time, so that an endpoint that got no tasks
// because of them is tried again.
func (h *health) fade(elapsed Time) {
	factor := math.Exp2(-float64(elapsed) / float64(halfLife))
	h.failed *= factor
	h.unanswered *= factor
}

// forgive takes a failed run back: its task failed elsewhere too.
func (h *health) forgive() {
	h.failed = max(0, (h.failed-failedWeight)/(1-failedWeight))
}

func (h *health) fault(now, ordered Time, overLimit bool) bool {
	if h.ejected() {
		if ordered >= h.ejectedAt {
			h.goodProbes = 0
			h.pause = min(2*h.pause, ejectMax)
			h.ejectedUntil = now + h.pause
		}
		return false
	}
	if !overLimit {
		return false
	}
	h.ejectedAt = now
	h.pause = ejectFirst
	h.ejectedUntil = now + h.pause
	h.goodProbes = 0
	return true
}

// goodRun counts a run that ended well. Only probes restore an ejected
// endpoint: runs ordered before may be of a kind that it does not fail. It
// reports whether the endpoint is restored.
func (h *health) goodRun(ordered Time) bool {
	h.failed -= failedWeight * h.failed
	h.unanswered -= unansweredWeight * h.unanswered
	if !h.ejected() || ordered < h.ejectedAt {
		return false
	}
	h.goodProbes++
	if h.goodProbes < restoreAfter {
		return false
	}
	h.restore(restoredShare * failedLimit)
	return true
}

// restore ends an ejection; the endpoint begins with a share of failures.
func (h *health) restore(failed float64) {
	h.failed = failed
	h.ejectedAt, h.ejectedUntil = 0, 0
}

// restoreIfNoWorse restores an ejected endpoint if the others have come to be
// as bad. It reports whether it did.
func (h *health) restoreIfNoWorse(l limits) bool {
	othersBad := l.failed > failedLimit || l.unanswered > unansweredLimit
	if !h.ejected() || !othersBad || h.failed >= l.failed || h.unanswered >= l.unanswered {
		return false
	}
	h.restore(min(h.failed, restoredShare*failedLimit))
	return true
}
