package dispatch

import "time"

const (
	// minRetryAfter is the shortest time after which a refused client may retry.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest: a burst is over by then, and the wait that is
	// predicted says little about later times.
	maxRetryAfter = 10 * time.Second
	// minReturnShare of the jobs that a route offers usually may return beside them
	// also if no room is expected to be left, and maxReturnShare if much is.
	minReturnShare = 0.1
	maxReturnShare = 1.0
)

// returnAfter returns when a refused client may retry: after the wait that is predicted,
// and after those of its route that were refused before, at the rate at which
// the room that is left over takes them.
func (s *Scheduler) returnAfter(now Time, j *job, wait Time) Time {
	l := s.loadOf(j.sub.Route.Name)
	l.promised = nextReturn(now, wait, l.promised, l.jobs.perSecond(now)*s.returnShare())
	return l.promised - now
}

// returnShare is the part of the usual work that may arrive in addition.
func (s *Scheduler) returnShare() float64 {
	usual := 0.0
	for _, l := range s.loads {
		usual += l.usual
	}
	if usual <= 0 {
		return maxReturnShare
	}
	return min(max((float64(s.room())-usual)/usual, minReturnShare), maxReturnShare)
}

// nextReturn returns the time that follows the last promised one at a rate, between the
// wait that is predicted and maxRetryAfter. Once that is reached, returns begin at the
// wait again: those refused together stay spread over the whole time.
func nextReturn(now, wait, last Time, perSecond float64) Time {
	earliest := now + min(max(wait, minRetryAfter), maxRetryAfter)
	if last < earliest || perSecond <= 0 {
		return earliest
	}
	next := last + Time(float64(time.Second)/perSecond)
	if next > now+maxRetryAfter {
		return earliest
	}
	return next
}
