package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/wire"
)

const (
	storeTimeout  = time.Second            // of one call that does not wait for changes
	watchSlack    = 500 * time.Millisecond // added to the wait of a call that waits for changes
	storePause    = 200 * time.Millisecond // after a failed call
	storePauseMax = 2 * time.Second        // after many failed calls
	membersEvery  = 3 * time.Second        // between two reads of the registered entries
	removeAfter   = 20 * time.Second       // without a link, until an entry's row is removed
	watchDivisor  = 2                      // a watch call waits for ConfigApply / watchDivisor; a change must be in force within ConfigApply
	rereadEvery   = 30 * time.Second       // between two full reads, besides the watch
)

// watchOperator keeps the operator's state up to date.
func (e *Entry) watchOperator(ctx context.Context) {
	pause := storePause
	for ctx.Err() == nil {
		err := e.readAndWatch(ctx)
		if err == nil {
			pause = storePause
			continue
		}
		e.storeCalled(err)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, storePauseMax)
		if errors.Is(err, platform.ErrHistoryLost) {
			pause = storePause
		}
	}
}

// storeCalled logs when the store stops and starts to answer, and tells the control
// actor. Only watchOperator's goroutine calls it.
func (e *Entry) storeCalled(err error) {
	failing := e.storeFailing
	e.storeFailing = err != nil
	if e.storeFailing != failing {
		e.actor.Send(storeServes{!e.storeFailing})
	}
	switch {
	case err != nil && !failing:
		e.deps.Metrics.Count("bergamotwing_store_losses_total", "Times the store was lost.", 1)
		e.deps.Log.Warn().Str("event", "store_lost").Err(err).Msg("store does not answer; its last state stays in force")
	case err == nil && failing:
		e.deps.Log.Info().Str("event", "store_back").Msg("store answers again")
	}
}

// readAndWatch reads the whole state, then follows its changes for rereadEvery. It
// returns nil when the state is to be read again.
func (e *Entry) readAndWatch(ctx context.Context) error {
	if err := e.readOperator(ctx); err != nil {
		return err
	}
	for until := time.Now().Add(rereadEvery); time.Now().Before(until); {
		after := e.rowsReadAt.Load()
		changes, err := e.watchOnce(ctx, after, e.node.ConfigApply/watchDivisor)
		if errors.Is(err, platform.ErrHistoryLost) {
			e.deps.Log.Info().Str("event", "store_history_lost").Uint64("after", after).Msg("reading the operator's state anew")
			return nil
		}
		if err != nil {
			return err
		}
		e.storeCalled(nil)
		if len(changes.Odd) > 0 || slices.ContainsFunc(changes.Rows, func(r platform.Row) bool { return r.Err != nil }) {
			return nil
		}
		e.applyChanges(after, changes)
	}
	return nil
}

func (e *Entry) watchOnce(ctx context.Context, after uint64, wait time.Duration) (platform.Rows, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	return e.store.Watch(ctx, platform.OperatorTable, after, wait)
}

func (e *Entry) readOperator(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	read, err := e.store.Get(ctx, platform.OperatorTable)
	if err != nil {
		return err
	}
	e.storeCalled(nil)
	e.noteStoreClock(read)
	e.odd.Report(read.Odd...)
	e.applyWhole(read)
	return nil
}

// applyWhole replaces the operator's rows by those of a read, unless they are newer.
func (e *Entry) applyWhole(read platform.Rows) {
	e.rowsMu.Lock()
	defer e.rowsMu.Unlock()
	if e.rows != nil && read.Version < e.rows.readAt {
		return
	}
	e.rows = newOperatorRows(read)
	e.rowsReadAt.Store(e.rows.readAt)
	e.sendOperatorRead(e.rows)
}

// applyChanges adds all changes of the operator's rows after a version. Those that were
// applied already, from an agent's read or an own one, are left out.
func (e *Entry) applyChanges(after uint64, changes platform.Rows) {
	e.rowsMu.Lock()
	defer e.rowsMu.Unlock()
	if e.rows == nil || after > e.rows.readAt {
		return
	}
	known := e.rows.readAt
	changes.Rows = slices.DeleteFunc(changes.Rows, func(r platform.Row) bool { return r.Version <= known })
	e.rows.apply(changes)
	e.rowsReadAt.Store(e.rows.readAt)
	if len(changes.Rows) > 0 {
		e.sendOperatorRead(e.rows)
	}
}

// sendOperatorRead passes the state that rows hold to the control actor.
func (e *Entry) sendOperatorRead(rows *operatorRows) {
	read, err := rows.state()
	var odd platform.OddRow
	if errors.As(err, &odd) {
		e.odd.Report(odd)
	}
	e.actor.Send(read)
}

// register keeps this entry's row in the store and reads the rows of the others.
func (e *Entry) register(ctx context.Context) {
	written, stalePause := false, storePause
	knownDoubts := uint64(0) // cancelDoubts before the last read of the cancelled jobs
	for ctx.Err() == nil {
		if !written {
			written = e.writeMember(ctx)
		}
		found, ok := e.readMembers(ctx)
		if written && ok && !containsMember(found, e.self.Member()) {
			written = false // removed by an entry that could not reach this one, or written by another writer
			e.cancelDoubts.Add(1)
		}
		if doubts := e.cancelDoubts.Load(); written && doubts != knownDoubts && e.readCancels(ctx, doubts) { // an entry that acknowledges a DELETE now waits for this one
			knownDoubts, stalePause = doubts, storePause
		}
		pause := membersEvery
		switch {
		case !written:
			pause = storePause
		case e.cancelDoubts.Load() != knownDoubts:
			pause = stalePause
			stalePause = min(2*stalePause, storePauseMax)
		}
		select {
		case <-ctx.Done():
		case <-e.woke:
		case <-time.After(pause):
		}
	}
}

func containsMember(members []mesh.MemberRow, member wire.Member) bool {
	for _, m := range members {
		if m.Member == member {
			return true
		}
	}
	return false
}

func (e *Entry) writeMember(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := mesh.WriteMember(ctx, e.store, e.self.Member())
	if err != nil {
		e.deps.Log.Warn().Str("event", "register_failed").Err(err).Msg("entry not registered; trying again")
	}
	return err == nil
}

func (e *Entry) removeMember(row mesh.MemberRow) {
	ctx, cancel := context.WithTimeout(e.ctx, storeTimeout)
	defer cancel()
	err := mesh.RemoveMember(ctx, e.store, row)
	e.deps.Log.Info().Str("event", "member_removed").Str("entry", row.Name).AnErr("error", err).Msg("row of a lost entry removed")
}

func (e *Entry) readMembers(ctx context.Context) (members []mesh.MemberRow, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	began := mesh.Now()
	members, odd, err := mesh.ReadMembers(ctx, e.store)
	if err != nil {
		return nil, false // the watch of the operator's state logs that the store fails
	}
	e.odd.Report(odd...)
	e.actor.Send(control.MembersRead{Members: members, Began: began})
	return members, true
}
