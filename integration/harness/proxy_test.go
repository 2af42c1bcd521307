package harness

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bergamotwing.example/wire"
)

const testTimeout = 5 * time.Second

// startEcho starts a TCP server that echoes every byte, and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

func dialTest(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echoed writes b to c and reports whether it is echoed within timeout.
func echoed(c net.Conn, b byte, timeout time.Duration) bool {
	if _, err := c.Write([]byte{b}); err != nil {
		return false
	}
	return arrives(c, b, timeout)
}

func arrives(c net.Conn, b byte, timeout time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	got := make([]byte, 1)
	_, err := io.ReadFull(c, got)
	return err == nil && got[0] == b
}

func TestDisconnectedProxyRefusesUntilHealed(t *testing.T) {
	p := StartProxy(t, "127.0.0.1:0", startEcho(t))
	addr := p.Addr
	c := dialTest(t, addr)
	if !echoed(c, 'a', testTimeout) {
		t.Fatal("no answer before the disconnect")
	}
	p.Disconnect()
	if echoed(c, 'b', testTimeout) {
		t.Error("an answer on a connection that the proxy closed")
	}
	if echoed(dialTest(t, addr), 'c', testTimeout) {
		t.Error("an answer on a connection made while disconnected")
	}
	p.Heal()
	if !echoed(dialTest(t, addr), 'd', testTimeout) {
		t.Error("no answer after Heal")
	}
}

func TestDroppedDirectionLeavesConnectionOpen(t *testing.T) {
	p := StartProxy(t, "127.0.0.1:0", startEcho(t))
	c := dialTest(t, p.Addr)
	p.DropDirection(FromTarget)
	if echoed(c, 'a', 50*time.Millisecond) {
		t.Error("an answer in the dropped direction")
	}
	if _, err := c.Write([]byte{'b'}); err != nil {
		t.Errorf("connection is not open: %v", err)
	}
	p.Heal()
	Eventually(t, testTimeout, "the lossy connection is closed", func() bool { return p.Connections() == 0 })
}

func TestHeldAnswerArrivesAfterALaterOne(t *testing.T) {
	p := StartProxy(t, "127.0.0.1:0", startEcho(t))
	early := dialTest(t, p.Addr)
	Eventually(t, testTimeout, "the proxy has the connection", func() bool { return p.Connections() == 1 })
	p.Hold()
	if _, err := early.Write([]byte{'a'}); err != nil {
		t.Fatal(err)
	}
	if !echoed(dialTest(t, p.Addr), 'b', testTimeout) {
		t.Error("no answer on a connection that is not held")
	}
	if arrives(early, 'a', 50*time.Millisecond) {
		t.Error("a held answer arrived before the release")
	}
	p.Release()
	if !arrives(early, 'a', testTimeout) {
		t.Error("no answer after the release")
	}
}

func TestDelayIsOneWay(t *testing.T) {
	const delay = 30 * time.Millisecond
	p := StartProxy(t, "127.0.0.1:0", startEcho(t))
	p.Delay(delay)
	start := time.Now()
	if !echoed(dialTest(t, p.Addr), 'a', testTimeout) {
		t.Fatal("no answer")
	}
	if took := time.Since(start); took < 2*delay {
		t.Errorf("round trip took %v, want at least %v", took, 2*delay)
	}
}

func TestWhatALostClientHasSentArrives(t *testing.T) {
	const lag = 50 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := StartProxy(t, "127.0.0.1:0", l.Addr().String())
	p.Lag(lag)
	c := dialTest(t, p.Addr)
	target, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.Close() })
	start := time.Now()
	if _, err := c.Write([]byte{'a'}); err != nil {
		t.Fatal(err)
	}
	if arrives(target, 'a', lag/5) {
		t.Error("arrived without the lag")
	}
	p.LoseClients()
	if _, err := target.Write([]byte{'b'}); err != nil {
		t.Errorf("the target's side was closed: %v", err)
	}
	if !arrives(target, 'a', testTimeout) || time.Since(start) < lag {
		t.Errorf("not arrived, or %v after it was sent", time.Since(start))
	}
	Eventually(t, testTimeout, "the connection is closed", func() bool { return p.Connections() == 0 })
}

// discard is a wire.Observer that counts nothing.
type discard struct{}

func (discard) Sent(wire.Kind, int) {}
func (discard) Received(wire.Kind)  {}

// startLinkServer accepts links and answers each message with an AgentPing.
func startLinkServer(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		link, err := wire.Accept(w, r, discard{})
		if err != nil {
			return
		}
		_ = link.Serve(r.Context(), func(wire.Message) { _ = link.Send(&wire.AgentPing{}) })
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// helloAnswered dials a link as an agent and reports whether its hello is answered.
func helloAnswered(t *testing.T, addr, agent string) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	link, err := wire.Dial(ctx, addr, "/link/agent", "token", nil, discard{})
	if err != nil {
		return false
	}
	_ = link.Send(&wire.AgentHello{Agent: agent, Zone: "gent-noord", Service: DefaultService})
	answered := false
	_ = link.Serve(ctx, func(wire.Message) {
		answered = true
		cancel()
	})
	return answered
}

func TestDisconnectOfOneSourceLeavesTheOthers(t *testing.T) {
	p := StartProxy(t, "127.0.0.1:0", startLinkServer(t))
	addr := p.Addr
	p.Disconnect("agent1")
	if helloAnswered(t, addr, "agent1") {
		t.Error("the disconnected source was answered")
	}
	if !helloAnswered(t, addr, "agent0") {
		t.Error("a source that is not disconnected was not answered")
	}
}
