package ledger

import (
	"sync"
	"time"

	"bergamotwing.example/result"
)

// Record is a Ledger's record of a submitted or withdrawn ticket.
type Record struct {
	Digest    Digest
	withdrawn bool // cancelled before it was submitted: any content matches
	done      chan struct{}

	mu      sync.Mutex
	out     *Outcome
	endedAt time.Time
	size    int // bytes of the results
}

// Done is closed once the outcome is known.
func (r *Record) Done() <-chan struct{} { return r.done }

// Outcome returns the final answer, or nil while the job runs. It never has code
// OK without Results: an answer whose results are no longer kept has code
// OutcomeUnknown.
func (r *Record) Outcome() *Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.out
}

// finish sets the outcome; it returns false if the record already had one.
func (r *Record) finish(o *Outcome, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.out != nil {
		return false
	}
	r.out, r.endedAt = o, now
	for _, b := range o.Results {
		r.size += len(b)
	}
	close(r.done)
	return true
}

// dropResults drops the results, but not the fact that the job ran.
func (r *Record) dropResults() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.size = 0
	if r.out.Code == result.OK {
		o := *r.out
		o.Code, o.Results, o.Detail = result.OutcomeUnknown, nil, "the answer is no longer kept"
		r.out = &o
	}
}

// recordLifetime is how long a record is kept after its job has ended. It is
// longer than the lifetime of the ticket, after which the ticket is refused as
// expired.
const recordLifetime = TicketLifetime + 5*time.Minute

// Ledger holds the tickets of one entry incarnation: which were issued, which
// were submitted and what was answered. It is safe for concurrent use.
type Ledger struct {
	entry       string
	incarnation uint64
	maxBytes    int

	mu          sync.Mutex
	issued      uint64
	used        map[uint64]uint64 // bitmap of submitted and withdrawn sequence numbers, 64 to an element
	records     map[uint64]*Record
	ended       []uint64 // records with an outcome, oldest first
	withResults []uint64 // ended records whose results are kept, oldest first
	bytes       int
	closed      bool

	inherited bool // tickets whose records were dropped before the handover are not in used
}

// New returns the empty ledger of an entry's incarnation. Results of ended jobs
// are kept up to maxBytes; the oldest are dropped first.
func New(entry string, incarnation uint64, maxBytes int) *Ledger {
	return &Ledger{entry: entry, incarnation: incarnation, maxBytes: maxBytes, used: map[uint64]uint64{}, records: map[uint64]*Record{}}
}

// NewInherited returns a closed ledger for an incarnation that stopped, to be
// filled by Restore.
func NewInherited(entry string, incarnation uint64, maxBytes int) *Ledger {
	l := New(entry, incarnation, maxBytes)
	l.closed, l.inherited = true, true
	return l
}

// Incarnation returns the entry and its incarnation whose tickets the ledger
// holds.
func (l *Ledger) Incarnation() (entry string, incarnation uint64) { return l.entry, l.incarnation }

// Issue returns n new tickets, or none once the ledger is closed.
func (l *Ledger) Issue(n int, now time.Time) []Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	out := make([]Ticket, n)
	for i := range out {
		l.issued++
		out[i] = Ticket{Entry: l.entry, Incarnation: l.incarnation, Seq: l.issued, Issued: now.Unix()}
	}
	return out
}

// Close makes the ledger refuse new submissions and tickets.
func (l *Ledger) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// Open finds or creates the record of a submission. isNew is true for at most one
// call per ticket: that caller must end the record with Finish. A ticket that is
// too late gets a record that has already ended, so that every submission under
// the ticket is refused alike. The error has code TicketReused, OutcomeUnknown or
// BadTicket.
func (l *Ledger) Open(t Ticket, d Digest, now time.Time) (rec *Record, isNew bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rec, ok := l.records[t.Seq]; ok {
		if rec.Digest != d && !rec.withdrawn {
			return nil, false, result.Errorf(result.TicketReused, "the ticket was used for a job with another body")
		}
		return rec, false, nil
	}
	if l.mayHaveForgotten(t, now) {
		return nil, false, result.Errorf(result.OutcomeUnknown, "the answer is no longer kept")
	}
	if t.Seq == 0 || t.Seq > l.issued && !l.closed {
		return nil, false, result.Errorf(result.BadTicket, "the ticket was not issued")
	}
	rec = &Record{Digest: d, done: make(chan struct{})}
	l.records[t.Seq] = rec
	l.markUsed(t.Seq)
	switch {
	case l.closed:
		l.end(t.Seq, rec, &Outcome{Code: result.IssuerClosed, Detail: "the entry takes no new jobs"}, now)
	case expired(t, now):
		l.end(t.Seq, rec, &Outcome{Code: result.TicketExpired, Detail: "the ticket is past its lifetime"}, now)
	default:
		return rec, true, nil
	}
	return rec, false, nil
}

// Withdraw ends a ticket that was never submitted, so that no job can run under
// it. It returns nil if the ticket was submitted before.
func (l *Ledger) Withdraw(t Ticket, now time.Time) *Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isUsed(t.Seq) {
		return nil
	}
	rec := &Record{withdrawn: true, done: make(chan struct{})}
	l.records[t.Seq] = rec
	l.markUsed(t.Seq)
	l.end(t.Seq, rec, &Outcome{Code: result.CancelledNotRun}, now)
	return rec
}

// Find returns the record of a ticket, or nil; used reports whether the ticket
// was ever submitted or withdrawn.
func (l *Ledger) Find(seq uint64) (rec *Record, used bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[seq], l.isUsed(seq)
}

// Finish ends a record. It returns false if there is no record of the ticket or
// the record had ended before.
func (l *Ledger) Finish(seq uint64, o *Outcome, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec, ok := l.records[seq]
	return ok && l.end(seq, rec, o, now)
}

// end finishes rec and starts its retention; it returns false if rec had ended
// before.
func (l *Ledger) end(seq uint64, rec *Record, o *Outcome, now time.Time) bool {
	if !rec.finish(o, now) {
		return false
	}
	l.ended = append(l.ended, seq)
	if rec.size > 0 {
		l.withResults = append(l.withResults, seq)
		l.bytes += rec.size
	}
	l.trim(now)
	return true
}

// trim drops results over the byte limit and records past their lifetime.
func (l *Ledger) trim(now time.Time) {
	for len(l.ended) > 0 {
		rec := l.records[l.ended[0]]
		if rec == nil || now.Sub(rec.endedAt) <= recordLifetime {
			break
		}
		l.bytes -= rec.size
		delete(l.records, l.ended[0])
		l.ended = l.ended[1:]
	}
	for l.bytes > l.maxBytes && len(l.withResults) > 0 {
		if rec := l.records[l.withResults[0]]; rec != nil {
			l.bytes -= rec.size
			rec.dropResults()
		}
		l.withResults = l.withResults[1:]
	}
}

func (l *Ledger) markUsed(seq uint64) { l.used[seq/64] |= 1 << (seq % 64) }

func (l *Ledger) isUsed(seq uint64) bool { return l.used[seq/64]&(1<<(seq%64)) != 0 }

// Ended calls f with each ended record, oldest first.
func (l *Ledger) Ended(f func(seq uint64, d Digest, o *Outcome)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, seq := range l.ended {
		if rec := l.records[seq]; rec != nil {
			f(seq, rec.Digest, rec.Outcome())
		}
	}
}

// Restore adds an ended record received from the entry that created it. The
// record of a withdrawn ticket has no digest.
func (l *Ledger) Restore(seq uint64, d Digest, o *Outcome, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.records[seq]; ok {
		return
	}
	rec := &Record{Digest: d, withdrawn: d == Digest{}, done: make(chan struct{})}
	l.records[seq] = rec
	l.markUsed(seq)
	l.end(seq, rec, o, now)
}

// MayHaveBeenSubmitted reports whether a ticket of which the ledger has no
// record may have been submitted.
func (l *Ledger) MayHaveBeenSubmitted(t Ticket, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mayHaveForgotten(t, now)
}

// mayHaveForgotten reports whether a ticket without a record may have been submitted
// or withdrawn. It relies on records outliving the lifetime of their tickets.
func (l *Ledger) mayHaveForgotten(t Ticket, now time.Time) bool {
	return l.isUsed(t.Seq) || l.inherited && expired(t, now)
}

func expired(t Ticket, now time.Time) bool { return now.Sub(time.Unix(t.Issued, 0)) > TicketLifetime }
