package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"bergamotwing.example/drain"
	"bergamotwing.example/ledger"
	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

const (
	handoverPart    = 200             // jobs in one message
	handoverTimeout = 2 * time.Second // for one peer to acknowledge all ledgers
	closeTimeout    = 5 * time.Second // for the HTTP servers to shut down
	flushTimeout    = time.Second     // for the links to write the queued messages
)

// entryIncarnation identifies one incarnation of an entry.
type entryIncarnation struct {
	id          string
	incarnation wire.Incarnation
}

// successorSet records which entry answers for the tickets of each entry that
// stopped gracefully, and holds the ledgers that were handed to this entry.
type successorSet struct {
	mu          sync.Mutex
	successorOf map[uint64]entryIncarnation // by stopped incarnation: the one that answers for it
	inherited   map[uint64]*ledger.Ledger
	partial     map[uint64]*ledger.Ledger // not yet complete
	acks        map[uint64]chan struct{}
}

func newSuccessorSet() *successorSet {
	return &successorSet{
		successorOf: map[uint64]entryIncarnation{},
		inherited:   map[uint64]*ledger.Ledger{},
		partial:     map[uint64]*ledger.Ledger{},
		acks:        map[uint64]chan struct{}{},
	}
}

// inheritedLedger returns the inherited ledger of an incarnation, or nil.
func (s *successorSet) inheritedLedger(incarnation uint64) *ledger.Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inherited[incarnation]
}

// of returns the incarnation that answers for a stopped one.
func (s *successorSet) of(incarnation uint64) (successor entryIncarnation, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	successor, ok = s.successorOf[incarnation]
	return successor, ok
}

// ledgers returns the inherited ledgers.
func (s *successorSet) ledgers() []*ledger.Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.inherited))
}

func (s *successorSet) handleSuccessor(m *wire.Successor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.successorOf[uint64(m.Incarnation)] = entryIncarnation{id: m.SuccessorID, incarnation: m.SuccessorIncarnation}
}

// handleHandover adds a part of a ledger that a stopping entry sent. After the
// last part, this entry answers for the tickets of that ledger.
func (s *successorSet) handleHandover(e *Entry, p *peerLink, m *wire.Handover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	incarnation := uint64(m.Incarnation)
	l, ok := s.partial[incarnation]
	if !ok {
		l = ledger.NewInherited(m.Entry, incarnation, e.cfg.Limits.ResultBytes)
		s.partial[incarnation] = l
	}
	for _, j := range m.Jobs {
		l.Restore(j.Seq, j.Digest, outcomeOf(j), time.Now())
	}
	if !m.Last {
		return
	}
	delete(s.partial, incarnation)
	s.inherited[incarnation] = l
	p.send(&wire.HandoverAck{Incarnation: m.Incarnation})
	e.log.Info().Str("peer", p.id).Msg("ledger of a stopping entry taken over")
}

func outcomeOf(j wire.SettledJob) *ledger.Outcome {
	return &ledger.Outcome{Code: j.Code, Detail: j.Detail, Started: j.Started, Tasks: j.Tasks, Results: j.Results}
}

// expectAck returns a channel that is closed once a peer has acknowledged the
// ledger of the incarnation.
func (s *successorSet) expectAck(incarnation wire.Incarnation) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := make(chan struct{})
	s.acks[uint64(incarnation)] = c
	return c
}

func (s *successorSet) handleHandoverAck(incarnation wire.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.acks[uint64(incarnation)]; ok {
		delete(s.acks, uint64(incarnation))
		close(c)
	}
}

// stop ends the entry gracefully: it takes no new jobs, finishes the open ones,
// hands its ledger over to a peer, and answers every request before it closes
// the listeners.
func (e *Entry) stop(s *servers) {
	e.log.Info().Int64("open_jobs", e.openJobs.Load()).Msg("entry stopping")
	e.stopping.Store(true)
	e.peers.each(func(p *peerLink) { e.sendPeerHeartbeat(p, false) })
	e.ledger.Close()
	deadline := time.Now().Add(e.cfg.StopTimeout.D())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	pause(ctx, drainDelay)
	for e.busy() && pause(ctx, dispatchTick) {
	}
	e.failOpenJobs()
	e.requests.stopWaiting()
	e.handOver()
	e.control.deregister()
	closing, cancelClosing := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClosing()
	for _, clients := range []*drain.Server{s.callers, s.operators} {
		if err := clients.Stop(closing); err != nil {
			e.log.Warn().Err(err).Msg("requests were open when the server closed")
		}
	}
	if err := s.metrics.Shutdown(closing); err != nil {
		e.log.Warn().Err(err).Msg("metrics server did not shut down in time")
	}
	_ = s.links.Close()
	e.listeners.close()
}

// busy reports whether a job of this incarnation or a caller's request is open. A
// request may be for a job of another incarnation, to which it was forwarded.
func (e *Entry) busy() bool { return e.openJobs.Load() > 0 || e.requests.count.Load() > 0 }

// failOpenJobs fails the jobs that did not end within the stop timeout.
func (e *Entry) failOpenJobs() {
	e.services.each(func(s *service) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for id, j := range s.jobs {
			s.fail(id, j, result.Stopping, result.OutcomeUnknown, "the entry stopped before the job had ended")
		}
	})
}

// handOver sends this entry's ledger, and those inherited from earlier stops, to
// a peer and announces that peer to the others as the successor.
func (e *Entry) handOver() {
	ledgers := append(e.successors.ledgers(), e.ledger)
	for _, p := range e.peers.list() {
		if !e.handOverTo(p, ledgers) {
			continue
		}
		for _, l := range ledgers {
			_, incarnation := l.Incarnation()
			successor := &wire.Successor{Incarnation: wire.Incarnation(incarnation), SuccessorID: p.id, SuccessorIncarnation: p.incarnation}
			e.peers.each(func(q *peerLink) { q.send(successor) })
		}
		e.log.Info().Str("peer", p.id).Int("ledgers", len(ledgers)).Msg("ledgers handed over")
		e.awaitFlush()
		return
	}
	e.log.Warn().Msg("no peer took over the ledger")
}

// handOverTo sends ledgers to a peer and reports whether the peer acknowledged
// them all.
func (e *Entry) handOverTo(p *peerLink, ledgers []*ledger.Ledger) bool {
	timeout := time.After(handoverTimeout)
	for _, l := range ledgers {
		_, incarnation := l.Incarnation()
		acked := e.successors.expectAck(wire.Incarnation(incarnation))
		if !e.sendLedger(p, l) {
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

// sendLedger sends a ledger to a peer in parts and reports whether every part was
// queued: if one were missing, the peer would answer that used tickets had never
// been used.
func (e *Entry) sendLedger(p *peerLink, l *ledger.Ledger) bool {
	entry, incarnation := l.Incarnation()
	part := func() *wire.Handover { return &wire.Handover{Entry: entry, Incarnation: wire.Incarnation(incarnation)} }
	m, queued := part(), true
	l.Ended(func(seq uint64, d ledger.Digest, o *ledger.Outcome) {
		m.Jobs = append(m.Jobs, wire.SettledJob{
			Seq: seq, Digest: d, Code: o.Code, Detail: o.Detail, Started: o.Started, Tasks: o.Tasks, Results: o.Results,
		})
		if len(m.Jobs) == handoverPart {
			queued = queued && p.send(m)
			m = part()
		}
	})
	m.Last = true
	return queued && p.send(m)
}

// awaitFlush waits until the links have written the queued messages.
func (e *Entry) awaitFlush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for _, p := range e.peers.list() {
		for p.link.Queued() > 0 && pause(ctx, dispatchTick) {
		}
	}
	pause(ctx, peerPoll) // the message taken last from a queue may not be written yet
}
