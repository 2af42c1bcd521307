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
	"bergamotwing.example/wire"
)

// settleAfter is how long an issuer may be unreachable before its ticket is
// settled without it.
const settleAfter = 2 * time.Second

// forwards matches the replies of peers to the requests that wait for them.
type forwards struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]*pendingForward
}

type pendingForward struct {
	peer  *peerLink
	reply chan *wire.ForwardReply // closed when the link ended
}

func newForwards() *forwards { return &forwards{waiting: map[uint64]*pendingForward{}} }

func (f *forwards) add(p *peerLink) (uint64, *pendingForward) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	w := &pendingForward{peer: p, reply: make(chan *wire.ForwardReply, 1)}
	f.waiting[f.next] = w
	return f.next, w
}

// hasPendingFor reports whether requests wait for a peer's reply.
func (f *forwards) hasPendingFor(p *peerLink) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.waiting {
		if w.peer == p {
			return true
		}
	}
	return false
}

func (f *forwards) drop(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiting, id)
}

func (f *forwards) handleReply(m *wire.ForwardReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w, ok := f.waiting[m.Request]; ok {
		delete(f.waiting, m.Request)
		w.reply <- m
	}
}

// peerDisconnected wakes the requests that wait for a reply over a link that
// ended.
func (f *forwards) peerDisconnected(p *peerLink) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, w := range f.waiting {
		if w.peer == p {
			delete(f.waiting, id)
			close(w.reply)
		}
	}
}

// forward sends a request to the incarnation that issued its ticket, resends it
// after each broken link, and settles the ticket if that incarnation stays
// unreachable. The request may be sent more than once: the issuer joins the
// copies to one job.
func (e *Entry) forward(ctx context.Context, method string, t ledger.Ticket, text string, body []byte) api.Answer {
	var missingSince time.Time
	for ctx.Err() == nil {
		p, closed := e.authority(t)
		if p != nil {
			missingSince = time.Time{}
			if a, ok := e.forwardOnce(ctx, p, method, text, body); ok {
				return a
			}
			e.metrics.Retried(result.PeerUnreachable)
			continue
		}
		if missingSince.IsZero() {
			missingSince = time.Now()
		}
		if closed || time.Since(missingSince) >= settleAfter {
			return e.settler.settle(ctx, method, t, text, body)
		}
		pause(ctx, peerPoll)
	}
	return runningAnswer(text)
}

// authority returns the link to the incarnation that answers for a ticket; closed
// is true if that incarnation is known to have ended.
func (e *Entry) authority(t ledger.Ticket) (p *peerLink, closed bool) {
	owner := entryIncarnation{id: t.Entry, incarnation: wire.Incarnation(t.Incarnation)}
	if successor, ok := e.successors.of(t.Incarnation); ok {
		owner = successor
	}
	if owner.id == e.self.ID {
		return nil, true // an earlier incarnation of this entry
	}
	p = e.peers.get(owner.id)
	if p == nil {
		return nil, false
	}
	if p.incarnation != owner.incarnation {
		return nil, true // the entry was replaced: that incarnation has ended
	}
	return p, false
}

func (e *Entry) forwardOnce(ctx context.Context, p *peerLink, method, text string, body []byte) (api.Answer, bool) {
	id, w := e.forwards.add(p)
	defer e.forwards.drop(id)
	if !p.send(&wire.Forward{Request: id, Method: method, Ticket: text, Body: body}) {
		pause(ctx, peerPoll)
		return api.Answer{}, false
	}
	select {
	case m, ok := <-w.reply:
		if !ok {
			return api.Answer{}, false
		}
		var a api.Answer
		if err := json.Unmarshal(m.Body, &a); err != nil {
			return errorAnswer(text, result.Errorf(result.OutcomeUnknown, "unreadable answer of a peer")), true
		}
		return a, true
	case <-ctx.Done():
		return runningAnswer(text), true
	}
}

// answerForward answers a request that a peer forwarded.
func (e *Entry) answerForward(p *peerLink, m *wire.Forward) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-p.link.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	a := e.answerForwarded(ctx, m)
	if ctx.Err() != nil {
		return
	}
	body, err := json.Marshal(a)
	if err != nil {
		e.log.Error().Err(err).Msg("answer not encoded")
		return
	}
	p.send(&wire.ForwardReply{Request: m.Request, Body: body})
}

func (e *Entry) answerForwarded(ctx context.Context, m *wire.Forward) api.Answer {
	t, err := ledger.DecodeTicket(m.Ticket, e.ticketKeys)
	if err != nil {
		return errorAnswer("", err)
	}
	if t.Entry == e.self.ID && t.Incarnation == uint64(e.self.Incarnation) {
		return e.requestHere(ctx, m.Method, t, m.Ticket, m.Body)
	}
	if inherited := e.successors.inheritedLedger(t.Incarnation); inherited != nil {
		return e.requestInherited(inherited, m.Method, t, m.Ticket, m.Body)
	}
	return errorAnswer(m.Ticket, result.Errorf(result.OutcomeUnknown, "the ticket belongs to another run"))
}

// requestInherited answers a request from the inherited ledger of an incarnation
// that stopped.
func (e *Entry) requestInherited(inherited *ledger.Ledger, method string, t ledger.Ticket, text string, body []byte) api.Answer {
	if method == http.MethodPut {
		rec, _, err := inherited.Open(t, digest(body), time.Now())
		if err != nil {
			return errorAnswer(text, err)
		}
		return outcomeAnswer(text, rec.Outcome())
	}
	if rec, _ := inherited.Find(t.Seq); rec != nil {
		return outcomeAnswer(text, rec.Outcome())
	}
	if inherited.MayHaveBeenSubmitted(t, time.Now()) {
		return errorAnswer(text, result.Errorf(result.OutcomeUnknown, "the answer is no longer kept"))
	}
	return errorAnswer(text, result.Errorf(result.IssuerClosed, "the issuing entry shut down"))
}
