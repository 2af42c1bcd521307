package agent

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"bergamotwing.example/result"
	"bergamotwing.example/tablestore"
	"bergamotwing.example/wire"
)

// replacedRetention is how long the row of an agent lists its earlier incarnations.
const replacedRetention = 30 * time.Minute

// register writes the agent's row and reads the fences. It retries until both have
// succeeded or ctx ends.
func (a *Agent) register(ctx context.Context) {
	var pauses backoff
	for ctx.Err() == nil {
		err := a.registerOnce(ctx)
		if err == nil {
			a.control.send(&registration{})
			a.log.Info().Msg("registered")
			return
		}
		a.metrics.Retried(result.StoreUnavailable)
		a.log.Warn().Err(err).Msg("not registered yet")
		pauses.wait(ctx)
	}
}

func (a *Agent) registerOnce(ctx context.Context) error {
	if err := a.writeRecord(ctx); err != nil {
		return err
	}
	return a.loadFences(ctx)
}

// writeRecord replaces the row of the agent's earlier incarnation. After a lost
// answer, the next attempt finds the row either written or unchanged.
func (a *Agent) writeRecord(ctx context.Context) error {
	row, earlier, err := a.readRecord(ctx)
	if err != nil || earlier.Incarnation == uint64(a.incarnation) {
		return err
	}
	record := tablestore.AgentRecord{
		ID:          a.cfg.ID,
		Incarnation: uint64(a.incarnation),
		Zone:        a.cfg.Zone,
		Service:     a.cfg.Service,
		StartedAt:   a.startedAt.Unix(),
	}
	if row.Version != 0 {
		record.Replaced = replacedIncarnations(earlier, time.Now())
	}
	return a.commitRecord(ctx, record, row.Version)
}

// replacedIncarnations returns the incarnations that the row of the earlier
// incarnation lists, without those replaced more than replacedRetention ago,
// followed by the earlier incarnation itself.
func replacedIncarnations(earlier tablestore.AgentRecord, now time.Time) []tablestore.ReplacedIncarnation {
	var out []tablestore.ReplacedIncarnation
	oldest := now.Add(-replacedRetention).Unix()
	for _, replaced := range earlier.Replaced {
		if replaced.At > oldest {
			out = append(out, replaced)
		}
	}
	return append(out, tablestore.ReplacedIncarnation{
		Incarnation: earlier.Incarnation,
		At:          now.Unix(),
		Clean:       earlier.CleanStopAt != 0,
	})
}

// writeCleanStop records in the table that this incarnation stopped with no task
// running and will start no further one.
func (a *Agent) writeCleanStop(ctx context.Context) error {
	var pauses backoff
	for {
		err := a.writeCleanStopOnce(ctx)
		if err == nil || !pauses.wait(ctx) {
			return err
		}
	}
}

func (a *Agent) writeCleanStopOnce(ctx context.Context) error {
	row, record, err := a.readRecord(ctx)
	if err != nil || record.Incarnation != uint64(a.incarnation) || record.CleanStopAt != 0 {
		return err
	}
	record.CleanStopAt = time.Now().Unix()
	return a.commitRecord(ctx, record, row.Version)
}

func (a *Agent) readRecord(ctx context.Context) (tablestore.Row, tablestore.AgentRecord, error) {
	var record tablestore.AgentRecord
	row, err := a.table.Get(ctx, a.recordKey())
	if err != nil {
		return row, record, eris.Wrap(err, "read agent record")
	}
	if row.Version == 0 {
		return row, record, nil
	}
	err = json.Unmarshal(row.Value, &record)
	return row, record, eris.Wrap(err, "decode agent record")
}

// commitRecord writes the row if it is still at version. After a lost answer, the
// caller's next read shows whether the row was written.
func (a *Agent) commitRecord(ctx context.Context, record tablestore.AgentRecord, version uint64) error {
	value, err := json.Marshal(record)
	if err != nil {
		return eris.Wrap(err, "encode agent record")
	}
	op := tablestore.Op{Key: a.recordKey(), Value: value, IfVersion: version}
	err = a.table.Commit(ctx, op)
	if errors.Is(err, tablestore.ErrUnknown) {
		a.metrics.Count("bergamotwing_store_unknown_total", "Writes whose answer was lost.", 1)
	}
	return eris.Wrap(err, "write agent record")
}

func (a *Agent) recordKey() string { return tablestore.PrefixAgents + a.cfg.ID }

// loadFences loads all fences from the table. A row that cannot be decoded keeps
// the agent from starting tasks, since it may fence any ticket.
func (a *Agent) loadFences(ctx context.Context) error {
	rows, err := a.table.List(ctx, tablestore.PrefixFences)
	if err != nil {
		return eris.Wrap(err, "list fences")
	}
	now := a.clock.now()
	for _, row := range rows {
		var fence tablestore.FenceRecord
		if err := json.Unmarshal(row.Value, &fence); err != nil {
			return eris.Wrapf(err, "decode %s", row.Key)
		}
		for _, t := range fence.Tickets {
			a.records.fence(ticketID(t), now)
		}
	}
	return nil
}

func ticketID(t tablestore.TicketKey) wire.TicketID {
	return wire.TicketID{Entry: t.Entry, Incarnation: wire.Incarnation(t.Incarnation), Seq: t.Seq}
}
