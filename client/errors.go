package client

import "bergamotwing.example/result"

// NotRunError says that no task of the job started and none will.
type NotRunError struct {
	Ticket string // the last ticket tried, if any
	Err    *result.Error
	Cause  error // transport or context error behind Err, if any
}

// FailedError says that the job failed as a whole; some of its tasks may have run.
type FailedError struct {
	Ticket string
	Err    *result.Error
}

// UnknownError says that the outcome is unknown. The same job may be submitted
// again under Ticket, and only under it, until the ticket expires.
type UnknownError struct {
	Ticket string
	Err    *result.Error // code OutcomeUnknown
	Cause  error         // error of the last attempt
}

// Error returns the code and its detail.
func (e *NotRunError) Error() string { return "not run: " + e.Err.Error() }

// Unwrap returns the result error and the cause.
func (e *NotRunError) Unwrap() []error { return unwrapped(e.Err, e.Cause) }

// Error returns the code and its detail.
func (e *FailedError) Error() string { return "failed: " + e.Err.Error() }

// Unwrap returns the result error.
func (e *FailedError) Unwrap() error { return e.Err }

// Error returns the code, its detail and the cause.
func (e *UnknownError) Error() string {
	if e.Cause == nil {
		return e.Err.Error()
	}
	return e.Err.Error() + ": " + e.Cause.Error()
}

// Unwrap returns the result error and the cause.
func (e *UnknownError) Unwrap() []error { return unwrapped(e.Err, e.Cause) }

func unwrapped(err *result.Error, cause error) []error {
	if cause == nil {
		return []error{err}
	}
	return []error{err, cause}
}
