package client

import (
	"errors"

	"bergamotwing.example/result"
)

// classifyNoTicket classifies an attempt that ended without a ticket, so that
// nothing was submitted.
func classifyNoTicket(err error) classification {
	var refused *result.Error
	if errors.As(err, &refused) {
		class := classification{step: finish, err: &NotRunError{Err: refused}, reason: refused.Code.String()}
		if retryable(err) {
			class.step = newTicket
		}
		return class
	}
	refused = result.Errorf(result.PeerUnreachable, "no ticket could be had")
	class := classification{step: newTicket, err: &NotRunError{Err: refused, Cause: err}, reason: ReasonNotConnected}
	if lostCall(err) == nil { // the wait ended, by the caller or at the deadline
		refused.Code, refused.Detail = result.DeadlineUnmet, "no ticket came in time"
	}
	return class
}

// retryable reports whether a request for tickets may succeed at another entry.
func retryable(err error) bool {
	var refused *result.Error
	if !errors.As(err, &refused) {
		return true
	}
	return result.Lookup(refused.Code).Resubmit != result.ResubmitNever && !notRetried[refused.Code]
}

// lostCall returns err if it is that of a call without an answer, otherwise nil.
func lostCall(err error) error {
	var lost *callError
	if errors.As(err, &lost) {
		return err
	}
	return nil
}
