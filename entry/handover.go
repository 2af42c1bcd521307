package entry

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"bergamotwing.example/ledger"
	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

const (
	handoverPart    = 200 // jobs in one message
	handoverTimeout = 2 * time.Second
	closeTimeout    = 5 * time.Second
	flushTimeout    = time.Second
)

// entryRun is one run of an entry.
type entryRun struct {
	id          string
	incarnation wire.Incarnation
}

// heirs knows who answers for the tickets of entries that stopped gracefully,
// and keeps the ledgers that were handed to this one.
type heirs struct {
	mu        sync.Mutex
	heirOf    map[uint64]entryRun // by incarnation: the run that answers
	inherited map[uint64]*ledger.Ledger
	partial   map[uint64]*ledger.Ledger // not yet whole
	acks      map[uint64]chan struct{}
}

func newHeirs() *heirs {
	return &heirs{
		heirOf:    map[uint64]entryRun{},
		inherited: map[uint64]*ledger.Ledger{},
		partial:   map[uint64]*ledger.Ledger{},
		acks:      map[uint64]chan struct{}{},
	}
}

// book returns the inherited ledger of a run, or nil.
func (h *heirs) book(incarnation uint64) *ledger.Ledger {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inherited[incarnation]
}

// of returns the run that answers for one that stopped.
func (h *heirs) of(incarnation uint64) (heir entryRun, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	heir, ok = h.heirOf[incarnation]
	return heir, ok
}

// books returns the inherited ledgers.
func (h *heirs) books() []*ledger.Ledger {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Values(h.inherited))
}

func (h *heirs) note(m *wire.Successor) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heirOf[uint64(m.Incarnation)] = entryRun{id: m.SuccessorID, incarnation: m.SuccessorIncarnation}
}

// receive takes a part of a ledger; after the last, this entry answers for it.
func (h *heirs) receive(e *Entry, p *peerLink, m *wire.Handover) {
	h.mu.Lock()
	defer h.mu.Unlock()
	run := uint64(m.Incarnation)
	book, ok := h.partial[run]
	if !ok {
		book = ledger.NewInherited(m.Entry, run, e.cfg.Limits.ResultBytes)
		h.partial[run] = book
	}
	for _, j := range m.Jobs {
		book.Restore(j.Seq, j.Digest, outcomeOf(j), time.Now())
	}
	if !m.Last {
		return
	}
	delete(h.partial, run)
	h.inherited[run] = book
	p.send(&wire.HandoverAck{Incarnation: m.Incarnation})
	e.log.Info().Str("peer", p.id).Msg("ledger of a stopping entry taken over")
}

func outcomeOf(j wire.SettledJob) *ledger.Outcome {
	return &ledger.Outcome{Code: j.Code, Detail: j.Detail, Started: j.Started, Tasks: j.Tasks, Results: j.Results}
}

// expectAck returns a channel that is closed once a peer has confirmed the
// ledger of the run.
func (h *heirs) expectAck(run wire.Incarnation) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := make(chan struct{})
	h.acks[uint64(run)] = c
	return c
}

func (h *heirs) acked(run wire.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c, ok := h.acks[uint64(run)]; ok {
		delete(h.acks, uint64(run))
		close(c)
	}
}

// stop ends the entry gracefully: no new jobs, the open ones are finished, the
// ledger goes to a peer, and every request is answered before the listeners close.
func (e *Entry) stop(s *servers) {
	e.log.Info().Int64("open_jobs", e.openJobs.Load()).Msg("entry stops")
	e.stopping.Store(true)
	e.peers.each(func(p *peerLink) { e.beatPeer(p, false) })
	e.book.Close()
	deadline := time.Now().Add(e.cfg.StopTimeout.D())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	pause(ctx, drainDelay)
	for e.busy() && pause(ctx, dispatchTick) {
	}
	e.failOpenJobs()
	e.requests.end()
	e.handOver()
	e.control.deregister()
	closing, cancelClosing := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClosing()
	for _, srv := range []*http.Server{s.callers, s.operators, s.metrics} {
		if err := srv.Shutdown(closing); err != nil {
			e.log.Warn().Err(err).Msg("a request was still open at the end")
		}
	}
	_ = s.links.Close()
	e.listeners.close()
}

// busy reports whether a job of this run or a caller's request is open. A
// request may be for a job of another run, to which it was forwarded.
func (e *Entry) busy() bool { return e.openJobs.Load() > 0 || e.requests.count.Load() > 0 }

// failOpenJobs ends what did not finish within the stop's time.
func (e *Entry) failOpenJobs() {
	e.services.each(func(s *service) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for id, j := range s.jobs {
			s.fail(id, j, result.Stopping, result.OutcomeUnknown, "the entry stopped before the job had ended")
		}
	})
}

// handOver gives the ledger, and those inherited from earlier stops, to a peer
// and tells the others.
func (e *Entry) handOver() {
	books := append(e.heirs.books(), e.book)
	for _, p := range e.peers.list() {
		if !e.handOverTo(p, books) {
			continue
		}
		for _, b := range books {
			_, run := b.Incarnation()
			heir := &wire.Successor{Incarnation: wire.Incarnation(run), SuccessorID: p.id, SuccessorIncarnation: p.incarnation}
			e.peers.each(func(q *peerLink) { q.send(heir) })
		}
		e.log.Info().Str("peer", p.id).Int("ledgers", len(books)).Msg("ledgers handed over")
		e.awaitFlush()
		return
	}
	e.log.Warn().Msg("no peer took the ledger over")
}

// handOverTo sends ledgers to a peer and reports whether it confirmed them all.
func (e *Entry) handOverTo(p *peerLink, books []*ledger.Ledger) bool {
	timeout := time.After(handoverTimeout)
	for _, b := range books {
		_, run := b.Incarnation()
		acked := e.heirs.expectAck(wire.Incarnation(run))
		if !e.sendLedger(p, b) {
			return false
		}
		select {
		case <-acked:
		case <-p.link.Done():
			return false
		case <-timeout:
			return false
		}
	}
	return true
}

// sendLedger reports whether every part was queued: without one of them the
// peer would call tickets unused that were used.
func (e *Entry) sendLedger(p *peerLink, b *ledger.Ledger) bool {
	entry, run := b.Incarnation()
	part := func() *wire.Handover { return &wire.Handover{Entry: entry, Incarnation: wire.Incarnation(run)} }
	m, whole := part(), true
	b.Ended(func(seq uint64, d ledger.Digest, o *ledger.Outcome) {
		m.Jobs = append(m.Jobs, wire.SettledJob{
			Seq: seq, Digest: d, Code: o.Code, Detail: o.Detail, Started: o.Started, Tasks: o.Tasks, Results: o.Results,
		})
		if len(m.Jobs) == handoverPart {
			whole = whole && p.send(m)
			m = part()
		}
	})
	m.Last = true
	return whole && p.send(m)
}

// awaitFlush waits until the links have written what was queued.
func (e *Entry) awaitFlush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for _, p := range e.peers.list() {
		for p.link.Queued() > 0 && pause(ctx, dispatchTick) {
		}
	}
	pause(ctx, peerPoll) // what was taken last is on its way
}
