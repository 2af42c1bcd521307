package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"bergamotwing.example/client/api"
	"bergamotwing.example/ledger"
	"bergamotwing.example/result"
	"bergamotwing.example/tablestore"
)

// Times of settlements.
const (
	settleBatchEvery = 20 * time.Millisecond
	settleBatchMax   = 500 // tickets in one fence row
	fenceTimeout     = 1500 * time.Millisecond
	settleRetryAfter = 250 * time.Millisecond // between two attempts while Settlement.Pending
	settleTimeout    = 10 * time.Second       // a caller is answered "unknown" after this long
	fenceRowLifetime = 40 * time.Minute       // longer than agents keep their records and than tickets are valid
)

// settler settles the tickets of entry incarnations that do not answer, in
// batches.
type settler struct {
	e     *Entry
	queue chan *settleRequest

	mu        sync.Mutex
	lastRound uint64
	rounds    map[uint64]*fenceRound
	final     map[ledger.Ticket]finalSettlement
	lastRow   int
}

// settleRequest is a caller's request to settle a ticket. The settler sends the
// evidence that it gathered to the channel.
type settleRequest struct {
	ticket   ledger.Ticket
	evidence chan ledger.Evidence
}

// finalSettlement is a settlement that will not change.
type finalSettlement struct {
	digest     ledger.Digest
	settlement ledger.Settlement
	at         time.Time
}

func newSettler(e *Entry) *settler {
	return &settler{e: e, queue: make(chan *settleRequest, 4096), rounds: map[uint64]*fenceRound{}, final: map[ledger.Ticket]finalSettlement{}}
}

// settle answers a request for a ticket whose issuer is unreachable.
func (s *settler) settle(ctx context.Context, method string, t ledger.Ticket, text string, body []byte) api.Answer {
	var sub *ledger.Submission
	if method == http.MethodPut {
		sub = submission(body)
		if sub == nil {
			return errorAnswer("", result.Errorf(result.BadRequest, "the body is not a job"))
		}
	}
	limit := time.Now().Add(settleTimeout)
	for {
		v := s.settleOnce(ctx, t, sub)
		s.e.log.Info().Str("issuer", t.Entry).Uint64("seq", t.Seq).Stringer("code", v.Code).Str("detail", v.Detail).Msg("settlement")
		if v.Code != result.OutcomeUnknown || time.Now().After(limit) || !v.Pending || !pause(ctx, settleRetryAfter) {
			s.e.metrics.Refused(v.Code)
			return settlementAnswer(text, v)
		}
	}
}

func submission(body []byte) *ledger.Submission {
	var job api.Job
	if json.Unmarshal(body, &job) != nil || len(job.Tasks) == 0 {
		return nil
	}
	return &ledger.Submission{Tasks: len(job.Tasks), Digest: digest(body)}
}

func settlementAnswer(text string, v ledger.Settlement) api.Answer {
	return api.Answer{
		Code: v.Code, Name: v.Code.String(), Detail: v.Detail, Ticket: text,
		Started: v.Started, Tasks: v.Tasks, Results: v.Results,
	}
}

// settleOnce fences the ticket, gathers evidence and decides. Final settlements
// are cached.
func (s *settler) settleOnce(ctx context.Context, t ledger.Ticket, sub *ledger.Submission) ledger.Settlement {
	if v, ok := s.cached(t, sub); ok {
		return v
	}
	req := &settleRequest{ticket: t, evidence: make(chan ledger.Evidence, 1)}
	select {
	case s.queue <- req:
	case <-ctx.Done():
		return ledger.Settlement{Code: result.OutcomeUnknown}
	}
	select {
	case ev := <-req.evidence:
		ev.Submission = sub
		v := ledger.Settle(ev)
		s.cache(t, sub, v)
		return v
	case <-ctx.Done():
		return ledger.Settlement{Code: result.OutcomeUnknown}
	}
}

func (s *settler) cached(t ledger.Ticket, sub *ledger.Submission) (ledger.Settlement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.final[t]
	if !ok || (sub != nil && f.digest != sub.Digest && f.settlement.Code != result.SettledNotRun) {
		return ledger.Settlement{}, false
	}
	return f.settlement, true
}

func (s *settler) cache(t ledger.Ticket, sub *ledger.Submission, v ledger.Settlement) {
	if sub == nil || (v.Code != result.SettledNotRun && v.Code != result.SettledFailed && v.Code != result.OK) {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.final[t] = finalSettlement{digest: sub.Digest, settlement: v, at: now}
	for k, f := range s.final {
		if now.Sub(f.at) > ledger.TicketLifetime {
			delete(s.final, k)
		}
	}
}

// run collects requests into batches and settles each batch.
func (s *settler) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.queue:
			batch := s.collect(ctx, first)
			s.e.background(ctx, func(ctx context.Context) { s.settleBatch(ctx, batch) })
		}
	}
}

func (s *settler) collect(ctx context.Context, first *settleRequest) []*settleRequest {
	batch := []*settleRequest{first}
	due := time.After(settleBatchEvery)
	for len(batch) < settleBatchMax {
		select {
		case req := <-s.queue:
			batch = append(batch, req)
		case <-due:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// settleBatch gathers the evidence for a batch: the fence row first, then the
// list of agents, then what each of them reports.
func (s *settler) settleBatch(ctx context.Context, batch []*settleRequest) {
	base := ledger.Evidence{Now: time.Now().Unix()}
	agents, err := s.fenceInTable(ctx, batch)
	if err == nil {
		base.Fenced, base.Listed = true, true
	} else {
		s.e.log.Warn().Err(err).Msg("settlement without the store")
	}
	replies := s.fenceAgents(ctx, batch)
	for i, req := range batch {
		ev := base
		ev.Issued = req.ticket.Issued
		for _, row := range agents {
			ev.Agents = append(ev.Agents, agentEvidence(row, replies[row.ID], i))
		}
		if err != nil {
			for id, r := range replies {
				ev.Agents = append(ev.Agents, agentEvidence(tablestore.AgentRecord{ID: id, Incarnation: uint64(r.agent.incarnation)}, r, i))
			}
		}
		req.evidence <- ev
	}
}
