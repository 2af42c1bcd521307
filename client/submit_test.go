package client

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/result"
)

func wantCalls(t *testing.T, f *fakeEntry, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, f.received()); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

func TestLostAnswerIsRequestedUnderTheSameTicketAtAnotherEntry(t *testing.T) {
	a, b := newFake(t, "a", loseAnswer), newFake(t, "b")
	c := newTestClient(t, nil, a, b)
	answer, err := c.Submit(t.Context(), oneTask())
	if err != nil || string(answer.Results[0]) != "done a-1" {
		t.Fatalf("answer %+v, error %v", answer, err)
	}
	wantCalls(t, a, "PUT a-1")
	wantCalls(t, b, "PUT a-1")
	if got := c.Stats().Retries[ReasonLostAnswer]; got != 1 {
		t.Errorf("retries for lost answers: %d", got)
	}
}

func TestUnusableAnswersAreNeverReturnedAsComplete(t *testing.T) {
	for name, r := range map[string]reply{
		"another ticket": raw(200, `{"code":0,"ticket":"other","results":["eA=="]}`),
		"too few":        raw(200, `{"code":0,"ticket":"a-1","results":[]}`),
		"too many":       raw(200, `{"code":0,"ticket":"a-1","results":["eA==","eA=="]}`),
		"still running":  raw(200, `{"code":0,"ticket":"a-1","running":true,"results":["eA=="]}`),
		"cut off":        raw(200, `{"code":0,"ticket":"a-1","results":["eA==`),
		"more data":      raw(200, `{"code":0,"ticket":"a-1","results":["eA=="]}{}`),
		"wrong status":   raw(503, `{"code":0,"ticket":"a-1","results":["eA=="]}`),
		"balancer page":  raw(502, `<html>`),
		"redirect":       redirect,
	} {
		t.Run(name, func(t *testing.T) {
			a := newFake(t, "a", r)
			answer, err := newTestClient(t, nil, a).Submit(t.Context(), oneTask())
			if err != nil || string(answer.Results[0]) != "done a-1" {
				t.Fatalf("answer %+v, error %v", answer, err)
			}
			wantCalls(t, a, "PUT a-1", "PUT a-1")
		})
	}
}

func TestRefusalThatProvesNothingRanIsRetriedUnderANewTicket(t *testing.T) {
	for _, code := range []result.Code{result.Stopping, result.SettledNotRun, result.IssuerClosed, result.BadTicket, result.TooManyOpenJobs} {
		a := newFake(t, "a", refuse(code))
		answer, err := newTestClient(t, nil, a).Submit(t.Context(), oneTask())
		calls := a.received()
		if err != nil || len(calls) != 2 || calls[0] == calls[1] || answer.Ticket == "a-1" {
			t.Errorf("%s: calls %v, answer %+v, error %v", code, calls, answer, err)
		}
	}
}

func TestUnnamedRefusalAfterALostAnswerDoesNotFreeTheTicket(t *testing.T) {
	for _, code := range []result.Code{result.Overloaded, result.Stopping, result.NoVersion, result.BadTicket, result.TicketExpired, result.QuotaExceeded} {
		for _, first := range []reply{loseAnswer, refuse(result.OutcomeUnknown)} {
			a := newFake(t, "a", append([]reply{first}, repeated(refuseUnnamed(code), 3)...)...)
			_, err := newTestClient(t, nil, a).Submit(t.Context(), oneTask())
			var unknown *UnknownError
			if !errors.As(err, &unknown) || unknown.Ticket != "a-1" || !errors.Is(err, &result.Error{Code: result.OutcomeUnknown}) {
				t.Errorf("%s: error %v", code, err)
			}
			wantCalls(t, a, "PUT a-1", "PUT a-1", "PUT a-1", "PUT a-1")
		}
	}
}

func TestNamedRefusalAfterALostAnswerFreesTheTicket(t *testing.T) {
	for _, code := range []result.Code{result.Stopping, result.NoVersion, result.TicketExpired, result.TooManyOpenJobs, result.IssuerClosed} {
		for _, first := range []reply{loseAnswer, refuse(result.OutcomeUnknown)} {
			a := newFake(t, "a", first, refuse(code))
			answer, err := newTestClient(t, nil, a).Submit(t.Context(), oneTask())
			if err != nil || answer.Ticket == "a-1" {
				t.Errorf("%s: answer %+v, error %v", code, answer, err)
			}
		}
	}
	for _, code := range []result.Code{result.Overloaded, result.QuotaExceeded, result.NeverFits, result.UnknownService, result.BadRequest} {
		a := newFake(t, "a", loseAnswer, refuse(code))
		_, err := newTestClient(t, nil, a).Submit(t.Context(), oneTask())
		if typeName(err) != "not run" || !errors.Is(err, &result.Error{Code: code}) {
			t.Errorf("%s: error %v", code, err)
		}
		wantCalls(t, a, "PUT a-1", "PUT a-1")
	}
}

func TestRefusalNamingAnotherTicketProvesNothing(t *testing.T) {
	other := raw(503, `{"code":200,"ticket":"other"}`)
	a := newFake(t, "a", append([]reply{loseAnswer}, repeated(other, 3)...)...)
	if _, err := newTestClient(t, nil, a).Submit(t.Context(), oneTask()); typeName(err) != "unknown" {
		t.Errorf("error %v", err)
	}
}

func TestNotFoundProvesNothingAboutATicket(t *testing.T) {
	a := newFake(t, "a", loseAnswer, refuse(result.NotFound))
	if _, err := newTestClient(t, nil, a).Submit(t.Context(), oneTask()); typeName(err) != "unknown" {
		t.Errorf("error %v", err)
	}
}

func TestSettledTicketIsFreeAfterALostAnswer(t *testing.T) {
	a := newFake(t, "a", loseAnswer, refuse(result.OutcomeUnknown), refuse(result.SettledNotRun))
	if _, err := newTestClient(t, nil, a).Submit(t.Context(), oneTask()); err != nil {
		t.Fatal(err)
	}
	if calls := a.received(); len(calls) != 4 || calls[2] != "PUT a-1" || calls[3] == "PUT a-1" {
		t.Errorf("calls %v", calls)
	}
}

func TestErrorTypeStatesWhatMayHaveRun(t *testing.T) {
	for code, want := range map[result.Code]error{
		result.Overloaded:      &NotRunError{},
		result.QuotaExceeded:   &NotRunError{},
		result.NeverFits:       &NotRunError{},
		result.DeadlineUnmet:   &NotRunError{},
		result.CancelledNotRun: &NotRunError{},
		result.UnknownService:  &NotRunError{},
		result.TaskFailed:      &FailedError{},
		result.AgentLost:       &FailedError{},
		result.SettledFailed:   &FailedError{},
		result.TicketReused:    &FailedError{},
		result.Code(999):       &UnknownError{},
	} {
		a := newFake(t, "a", refuse(code))
		answer, err := newTestClient(t, nil, a).Submit(t.Context(), oneTask())
		if typeName(err) != typeName(want) || answer == nil || answer.Code != code {
			t.Errorf("%s: %T %v, answer %+v", code, err, err, answer)
		}
		if code != 999 && !errors.Is(err, &result.Error{Code: code}) {
			t.Errorf("%s: errors.Is does not find the code in %v", code, err)
		}
		wantCalls(t, a, "PUT a-1")
	}
}

func typeName(err error) string {
	var (
		notRun  *NotRunError
		failed  *FailedError
		unknown *UnknownError
	)
	switch {
	case errors.As(err, &notRun):
		return "not run"
	case errors.As(err, &failed):
		return "failed"
	case errors.As(err, &unknown):
		return "unknown"
	}
	return "other"
}

func TestOverloadIsRetriedOnlyIfConfigured(t *testing.T) {
	a := newFake(t, "a", refuse(result.Overloaded))
	c := newTestClient(t, func(cfg *Config) { cfg.RetryRefusals = true }, a)
	if _, err := c.Submit(t.Context(), oneTask()); err != nil || len(a.received()) != 2 {
		t.Errorf("calls %v, error %v", a.received(), err)
	}
}

func TestUnreachableEntryIsSkippedWithItsTickets(t *testing.T) {
	b := newFake(t, "b")
	c := newTestClient(t, func(cfg *Config) { cfg.Entries = []string{"http://127.0.0.1:1", b.url} })
	if _, err := c.Submit(t.Context(), oneTask()); err != nil {
		t.Fatal(err)
	}
	c = newTestClient(t, func(cfg *Config) { cfg.Entries = []string{"http://127.0.0.1:1", b.url} })
	c.pools.forService(oneTask().Service).packs[0].tickets = []agedTicket{{"never-sent", time.Now()}, {"spare", time.Now()}}
	if answer, err := c.Submit(t.Context(), oneTask()); err != nil || answer.Ticket == "never-sent" {
		t.Errorf("a ticket of an unreachable entry: answer %+v, error %v", answer, err)
	}
	c = newTestClient(t, func(cfg *Config) { cfg.Entries = []string{"http://127.0.0.1:1"} })
	_, err := c.Submit(t.Context(), oneTask())
	if typeName(err) != "not run" || !errors.Is(err, &result.Error{Code: result.PeerUnreachable}) {
		t.Errorf("error %v", err)
	}
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	const jobs, reserve, pct = 100, 5, 10
	a := newFake(t, "a", repeated(refuse(result.Stopping), 1000)...)
	c := newTestClient(t, func(cfg *Config) { cfg.RetryReserve, cfg.RetryBudgetPct = reserve, pct }, a)
	for range jobs {
		if _, err := c.Submit(t.Context(), oneTask()); typeName(err) != "not run" {
			t.Fatal(err)
		}
	}
	s := c.Stats()
	if attempts, most := len(a.received()), jobs+reserve+jobs*pct/100; attempts > most || attempts < most-1 {
		t.Errorf("%d attempts, budget allows %d", attempts, most)
	}
	if s.BudgetRefusals == 0 || s.NotRun != jobs || s.FirstTries != jobs {
		t.Errorf("stats %+v", s)
	}
}

func TestPastItsDeadlineAJobIsCancelledInsteadOfResubmitted(t *testing.T) {
	var late atomic.Int64 // nanoseconds
	started := time.Now()
	loseAnswerLate := func(w http.ResponseWriter, ticket string) {
		late.Store(int64(time.Minute))
		loseAnswer(w, ticket)
	}
	a := newFake(t, "a", loseAnswerLate, refuse(result.CancelledNotRun))
	c := newTestClient(t, nil, a)
	c.now = func() time.Time { return started.Add(time.Duration(late.Load())) }
	_, err := c.Submit(t.Context(), oneTask())
	if typeName(err) != "not run" {
		t.Errorf("error %v", err)
	}
	wantCalls(t, a, "PUT a-1", "DELETE a-1")
}

func TestSubmitWithACancelledContextReturnsUnknownOutcome(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	a := newFake(t, "a", func(w http.ResponseWriter, ticket string) {
		cancel()
		loseAnswer(w, ticket)
	})
	c := newTestClient(t, nil, a)
	_, err := c.Submit(ctx, oneTask())
	if typeName(err) != "unknown" {
		t.Errorf("error %v", err)
	}
}

func TestCallersTicketIsNeverReplaced(t *testing.T) {
	a := newFake(t, "a", refuseUnnamed(result.Stopping), refuse(result.IssuerClosed))
	_, err := newTestClient(t, nil, a).SubmitTicket(t.Context(), "mine", oneTask())
	if typeName(err) != "not run" || !errors.Is(err, &result.Error{Code: result.IssuerClosed}) {
		t.Errorf("error %v", err)
	}
	wantCalls(t, a, "PUT mine", "PUT mine")
}

func TestGetAndCancel(t *testing.T) {
	a := newFake(t, "a", raw(200, `{"code":0,"ticket":"t","running":true}`), refuse(result.Cancelled), refuse(result.NotFound))
	c := newTestClient(t, nil, a)
	if answer, err := c.Get(t.Context(), "t"); err != nil || !answer.Running {
		t.Errorf("running job: %+v, %v", answer, err)
	}
	if answer, err := c.Cancel(t.Context(), "t"); err != nil || answer.Code != result.Cancelled {
		t.Errorf("cancelled job: %+v, %v", answer, err)
	}
	if _, err := c.Get(t.Context(), "t"); typeName(err) != "unknown" {
		t.Errorf("a job not found proves nothing, got %v", err)
	}
}
