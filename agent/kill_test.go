package agent

import (
	"context"
	"errors"
	"testing"

	"bergamotwing.example/tablestore"
	"bergamotwing.example/wire"
)

// runWithTask runs an agent and starts one task at its endpoint. The returned
// channel receives the error of Run.
func runWithTask(t *testing.T, ctx context.Context, table *memTable, e *fakeEntry, g *gatedEndpoint) (*Agent, <-chan error) {
	t.Helper()
	a := newAgent(t, g.server.URL, table, e)
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	e.grant(1, 0, e.credit())
	g.awaitStart(t)
	return a, ended
}

func rowVersion(t *testing.T, table *memTable) uint64 {
	t.Helper()
	row, err := table.Get(context.Background(), tablestore.PrefixAgents+"agent-1")
	if err != nil {
		t.Fatal(err)
	}
	return row.Version
}

func TestKilledAgentAbortsItsTasksAndNotifiesNoOne(t *testing.T) {
	table, e, g := newMemTable(), newFakeEntry(t), newGatedEndpoint(t)
	a, ended := runWithTask(t, context.Background(), table, e, g)
	registered := rowVersion(t, table)

	a.Kill()
	if err := awaitSignal(t, "the agent ends", ended); !errors.Is(err, errKilled) {
		t.Errorf("error %v", err)
	}
	awaitSignal(t, "the task is aborted", g.aborted)
	awaitSignal(t, "the link ends", e.linkEnded)
	for len(e.received) > 0 {
		if kind := wire.KindOf(<-e.received); kind == wire.KindResult || kind == wire.KindRefuse {
			t.Errorf("the entry was sent a message of kind %s", kind)
		}
	}
	if now := rowVersion(t, table); now != registered {
		t.Errorf("the agent's row is at version %d, before the kill at %d", now, registered)
	}
}

func TestKilledAgentEndsWhileItDrains(t *testing.T) {
	e, g := newFakeEntry(t), newGatedEndpoint(t)
	ctx, stop := context.WithCancel(context.Background())
	a, ended := runWithTask(t, ctx, newMemTable(), e, g)
	stop()
	a.Kill()
	if err := awaitSignal(t, "the agent ends", ended); err == nil {
		t.Error("a stop that aborted a task returned no error")
	}
	awaitSignal(t, "the task is aborted", g.aborted)
}
