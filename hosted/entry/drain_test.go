package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

const stopTime = 3 * time.Second // longer than any wait of these tests

// startClientServer returns a server of clients that answers 204.
func startClientServer(t *testing.T) *clientServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := newClientServer(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	go func() {
		if err := c.serve(); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { _ = c.server.Close() })
	return c
}

func dial(t *testing.T, c *clientServer) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", c.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

func wantNoContent(t *testing.T, conn net.Conn) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// stopInBackground begins a stop and returns once connections are refused.
func stopInBackground(t *testing.T, c *clientServer) (stopped chan error) {
	t.Helper()
	stopped = make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTime)
		defer cancel()
		stopped <- c.stop(ctx)
	}()
	for {
		conn, err := net.Dial("tcp", c.listener.Addr().String())
		if err != nil {
			return stopped
		}
		_ = conn.Close()
	}
}

func TestARequestOnANewConnectionIsAnsweredAfterTheListenerIsClosed(t *testing.T) {
	c := startClientServer(t)
	conn := dial(t, c)
	write(t, conn, "GET / HTTP/1.1\r\n")
	stopped := stopInBackground(t, c)
	write(t, conn, "Host: h\r\nConnection: close\r\n\r\n")
	wantNoContent(t, conn)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// A request taken late in a stop might not be answered before its end.
func TestAStopClosesIdleConnectionsWhileOthersAreBusy(t *testing.T) {
	c := startClientServer(t)
	idle, busy, last := dial(t, c), dial(t, c), dial(t, c)
	write(t, idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	wantNoContent(t, idle)
	write(t, busy, "GET / HTTP/1.1\r\n")
	write(t, last, "GET / HTTP/1.1\r\n")
	stopped := stopInBackground(t, c)
	wantClosed(t, idle)
	write(t, busy, "Host: h\r\n\r\n") // kept alive
	wantNoContent(t, busy)
	wantClosed(t, busy)
	write(t, last, "Host: h\r\n\r\n")
	wantNoContent(t, last)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

func wantClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(stopTime)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read from a connection that should be closed: %v", err)
	}
}

// A connection without a request does not hold up a stop.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	c := startClientServer(t)
	dial(t, c)
	if err := <-stopInBackground(t, c); err != nil {
		t.Error(err)
	}
}
