package dispatch

// Limits of patience.
const (
	spareRise   = 0.3  // weight of a longer spare time than usual
	spareFall   = 0.01 // weight of a shorter one: those sent again are no measure
	resendShare = 0.7  // of the time after which clients send again, that a client's wait has to be shorter than usual
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
// that it has left and the time in which an answer is of use; 0 for a new one.
func (p *patience) waitedBefore(wait, useful, resendAfter Time) Time {
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
	if float64(shorter) < resendShare*float64(resendAfter) {
		return 0
	}
	return max(shorter, resendAfter)
}

func (s *Scheduler) patienceOf(route string) *patience {
	p := s.patience[route]
	if p == nil {
		p = &patience{}
		s.patience[route] = p
	}
	return p
}
