package client

import (
	"errors"
	"net/http"

	"bergamotwing.example/client/api"
	"bergamotwing.example/result"
)

// step is what a submission does after an attempt.
type step int

const (
	finish     step = iota // return the error of the classification
	sameTicket             // retry under the same ticket
	newTicket              // retry under a new ticket
)

// classification is what the response to one attempt means for a job.
type classification struct {
	step           step
	err            error  // returned if there is no retry; nil when the job is complete
	reason         string // of a retry, for the counters
	outcomeUnknown bool   // the outcome of the attempt is unknown
}

// errMismatch is the error of an answer that cannot belong to the request.
var errMismatch = errors.New("the answer does not match the request")

// provesNotRun reports whether a refusal is proof that nothing ran under the
// ticket and nothing will: a refused submission consumes its ticket, and the
// refusal names it. A refusal that names no ticket applies to a single request and
// proves nothing about an earlier attempt whose answer was lost. NotFound proves
// nothing, since looking up a job consumes no ticket.
func provesNotRun(ticket string, a *api.Answer) bool {
	return a.Ticket == ticket && a.Code != result.NotFound && result.Lookup(a.Code).Ran == result.RanNo
}

// notRetried holds the codes that allow a new ticket but that an immediate retry
// would get again.
var notRetried = map[result.Code]bool{
	result.DeadlineUnmet:    true,
	result.CancelledNotRun:  true,
	result.ServiceWithdrawn: true,
	result.UnknownService:   true,
	result.UnknownTeam:      true,
}

// classifyNoAnswer classifies an attempt without a usable answer. uncertain says that
// an earlier attempt under the ticket has an unknown outcome.
func classifyNoAnswer(ticket string, err error, uncertain bool) classification {
	var ce *callError
	sent := !errors.As(err, &ce) || ce.sent
	if sent || uncertain {
		class := classification{step: sameTicket, err: unknown(ticket, err), reason: ReasonLostAnswer, outcomeUnknown: sent}
		if !sent {
			class.reason = ReasonNotConnected
		}
		return class
	}
	refused := result.Errorf(result.PeerUnreachable, "no entry could be reached")
	return classification{step: newTicket, err: &NotRunError{Ticket: ticket, Err: refused, Cause: err}, reason: ReasonNotConnected}
}

// classifyAnswer classifies an answer to a job of the given number of tasks.
func classifyAnswer(ticket string, a *api.Answer, status, tasks int, uncertain bool) classification {
	if mismatched(ticket, a, status, tasks) {
		return classifyNoAnswer(ticket, &callError{sent: true, err: errMismatch}, uncertain)
	}
	info := result.Lookup(a.Code)
	coded := &result.Error{Code: a.Code, Detail: a.Detail}
	switch {
	case a.Code == result.OK:
		return classification{step: finish}
	case a.Code == result.OutcomeUnknown:
		return classification{step: sameTicket, err: unknown(ticket, coded), reason: info.Name, outcomeUnknown: true}
	case info.Sentence == "": // a code this client does not know
		return classification{step: finish, err: unknown(ticket, coded)}
	case info.Ran != result.RanNo:
		return classification{step: finish, err: &FailedError{Ticket: ticket, Err: coded}}
	case uncertain && !provesNotRun(ticket, a):
		return classifyUncertainRefusal(ticket, info, coded)
	}
	return classification{step: stepAfterRefusal(info), err: &NotRunError{Ticket: ticket, Err: coded}, reason: info.Name}
}

func classifyUncertainRefusal(ticket string, info result.Info, coded *result.Error) classification {
	class := classification{step: sameTicket, err: unknown(ticket, coded), reason: info.Name}
	if info.Resubmit == result.ResubmitNever {
		class.step = finish
	}
	return class
}

func stepAfterRefusal(info result.Info) step {
	switch {
	case info.Resubmit == result.ResubmitSameTicket:
		return sameTicket
	case info.Resubmit == result.ResubmitNewTicket && !notRetried[info.Code]:
		return newTicket
	}
	return finish
}

// mismatched reports whether an answer belongs to another request or is incomplete.
func mismatched(ticket string, a *api.Answer, status, tasks int) bool {
	if a.Ticket != "" && a.Ticket != ticket {
		return true
	}
	if a.Code != result.OK {
		return status == http.StatusOK
	}
	return status != http.StatusOK || a.Running || len(a.Results) != tasks
}

func unknown(ticket string, cause error) *UnknownError {
	return &UnknownError{
		Ticket: ticket,
		Err:    result.Errorf(result.OutcomeUnknown, "the answer did not arrive or proves nothing"),
		Cause:  cause,
	}
}
