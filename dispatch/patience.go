package dispatch

// Parameters of slack estimates.
const (
	slackRise   = 0.1  // weight of a slack above the usual one
	slackFall   = 0.03 // weight of one below it; lower, since resubmitted jobs do not show the usual slack
	resendShare = 0.7  // of the time after which clients resend, by which a slack has to be below the usual one to be that of a resubmitted job
	spreadShare = 2.5  // times the usual error of the time in which an answer is of use, likewise
	// lossWindowResends is for how many resend times after its start a scheduler
	// expects jobs that were first submitted to processes that are lost.
	lossWindowResends = 3
)

// slackEstimate is the usual slack of a route's clients: how long a client waits
// beyond the time in which an answer is of use to it. It serves to estimate how
// long ago a client first submitted a job that it resubmits after a loss of the
// processes that had it: such a client waits only for the rest of its time,
// while new clients on the same route have about the same slack.
type slackEstimate struct {
	usual Time // slack of a new client
	known bool
}

// waitedBefore returns how long a client is assumed to have waited already,
// given the wait that it has left, the time in which an answer is of use and the
// usual error of that time. It returns 0 for a new client.
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
	if float64(shorter) < max(resendShare*float64(resendAfter), spreadShare*float64(usefulError)) {
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
