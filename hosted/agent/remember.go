package agent

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"bergamotwing.example/platform"
)

// endpointsTable is the store's table with a row for each agent: the endpoint
// that it last heard. An agent that starts again need not wait for the
// endpoint's next heartbeat. What the row says is checked by a look at the
// endpoint, and replaced by heartbeats.
const endpointsTable = "bergamotwing-endpoints"

const (
	rememberPause    = 500 * time.Millisecond // after a failed write
	rememberPauseMax = 4 * time.Second
	recallTries      = 5 // readings at the start; heartbeats come meanwhile
	// drainAckLimit is how long the answer to a heartbeat that says that the
	// endpoint drains waits for the store. The endpoint waits for a second.
	drainAckLimit  = 300 * time.Millisecond
	rememberedPoll = 5 * time.Millisecond // between two looks whether all is written
)

// remember writes what endpoints announce until ctx ends. Only the newest
// announcement counts.
func (a *Agent) remember(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-a.toRemember:
			a.writeEndpoint(ctx, n)
		}
	}
}

// waitRemembered waits until all that endpoints announced is written, and
// reports whether it is.
func (a *Agent) waitRemembered(limit time.Duration) bool {
	for until := time.Now().Add(limit); a.unwritten.Load() > 0; time.Sleep(rememberedPoll) {
		if time.Now().After(until) {
			return false
		}
	}
	return true
}

func (a *Agent) writeEndpoint(ctx context.Context, n platform.Announcement) {
	for pause := rememberPause; ctx.Err() == nil; pause = min(2*pause, rememberPauseMax) {
		err := a.tryWriteEndpoint(ctx, n)
		if err == nil {
			a.unwritten.Add(-1)
			return
		}
		a.deps.Log.Warn().Str("event", "store_failed").Str("endpoint", n.Endpoint.ID).Err(err).Msg("endpoint not remembered; trying again")
		if a.stopping.Load() {
			pause = rememberPause // little time is left
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case n = <-a.toRemember:
			a.unwritten.Add(-1)
		}
	}
}

func (a *Agent) tryWriteEndpoint(ctx context.Context, n platform.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, rowsTimeout)
	defer cancel()
	value, err := json.Marshal(n)
	if err != nil {
		return eris.Wrap(err, "encode endpoint")
	}
	row := platform.Row{Table: endpointsTable, Key: a.node.Name, Value: value}
	return eris.Wrap(a.store.Write(ctx, platform.Transaction{Set: []platform.Row{row}}), "remember endpoint")
}

// recall reads the endpoint that an earlier run of this agent remembered.
func (a *Agent) recall(ctx context.Context) {
	for range recallTries {
		n, found, err := a.tryReadEndpoint(ctx)
		if err == nil {
			if found {
				a.actor.Send(recalled{n})
			}
			return
		}
		a.deps.Log.Warn().Str("event", "store_failed").Err(err).Msg("endpoint not recalled; trying again")
		select {
		case <-ctx.Done():
			return
		case <-time.After(rememberPause):
		}
	}
}

func (a *Agent) tryReadEndpoint(ctx context.Context) (n platform.Announcement, found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, rowsTimeout)
	defer cancel()
	row, found, err := a.store.GetRow(ctx, endpointsTable, a.node.Name)
	if err != nil || !found {
		return n, false, eris.Wrap(err, "recall endpoint")
	}
	if err := json.Unmarshal(row.Value, &n); err != nil {
		return n, false, eris.Wrap(err, "decode remembered endpoint")
	}
	return n, true, nil
}
