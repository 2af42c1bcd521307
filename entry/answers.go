package entry

import (
	"encoding/json"
	"errors"
	"net/http"

	"bergamotwing.example/client/api"
	"bergamotwing.example/ledger"
	"bergamotwing.example/result"
)

// refuse answers with an error's code before any job was opened.
func (e *Entry) refuse(w http.ResponseWriter, err error) {
	a := errorAnswer("", err)
	e.metrics.Refused(a.Code)
	e.answer(w, a)
}

func (e *Entry) answer(w http.ResponseWriter, a api.Answer) {
	status := result.Lookup(a.Code).HTTPStatus
	if a.Running {
		status = http.StatusAccepted
	}
	writeJSON(w, status, a)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// errorAnswer answers with an error's code. A refusal that names the ticket is
// final for the ticket: callers take it as proof that nothing ran under the
// ticket and nothing will. A refusal of one request alone leaves the ticket
// empty.
func errorAnswer(ticket string, err error) api.Answer {
	var coded *result.Error
	if !errors.As(err, &coded) {
		coded = result.Errorf(result.BadRequest, "%v", err)
	}
	return api.Answer{Code: coded.Code, Name: coded.Code.String(), Detail: coded.Detail, Ticket: ticket}
}

func outcomeAnswer(ticket string, o *ledger.Outcome) api.Answer {
	return api.Answer{
		Code: o.Code, Name: o.Code.String(), Detail: o.Detail, Ticket: ticket,
		Started: o.Started, Tasks: o.Tasks, Results: o.Results,
	}
}

func runningAnswer(ticket string) api.Answer {
	return api.Answer{Code: result.OK, Name: result.OK.String(), Ticket: ticket, Running: true}
}
