package client

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"bergamotwing.example/client/api"
	"bergamotwing.example/result"
)

// submission is one job on its way through tries, entries and tickets.
type submission struct {
	c         *Client
	job       api.Job
	body      []byte
	started   time.Time
	deadline  time.Duration // of the job, from started
	entry     int           // of the current try
	issuer    int           // entry whose pack the ticket came from
	ticket    string
	pinned    bool // the ticket is the caller's
	uncertain bool // a try under the ticket has an unknown fate
	tries     int
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
		a, v := s.try(ctx)
		if v.step == finish || !s.next(ctx, v) {
			return a, v.err
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

// try makes one try and says what follows from it.
func (s *submission) try(ctx context.Context) (*api.Answer, verdict) {
	s.tries++
	if err := s.takeTicket(ctx); err != nil {
		s.c.noteFailure(ctx, s.entry, lostCall(err))
		return nil, noTicket(err)
	}
	a, status, err := s.send(ctx)
	v := s.c.judge(s.ticket, a, status, err, len(s.job.Tasks), s.uncertain)
	s.uncertain = s.uncertain || v.lost
	s.c.noteFailure(ctx, s.entry, err)
	s.dropBadTickets(a)
	return a, s.limit(v, a)
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
	ticket, err := s.c.pools.of(s.job.Service).take(ctx, s.entry)
	s.ticket, s.issuer = ticket, s.entry
	return err
}

// send submits the job. Past its deadline it cancels the job instead, which
// finds a stored answer but cannot start the job late.
func (s *submission) send(ctx context.Context) (*api.Answer, int, error) {
	method, body, wait := http.MethodPut, s.body, s.deadline+s.c.cfg.AnswerGrace
	if s.deadline > 0 && s.elapsed() > s.deadline {
		method, body, wait = http.MethodDelete, nil, s.c.cfg.AnswerGrace
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return call[api.Answer](ctx, s.c.caller, s.entry, method, jobPath(s.ticket), body)
}

// limit turns a retry that the client's settings or the caller's ticket do not
// allow into an end.
func (s *submission) limit(v verdict, a *api.Answer) verdict {
	refused := a != nil && (a.Code == result.Overloaded || a.Code == result.QuotaExceeded)
	switch {
	case v.step == finish:
	case s.tries >= s.c.cfg.MaxAttempts,
		v.step == newTicket && s.pinned,
		v.step == newTicket && refused && !s.c.cfg.RetryRefusals,
		v.step == newTicket && s.elapsed() >= s.deadline:
		v.step = finish
	}
	return v
}

// next waits for the back-off and the budget and prepares the next try. It
// returns false if there is to be none.
func (s *submission) next(ctx context.Context, v verdict) bool {
	if s.c.backoff.wait(ctx, s.tries-1) != nil || !s.spend(ctx, v.step) {
		return false
	}
	s.entry = s.c.rotation.pickOther(s.entry)
	if v.step == newTicket {
		s.ticket, s.uncertain = "", false
		if !s.shortenDeadline() {
			return false
		}
	}
	s.c.counters.retried(v.reason)
	return true
}

// spend pays for a retry. While the outcome is open it waits for the budget
// until the job's deadline; a refused job is better returned at once.
func (s *submission) spend(ctx context.Context, next step) bool {
	for retry := 0; !s.c.budget.spend(); retry++ {
		if next == newTicket || s.elapsed() > s.deadline || s.c.backoff.wait(ctx, retry) != nil {
			s.c.counters.update(func(st *Stats) { st.BudgetRefusals++ })
			return false
		}
		s.c.counters.update(func(st *Stats) { st.BudgetWaits++ })
	}
	return true
}

// shortenDeadline takes the time already spent off the job's deadline, which an
// entry counts from its receipt. It returns false when none is left.
func (s *submission) shortenDeadline() bool {
	left := s.deadline - s.elapsed()
	if left < time.Millisecond {
		return false
	}
	s.job.DeadlineMS = left.Milliseconds()
	return s.encode() == nil
}

// dropBadTickets throws away the pack of an issuer whose tickets are void.
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
