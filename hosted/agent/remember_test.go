package agent

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bergamotwing.example/hosted/control"
	"bergamotwing.example/platform"
	"bergamotwing.example/platform/fake"
	"bergamotwing.example/telemetry"
)

const (
	storeFaultTime = 200 * time.Millisecond // how long the store goes on failing after the stop; less than the grace period
	writeTime      = 50 * time.Millisecond  // of one write of the store
)

// startStore starts a store whose writes take writeTime.
func startStore(t *testing.T) (store *fake.Store, addr string) {
	t.Helper()
	store = fake.NewStore()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The server detects that a client has disconnected only once the body is read.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if r.URL.Path == "/-/rows-tx" {
			time.Sleep(writeTime)
		}
		store.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return store, server.Listener.Addr().String()
}

// testNode returns the settings of an agent on a loopback address.
func testNode(t *testing.T, store string) platform.Node {
	t.Helper()
	text, err := fake.Node{Name: "agent", IP: "127.0.0.1", Zone: "z1", StoreAddr: store, Service: "svc"}.SettingsFile()
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "node.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	node, err := platform.LoadNode(file)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	node.ControlAddr = l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return node
}

func newTestAgent(t *testing.T, node platform.Node) *Agent {
	t.Helper()
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	return New(node, control.Deps{Log: zerolog.Nop(), Metrics: metrics})
}

// startAgent runs an agent. It returns a function that stops the agent, and a channel
// that receives the result of Run.
func startAgent(t *testing.T, node platform.Node) (stop func(), ended <-chan error) {
	t.Helper()
	a := newTestAgent(t, node)
	stopping, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	end := make(chan error, 1)
	go func() { end <- a.Run(stopping) }()
	return cancel, end
}

// announce sends heartbeats until one is acknowledged.
func announce(t *testing.T, e *fake.Endpoint, node platform.Node) {
	t.Helper()
	var err error
	for range 100 {
		if err = e.Announce(node.ControlAddr); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal(err)
}

func wantStoredAsDraining(t *testing.T, node platform.Node) {
	t.Helper()
	n, found, err := newTestAgent(t, node).tryReadEndpoint(t.Context())
	if err != nil || !found || !n.Draining {
		t.Errorf("the successor reads %+v, found %v, error %v; want a draining endpoint", n, found, err)
	}
}

func testEndpoint() *fake.Endpoint {
	return fake.NewEndpoint(fake.EndpointConfig{ID: "i-0", Service: "svc", Zone: "z1", Addr: "127.0.0.1:1", CPUMilli: 1000, Record: fake.NewRecord()})
}

// An agent that ends before the store has taken an acknowledged "draining" leaves a
// row that says "ready": the agent's next incarnation would start tasks on the
// draining endpoint.
func TestAStoppingAgentWritesADrainingEndpointThatItAcknowledged(t *testing.T) {
	store, addr := startStore(t)
	node := testNode(t, addr)
	stop, ended := startAgent(t, node)
	e := testEndpoint()
	announce(t, e, node)
	for len(store.Keys(endpointsTable)) == 0 {
		time.Sleep(writtenPoll)
	}
	store.SetFault(func(string) fake.StoreFault { return fake.StoreBusy })
	e.SetDraining()
	announce(t, e, node)
	stop()
	time.Sleep(storeFaultTime)
	store.SetFault(func(string) fake.StoreFault { return fake.StoreHealthy })
	if err := <-ended; err != nil {
		t.Error(err)
	}
	wantStoredAsDraining(t, node)
}

// An agent that is killed has no time to write, so the row must be written before
// the heartbeat is acknowledged.
func TestADrainingEndpointIsAcknowledgedOnceItIsWritten(t *testing.T) {
	_, addr := startStore(t)
	node := testNode(t, addr)
	stop, ended := startAgent(t, node)
	e := testEndpoint()
	announce(t, e, node)
	e.SetDraining()
	announce(t, e, node)
	wantStoredAsDraining(t, node)
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A store that does not answer must not keep a draining endpoint from leaving.
func TestADrainingEndpointIsAcknowledgedWhileTheStoreIsOut(t *testing.T) {
	store, addr := startStore(t)
	store.SetFault(func(string) fake.StoreFault { return fake.StoreSilent })
	node := testNode(t, addr)
	stop, _ := startAgent(t, node)
	defer stop()
	e := testEndpoint()
	announce(t, e, node)
	e.SetDraining()
	began := time.Now()
	announce(t, e, node)
	if took := time.Since(began); took > time.Second {
		t.Errorf("acknowledged after %v; endpoints wait for a second", took)
	}
}
