package client

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"bergamotwing.example/client/api"
	"bergamotwing.example/result"
)

// submission is the state of one job over its attempts, entries and tickets.
type submission struct {
	c         *Client
	job       api.Job
	body      []byte
	started   time.Time
	deadline  time.Duration // of the job, from started
	entry     int           // of the current attempt
	issuer    int           // entry whose pack the ticket came from
	ticket    string
	pinned    bool // the ticket is the caller's
	uncertain bool // an attempt under the ticket has an unknown outcome
	attempts  int
}

func (c *Client) submit(ctx context.Context, job api.Job, ticket string) (*api.Answer, error) {
	c.counters.update(func(s *Stats) { s.FirstTries++ })
	c.budget.earn()
	s := &submission{
		c: c, job: job, started: c.now(), deadline: time.Duration(job.DeadlineMS) * time.Millisecond,
		ticket: ticket, pinned: ticket != "", uncertain: ticket != "", entry: c.rotation.pick(),
	}
	a, err := s.run(ctx)
	c.counters.finished(err)
	return a, err
}

func (s *submission) run(ctx context.Context) (*api.Answer, error) {
	if err := s.encode(); err != nil {
		return nil, err
	}
	for {
		a, class := s.attempt(ctx)
		if class.step == finish || !s.prepareRetry(ctx, class) {
			return a, class.err
		}
	}
}

func (s *submission) encode() error {
	body, err := json.Marshal(s.job)
	if err != nil {
		return &NotRunError{Err: result.Errorf(result.BadRequest, "%v", err), Cause: err}
	}
	s.body = body
	return nil
}

// attempt takes a ticket, sends the job once and classifies the response.
func (s *submission) attempt(ctx context.Context) (*api.Answer, classification) {
	s.attempts++
	if err := s.takeTicket(ctx); err != nil {
		s.c.recordFailure(ctx, s.entry, lostCall(err))
		return nil, classifyNoTicket(err)
	}
	a, status, err := s.send(ctx)
	class := s.c.classify(s.ticket, a, status, err, len(s.job.Tasks), s.uncertain)
	s.uncertain = s.uncertain || class.outcomeUnknown
	s.c.recordFailure(ctx, s.entry, err)
	s.dropBadTickets(a)
	return a, s.limitRetries(class, a)
}

func (s *submission) takeTicket(ctx context.Context) error {
	if s.ticket != "" {
		return nil
	}
	if s.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.deadline-s.elapsed())
		defer cancel()
	}
	ticket, err := s.c.pools.forService(s.job.Service).take(ctx, s.entry)
	s.ticket, s.issuer = ticket, s.entry
	return err
}

// send submits the job. After the job's deadline it cancels the job instead,
// which returns an answer that is stored but cannot start the job late.
func (s *submission) send(ctx context.Context) (*api.Answer, int, error) {
	method, body, wait := http.MethodPut, s.body, s.deadline+s.c.cfg.AnswerGrace
	if s.deadline > 0 && s.elapsed() > s.deadline {
		method, body, wait = http.MethodDelete, nil, s.c.cfg.AnswerGrace
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return call[api.Answer](ctx, s.c.caller, s.entry, method, jobPath(s.ticket), body)
}

// limitRetries turns a retry into finish where the client's settings, the
// caller's ticket or the deadline do not allow it.
func (s *submission) limitRetries(class classification, a *api.Answer) classification {
	refused := a != nil && (a.Code == result.Overloaded || a.Code == result.QuotaExceeded)
	switch {
	case class.step == finish:
	case s.attempts >= s.c.cfg.MaxAttempts,
		class.step == newTicket && s.pinned,
		class.step == newTicket && refused && !s.c.cfg.RetryRefusals,
		class.step == newTicket && s.elapsed() >= s.deadline:
		class.step = finish
	}
	return class
}

// prepareRetry waits for the back-off and the budget and prepares the next
// attempt. It returns false if there is to be none.
func (s *submission) prepareRetry(ctx context.Context, class classification) bool {
	if s.c.backoff.wait(ctx, s.attempts-1) != nil || !s.spendBudget(ctx, class.step) {
		return false
	}
	s.entry = s.c.rotation.pickOther(s.entry)
	if class.step == newTicket {
		s.ticket, s.uncertain = "", false
		if !s.shortenDeadline() {
			return false
		}
	}
	s.c.counters.retried(class.reason)
	return true
}

// spendBudget takes a retry from the budget. While the outcome is open it waits
// for the budget until the job's deadline; for a refused job it does not wait,
// since the refusal is better returned at once.
func (s *submission) spendBudget(ctx context.Context, nextStep step) bool {
	for retry := 0; !s.c.budget.spend(); retry++ {
		if nextStep == newTicket || s.elapsed() > s.deadline || s.c.backoff.wait(ctx, retry) != nil {
			s.c.counters.update(func(st *Stats) { st.BudgetRefusals++ })
			return false
		}
		s.c.counters.update(func(st *Stats) { st.BudgetWaits++ })
	}
	return true
}

// shortenDeadline subtracts the time already spent from the job's deadline, since
// an entry counts the deadline from its receipt of the job. It returns false when
// no time is left.
func (s *submission) shortenDeadline() bool {
	left := s.deadline - s.elapsed()
	if left < time.Millisecond {
		return false
	}
	s.job.DeadlineMS = left.Milliseconds()
	return s.encode() == nil
}

// dropBadTickets discards the tickets of an issuer whose tickets are void.
func (s *submission) dropBadTickets(a *api.Answer) {
	if a == nil || s.pinned {
		return
	}
	switch a.Code {
	case result.IssuerClosed, result.BadTicket, result.SettledNotRun:
		s.c.discardTickets(s.issuer)
	}
}

func (s *submission) elapsed() time.Duration { return s.c.now().Sub(s.started) }
