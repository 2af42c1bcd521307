package agent

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"bergamotwing.example/platform"
)

// endpointsTable is the store's table with a row for each agent: the last stored
// announcement of its endpoint. With it, an agent that restarts need not wait for
// the endpoint's next heartbeat. The row's content is checked by polling the
// endpoint, and replaced by heartbeats.
const endpointsTable = "bergamotwing-endpoints"

const (
	storeRetryPause    = 500 * time.Millisecond // after a failed read, or the first failed write
	storeRetryPauseMax = 4 * time.Second        // after many failed writes
	maxReadAttempts    = 5                      // at the start; heartbeats of the endpoint come meanwhile
	// drainAckTimeout is how long the answer to a heartbeat of a draining
	// endpoint waits for the store. The endpoint waits one second for the answer.
	drainAckTimeout = 300 * time.Millisecond
	writtenPoll     = 5 * time.Millisecond // between two checks whether all is written
)

// writeEndpoints writes the announcements of endpoints to the store until ctx ends.
// An announcement that is not written yet is replaced by a newer one.
func (a *Agent) writeEndpoints(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-a.toWrite:
			a.writeEndpoint(ctx, n)
		}
	}
}

// waitWritten waits, for limit at most, until all announcements are written, and
// reports whether they are.
func (a *Agent) waitWritten(limit time.Duration) bool {
	for until := time.Now().Add(limit); a.unwritten.Load() > 0; time.Sleep(writtenPoll) {
		if time.Now().After(until) {
			return false
		}
	}
	return true
}

func (a *Agent) writeEndpoint(ctx context.Context, n platform.Announcement) {
	for pause := storeRetryPause; ctx.Err() == nil; pause = min(2*pause, storeRetryPauseMax) {
		err := a.tryWriteEndpoint(ctx, n)
		if err == nil {
			a.unwritten.Add(-1)
			return
		}
		a.deps.Log.Warn().Str("event", "store_failed").Str("endpoint", n.Endpoint.ID).Err(err).Msg("announcement of endpoint not written; retrying")
		if a.stopping.Load() {
			pause = storeRetryPause // little time is left
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case n = <-a.toWrite:
			a.unwritten.Add(-1)
		}
	}
}

func (a *Agent) tryWriteEndpoint(ctx context.Context, n platform.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(n)
	if err != nil {
		return eris.Wrap(err, "encode endpoint")
	}
	row := platform.Row{Table: endpointsTable, Key: a.node.Name, Value: value}
	return eris.Wrap(a.store.Write(ctx, platform.Transaction{Set: []platform.Row{row}}), "write endpoint")
}

// readEndpoint reads the endpoint that an earlier incarnation of this agent stored.
func (a *Agent) readEndpoint(ctx context.Context) {
	for range maxReadAttempts {
		n, found, err := a.tryReadEndpoint(ctx)
		if err == nil {
			if found {
				a.actor.Send(endpointRead{n})
			}
			return
		}
		a.deps.Log.Warn().Str("event", "store_failed").Err(err).Msg("stored endpoint not read; retrying")
		select {
		case <-ctx.Done():
			return
		case <-time.After(storeRetryPause):
		}
	}
}

func (a *Agent) tryReadEndpoint(ctx context.Context) (n platform.Announcement, found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, found, err := a.store.GetRow(ctx, endpointsTable, a.node.Name)
	if err != nil || !found {
		return n, false, eris.Wrap(err, "read endpoint")
	}
	err = row.Err
	if err == nil {
		err = json.Unmarshal(row.Value, &n)
	}
	if err == nil {
		err = errors.Join(n.Check(), a.checkService(n))
	}
	if err != nil {
		a.odd.Report(row.Odd(err))
		return n, false, nil // written by another writer; the endpoint's next heartbeat replaces it
	}
	return n, true, nil
}
