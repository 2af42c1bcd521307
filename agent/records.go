package agent

import (
	"sync"
	"time"

	"bergamotwing.example/ledger"
	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

// How long starts and fences are kept. Within startRetention, a settlement takes a
// start that no agent reports for one that never happened. The deadline of every
// job that a fence concerns has passed well before fenceRetention ends.
const (
	startRetention = ledger.StartRecordRetention
	fenceRetention = 30 * time.Minute
)

// startRecord is one started task. It is kept small, since each start within
// startRetention has one.
type startRecord struct {
	index    uint32
	code     uint16
	finished bool
}

// jobRecord lists the tasks of one ticket that this agent started.
type jobRecord struct {
	digest [16]byte
	latest time.Duration // latest start
	starts []startRecord
}

func (j *jobRecord) find(index int) *startRecord {
	for i := range j.starts {
		if j.starts[i].index == uint32(index) { //nolint:gosec // checked in begin
			return &j.starts[i]
		}
	}
	return nil
}

// expiry is an item in the queue of tickets, which is ordered by age.
type expiry struct {
	issuer entryIncarnation
	seq    uint64
	at     time.Duration
}

// records keeps the starts of tasks, the results that are still held, and the
// fences. A task with a recorded start is never started again.
type records struct {
	mu      sync.Mutex
	jobs    map[entryIncarnation]map[uint64]*jobRecord
	queue   []expiry // oldest first
	tasks   int
	fences  map[wire.TicketID]time.Duration
	results *resultCache
}

func newRecords(resultBytes int) *records {
	return &records{
		jobs:    map[entryIncarnation]map[uint64]*jobRecord{},
		fences:  map[wire.TicketID]time.Duration{},
		results: newResultCache(resultBytes),
	}
}

// check returns the reason why a task must not start, or OK.
func (r *records) check(task wire.TaskRef) result.Code {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checkLocked(task)
}

func (r *records) checkLocked(task wire.TaskRef) result.Code {
	if _, fenced := r.fences[task.Ticket]; fenced {
		return result.TicketFenced
	}
	if j := r.job(task.Ticket); j != nil && j.find(task.Index) != nil {
		return result.AlreadyStarted
	}
	return result.OK
}

// begin records a start and returns OK, or returns check's reason against it.
func (r *records) begin(task wire.TaskRef, digest [16]byte, now time.Duration) result.Code {
	r.mu.Lock()
	defer r.mu.Unlock()
	if code := r.checkLocked(task); code != result.OK {
		return code
	}
	j := r.job(task.Ticket)
	if j == nil {
		j = r.addJob(task.Ticket, digest, now)
	}
	j.latest = now
	j.starts = append(j.starts, startRecord{index: uint32(task.Index)}) //nolint:gosec // checked by validGrant
	r.tasks++
	return result.OK
}

// undo removes the record of a task that provably did not start.
func (r *records) undo(task wire.TaskRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.job(task.Ticket)
	if j == nil {
		return
	}
	for i := range j.starts {
		if j.starts[i].index == uint32(task.Index) { //nolint:gosec // checked by validGrant
			j.starts = append(j.starts[:i], j.starts[i+1:]...)
			r.tasks--
			return
		}
	}
}

// finish records the result of a started task.
func (r *records) finish(res *wire.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.job(res.Task.Ticket)
	if j == nil {
		return
	}
	if s := j.find(res.Task.Index); s != nil {
		s.finished, s.code = true, uint16(res.Code) //nolint:gosec // codes are below 1000
		r.results.add(res)
	}
}

// lookup returns the state of a task, and its result if it is still held.
func (r *records) lookup(task wire.TaskRef) (wire.TaskState, *wire.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.job(task.Ticket)
	if j == nil {
		return wire.TaskNeverSeen, nil
	}
	s := j.find(task.Index)
	switch {
	case s == nil:
		return wire.TaskNeverSeen, nil
	case !s.finished:
		return wire.TaskRunning, nil
	}
	if res := r.results.get(task); res != nil {
		return wire.TaskFinished, res
	}
	return wire.TaskForgotten, nil
}

// fence makes check refuse the ticket and returns the started tasks of the ticket.
func (r *records) fence(ticket wire.TicketID, now time.Duration) []wire.StartedTask {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fences[ticket] = now
	j := r.job(ticket)
	if j == nil {
		return nil
	}
	started := make([]wire.StartedTask, 0, len(j.starts))
	for _, s := range j.starts {
		started = append(started, r.describe(ticket, j, s))
	}
	return started
}

func (r *records) describe(ticket wire.TicketID, j *jobRecord, s startRecord) wire.StartedTask {
	out := wire.StartedTask{
		Index:    int(s.index),
		Finished: s.finished,
		Code:     result.Code(s.code),
		Digest:   j.digest,
	}
	if res := r.results.get(wire.TaskRef{Ticket: ticket, Index: int(s.index)}); res != nil {
		out.Held, out.Body = true, res.Body
	}
	return out
}

// sweep drops starts and fences past their retention.
func (r *records) sweep(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.queue) > 0 && now-r.queue[0].at > startRetention {
		oldest := r.queue[0]
		r.queue = r.queue[1:]
		r.forget(oldest, now)
	}
	for ticket, at := range r.fences {
		if now-at > fenceRetention {
			delete(r.fences, ticket)
		}
	}
}

// forget drops a ticket's record, or requeues the ticket if it has later starts or
// one of its tasks still runs.
func (r *records) forget(e expiry, now time.Duration) {
	j := r.jobs[e.issuer][e.seq]
	if now-j.latest <= startRetention {
		r.queue = append(r.queue, expiry{issuer: e.issuer, seq: e.seq, at: j.latest})
		return
	}
	for _, s := range j.starts {
		if !s.finished {
			r.queue = append(r.queue, expiry{issuer: e.issuer, seq: e.seq, at: now})
			return
		}
	}
	r.tasks -= len(j.starts)
	delete(r.jobs[e.issuer], e.seq)
	if len(r.jobs[e.issuer]) == 0 {
		delete(r.jobs, e.issuer)
	}
}

// size returns the number of starts on record.
func (r *records) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tasks
}

func (r *records) job(ticket wire.TicketID) *jobRecord {
	return r.jobs[issuerOf(ticket)][ticket.Seq]
}

func (r *records) addJob(ticket wire.TicketID, digest [16]byte, now time.Duration) *jobRecord {
	issuer := issuerOf(ticket)
	bySeq := r.jobs[issuer]
	if bySeq == nil {
		bySeq = map[uint64]*jobRecord{}
		r.jobs[issuer] = bySeq
	}
	j := &jobRecord{digest: digest}
	bySeq[ticket.Seq] = j
	r.queue = append(r.queue, expiry{issuer: issuer, seq: ticket.Seq, at: now})
	return j
}
