package agent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"bergamotwing.example/release"
	"bergamotwing.example/settings"
	"bergamotwing.example/tablestore"
	"bergamotwing.example/telemetry"
	"bergamotwing.example/wire"
)

const (
	testKey     = "a shared secret for tests"
	testZone    = "gent-noord"
	testTimeout = 10 * time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// memTable is a table in memory whose next calls can be made to fail.
type memTable struct {
	mu   sync.Mutex
	rows map[string]tablestore.Row
	fail []error // of the next Commits; with ErrUnknown the write still takes effect
}

func newMemTable() *memTable { return &memTable{rows: map[string]tablestore.Row{}} }

func (m *memTable) Get(_ context.Context, key string) (tablestore.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rows[key], nil
}

func (m *memTable) List(_ context.Context, prefix string) ([]tablestore.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []tablestore.Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) {
			out = append(out, row)
		}
	}
	return out, nil
}

func (m *memTable) Commit(_ context.Context, ops ...tablestore.Op) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	var err error
	if len(m.fail) > 0 {
		err, m.fail = m.fail[0], m.fail[1:]
	}
	if err != nil && err != tablestore.ErrUnknown { //nolint:errorlint // set by the test
		return err
	}
	for _, op := range ops {
		if m.rows[op.Key].Version != op.IfVersion {
			return tablestore.ErrConflict
		}
		m.rows[op.Key] = tablestore.Row{Key: op.Key, Value: op.Value, Version: op.IfVersion + 1}
	}
	return err
}

// fakeEntry accepts an agent's link, confirms the version on request and collects
// the credits that it is offered.
type fakeEntry struct {
	t         *testing.T
	server    *httptest.Server
	self      wire.Peer
	state     *release.State
	confirms  atomic.Bool
	received  chan wire.Message
	credits   chan wire.SlotCredit
	linkEnded chan struct{} // one signal for each link that ended

	mu    sync.Mutex
	link  *wire.Link
	clock int64 // newest reading of the agent's clock
}

type noCount struct{}

func (noCount) Sent(wire.Kind, int) {}
func (noCount) Received(wire.Kind)  {}

func newFakeEntry(t *testing.T) *fakeEntry {
	e := &fakeEntry{
		t:         t,
		self:      wire.Peer{ID: "entry-1", Incarnation: 77},
		state:     &release.State{Version: 5, NoteID: "n5", Zones: map[string]release.Zone{testZone: {InService: true}}},
		received:  make(chan wire.Message, 1024),
		credits:   make(chan wire.SlotCredit, 1024),
		linkEnded: make(chan struct{}, 1024),
	}
	e.confirms.Store(true)
	e.server = httptest.NewServer(http.HandlerFunc(e.accept))
	t.Cleanup(e.server.Close)
	t.Cleanup(e.disconnect)
	return e
}

func (e *fakeEntry) accept(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != linkPath || !wire.CheckLinkToken(r.Header.Get("Authorization"), [][]byte{[]byte(testKey)}) {
		http.Error(w, "not allowed", http.StatusUnauthorized)
		return
	}
	link, err := wire.Accept(w, r, noCount{})
	if err != nil {
		return
	}
	_ = link.Serve(context.Background(), func(m wire.Message) { e.handle(link, m) })
	e.linkEnded <- struct{}{}
}

func (e *fakeEntry) handle(link *wire.Link, m wire.Message) {
	switch m := m.(type) {
	case *wire.AgentHello:
		e.mu.Lock()
		e.link, e.clock = link, m.Clock
		e.mu.Unlock()
		_ = link.Send(&wire.EntryHello{Self: e.self, State: e.state, Confirmation: e.confirmation(m.Clock)})
	case *wire.AgentPing:
		_ = link.Send(&wire.EntryHeartbeat{Confirmation: e.confirmation(m.Clock)})
	case *wire.Offer:
		for _, c := range m.Credits {
			e.credits <- c
		}
		return
	}
	e.received <- m
}

// confirmation returns a confirmation for the newest clock reading, which it stores
// for grants, or an empty one while confirms is false.
func (e *fakeEntry) confirmation(clock int64) wire.Confirmation {
	if !e.confirms.Load() {
		return wire.Confirmation{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clock = max(e.clock, clock)
	return wire.Confirmation{Version: e.state.Version, Echo: e.clock}
}

func (e *fakeEntry) send(m wire.Message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.link.Send(m)
}

// disconnect closes the link, if there is one.
func (e *fakeEntry) disconnect() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.link != nil {
		e.link.Close()
	}
}

// credit waits for a slot credit.
func (e *fakeEntry) credit() wire.SlotCredit {
	e.t.Helper()
	select {
	case c := <-e.credits:
		return c
	case <-time.After(testTimeout):
		e.t.Fatal("no credit was offered")
		return wire.SlotCredit{}
	}
}

// grant sends a grant of task (seq, index) on a credit.
func (e *fakeEntry) grant(seq uint64, index int, c wire.SlotCredit) {
	e.send(e.newGrant(seq, index, c))
}

func (e *fakeEntry) newGrant(seq uint64, index int, c wire.SlotCredit) *wire.Grant {
	return &wire.Grant{
		Task:         e.task(seq, index),
		Attempt:      1,
		Credit:       c,
		Payload:      []byte("payload"),
		StartInMS:    5000,
		TimeoutMS:    5000,
		Confirmation: e.confirmation(0),
	}
}

func (e *fakeEntry) task(seq uint64, index int) wire.TaskRef {
	ticket := wire.TicketID{Entry: e.self.ID, Incarnation: e.self.Incarnation, Seq: seq}
	return wire.TaskRef{Ticket: ticket, Index: index}
}

// await returns the next message of a type that the agent sent.
func await[M wire.Message](e *fakeEntry) M {
	e.t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case m := <-e.received:
			if want, ok := m.(M); ok {
				return want
			}
		case <-timeout:
			var none M
			e.t.Fatalf("no %T was received", none)
			return none
		}
	}
}

// newAgent returns an agent with one slot that is not running yet.
func newAgent(t *testing.T, endpoint string, table tablestore.Table, e *fakeEntry) *Agent {
	t.Helper()
	cfg := settings.DefaultAgent()
	cfg.ID, cfg.Zone, cfg.Service, cfg.Endpoint = "agent-1", testZone, "postlink", endpoint
	cfg.Listen, cfg.Slots = "127.0.0.1:0", 1
	cfg.Entries = []string{e.server.Listener.Addr().String()}
	cfg.Keys = []settings.Key{{Secret: testKey}}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	a, err := New(cfg, Deps{Log: zerolog.Nop(), Metrics: metrics, Table: table})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// runAgent runs an agent until the test ends or the returned function is called.
func runAgent(t *testing.T, endpoint string, table tablestore.Table, e *fakeEntry) (*Agent, func()) {
	t.Helper()
	a := newAgent(t, endpoint, table, e)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := a.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	stop := sync.OnceFunc(func() {
		cancel()
		<-done
	})
	t.Cleanup(stop)
	return a, stop
}

// gatedEndpoint answers a task for each value that gate gets, or every task once
// gate is closed.
type gatedEndpoint struct {
	server  *httptest.Server
	started chan string
	gate    chan struct{}
	aborted chan struct{} // one signal for each request that was aborted
}

func newGatedEndpoint(t *testing.T) *gatedEndpoint {
	g := &gatedEndpoint{started: make(chan string, 64), gate: make(chan struct{}, 64), aborted: make(chan struct{}, 64)}
	g.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the end of the body lets the server notice a closed connection
		g.started <- r.Header.Get(headerTask)
		select {
		case <-g.gate:
			_, _ = w.Write([]byte("done"))
		case <-r.Context().Done():
			g.aborted <- struct{}{}
		}
	}))
	t.Cleanup(g.server.Close)
	return g
}

// awaitSignal waits for a value of a channel.
func awaitSignal[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("not within %v: %s", testTimeout, what)
		panic("unreachable")
	}
}

// awaitStart waits until the endpoint has a task's request.
func (g *gatedEndpoint) awaitStart(t *testing.T) {
	t.Helper()
	select {
	case <-g.started:
	case <-time.After(testTimeout):
		t.Fatal("no task reached the endpoint")
	}
}
