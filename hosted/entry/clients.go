package entry

import (
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/drain"
	"bergamotwing.example/hosted/arrival"
	"bergamotwing.example/hosted/connlimit"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/result"
)

const (
	defaultWait   = 30 * time.Second // of a client that names no deadline
	notReadyRetry = time.Second      // shortest Retry-After of a 503
	noSuchJob     = "no such job"
	// smallBody is the length in bytes of a body that net/http reads to its end although
	// nobody needs it, to keep the connection; most come with the header.
	smallBody = 4 << 10
)

// serveClient answers one request of a client.
func (e *Entry) serveClient(w http.ResponseWriter, r *http.Request) {
	e.closeIfStopping(w)
	operator := e.operator.Load()
	if operator == nil {
		e.refuse(w, "", result.NoVersion, notReadyRetry, "no configuration yet")
		return
	}
	if !e.cancelsKnown.Load() {
		e.refuse(w, "", result.NoVersion, notReadyRetry, "cancelled jobs not known yet")
		return
	}
	route, ok := operator.Config.Match(hostName(r.Host), r.URL.Path)
	if !ok {
		e.deleteOrRefuse(w, r, result.NotFound, "no route for "+r.Host+r.URL.Path)
		return
	}
	req, ok := platform.ParseJobRequest(r, route.Prefix)
	switch {
	case !ok:
		e.deleteOrRefuse(w, r, result.BadRequest, "malformed job id")
	case req.ID == "" && r.Method == http.MethodGet:
		e.serveWaiting(w, r, route)
	case req.ID == "":
		e.refuse(w, "", result.MethodNotAllowed, 0, r.Method)
	case r.Method == http.MethodPost:
		e.serveJob(w, r, req, route, operator)
	case r.Method == http.MethodDelete:
		e.serveDelete(w, r, req.ID)
	case r.Method == http.MethodGet: // of jobs that are answered at their end, no state is kept
		platform.WriteError(w, http.StatusGone, noSuchJob, 0)
	default:
		e.refuse(w, req.ID, result.MethodNotAllowed, 0, r.Method)
	}
}

// closeIfStopping has the client make a new connection for its next request.
func (e *Entry) closeIfStopping(w http.ResponseWriter) {
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
}

func hostName(hostport string) string {
	if host, _, err := net.SplitHostPort(hostport); err == nil {
		return host
	}
	return hostport
}

func (e *Entry) serveJob(w http.ResponseWriter, r *http.Request, req platform.JobRequest, route dispatch.Route, operator *dispatch.OperatorState) {
	arrived := mesh.Now()
	body, err := platform.ReadBody(w, r, operator.Config.MaxBodyBytes)
	if errors.Is(err, connlimit.ErrClosed) || errors.Is(err, net.ErrClosed) {
		e.refuse(w, req.ID, result.OutcomeUnknown, 0, "the connection was closed before the request was read to its end")
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) { // only interrupt sets that deadline; the job may have run elsewhere before
		e.refuse(w, req.ID, result.OutcomeUnknown, 0, stopTimeoutDetail+", the request was not read to its end in "+(mesh.Now()-arrived).String())
		return
	}
	if err != nil {
		e.refuse(w, req.ID, result.BadRequest, 0, err.Error())
		return
	}
	if !connlimit.Hold(r.Context(), platform.JobMemory(body)) { // the job may have run elsewhere before
		w.Header().Set("Connection", "close")
		e.refuse(w, req.ID, result.OutcomeUnknown, notReadyRetry, "no memory is left for the job")
		return
	}
	job, unsupported, err := platform.DecodeJob(req.ID, body)
	if err != nil {
		e.refuse(w, req.ID, result.BadRequest, 0, err.Error())
		return
	}
	if route.PlacedByPolicy {
		unsupported = "endpoints chosen by a policy service"
	}
	if unsupported != "" {
		e.refuse(w, req.ID, result.Unsupported, notReadyRetry, unsupported)
		return
	}
	wait := waitOf(req)
	reply := make(chan dispatch.Outcome, 1)
	left := func() bool { return drain.ClientLeft(r.Context()) }
	before := func() bool { return arrival.BeforeMark(drain.Conn(r.Context())) }
	e.actor.Send(submit{job: job, route: route, wait: wait, deadline: arrived + wait, reply: reply, left: left, before: before})
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case out := <-reply:
		e.answer(w, job.ID, route, operator, out, arrived, wait)
	case <-r.Context().Done():
		e.actor.Send(abandonRequest{job.ID, reply})
		e.deps.Log.Info().Str("event", "client_left").Str("job", job.ID).Dur("age_ms", mesh.Now()-arrived).Msg("client left; job cancelled")
	case <-timer.C:
		e.actor.Send(abandonRequest{job.ID, reply})
		e.answer(w, job.ID, route, operator, dispatch.Outcome{Code: result.DeadlinePassed}, arrived, wait)
	}
}

// waitOf returns how long the client waits for the answer.
func waitOf(req platform.JobRequest) time.Duration {
	wait := req.Wait
	if wait <= 0 {
		wait = defaultWait
	}
	return wait
}

// answer writes a job's outcome.
func (e *Entry) answer(w http.ResponseWriter, id string, route dispatch.Route, operator *dispatch.OperatorState, out dispatch.Outcome, arrived, wait time.Duration) {
	e.closeIfStopping(w)
	age := mesh.Now() - arrived
	e.deps.Log.Info().Str("event", "job_answered").Str("job", id).Str("route", route.Name).Str("code", out.Code.String()).
		Str("home", out.Home).Str("detail", out.Detail).Int64("config", operator.Config.Version).Dur("age_ms", age).Dur("wait_ms", wait).Msg("job answered")
	e.deps.Metrics.Observe("bergamotwing_job_seconds", "Time from a job's arrival to its answer.", age.Seconds())
	switch out.Code {
	case result.OK:
		platform.WriteJobState(w, platform.JobCompleted)
	case result.TaskFailed:
		platform.WriteJobState(w, platform.JobFailed)
	case result.Cancelled: // a client does not send the job again after a 200
		platform.WriteJobState(w, platform.JobCancelled)
	default:
		e.deps.Metrics.Refused(out.Code)
		writeRefusal(w, out.Code, out.RetryAfter, out.Detail)
	}
}

// refuse answers a request that is not submitted.
func (e *Entry) refuse(w http.ResponseWriter, id string, code result.Code, retryAfter time.Duration, detail string) {
	e.deps.Metrics.Refused(code)
	e.deps.Log.Info().Str("event", "refused").Str("job", id).Str("code", code.String()).Str("detail", detail).Msg("request refused")
	writeRefusal(w, code, retryAfter, detail)
}

// writeRefusal answers with a status that says whether anything may have run: 502
// if so, at which the client resubmits the job, else 503 or the code's own status.
func writeRefusal(w http.ResponseWriter, code result.Code, retryAfter time.Duration, detail string) {
	info := result.Lookup(code)
	status := info.HTTPStatus
	switch {
	case info.Ran != result.RanNo:
		status = http.StatusBadGateway
	case status >= http.StatusInternalServerError || code == result.NeverFits:
		status = http.StatusServiceUnavailable
	}
	if status == http.StatusServiceUnavailable {
		retryAfter = max(retryAfter, notReadyRetry)
	}
	platform.WriteError(w, status, code.String()+": "+detail, retryAfter)
}

// deleteOrRefuse refuses a request for which there is no route, unless it is a DELETE
// of a job that is open: jobs of a route that was removed go on.
func (e *Entry) deleteOrRefuse(w http.ResponseWriter, r *http.Request, code result.Code, detail string) {
	if r.ContentLength < 0 || r.ContentLength > smallBody {
		w.Header().Set("Connection", "close")
	}
	if id, ok := platform.JobIDOf(r.URL.Path); ok && r.Method == http.MethodDelete {
		known := make(chan deleteResult, 1)
		e.actor.Send(deleteJob{job: id, known: known, host: hostName(r.Host), path: r.URL.Path})
		select {
		case <-r.Context().Done():
			return
		case found := <-known:
			if found != deleteNotOpen {
				e.answerDelete(w, id, found)
				return
			}
		}
	}
	e.refuse(w, "", code, 0, detail)
}

// serveDelete cancels a job, and answers whether it was open.
func (e *Entry) serveDelete(w http.ResponseWriter, r *http.Request, id string) {
	known := make(chan deleteResult, 1)
	e.actor.Send(deleteJob{job: id, known: known})
	select {
	case found := <-known:
		e.answerDelete(w, id, found)
	case <-r.Context().Done():
	}
}

func (e *Entry) answerDelete(w http.ResponseWriter, id string, found deleteResult) {
	switch found {
	case deleteCancelled:
		platform.WriteJobState(w, platform.JobCancelled)
	case deleteNotOpen:
		platform.WriteError(w, http.StatusGone, noSuchJob, 0)
	case deleteNotStored:
		e.refuse(w, id, result.OutcomeUnknown, notReadyRetry, "the store has not taken the cancelling")
	default: // neither of these answers may be given before it is known to be true
		e.refuse(w, id, result.OutcomeUnknown, notReadyRetry, "an entry that may have the job has not answered")
	}
}

func (e *Entry) serveWaiting(w http.ResponseWriter, r *http.Request, route dispatch.Route) {
	reply := make(chan int, 1)
	e.actor.Send(askWaiting{route, reply})
	select {
	case n := <-reply:
		platform.WriteWaiting(w, n)
	case <-r.Context().Done():
	}
}
