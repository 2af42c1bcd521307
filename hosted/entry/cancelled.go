package entry

import (
	"errors"
	"slices"
	"time"

	"bergamotwing.example/platform"
)

const (
	// maxDeleted is how many ids of deleted jobs are kept: some 8 MB, for 800 DELETEs a second
	// over the usual time for which the platform keeps jobs.
	maxDeleted = 100_000
	// cancelWritePause is the shortest pause between two writes of cancelled jobs: ten a
	// second of each entry, of the hundreds that the store takes from all.
	cancelWritePause = 100 * time.Millisecond
	// maxCancelsWaiting is how many DELETEs wait for the store: as many as are written
	// within deleteTimeout.
	maxCancelsWaiting = 1000
	// cancelRemovePause is the shortest pause until rows are removed that no write takes
	// along: so that a DELETE now and then costs few writes.
	cancelRemovePause = 10 * time.Second
	// cancelRewriteShare is the share of a row's time after which a DELETE of the same job
	// writes it again. Until then a DELETE that is repeated writes nothing.
	cancelRewriteShare = 0.25
)

// jobKey is a job's id, which has 16 characters, without a pointer.
type jobKey [16]byte

func keyOfJob(id string) (key jobKey) {
	copy(key[:], id)
	return key
}

func (k jobKey) String() string {
	n := len(k)
	for n > 0 && k[n-1] == 0 {
		n--
	}
	return string(k[:n])
}

// deletedJobs holds the ids of deleted jobs for a time.
type deletedJobs struct {
	until map[jobKey]time.Duration
	order []deletedID // each id once, in the order in which they are looked at
}

type deletedID struct {
	job jobKey
	due time.Duration // when it is dropped, unless it was added again
}

// add keeps an id, and reports whether there was room for it. None is dropped to make room:
// its DELETE may have been acknowledged.
func (d *deletedJobs) add(id string, until time.Duration) bool {
	job := keyOfJob(id)
	if old, known := d.until[job]; known {
		d.until[job] = max(old, until)
		return true
	}
	if len(d.order) >= maxDeleted {
		return false
	}
	if d.until == nil {
		d.until = map[jobKey]time.Duration{}
	}
	d.until[job] = until
	d.order = append(d.order, deletedID{job, until})
	return true
}

func (d *deletedJobs) has(now time.Duration, id string) bool {
	until, ok := d.until[keyOfJob(id)]
	return ok && now <= until
}

// expire drops the ids whose time is over. One that another entry has sent may come after
// one that is kept for longer, and is dropped together with it.
func (d *deletedJobs) expire(now time.Duration) (dropped []jobKey) {
	for len(d.order) > 0 && now > d.order[0].due {
		job := d.order[0].job
		d.order = d.order[1:]
		if until := d.until[job]; until >= now { // it was added again
			d.order = append(d.order, deletedID{job, until})
			continue
		}
		delete(d.until, job)
		dropped = append(dropped, job)
	}
	if len(d.order) == 0 {
		d.order = nil
	}
	return dropped
}

// cancelWrites decides when rows of cancelled jobs are written and removed: one write at a
// time, of what waits by then.
type cancelWrites struct {
	waiting []string    // ids whose row is to be written, each once
	rows    deletedJobs // rows that this entry has written, until they are to be removed
	unsure  deletedJobs // rows of writes that were not answered, which may have been written
	expired []jobKey    // rows whose time is over
	busy    bool        // a write is under way
	nextAt  time.Duration
	removed time.Duration // when rows were last removed
}

// wants adds a row to be written, and reports whether there is room for it. If the store has
// the row already, stored is true.
func (w *cancelWrites) wants(now, keep time.Duration, id string) (stored, ok bool) {
	if until, known := w.rows.until[keyOfJob(id)]; known && until-now > time.Duration((1-cancelRewriteShare)*float64(keep)) {
		return true, true
	}
	if slices.Contains(w.waiting, id) {
		return false, true
	}
	if len(w.waiting) >= maxCancelsWaiting || len(w.rows.order)+len(w.waiting) >= maxDeleted {
		return false, false
	}
	w.waiting = append(w.waiting, id)
	return false, true
}

// next returns the rows that are to be written and removed now. Both are empty if a write is
// under way or not due yet.
func (w *cancelWrites) next(now time.Duration) (set, remove []string) {
	w.expired = append(w.expired, w.rows.expire(now)...)
	for _, job := range w.unsure.expire(now) {
		if _, written := w.rows.until[job]; !written {
			w.expired = append(w.expired, job)
		}
	}
	if w.busy || now < w.nextAt || len(w.waiting) == 0 && (len(w.expired) == 0 || now-w.removed < cancelRemovePause) {
		return nil, nil
	}
	n := min(len(w.waiting), platform.MaxRowsPerWrite)
	set, w.waiting = w.waiting[:n:n], w.waiting[n:]
	for len(w.expired) > 0 && len(set)+len(remove) < platform.MaxRowsPerWrite {
		job := w.expired[0].String()
		w.expired = w.expired[1:]
		if !slices.Contains(set, job) && !slices.Contains(w.waiting, job) { // else its DELETE has come again
			remove = append(remove, job)
		}
	}
	if len(remove) > 0 {
		w.removed = now
	}
	w.busy = len(set)+len(remove) > 0
	return set, remove
}

// done records how a write has ended.
func (w *cancelWrites) done(now, keep time.Duration, set, remove []string, err error) {
	w.busy = false
	w.nextAt = now + cancelWritePause
	if err != nil {
		w.nextAt = now + storePause
		if !errors.Is(err, platform.ErrNotDone) {
			for _, job := range set {
				w.unsure.add(job, now+keep)
			}
		}
		for _, job := range remove {
			w.expired = append(w.expired, keyOfJob(job))
		}
		return
	}
	for _, job := range set {
		w.rows.add(job, now+keep)
	}
}
