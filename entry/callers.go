package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"bergamotwing.example/client/api"
	"bergamotwing.example/ledger"
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
	return e.requests.counted(e.withReadDeadline(mux))
}

// health answers 200 only while the entry takes jobs, so that the platform's load
// balancer chooses other entries before this one stops.
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

// routeWithoutBody reads and discards the body of a request that needs none.
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
	ctx, cancel := e.requests.withStop(r.Context())
	defer cancel()
	a := e.request(ctx, r.Method, ticket, text, body)
	switch {
	case r.Context().Err() != nil && a.Running:
		return // the caller has disconnected
	case ctx.Err() != nil && a.Running:
		a = errorAnswer(text, result.Errorf(result.OutcomeUnknown, "the entry stopped before the answer came; ask another one"))
	}
	e.answer(w, a)
}

// request answers a request about a ticket: here if this incarnation issued or
// inherited the ticket, else through the incarnation that did.
func (e *Entry) request(ctx context.Context, method string, t ledger.Ticket, text string, body []byte) api.Answer {
	if t.Entry == e.self.ID && t.Incarnation == uint64(e.self.Incarnation) {
		return e.requestHere(ctx, method, t, text, body)
	}
	if inherited := e.successors.inheritedLedger(t.Incarnation); inherited != nil {
		return e.requestInherited(inherited, method, t, text, body)
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
