package entry

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"bergamotwing.example/client/api"
	"bergamotwing.example/ledger"
	"bergamotwing.example/release"
	"bergamotwing.example/result"
)

var errStopping = result.Errorf(result.Stopping, "the entry is shutting down")

// callerRoutes serves callers.
func (e *Entry) callerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathTickets, e.issueTickets)
	mux.HandleFunc("POST "+api.PathJobs, e.submitOnce)
	mux.HandleFunc("PUT "+api.PathJobs+"/{ticket}", e.submit)
	mux.HandleFunc("GET "+api.PathJobs+"/{ticket}", e.show)
	mux.HandleFunc("DELETE "+api.PathJobs+"/{ticket}", e.cancel)
	mux.HandleFunc("GET "+api.PathHealth, e.health)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		e.refuse(w, result.Errorf(result.NotFound, "no such path: %s %s", r.Method, r.URL.Path))
	})
	return e.requests.counted(e.boundReading(mux))
}

// health answers 200 while the entry takes jobs, so that the platform's
// balancer moves on before a stop.
func (e *Entry) health(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case e.control.view().version() == 0:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}

func (e *Entry) issueTickets(w http.ResponseWriter, r *http.Request) {
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			e.refuse(w, result.Errorf(result.BadRequest, "count must be a whole number from 1"))
			return
		}
		count = n
	}
	if count > e.cfg.Limits.Tickets {
		e.refuse(w, result.Errorf(result.TooManyTickets, "count is at most %d", e.cfg.Limits.Tickets))
		return
	}
	tickets := e.ticketsFor(r.Context(), r.URL.Query().Get("service"), count)
	if len(tickets) == 0 {
		e.refuse(w, errStopping)
		return
	}
	writeJSON(w, http.StatusOK, api.Tickets{Tickets: tickets})
}

func (e *Entry) submit(w http.ResponseWriter, r *http.Request) {
	body, err := e.readBody(w, r, e.cfg.Limits.BodyBytes)
	if err != nil {
		e.refuse(w, err)
		return
	}
	e.route(w, r, body)
}

func (e *Entry) show(w http.ResponseWriter, r *http.Request) { e.routeWithoutBody(w, r) }

func (e *Entry) cancel(w http.ResponseWriter, r *http.Request) { e.routeWithoutBody(w, r) }

// routeWithoutBody drops the body of a request that needs none.
func (e *Entry) routeWithoutBody(w http.ResponseWriter, r *http.Request) {
	if _, err := e.readBody(w, r, maxIgnoredBytes); err != nil {
		e.refuse(w, err)
		return
	}
	e.route(w, r, nil)
}

// route answers a request about a ticket, wherever the ticket was issued.
func (e *Entry) route(w http.ResponseWriter, r *http.Request, body []byte) {
	text := r.PathValue("ticket")
	ticket, err := ledger.DecodeTicket(text, e.ticketKeys)
	if err != nil {
		e.refuse(w, err)
		return
	}
	ctx, cancel := e.requests.untilGivenUp(r.Context())
	defer cancel()
	a := e.request(ctx, r.Method, ticket, text, body)
	switch {
	case r.Context().Err() != nil && a.Running:
		return // the caller has gone
	case ctx.Err() != nil && a.Running:
		a = errorAnswer(text, result.Errorf(result.OutcomeUnknown, "the entry stopped before the answer came; ask another one"))
	}
	e.answer(w, a)
}

// request answers a request about a ticket: here if this run issued it or
// inherited it, else through the run that did.
func (e *Entry) request(ctx context.Context, method string, t ledger.Ticket, text string, body []byte) api.Answer {
	if t.Entry == e.self.ID && t.Incarnation == uint64(e.self.Incarnation) {
		return e.requestHere(ctx, method, t, text, body)
	}
	if book := e.heirs.book(t.Incarnation); book != nil {
		return e.requestInherited(book, method, t, text, body)
	}
	return e.forward(ctx, method, t, text, body)
}

func (e *Entry) requestHere(ctx context.Context, method string, t ledger.Ticket, text string, body []byte) api.Answer {
	switch method {
	case http.MethodPut:
		return e.submitHere(ctx, t, text, body)
	case http.MethodDelete:
		return e.cancelHere(ctx, t, text)
	default:
		return e.showHere(t, text)
	}
}

// submitHere opens or joins the job of a ticket of this run and waits for its
// outcome. A refused submission consumes its ticket: a delayed copy of the
// request must not run after the caller was told that nothing did.
func (e *Entry) submitHere(ctx context.Context, t ledger.Ticket, text string, body []byte) api.Answer {
	now := time.Now()
	rec, isNew, err := e.book.Open(t, digest(body), now)
	if err != nil {
		return errorAnswer(text, err)
	}
	if isNew {
		e.openJobs.Add(1)
		if refusal := e.open(t, body, now); refusal != nil {
			e.metrics.Refused(refusal.Code)
			e.end(t.Seq, &ledger.Outcome{Code: refusal.Code, Detail: refusal.Detail})
		}
	}
	select {
	case <-rec.Done():
		return outcomeAnswer(text, rec.Outcome())
	case <-ctx.Done():
		return runningAnswer(text)
	}
}

// open checks a new submission and hands it to its service.
func (e *Entry) open(t ledger.Ticket, body []byte, now time.Time) *result.Error {
	if int(e.openJobs.Load()) > e.cfg.Limits.OpenJobs {
		return result.Errorf(result.TooManyOpenJobs, "at most %d jobs are open at once", e.cfg.Limits.OpenJobs)
	}
	var job api.Job
	if err := json.Unmarshal(body, &job); err != nil {
		return result.Errorf(result.BadRequest, "body: %v", err)
	}
	state := e.control.view().State
	if state == nil {
		return result.Errorf(result.NoVersion, "no configuration is known yet")
	}
	service, ok := state.Services[job.Service]
	if !ok {
		return result.Errorf(result.UnknownService, "service %q is not in force", job.Service)
	}
	if err := e.checkJob(job, service); err != nil {
		return err
	}
	weight, err := e.quotas.take(state, job.Team, len(job.Tasks), e.quotaParts(job.Service), now)
	if err != nil {
		return err
	}
	e.services.get(job.Service).submit(jobSpec(t, body, job, now), weight)
	return nil
}

// checkJob holds a submission against the limits.
func (e *Entry) checkJob(job api.Job, service release.Service) *result.Error {
	limits := e.cfg.Limits
	if len(job.Tasks) == 0 {
		return result.Errorf(result.BadRequest, "tasks: at least one is needed")
	}
	if n := limitOf(limits.Tasks, service.MaxTasks); len(job.Tasks) > n {
		return result.Errorf(result.TooManyTasks, "%d tasks, at most %d", len(job.Tasks), n)
	}
	if job.DeadlineMS < 1 || job.DeadlineMS > limits.MaxDeadline.D().Milliseconds() {
		return result.Errorf(result.BadDeadline, "deadlineMs must be 1 to %d", limits.MaxDeadline.D().Milliseconds())
	}
	maxPayload := limitOf(limits.PayloadBytes, service.MaxPayloadB)
	for i, t := range job.Tasks {
		if len(t.Payload) > maxPayload {
			return result.Errorf(result.PayloadTooLarge, "task %d has %d bytes, at most %d", i, len(t.Payload), maxPayload)
		}
		if t.MemoryMB < 0 || t.RunMS < 0 {
			return result.Errorf(result.BadRequest, "task %d: memoryMb and runMs are not negative", i)
		}
	}
	return nil
}

// limitOf returns the tighter of two limits, of which the second may be unset.
func limitOf(own, service int) int {
	if service > 0 && service < own {
		return service
	}
	return own
}

func jobSpec(t ledger.Ticket, body []byte, job api.Job, now time.Time) ledger.JobSpec {
	spec := ledger.JobSpec{
		Ticket:   t,
		Digest:   digest(body),
		Service:  job.Service,
		Team:     job.Team,
		Received: now,
		Deadline: now.Add(time.Duration(job.DeadlineMS) * time.Millisecond),
		Tasks:    make([]ledger.TaskSpec, len(job.Tasks)),
	}
	for i, task := range job.Tasks {
		spec.Tasks[i] = ledger.TaskSpec{Payload: task.Payload, MemoryMB: task.MemoryMB, Idempotent: task.Idempotent}
	}
	return spec
}

// finish records the outcome of a job.
func (e *Entry) finish(j *ledger.Job) { e.end(j.Spec.Ticket.Seq, j.Outcome()) }

func (e *Entry) end(seq uint64, o *ledger.Outcome) {
	if e.book.Finish(seq, o, time.Now()) {
		e.openJobs.Add(-1)
	}
}

func (e *Entry) showHere(t ledger.Ticket, text string) api.Answer {
	rec, used := e.book.Find(t.Seq)
	switch {
	case rec != nil && rec.Outcome() != nil:
		return outcomeAnswer(text, rec.Outcome())
	case rec != nil:
		return runningAnswer(text)
	case used:
		return errorAnswer(text, result.Errorf(result.OutcomeUnknown, "the answer is no longer kept"))
	default:
		// Not named: the ticket may still be submitted.
		return errorAnswer("", result.Errorf(result.NotFound, "no job was submitted under this ticket"))
	}
}

func (e *Entry) cancelHere(ctx context.Context, t ledger.Ticket, text string) api.Answer {
	rec := e.book.Withdraw(t, time.Now())
	if rec == nil {
		rec, _ = e.book.Find(t.Seq)
	}
	if rec == nil {
		return e.showHere(t, text)
	}
	e.services.each(func(s *service) { s.cancelTicket(t.Seq) })
	select {
	case <-rec.Done():
		return outcomeAnswer(text, rec.Outcome())
	case <-ctx.Done():
		return runningAnswer(text)
	}
}

func digest(body []byte) ledger.Digest {
	sum := sha256.Sum256(body)
	return ledger.Digest(sum[:16])
}

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
// final for it: callers take it as proof that nothing ran under the ticket and
// nothing will. Refusals of one request alone leave the ticket empty.
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
