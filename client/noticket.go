package client

import (
	"errors"

	"bergamotwing.example/result"
)

// noTicket judges a try that ended before it had a ticket, so that nothing was
// submitted.
func noTicket(err error) verdict {
	var refused *result.Error
	if errors.As(err, &refused) {
		v := verdict{step: finish, err: &NotRunError{Err: refused}, reason: refused.Code.String()}
		if retryable(err) {
			v.step = newTicket
		}
		return v
	}
	refused = result.Errorf(result.PeerUnreachable, "no ticket could be had")
	v := verdict{step: newTicket, err: &NotRunError{Err: refused, Cause: err}, reason: ReasonNotConnected}
	if lostCall(err) == nil { // the wait ended, by the caller or at the deadline
		refused.Code, refused.Detail = result.DeadlineUnmet, "no ticket came in time"
	}
	return v
}

// retryable reports whether a request for tickets may go better at another entry.
func retryable(err error) bool {
	var refused *result.Error
	if !errors.As(err, &refused) {
		return true
	}
	return result.Lookup(refused.Code).Resubmit != result.ResubmitNever && !returned[refused.Code]
}

// lostCall returns err if it is a call without an answer.
func lostCall(err error) error {
	var lost *callError
	if errors.As(err, &lost) {
		return err
	}
	return nil
}
