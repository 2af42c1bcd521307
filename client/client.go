package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"bergamotwing.example/client/api"
	"bergamotwing.example/result"
)

// Client submits jobs. It is safe for concurrent use.
type Client struct {
	cfg      Config
	caller   *caller
	rotation *rotation
	pools    *pools
	budget   *budget
	backoff  backoff
	counters *counters
	now      func() time.Time
}

// New returns a client of the entries in cfg. Errors have code BadSettings.
func New(cfg Config) (*Client, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	c := &Client{
		cfg:      cfg,
		caller:   newCaller(cfg.Entries, cfg.Token, cfg.TLS, cfg.HTTPClient),
		budget:   newBudget(cfg.RetryBudgetPct, cfg.RetryReserve),
		backoff:  backoff{min: cfg.BackoffMin, max: cfg.BackoffMax, rand: cfg.Rand},
		counters: newCounters(),
		now:      time.Now,
	}
	clock := func() time.Time { return c.now() }
	c.rotation = newRotation(len(cfg.Entries), clock)
	c.pools = newPools(func(service string) *pool {
		return newPool(len(cfg.Entries), cfg.TicketPack, clock, func(ctx context.Context, entry, count int) ([]string, error) {
			return c.fetchTickets(ctx, entry, service, count)
		})
	})
	return c, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.caller.http.CloseIdleConnections() }

// Stats returns a copy of the client's counters.
func (c *Client) Stats() Stats { return c.counters.snapshot() }

// Submit runs a job under a ticket that the client chooses. The error is a
// *NotRunError, *FailedError or *UnknownError. If an entry answered the last
// attempt, its answer is returned with the error too.
func (c *Client) Submit(ctx context.Context, job api.Job) (*api.Answer, error) {
	return c.submit(ctx, job, "")
}

// SubmitTicket is Submit under a ticket that the caller holds, for the first
// time or again. An earlier submission under it may have reached an entry, so
// the client takes no other ticket.
func (c *Client) SubmitTicket(ctx context.Context, ticket string, job api.Job) (*api.Answer, error) {
	return c.submit(ctx, job, ticket)
}

// Tickets returns count new tickets.
func (c *Client) Tickets(ctx context.Context, count int) ([]string, error) {
	var err error
	for retry := range c.cfg.MaxAttempts {
		entry := c.rotation.pick()
		var tickets []string
		if tickets, err = c.fetchTickets(ctx, entry, "", count); err == nil {
			return tickets, nil
		}
		if !retryable(err) || c.backoff.wait(ctx, retry) != nil {
			return nil, err
		}
		c.rotation.failed(entry)
	}
	return nil, err
}

// Get returns the answer to the job under ticket, or an answer with Running
// set while there is none. Errors are as those of Submit.
func (c *Client) Get(ctx context.Context, ticket string) (*api.Answer, error) {
	return c.request(ctx, http.MethodGet, ticket)
}

// Cancel cancels the job under ticket. Without error it returns the answer of
// the cancelled job, of which some tasks may have started, or the complete answer
// of a job that was already complete. Other errors are as those of Submit.
func (c *Client) Cancel(ctx context.Context, ticket string) (*api.Answer, error) {
	a, err := c.request(ctx, http.MethodDelete, ticket)
	if a != nil && (a.Code == result.Cancelled || a.Code == result.CancelledNotRun) {
		return a, nil
	}
	return a, err
}

// request gets or cancels a job. While there is no answer, or one after which the
// same ticket is to be tried again, it asks the next entry, at most MaxAttempts
// times in all.
func (c *Client) request(ctx context.Context, method, ticket string) (*api.Answer, error) {
	for retry := 0; ; retry++ {
		entry := c.rotation.pick()
		a, status, err := call[api.Answer](ctx, c.caller, entry, method, jobPath(ticket), nil)
		if err == nil && a.Code == result.OK && a.Running {
			return a, nil
		}
		class := c.classify(ticket, a, status, err, reportedTasks(a), true)
		if class.step != sameTicket || retry+1 >= c.cfg.MaxAttempts {
			return a, class.err
		}
		c.recordFailure(ctx, entry, err)
		if c.backoff.wait(ctx, retry) != nil {
			return a, class.err
		}
		c.counters.retried(class.reason)
	}
}

func (c *Client) classify(ticket string, a *api.Answer, status int, err error, tasks int, uncertain bool) classification {
	if err != nil {
		return classifyNoAnswer(ticket, err, uncertain)
	}
	return classifyAnswer(ticket, a, status, tasks, uncertain)
}

// recordFailure makes the rotation skip an entry for downTime and discards its
// tickets, after a call without an answer. A call that the caller ended itself
// does not count.
func (c *Client) recordFailure(ctx context.Context, entry int, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	c.rotation.failed(entry)
	c.discardTickets(entry)
}

func (c *Client) discardTickets(entry int) {
	count := c.pools.discard(entry)
	c.counters.update(func(s *Stats) { s.TicketsDiscarded += uint64(count) }) //nolint:gosec // never negative
}

func (c *Client) fetchTickets(ctx context.Context, entry int, service string, count int) ([]string, error) {
	path := api.PathTickets + "?count=" + strconv.Itoa(count)
	if service != "" {
		path += "&service=" + url.QueryEscape(service)
	}
	t, _, err := call[ticketsAnswer](ctx, c.caller, entry, http.MethodPost, path, nil)
	if err != nil {
		return nil, err
	}
	if t.Code != result.OK {
		return nil, &result.Error{Code: t.Code, Detail: t.Detail}
	}
	if len(t.Tickets.Tickets) == 0 {
		return nil, result.Errorf(result.BadMessage, "the entry answered without tickets")
	}
	return t.Tickets.Tickets, nil
}

// ticketsAnswer is api.Tickets, or the refusal of a request for tickets.
type ticketsAnswer struct {
	api.Tickets
	Code   result.Code `json:"code"`
	Detail string      `json:"detail"`
}

// reportedTasks returns the number of tasks that an answer states, to check its
// results against when the submitted job is not known.
func reportedTasks(a *api.Answer) int {
	if a == nil {
		return 0
	}
	return a.Tasks
}

func jobPath(ticket string) string { return api.PathJobs + "/" + url.PathEscape(ticket) }
