package dispatch

// Limits of patience.
const (
	spareRise   = 0.1  // weight of a longer spare time than usual
	spareFall   = 0.03 // weight of a shorter one: those sent again are no measure
	resendShare = 0.7  // of the time after which clients send again, that a client's wait has to be shorter than usual
	spreadShare = 2.5  // times the usual error of the time in which an answer is of use, likewise
	// lossesResends is for how many resend times after its start a scheduler
	// reckons with jobs that were submitted to processes that are lost.
	lossesResends = 3
)

// patience tells how long ago a client first submitted a job that it sends
// again, after a loss of the processes that had it. A client that sends a job
// again waits only for the rest of its time, while new ones on the same route
// wait for about as long as each other beyond the time in which an answer is of
// use to them.
type patience struct {
	spare Time // usual wait of a new client beyond that time
	known bool
}

// waitedBefore returns how long a client is taken to have waited, by the wait
// that it has left, the time in which an answer is of use and the usual error of
// that time; 0 for a new one.
func (p *patience) waitedBefore(wait, useful, usefulError, resendAfter Time) Time {
	spare := wait - useful
	if !p.known {
		p.known = true
		p.spare = spare
		return 0
	}
	shorter := p.spare - spare
	if shorter > 0 {
		p.spare -= Time(spareFall * float64(shorter))
	} else {
		p.spare -= Time(spareRise * float64(shorter))
	}
	if float64(shorter) < max(resendShare*float64(resendAfter), spreadShare*float64(usefulError)) {
		return 0
	}
	return max(shorter, resendAfter)
}

// firstSubmitted returns when the client of a job that arrives now first
// submitted it: as this scheduler remembers or, for a while after its start, as
// the client's wait tells, since the processes that knew may be lost.
func (s *Scheduler) firstSubmitted(now Time, j *job) Time {
	if r, known := s.recent[j.sub.Job.ID]; known {
		return r.submitted
	}
	route := j.sub.Route
	work := route.Stretch * float64(j.chain)
	usefulError := Time(lateFactor * work * s.estimateOf(route.Name).spread)
	waited := s.patienceOf(route.Name).waitedBefore(j.sub.Deadline-now, j.lateBy-now, usefulError, s.timing.ResendAfter)
	if now > s.started+lossesResends*s.timing.ResendAfter {
		return now
	}
	return now - waited
}

func (s *Scheduler) patienceOf(route string) *patience {
	p := s.patience[route]
	if p == nil {
		p = &patience{}
		s.patience[route] = p
	}
	return p
}
