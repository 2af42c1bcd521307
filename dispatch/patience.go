package dispatch

// Parameters of slack estimates.
const (
	slackRise = 0.1  // weight of a slack above the usual one
	slackFall = 0.03 // weight of a slack below the usual one; lower, since resubmitted jobs do not show the usual slack
	// A slack counts as that of a resubmitted job if it is below the usual one by
	// at least resendShare of the time after which clients resend, and by at
	// least errorFactor times the usual error of the time in which an answer is
	// of use.
	resendShare = 0.7
	errorFactor = 2.5
	// lossWindowResends is for how many resend times after its start a scheduler
	// expects jobs that were first submitted to processes that are lost.
	lossWindowResends = 3
)

// slackEstimate is the usual slack of a route's clients: how long a client waits
// beyond the time in which an answer is of use to it. It serves to estimate how
// long ago a client first submitted a job that it resubmits after a loss of the
// processes that had it: such a client waits only for the rest of its time,
// while new clients on the same route have about the same slack. job.slack is
// another time: how long a job may wait for its start.
type slackEstimate struct {
	usual Time // slack of a new client
	known bool
}

// waitedBefore returns how long a client is assumed to have waited already,
// given the wait that it has left, the time in which an answer is of use and the
// usual error of that time. It returns 0 for a new client. Each call updates the
// usual slack.
func (e *slackEstimate) waitedBefore(wait, useful, usefulError, resendAfter Time) Time {
	slack := wait - useful
	if !e.known {
		e.known = true
		e.usual = slack
		return 0
	}
	shorter := e.usual - slack
	if shorter > 0 {
		e.usual -= Time(slackFall * float64(shorter))
	} else {
		e.usual -= Time(slackRise * float64(shorter))
	}
	if float64(shorter) < max(resendShare*float64(resendAfter), errorFactor*float64(usefulError)) {
		return 0
	}
	return max(shorter, resendAfter)
}

// firstSubmitted returns when the client of a job that arrives now first
// submitted it. The scheduler has this on record or, for a while after its
// start, infers it from the client's remaining wait, since the processes that
// had it on record may be lost.
func (s *Scheduler) firstSubmitted(now Time, j *job) Time {
	if r, known := s.recent[j.sub.Job.ID]; known {
		return r.submitted
	}
	route := j.sub.Route
	work := route.Stretch * float64(j.criticalPath)
	usefulError := Time(usefulFactor * work * s.estimateOf(route.Name).spread)
	waited := s.slackEstimateOf(route.Name).waitedBefore(j.sub.Deadline-now, j.usefulUntil-now, usefulError, s.timing.ResendAfter)
	if now > s.started+lossWindowResends*s.timing.ResendAfter {
		return now
	}
	return now - waited
}

func (s *Scheduler) slackEstimateOf(route string) *slackEstimate {
	e := s.slackEstimates[route]
	if e == nil {
		e = &slackEstimate{}
		s.slackEstimates[route] = e
	}
	return e
}
