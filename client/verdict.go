package client

import (
	"errors"
	"net/http"

	"bergamotwing.example/client/api"
	"bergamotwing.example/result"
)

// step is what a submission does after a try.
type step int

const (
	finish     step = iota // return the error of the verdict
	sameTicket             // try again under the same ticket
	newTicket              // try again under a new ticket
)

// verdict is what one try says about a job.
type verdict struct {
	step   step
	err    error  // what to return if the job is not tried again; nil when it is complete
	reason string // of a retry, for the counters
	lost   bool   // the try has an unknown fate
}

// errMismatch is an answer that cannot be the answer to the request.
var errMismatch = errors.New("the answer does not match the request")

// settles reports whether a refusal is proof that nothing ran under the ticket
// and nothing will: a refused submission consumes its ticket, and the refusal
// names it. One that names no ticket speaks for a single request and proves
// nothing about an earlier try whose answer was lost. NotFound settles nothing,
// since asking for a job consumes no ticket.
func settles(ticket string, a *api.Answer) bool {
	return a.Ticket == ticket && a.Code != result.NotFound && result.Lookup(a.Code).Ran == result.RanNo
}

// returned holds the codes that allow a new ticket but that another try at once
// would meet again.
var returned = map[result.Code]bool{
	result.DeadlineUnmet:    true,
	result.CancelledNotRun:  true,
	result.ServiceWithdrawn: true,
	result.UnknownService:   true,
	result.UnknownTeam:      true,
}

// judgeLost judges a try without a usable answer. uncertain says that an
// earlier try under the ticket has an unknown fate.
func judgeLost(ticket string, err error, uncertain bool) verdict {
	var ce *callError
	sent := !errors.As(err, &ce) || ce.sent
	if sent || uncertain {
		v := verdict{step: sameTicket, err: unknown(ticket, err), reason: ReasonLostAnswer, lost: sent}
		if !sent {
			v.reason = ReasonNotConnected
		}
		return v
	}
	refused := result.Errorf(result.PeerUnreachable, "no entry could be reached")
	return verdict{step: newTicket, err: &NotRunError{Ticket: ticket, Err: refused, Cause: err}, reason: ReasonNotConnected}
}

// judgeAnswer judges an answer to a job of the given number of tasks.
func judgeAnswer(ticket string, a *api.Answer, status, tasks int, uncertain bool) verdict {
	if mismatched(ticket, a, status, tasks) {
		return judgeLost(ticket, &callError{sent: true, err: errMismatch}, uncertain)
	}
	info := result.Lookup(a.Code)
	coded := &result.Error{Code: a.Code, Detail: a.Detail}
	switch {
	case a.Code == result.OK:
		return verdict{step: finish}
	case a.Code == result.OutcomeUnknown:
		return verdict{step: sameTicket, err: unknown(ticket, coded), reason: info.Name, lost: true}
	case info.Sentence == "": // a code this client does not know
		return verdict{step: finish, err: unknown(ticket, coded)}
	case info.Ran != result.RanNo:
		return verdict{step: finish, err: &FailedError{Ticket: ticket, Err: coded}}
	case uncertain && !settles(ticket, a):
		return judgeUncertainRefusal(ticket, info, coded)
	}
	return verdict{step: stepAfterRefusal(info), err: &NotRunError{Ticket: ticket, Err: coded}, reason: info.Name}
}

func judgeUncertainRefusal(ticket string, info result.Info, coded *result.Error) verdict {
	v := verdict{step: sameTicket, err: unknown(ticket, coded), reason: info.Name}
	if info.Resubmit == result.ResubmitNever {
		v.step = finish
	}
	return v
}

func stepAfterRefusal(info result.Info) step {
	switch {
	case info.Resubmit == result.ResubmitSameTicket:
		return sameTicket
	case info.Resubmit == result.ResubmitNewTicket && !returned[info.Code]:
		return newTicket
	}
	return finish
}

// mismatched reports an answer that belongs to another request or is not whole.
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
