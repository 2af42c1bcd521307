package entry

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"bergamotwing.example/release"
	"bergamotwing.example/result"
	"bergamotwing.example/tablestore"
	"bergamotwing.example/wire"
)

// Times of the entry's use of the store.
const (
	versionReadEvery = 400 * time.Millisecond
	storeLateAfter   = 2 * versionReadEvery   // without a successful reading the store counts as down
	confirmEvery     = 200 * time.Millisecond // between two confirmations by majority
	registerEvery    = 5 * time.Second        // longest time between two renewals of this entry's row
	registerPoll     = 200 * time.Millisecond // between two checks for linked entries that are not registered
	firstReadPoll    = 20 * time.Millisecond  // between two checks whether the version has been read
	entryRowLifetime = 30 * time.Second       // a row not renewed for this long is removed
	holdWriteEvery   = 500 * time.Millisecond // between two attempts to write the notes of holds
)

// readVersions reads the configuration from the store periodically and sends the
// result to the actor.
func (c *control) readVersions(ctx context.Context) {
	for {
		began := time.Now()
		state, err := c.readState(ctx)
		if err == nil {
			c.send(storeRead{state: state, began: began})
		} else {
			c.send(storeFailed{})
		}
		if !pause(ctx, versionReadEvery-time.Since(began)) {
			return
		}
	}
}

// confirmVersions confirms the version by a majority of the entries while the
// store does not answer in time.
func (c *control) confirmVersions(ctx context.Context) {
	for pause(ctx, confirmEvery) {
		if c.storeLate() {
			c.confirmByMajority()
		}
	}
}

// storeLate reports whether the version is not read from the store in time: the
// last reading failed, or a reading has been under way for too long.
func (c *control) storeLate() bool {
	v := c.view()
	return v.StoreDown || time.Since(v.StoreRead) > storeLateAfter
}

func (c *control) readState(ctx context.Context) (*release.State, error) {
	ctx, cancel := context.WithTimeout(ctx, release.ConfirmationLifetime)
	defer cancel()
	state, err := c.e.notes.Load(ctx)
	if err != nil {
		return nil, err
	}
	return &state, nil
}

// register renews this entry's row and reads the rows of the others. It begins
// only after the version has been read from the store, as a registered
// incarnation counts in the majority.
func (c *control) register(ctx context.Context) {
	for c.view().StoreRead.IsZero() {
		if !pause(ctx, firstReadPoll) {
			return
		}
	}
	for {
		if err := c.registerOnce(ctx); err != nil && ctx.Err() == nil {
			c.e.log.Warn().Err(err).Msg("registration in the table failed")
			if !pause(ctx, time.Second+rand.N(time.Second)) { //nolint:gosec // spreads load, keeps no secret
				return
			}
			continue
		}
		if !c.waitForRenewal(ctx) {
			return
		}
	}
}

// waitForRenewal waits until the rows are due to be read again: after
// registerEvery, or sooner if an entry is linked whose incarnation was not among
// them. It returns false if ctx ended.
func (c *control) waitForRenewal(ctx context.Context) bool {
	for waited := time.Duration(0); waited < registerEvery; waited += registerPoll {
		if !pause(ctx, registerPoll) {
			return false
		}
		if c.linkedUnregistered() {
			break
		}
	}
	return true
}

func (c *control) linkedUnregistered() bool {
	v := c.view()
	for _, p := range c.e.peers.list() {
		registered := slices.ContainsFunc(v.Registered, func(r wire.Peer) bool {
			return r.ID == p.id && r.Incarnation == p.incarnation
		})
		if !registered {
			return true
		}
	}
	return false
}

func (c *control) registerOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.e.cfg.Platform.Timeout.D())
	defer cancel()
	self := c.e.self
	row := tablestore.EntryRecord{ID: self.ID, Incarnation: uint64(self.Incarnation), Addr: self.Addr, Zone: self.Zone, RenewedAt: time.Now().Unix()}
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	if err := c.e.table.Commit(ctx, tablestore.Op{Key: tablestore.PrefixEntries + self.ID, Value: value, Any: true}); err != nil {
		return err
	}
	rows, err := c.e.table.List(ctx, tablestore.PrefixEntries)
	if err != nil {
		return err
	}
	c.send(entriesRead{rows: c.liveEntries(ctx, rows)})
	return nil
}

// liveEntries decodes the rows and removes those that are no longer renewed. It
// removes none unless a majority of the entries in the rows is linked: entries
// on the other side of a partition still confirm versions as long as they are a
// majority, so their rows must still count on this side.
func (c *control) liveEntries(ctx context.Context, rows []tablestore.Row) []tablestore.EntryRecord {
	entries := c.decodeEntries(rows)
	linked := 0
	for _, e := range entries {
		if c.isLinked(e.ID) {
			linked++
		}
	}
	var live []tablestore.EntryRecord
	for _, e := range entries {
		if linked < len(entries)/2+1 || !c.removeIfStale(ctx, e) {
			live = append(live, e.EntryRecord)
		}
	}
	return live
}

// entryRow is an entry's row and the row version that was read.
type entryRow struct {
	tablestore.EntryRecord
	version uint64
}

func (c *control) decodeEntries(rows []tablestore.Row) []entryRow {
	out := make([]entryRow, 0, len(rows))
	for _, row := range rows {
		e := entryRow{version: row.Version}
		if err := json.Unmarshal(row.Value, &e.EntryRecord); err != nil {
			c.e.log.Error().Err(err).Str("key", row.Key).Msg("unreadable row")
			continue
		}
		out = append(out, e)
	}
	return out
}

func (c *control) isLinked(id string) bool { return id == c.e.self.ID || c.e.peers.get(id) != nil }

// removeIfStale removes the row of an entry that no longer renews its row and is not
// linked. It reports whether the row was removed.
func (c *control) removeIfStale(ctx context.Context, r entryRow) bool {
	if c.isLinked(r.ID) || time.Since(time.Unix(r.RenewedAt, 0)) <= entryRowLifetime {
		return false
	}
	op := tablestore.Op{Key: tablestore.PrefixEntries + r.ID, Delete: true, IfVersion: r.version}
	return c.e.table.Commit(ctx, op) == nil
}

// deregister removes this entry's row at a graceful stop.
func (c *control) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), c.e.cfg.Platform.Timeout.D())
	defer cancel()
	if err := c.e.table.Commit(ctx, tablestore.Op{Key: tablestore.PrefixEntries + c.e.self.ID, Delete: true, Any: true}); err != nil {
		c.e.log.Warn().Err(err).Msg("row in the table not removed")
	}
}

// writeHolds writes the holds as durable notes once the store answers.
func (c *control) writeHolds(ctx context.Context) {
	for pause(ctx, holdWriteEvery) {
		for _, h := range c.view().Holds {
			if err := c.writeHold(ctx, h); err != nil {
				c.e.log.Warn().Err(err).Str("zone", h.Zone).Msg("stop order is not durable yet")
			}
		}
	}
}

// writeHold writes the note of a hold and ends the hold. A hold of a zone that
// was withdrawn meanwhile ends without a note.
func (c *control) writeHold(ctx context.Context, h release.Hold) error {
	state, err := c.e.notes.ApplyZone(ctx, h.Zone, false, h.NoteID)
	switch {
	case err == nil:
		c.send(holdEnded{noteID: h.NoteID, state: &state})
	case errors.Is(err, &result.Error{Code: result.NoteInvalid}):
		c.send(holdEnded{noteID: h.NoteID})
		return nil
	}
	return err
}

// pause waits for d; it returns false if ctx ended.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
