package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"bergamotwing.example/ledger"
	"bergamotwing.example/tablestore"
	"bergamotwing.example/wire"
)

// fenceRound collects the agents' replies to one Fence.
type fenceRound struct {
	tickets []wire.TicketID
	replies chan fenceReply
}

type fenceReply struct {
	agent *agentLink
	reply *wire.FenceReply // nil: the agent's link ended
}

// fenceInTable writes the fence row and then lists the agents.
func (s *settler) fenceInTable(ctx context.Context, batch []*settleRequest) ([]tablestore.AgentRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, s.e.cfg.Platform.Timeout.D())
	defer cancel()
	row := tablestore.FenceRecord{At: time.Now().Unix()}
	for _, req := range batch {
		row.Tickets = append(row.Tickets, tablestore.TicketKey{Entry: req.ticket.Entry, Incarnation: req.ticket.Incarnation, Seq: req.ticket.Seq})
	}
	value, err := json.Marshal(row)
	if err != nil {
		return nil, err
	}
	if err := s.e.table.Commit(ctx, tablestore.Op{Key: s.rowKey(), Value: value, Any: true}); err != nil {
		return nil, err
	}
	rows, err := s.e.table.List(ctx, tablestore.PrefixAgents)
	if err != nil {
		return nil, err
	}
	out := make([]tablestore.AgentRecord, 0, len(rows))
	for _, r := range rows {
		var a tablestore.AgentRecord
		if err := json.Unmarshal(r.Value, &a); err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}

func (s *settler) rowKey() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRow++
	return fmt.Sprintf("%s%s/%016x-%08d", tablestore.PrefixFences, s.e.self.ID, uint64(s.e.self.Incarnation), s.lastRow)
}

// fenceAgents sends the fence to every linked agent and returns the replies by
// agent id.
func (s *settler) fenceAgents(ctx context.Context, batch []*settleRequest) map[string]fenceReply {
	agents := s.e.agents.list()
	round := &fenceRound{replies: make(chan fenceReply, 2*len(agents)+1)}
	for _, req := range batch {
		round.tickets = append(round.tickets, ticketID(req.ticket))
	}
	id := s.openRound(round)
	defer s.closeRound(id)
	open := 0
	for _, a := range agents {
		if a.link.Send(&wire.Fence{Request: id, Tickets: round.tickets}) == nil {
			open++
		}
	}
	out := map[string]fenceReply{}
	timeout := time.After(fenceTimeout)
	for open > 0 {
		select {
		case r := <-round.replies:
			open--
			if r.reply != nil && len(r.reply.Started) == len(batch) {
				out[r.agent.id] = r
			}
		case <-timeout:
			return out
		case <-ctx.Done():
			return out
		}
	}
	return out
}

func (s *settler) openRound(r *fenceRound) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRound++
	s.rounds[s.lastRound] = r
	return s.lastRound
}

func (s *settler) closeRound(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rounds, id)
}

// handleFenceReply passes an agent's reply to the round that waits for it.
func (s *settler) handleFenceReply(a *agentLink, m *wire.FenceReply) {
	s.mu.Lock()
	round, ok := s.rounds[m.Request]
	s.mu.Unlock()
	if !ok {
		return
	}
	select {
	case round.replies <- fenceReply{agent: a, reply: m}:
	default:
	}
}

// agentDisconnected notifies the open rounds that an agent's link ended.
func (s *settler) agentDisconnected(a *agentLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, round := range s.rounds {
		select {
		case round.replies <- fenceReply{agent: a}:
		default:
		}
	}
}

// agentEvidence returns the evidence from an agent's row and its reply about
// ticket i.
func agentEvidence(row tablestore.AgentRecord, r fenceReply, i int) ledger.AgentEvidence {
	out := ledger.AgentEvidence{ID: row.ID, Incarnation: row.Incarnation, CleanStopAt: row.CleanStopAt}
	for _, replaced := range row.Replaced {
		out.Replaced = append(out.Replaced, ledger.ReplacedIncarnation{Incarnation: replaced.Incarnation, At: replaced.At, Clean: replaced.Clean})
	}
	if r.reply == nil || uint64(r.agent.incarnation) != row.Incarnation {
		return out
	}
	out.Answered = true
	for _, t := range r.reply.Started[i] {
		out.Started = append(out.Started, ledger.StartedReport{
			Index: t.Index, Finished: t.Finished, Held: t.Held, Code: t.Code, Body: t.Body, Digest: t.Digest,
		})
	}
	return out
}
