package entry

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"bergamotwing.example/platform"
	"bergamotwing.example/release"
	"bergamotwing.example/result"
)

// Times of the entry's use of the store.
const (
	versionReadEvery = 400 * time.Millisecond
	registerEvery    = 5 * time.Second
	entryRowLifetime = 30 * time.Second // a row not renewed for this long is removed
	holdWriteEvery   = 500 * time.Millisecond
)

// readVersions reads the configuration in the store again and again.
func (c *control) readVersions(ctx context.Context) {
	for {
		began := time.Now()
		state, err := c.readState(ctx)
		if err == nil {
			c.send(storeRead{state: state, began: began})
		} else {
			c.send(storeFailed{})
			c.confirmByMajority()
		}
		if !pause(ctx, versionReadEvery-time.Since(began)) {
			return
		}
	}
}

func (c *control) readState(ctx context.Context) (*release.State, error) {
	ctx, cancel := context.WithTimeout(ctx, release.VouchLifetime)
	defer cancel()
	state, err := c.e.notes.Load(ctx)
	if err != nil {
		return nil, err
	}
	return &state, nil
}

// register renews this entry's row and reads the others'.
func (c *control) register(ctx context.Context) {
	for {
		if err := c.registerOnce(ctx); err != nil && ctx.Err() == nil {
			c.e.log.Warn().Err(err).Msg("registration in the table failed")
			if !pause(ctx, time.Second+rand.N(time.Second)) {
				return
			}
			continue
		}
		if !pause(ctx, registerEvery) {
			return
		}
	}
}

func (c *control) registerOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.e.cfg.Platform.Timeout.D())
	defer cancel()
	self := c.e.self
	row := platform.EntryRecord{ID: self.ID, Incarnation: uint64(self.Incarnation), Addr: self.Addr, Zone: self.Zone, Renewed: time.Now().Unix()}
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	if err := c.e.table.Commit(ctx, platform.Op{Key: platform.PrefixEntries + self.ID, Value: value, Any: true}); err != nil {
		return err
	}
	rows, err := c.e.table.List(ctx, platform.PrefixEntries)
	if err != nil {
		return err
	}
	c.send(entriesRead{rows: c.liveEntries(ctx, rows)})
	return nil
}

// liveEntries decodes the rows and removes those that are no longer renewed.
func (c *control) liveEntries(ctx context.Context, rows []platform.Row) []platform.EntryRecord {
	var out []platform.EntryRecord
	for _, row := range rows {
		var r platform.EntryRecord
		if err := json.Unmarshal(row.Value, &r); err != nil {
			c.e.log.Error().Err(err).Str("key", row.Key).Msg("unreadable row")
			continue
		}
		if time.Since(time.Unix(r.Renewed, 0)) > entryRowLifetime {
			_ = c.e.table.Commit(ctx, platform.Op{Key: row.Key, Delete: true, IfVersion: row.Version})
			continue
		}
		out = append(out, r)
	}
	return out
}

// deregister removes this entry's row at a graceful stop.
func (c *control) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), c.e.cfg.Platform.Timeout.D())
	defer cancel()
	if err := c.e.table.Commit(ctx, platform.Op{Key: platform.PrefixEntries + c.e.self.ID, Delete: true, Any: true}); err != nil {
		c.e.log.Warn().Err(err).Msg("row in the table not removed")
	}
}

// writeHolds turns stop orders into durable notes once the store answers.
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
