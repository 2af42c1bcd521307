package ledger

import (
	"sync"
	"time"

	"bergamotwing.example/result"
)

// Record is what a Ledger knows of a submitted ticket.
type Record struct {
	Digest    Digest
	withdrawn bool // cancelled before it was submitted: any content matches
	done      chan struct{}

	mu   sync.Mutex
	out  *Outcome
	at   time.Time
	size int // bytes of the results
}

// Done is closed once the outcome is known.
func (r *Record) Done() <-chan struct{} { return r.done }

// Outcome returns the final answer, or nil while the job runs. A nil Results
// with code OK never occurs: an answer that is no longer kept reads as
// OutcomeUnknown.
func (r *Record) Outcome() *Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.out
}

// finish sets the outcome; it returns false if there was one.
func (r *Record) finish(o *Outcome, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.out != nil {
		return false
	}
	r.out, r.at = o, now
	for _, b := range o.Results {
		r.size += len(b)
	}
	close(r.done)
	return true
}

// drop forgets the results and keeps that the job ran.
func (r *Record) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.size = 0
	if r.out.Code == result.OK {
		o := *r.out
		o.Code, o.Results, o.Detail = result.OutcomeUnknown, nil, "the answer is no longer kept"
		r.out = &o
	}
}

// recordLifetime is how long a record outlives its job: past the lifetime of
// the ticket, after which the ticket is refused as expired.
const recordLifetime = TicketLifetime + 5*time.Minute

// Ledger holds the tickets of one entry run: which were issued, which were
// submitted and what was answered. It is safe for concurrent use.
type Ledger struct {
	entry       string
	incarnation uint64
	maxBytes    int

	mu      sync.Mutex
	issued  uint64
	used    map[uint64]uint64 // bitmap of submitted sequence numbers, by 64
	records map[uint64]*Record
	ended   []uint64 // records with an outcome, oldest first
	holding []uint64 // those whose results are kept, oldest first
	bytes   int
	closed  bool

	inherited bool // what was forgotten before the handover is not in used
}

// New returns the empty ledger of an entry's run. Results of ended jobs are
// kept up to maxBytes, oldest dropped first.
func New(entry string, incarnation uint64, maxBytes int) *Ledger {
	return &Ledger{entry: entry, incarnation: incarnation, maxBytes: maxBytes, used: map[uint64]uint64{}, records: map[uint64]*Record{}}
}

// NewInherited returns a closed ledger for a run that stopped, to be filled
// by Restore.
func NewInherited(entry string, incarnation uint64, maxBytes int) *Ledger {
	b := New(entry, incarnation, maxBytes)
	b.closed, b.inherited = true, true
	return b
}

// Incarnation returns the entry's run whose tickets the ledger holds.
func (b *Ledger) Incarnation() (entry string, incarnation uint64) { return b.entry, b.incarnation }

// Issue returns n new tickets, or none once the ledger is closed.
func (b *Ledger) Issue(n int, now time.Time) []Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil
	}
	out := make([]Ticket, n)
	for i := range out {
		b.issued++
		out[i] = Ticket{Entry: b.entry, Incarnation: b.incarnation, Seq: b.issued, Issued: now.Unix()}
	}
	return out
}

// Close makes the ledger refuse new submissions and tickets.
func (b *Ledger) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}

// Open finds the record of a submission or makes it. isNew is true for exactly
// one call per ticket: that caller must end the record with Finish. A ticket
// that is too late gets a record that has ended, so that the same refusal is
// given each time. The error has code TicketReused, OutcomeUnknown or BadTicket.
func (b *Ledger) Open(t Ticket, d Digest, now time.Time) (rec *Record, isNew bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if rec, ok := b.records[t.Seq]; ok {
		if rec.Digest != d && !rec.withdrawn {
			return nil, false, result.Errorf(result.TicketReused, "the ticket was used for a job with another body")
		}
		return rec, false, nil
	}
	if b.forgot(t, now) {
		return nil, false, result.Errorf(result.OutcomeUnknown, "the answer is no longer kept")
	}
	if t.Seq == 0 || t.Seq > b.issued && !b.closed {
		return nil, false, result.Errorf(result.BadTicket, "the ticket was not issued")
	}
	rec = &Record{Digest: d, done: make(chan struct{})}
	b.records[t.Seq] = rec
	b.use(t.Seq)
	switch {
	case b.closed:
		b.end(t.Seq, rec, &Outcome{Code: result.IssuerClosed, Detail: "the entry takes no new jobs"}, now)
	case expired(t, now):
		b.end(t.Seq, rec, &Outcome{Code: result.TicketExpired, Detail: "the ticket is past its lifetime"}, now)
	default:
		return rec, true, nil
	}
	return rec, false, nil
}

// Withdraw ends a ticket that was never submitted, so that it never will be. It
// returns nil if the ticket was submitted before.
func (b *Ledger) Withdraw(t Ticket, now time.Time) *Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isUsed(t.Seq) {
		return nil
	}
	rec := &Record{withdrawn: true, done: make(chan struct{})}
	b.records[t.Seq] = rec
	b.use(t.Seq)
	b.end(t.Seq, rec, &Outcome{Code: result.CancelledNotRun}, now)
	return rec
}

// Find returns the record of a ticket, or nil; used tells whether the ticket
// was ever submitted.
func (b *Ledger) Find(seq uint64) (rec *Record, used bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.records[seq], b.isUsed(seq)
}

// Finish ends a record. It returns false if the record had ended before.
func (b *Ledger) Finish(seq uint64, o *Outcome, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	rec, ok := b.records[seq]
	return ok && b.end(seq, rec, o, now)
}

// end finishes rec and starts its retention; it returns false if it had ended.
func (b *Ledger) end(seq uint64, rec *Record, o *Outcome, now time.Time) bool {
	if !rec.finish(o, now) {
		return false
	}
	b.ended = append(b.ended, seq)
	if rec.size > 0 {
		b.holding = append(b.holding, seq)
		b.bytes += rec.size
	}
	b.trim(now)
	return true
}

// trim drops results over the byte limit and records past their lifetime.
func (b *Ledger) trim(now time.Time) {
	for len(b.ended) > 0 {
		rec := b.records[b.ended[0]]
		if rec == nil || now.Sub(rec.at) <= recordLifetime {
			break
		}
		b.bytes -= rec.size
		delete(b.records, b.ended[0])
		b.ended = b.ended[1:]
	}
	for b.bytes > b.maxBytes && len(b.holding) > 0 {
		if rec := b.records[b.holding[0]]; rec != nil {
			b.bytes -= rec.size
			rec.drop()
		}
		b.holding = b.holding[1:]
	}
}

func (b *Ledger) use(seq uint64) { b.used[seq/64] |= 1 << (seq % 64) }

func (b *Ledger) isUsed(seq uint64) bool { return b.used[seq/64]&(1<<(seq%64)) != 0 }

// Ended calls f with each ended record, oldest first.
func (b *Ledger) Ended(f func(seq uint64, d Digest, o *Outcome)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, seq := range b.ended {
		if rec := b.records[seq]; rec != nil {
			f(seq, rec.Digest, rec.Outcome())
		}
	}
}

// Restore adds an ended record received from the entry that made it. The record
// of a ticket that was withdrawn has no digest.
func (b *Ledger) Restore(seq uint64, d Digest, o *Outcome, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.records[seq]; ok {
		return
	}
	rec := &Record{Digest: d, withdrawn: d == Digest{}, done: make(chan struct{})}
	b.records[seq] = rec
	b.use(seq)
	b.end(seq, rec, o, now)
}

// MayHaveBeenSubmitted reports whether a ticket of which the ledger has no
// record may have been submitted.
func (b *Ledger) MayHaveBeenSubmitted(t Ticket, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.forgot(t, now)
}

// forgot relies on records outliving the lifetime of their tickets.
func (b *Ledger) forgot(t Ticket, now time.Time) bool {
	return b.isUsed(t.Seq) || b.inherited && expired(t, now)
}

func expired(t Ticket, now time.Time) bool { return now.Sub(time.Unix(t.Issued, 0)) > TicketLifetime }
