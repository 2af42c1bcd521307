package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/wire"
)

// staleCancels is after how many times the retention a row is removed by an entry that has
// not written it: its writer has not started again since.
const staleCancels = 10

// keptCancel is a cancelled job that was read from the store.
type keptCancel struct {
	job  string
	keep time.Duration // how long it is still kept
	own  bool          // the row is this entry's
}

// storeCancel has the row of a DELETE written.
func (s *state) storeCancel(now time.Duration, number uint64) {
	d := s.deletes[number]
	stored, ok := true, true
	if s.storeCancels != nil {
		stored, ok = s.cancels.wants(now, s.e.jobRetention(), d.job)
	}
	switch {
	case !ok:
		s.cancelNotStored(d.job, "full")
		s.endDelete(number, d, deleteNotStored)
	case stored:
		d.storing = false
	default:
		s.writeCancels(now)
	}
}

// writeCancels starts the next write of cancelled jobs if one is due.
func (s *state) writeCancels(now time.Duration) {
	if s.storeCancels == nil {
		return
	}
	if set, remove := s.cancels.next(now); len(set)+len(remove) > 0 {
		s.storeCancels(set, remove)
	}
}

func (s *state) cancelsWritten(now time.Duration, m cancelsWritten) {
	s.cancels.done(now, s.e.jobRetention(), m.set, m.remove, m.err)
	set := map[string]bool{}
	for _, job := range m.set {
		set[job] = true
	}
	for number, d := range s.deletes {
		switch {
		case !d.storing || !set[d.job]:
		case m.err == nil:
			d.storing = false
			s.endIfAnswered(number, d)
		case !slices.Contains(s.cancels.waiting, d.job): // else it came after this write had begun
			reason := "failed"
			if errors.Is(m.err, platform.ErrNotDone) {
				reason = "refused"
			}
			s.cancelNotStored(d.job, reason)
			s.endDelete(number, d, deleteNotStored)
		}
	}
	s.writeCancels(now)
}

// cancelNotStored records that the store has not taken the row of a DELETE.
func (s *state) cancelNotStored(job, reason string) {
	s.e.deps.Metrics.Count("bergamotwing_cancels_unstored_"+reason+"_total", "DELETEs that were not acknowledged since the store did not take their row.", 1)
	s.e.deps.Log.Warn().Str("event", "cancel_not_stored").Str("job", job).Str("reason", reason).Msg("the store has not taken the cancelling")
}

// cancelsRead applies the rows of cancelled jobs. After a read that began before this entry
// came to doubt that it knows all of them, it still does.
func (s *state) cancelsRead(now time.Duration, m cancelsRead) {
	for _, c := range m.jobs {
		s.deleteHere(now, &wire.JobDelete{Job: c.job, Keep: c.keep})
		if c.own {
			s.cancels.rows.add(c.job, now+c.keep)
		}
	}
	if m.doubts == s.e.cancelDoubts.Load() {
		s.knowCancels(now, "store")
	}
}

// knowCancels has this entry take jobs once it knows all acknowledged cancels, and passes
// them on to the entries that are linked already.
func (s *state) knowCancels(now time.Duration, from string) {
	if s.e.cancelsKnown.Swap(true) {
		return
	}
	s.e.deps.Log.Info().Str("event", "cancels_known").Str("from", from).Int("jobs", len(s.deleted.order)).Msg("cancelled jobs are known")
	for _, p := range s.peers {
		if p.Clock > 0 {
			s.resume(now, p)
		}
	}
}

// doubtCancels has the cancelled jobs read anew after an absence in which the others may have
// removed this entry's row and acknowledged DELETEs without it. It reports whether it does so.
func (s *state) doubtCancels(absence time.Duration) bool {
	if s.storeCancels == nil || absence < removeAfter/2 {
		return false
	}
	s.e.deps.Log.Warn().Str("event", "cancels_doubted").Dur("absence_ms", absence).Msg("cancelled jobs are read anew after a pause")
	s.e.cancelDoubts.Add(1)
	s.e.cancelsKnown.Store(false)
	s.agentReads.asked = nil // its answer may have waited
	return true
}

// noteStoreClock records the store's clock as of a read that has just been answered.
func (e *Entry) noteStoreClock(read platform.Rows) {
	if read.Now > 0 {
		e.storeClock.Store(int64(read.Now - mesh.Now()))
	}
}

// writeCancels writes and removes rows of cancelled jobs.
func (e *Entry) writeCancels(set, remove []string) {
	ctx, cancel := context.WithTimeout(e.ctx, storeTimeout)
	defer cancel()
	err := e.readStoreClock(ctx)
	if err == nil {
		err = e.store.Write(ctx, e.cancelsTx(set, remove))
	}
	e.actor.Send(cancelsWritten{set, remove, err})
}

// readStoreClock reads the store's clock unless it is known: rows say by it how old they are.
func (e *Entry) readStoreClock(ctx context.Context) error {
	if e.storeClock.Load() != 0 {
		return nil
	}
	read, err := e.store.Get(ctx, platform.CancelledTable)
	e.noteStoreClock(read)
	return err //nolint:wrapcheck // as the error of the write
}

func (e *Entry) cancelsTx(set, remove []string) (tx platform.Transaction) {
	var at time.Duration
	if offset := e.storeClock.Load(); offset != 0 {
		at = max(mesh.Now()+time.Duration(offset), 0)
	}
	row := func(job string) platform.Row {
		return platform.CancelledRow(platform.CancelledJob{Job: job, Entry: e.self.Name, At: at})
	}
	for _, job := range set {
		tx.Set = append(tx.Set, row(job))
	}
	for _, job := range remove {
		tx.Remove = append(tx.Remove, row(job))
	}
	return tx
}

// readCancels reads the table of cancelled jobs, and reports whether it was read.
func (e *Entry) readCancels(ctx context.Context, doubts uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	read, err := e.store.Get(ctx, platform.CancelledTable)
	if err != nil {
		return false // the watch of the operator's state logs that the store fails
	}
	e.noteStoreClock(read)
	jobs, old, odd := cancelsOf(read, e.self.Name, e.jobRetention())
	e.odd.Report(append(odd, read.Odd...)...)
	e.actor.Send(cancelsRead{jobs, doubts})
	if len(old) > 0 {
		go e.removeCancels(old)
	}
	return true
}

// cancelsOf returns the cancelled jobs that rows name, and the rows that the entry called
// self is to remove.
func cancelsOf(read platform.Rows, self string, retention time.Duration) (jobs []keptCancel, old []platform.Row, odd []platform.OddRow) {
	for _, row := range read.Rows {
		c, err := platform.DecodeCancelled(row)
		if err != nil {
			odd = append(odd, row.Odd(err))
			continue
		}
		age := max(read.Now-c.At, 0)
		own := c.Entry == self
		switch {
		case age <= retention:
			jobs = append(jobs, keptCancel{c.Job, max(retention-age, 1), own})
		case own || age > staleCancels*retention:
			old = append(old, row)
		}
	}
	return jobs, old, odd
}

// removeCancels removes rows that nobody has written again since they were read.
func (e *Entry) removeCancels(rows []platform.Row) {
	for len(rows) > 0 {
		n := min(len(rows), platform.MaxRowsPerWrite/2) // each is expected and removed
		ctx, cancel := context.WithTimeout(e.ctx, storeTimeout)
		err := e.store.Write(ctx, platform.Transaction{Expect: rows[:n], Remove: rows[:n]})
		cancel()
		if err != nil {
			return // the next start removes them
		}
		rows = rows[n:]
		select {
		case <-e.ctx.Done():
			return
		case <-time.After(cancelWritePause):
		}
	}
}
