// Package result holds the numbered result codes that every process of a
// deployment answers with, and the error type that carries one.
//
// A code states whether the work may have run, whether it may be submitted again,
// and under which ticket. The package does no transport, logging or counting.
package result

import "fmt"

// Code is a numbered result. Numbers are never reused.
type Code int

// Result codes. Success is 0; 1xx are bad requests, 2xx are refusals where
// nothing ran, 3xx are failures where something may have run, 4xx concern
// release notes and operators, 5xx are refusals between processes.
const (
	OK Code = 0

	BadRequest       Code = 100
	BodyTooLarge     Code = 101
	TooManyTasks     Code = 102
	PayloadTooLarge  Code = 103
	BadTicket        Code = 104
	TicketExpired    Code = 105
	TicketReused     Code = 106
	UnknownService   Code = 107
	UnknownTeam      Code = 108
	BadDeadline      Code = 109
	SlowRequest      Code = 110
	NotFound         Code = 111
	BadSettings      Code = 112
	MethodNotAllowed Code = 113

	Overloaded       Code = 200
	QuotaExceeded    Code = 201
	NeverFits        Code = 202
	DeadlineUnmet    Code = 203
	Stopping         Code = 204
	TooManyOpenJobs  Code = 205
	NoVersion        Code = 206
	SettledNotRun    Code = 207
	CancelledNotRun  Code = 208
	TooManyTickets   Code = 209
	IssuerClosed     Code = 210
	ServiceWithdrawn Code = 211
	Unsupported      Code = 212

	TaskFailed      Code = 300
	DeadlinePassed  Code = 301
	Cancelled       Code = 302
	OutcomeUnknown  Code = 303
	AgentLost       Code = 304
	SettledFailed   Code = 305
	EndpointTimeout Code = 306
	ResultTooLarge  Code = 307

	NoteConflict     Code = 400
	NoteInvalid      Code = 401
	StoreUnavailable Code = 402
	HeldNotDurable   Code = 403
	Unauthorized     Code = 404
	NoteUnconfirmed  Code = 405
	NoteReused       Code = 406

	StaleCredit         Code = 500
	PermissionLapsed    Code = 501
	ZoneOut             Code = 502
	EndpointLeaving     Code = 503
	TicketFenced        Code = 504
	AlreadyStarted      Code = 505
	NotRegistered       Code = 506
	EndpointUnreachable Code = 507
	StartTooLate        Code = 508
	NotIssuer           Code = 509
	PeerUnreachable     Code = 510
	BadMessage          Code = 511
	EndpointBusy        Code = 512
)

// Ran states whether the work that a code answers may have run.
type Ran int

// Values of Ran.
const (
	RanNo    Ran = iota // no task of the job started, and none will
	RanMaybe            // some tasks may have started
	RanYes              // all tasks ran and the answer is complete
)

// Resubmit states whether a caller may submit again after a code, and how.
type Resubmit int

// Values of Resubmit.
const (
	ResubmitNever      Resubmit = iota // the same request fails again
	ResubmitSameTicket                 // the same ticket joins the job or finds its answer
	ResubmitNewTicket                  // nothing ran: a new ticket is safe
)

// Info describes a code.
type Info struct {
	Code       Code
	Name       string // metric label and JSON name, snake case
	HTTPStatus int
	Ran        Ran
	Resubmit   Resubmit
	Sentence   string
}

// Lookup returns the description of c. For an unknown code it has the name code_N,
// status 500 and RanMaybe.
func Lookup(c Code) Info {
	info, ok := byCode[c]
	if !ok {
		return Info{Code: c, Name: fmt.Sprintf("code_%d", int(c)), HTTPStatus: 500, Ran: RanMaybe}
	}
	return info
}

// All returns the descriptions of all codes in ascending order.
func All() []Info { return append([]Info(nil), table...) }

// String returns the code's name.
func (c Code) String() string { return Lookup(c).Name }

// Error is an error with a result code. errors.Is compares it by code only.
type Error struct {
	Code   Code
	Detail string
}

// Errorf returns an *Error with a formatted detail.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the number, the name and the detail.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%d %s", int(e.Code), e.Code)
	}
	return fmt.Sprintf("%d %s: %s", int(e.Code), e.Code, e.Detail)
}

// Is reports whether target is an *Error with the same code.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}
