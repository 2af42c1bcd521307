package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotwing.example/platform"
	"bergamotwing.example/release"
	"bergamotwing.example/settings"
	"bergamotwing.example/telemetry"
	"bergamotwing.example/wire"
)

const testTimeout = 10 * time.Second

// countingTable is a table that keeps the last value of each row.
type countingTable struct {
	mu   sync.Mutex
	rows map[string]platform.Row
}

func (m *countingTable) Get(_ context.Context, key string) (platform.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rows[key], nil
}

func (m *countingTable) List(context.Context, string) ([]platform.Row, error) { return nil, nil }

func (m *countingTable) Commit(_ context.Context, ops ...platform.Op) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, op := range ops {
		m.rows[op.Key] = platform.Row{Key: op.Key, Value: op.Value, Version: m.rows[op.Key].Version + 1}
	}
	return nil
}

// spendingEntry is the other end of an agent's link. It spends the first credit it
// is offered on a task.
type spendingEntry struct {
	server *httptest.Server
	mu     sync.Mutex
	kinds  []wire.Kind // of all messages received
	ended  chan struct{}
}

var fakeRun = wire.Peer{ID: "entry1", Incarnation: 7}

func newSpendingEntry(t *testing.T, metrics *telemetry.Metrics) *spendingEntry {
	t.Helper()
	f := &spendingEntry{ended: make(chan struct{})}
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		link, err := wire.Accept(w, r, messageCounter{metrics})
		if err != nil {
			return
		}
		_ = link.Serve(r.Context(), func(m wire.Message) { f.handle(link, m) })
		close(f.ended)
	}))
	t.Cleanup(f.server.Close)
	return f
}

func (f *spendingEntry) handle(link *wire.Link, m wire.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kinds = append(f.kinds, wire.KindOf(m))
	vouch := func(clock int64) wire.Vouch { return wire.Vouch{Version: 1, Echo: clock} }
	switch m := m.(type) {
	case *wire.AgentHello:
		state := &release.State{Version: 1, Zones: map[string]release.Zone{"gwent": {InService: true}}}
		_ = link.Send(&wire.EntryHello{Self: fakeRun, State: state, Vouch: vouch(m.Clock)})
	case *wire.Offer:
		task := wire.TaskRef{Ticket: wire.TicketID{Entry: fakeRun.ID, Incarnation: fakeRun.Incarnation, Seq: 1}}
		_ = link.Send(&wire.Grant{
			Task: task, Attempt: 1, Credit: m.Credits[0], StartInMS: 1000, TimeoutMS: 60_000, Vouch: vouch(m.Clock),
		})
	}
}

func (f *spendingEntry) seen() []wire.Kind {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]wire.Kind(nil), f.kinds...)
}

// hangingEndpoint tells when a task's request arrived and when it was given up.
func hangingEndpoint(t *testing.T) (url string, started, cutOff chan struct{}) {
	t.Helper()
	started, cutOff = make(chan struct{}), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
		close(cutOff)
	}))
	t.Cleanup(s.Close)
	return s.URL, started, cutOff
}

func awaitChan[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("not within %s: %s", testTimeout, what)
		panic("unreachable")
	}
}

// newTestAgent returns an agent with one slot, linked to entry.
func newTestAgent(t *testing.T, entry *spendingEntry, endpointURL string, table platform.Table) *Agent {
	t.Helper()
	cfg := settings.DefaultAgent()
	cfg.ID, cfg.Zone, cfg.Service, cfg.Endpoint, cfg.Listen = "agent1", "gwent", "hire-desk", endpointURL, "127.0.0.1:0"
	cfg.Slots = 1
	cfg.StopTimeout = settings.Duration(10 * time.Minute)
	cfg.Entries = []string{strings.TrimPrefix(entry.server.URL, "http://")}
	cfg.Keys = []settings.Key{{Secret: "a-secret-of-the-test"}}
	log := telemetry.NewLog(io.Discard, "info", "agent", cfg.ID, cfg.Zone)
	a, err := New(cfg, Deps{Log: log, Metrics: newTestMetrics(t), Table: table})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newTestMetrics(t *testing.T) *telemetry.Metrics {
	t.Helper()
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	return metrics
}

func newCountingTable() *countingTable { return &countingTable{rows: map[string]platform.Row{}} }

// agentWrites returns how often the agent's row was written.
func (m *countingTable) agentWrites() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rows[platform.PrefixAgents+"agent1"].Version
}

func TestKilledAgentCutsItsTasksOffAndTellsNoOne(t *testing.T) {
	entry := newSpendingEntry(t, newTestMetrics(t))
	endpointURL, started, cutOff := hangingEndpoint(t)
	table := newCountingTable()
	a := newTestAgent(t, entry, endpointURL, table)
	ended := make(chan error, 1)
	go func() { ended <- a.Run(context.Background()) }()
	awaitChan(t, "a task starts", started)
	registered := table.agentWrites()

	a.Kill()
	if err := awaitChan(t, "the agent ends", ended); !errors.Is(err, errKilled) {
		t.Errorf("error %v", err)
	}
	awaitChan(t, "the task is cut off", cutOff)
	awaitChan(t, "the link ends", entry.ended)
	for _, kind := range entry.seen() {
		if kind == wire.KindResult || kind == wire.KindRefuse {
			t.Errorf("the entry was told: %v", entry.seen())
		}
	}
	if now := table.agentWrites(); now != registered {
		t.Errorf("the agent's row was written %d times, before the kill %d", now, registered)
	}
}

func TestKilledAgentEndsWhileItDrains(t *testing.T) {
	entry := newSpendingEntry(t, newTestMetrics(t))
	endpointURL, started, cutOff := hangingEndpoint(t)
	a := newTestAgent(t, entry, endpointURL, newCountingTable())
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	awaitChan(t, "a task starts", started)
	stop()
	a.Kill()
	if err := awaitChan(t, "the agent ends", ended); err == nil {
		t.Error("a stop that cut a task off gave no error")
	}
	awaitChan(t, "the task is cut off", cutOff)
}
