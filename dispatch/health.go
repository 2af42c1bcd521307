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
	othersFactor     = 2.5                    // times the median share of the other endpoints that a share has to reach as well
	ejectMaxShare    = 0.5                    // of a service's available endpoints, but at least one: the others have to carry the load
	restoredShare    = 0.5                    // of failedLimit that a restored endpoint begins with: two more failures in a row eject it
	halfLife         = 3 * time.Second        // of the shares while no run ends; one failed run a second still ejects
	minSuccess       = 0.1                    // smallest share of good runs that placement assumes
	restoreAfter     = 8                      // good probes in a row
	ejectFirst       = 500 * time.Millisecond // pause before the first probe
	ejectMax         = time.Second            // longest pause before later probes: half of the time in which a recovered endpoint has to be back in use
)

// health tracks how the runs at an endpoint end. It keeps shares, since an
// endpoint that fails only a part of its tasks has good runs in between.
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
// number of probes doubles with each good one, so that a recovered endpoint is
// back in use after three run times.
func (h *health) runsAllowed(now Time) int {
	if now < h.ejectedUntil {
		return 0
	}
	return 1 << h.goodProbes
}

// healthLimits are the shares at which an endpoint is ejected.
type healthLimits struct {
	failed, unanswered float64
	noMoreEjections    bool // as many endpoints are ejected as allowed
}

// ejectionLimits returns the limits of an endpoint, given the health of the
// others: failures that occur everywhere are not one endpoint's fault, and most
// endpoints of a service are never ejected at the same time.
func ejectionLimits(others []health) healthLimits {
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
	return healthLimits{
		failed:          max(failedLimit, othersFactor*lowerMedian(failed)),
		unanswered:      max(unansweredLimit, othersFactor*lowerMedian(unanswered)),
		noMoreEjections: ejected >= max(1, int(ejectMaxShare*float64(len(others)+1))),
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

// countFailedRun counts a run that failed for a reason that may be the endpoint's
// fault, and reports whether this ejects the endpoint. ordered is when the run
// was ordered.
func (h *health) countFailedRun(now, ordered Time, l healthLimits) bool {
	h.failed += failedWeight * (1 - h.failed)
	return h.ejectOrBackOff(now, ordered, h.failed >= l.failed && !l.noMoreEjections)
}

// countUnanswered counts an order that ended as Unanswered, Unhealthy or
// NotStarted, as countFailedRun counts a failed run.
func (h *health) countUnanswered(now, ordered Time, l healthLimits) bool {
	h.unanswered += unansweredWeight * (1 - h.unanswered)
	return h.ejectOrBackOff(now, ordered, h.unanswered >= l.unanswered && !l.noMoreEjections)
}

// expectedAttempts returns how many runs a task is expected to need. It is more
// than 1 only at an endpoint with a share over its fixed limit that is not ejected,
// because as many others as allowed are ejected or the others are about as bad.
func (h *health) expectedAttempts() float64 {
	if h.ejected() || h.failed < failedLimit && h.unanswered < unansweredLimit {
		return 1
	}
	return 1 / max((1-h.failed)*(1-h.unanswered), minSuccess)
}

// decay reduces the shares with time, so that an endpoint that got no tasks
// because of them is tried again.
func (h *health) decay(elapsed Time) {
	factor := math.Exp2(-float64(elapsed) / float64(halfLife))
	h.failed *= factor
	h.unanswered *= factor
}

// retractFailure takes back the count of a failed run whose task failed at
// another endpoint too.
func (h *health) retractFailure() {
	h.failed = max(0, (h.failed-failedWeight)/(1-failedWeight))
}

// ejectOrBackOff ejects an endpoint that is over its limit, and reports whether
// it did. At an ejected endpoint, a failed probe doubles the pause before the
// next one, up to ejectMax.
func (h *health) ejectOrBackOff(now, ordered Time, overLimit bool) bool {
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

// countGoodRun counts a successful run and reports whether this restores the
// endpoint. Only probes restore an ejected endpoint: runs ordered before the
// ejection may be of a kind that the endpoint does not fail.
func (h *health) countGoodRun(ordered Time) bool {
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

// restore ends an ejection; the endpoint begins with the given share of failed
// runs.
func (h *health) restore(failed float64) {
	h.failed = failed
	h.ejectedAt, h.ejectedUntil = 0, 0
}

// restoreIfNoWorse restores an ejected endpoint if the others have become as
// bad, and reports whether it did.
func (h *health) restoreIfNoWorse(l healthLimits) bool {
	othersBad := l.failed > failedLimit || l.unanswered > unansweredLimit
	if !h.ejected() || !othersBad || h.failed >= l.failed || h.unanswered >= l.unanswered {
		return false
	}
	h.restore(min(h.failed, restoredShare*failedLimit))
	return true
}
