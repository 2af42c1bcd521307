package drain

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"bergamotwing.example/drain/draintest"
)

var answerNoContent = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })

// startServer returns a server of clients that answers 204.
func startServer(t *testing.T) *Server {
	t.Helper()
	c, _ := startCountedServer(t, answerNoContent)
	return c
}

// startCountedServer returns a server of clients, and its count of bytes read.
func startCountedServer(t *testing.T, h http.Handler) (*Server, *draintest.CountingListener) {
	t.Helper()
	counting := draintest.Listen(t)
	c := New(&http.Server{Handler: h}, counting) //nolint:gosec // the tests send whole headers or end
	go func() {
		if err := c.Serve(); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { _ = c.Close() })
	return c, counting
}

func dial(t *testing.T, c *Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", c.Addr().String())
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
func stopInBackground(t *testing.T, c *Server) (stopped chan error) {
	t.Helper()
	stopped = make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), draintest.Timeout)
		defer cancel()
		stopped <- c.Stop(ctx)
	}()
	for {
		conn, err := net.Dial("tcp", c.Addr().String())
		if err != nil {
			return stopped
		}
		_ = conn.Close()
	}
}

func TestARequestOnANewConnectionIsAnsweredAfterTheListenerIsClosed(t *testing.T) {
	c := startServer(t)
	conn := dial(t, c)
	write(t, conn, "GET / HTTP/1.1\r\n")
	stopped := stopInBackground(t, c)
	write(t, conn, "Host: h\r\nConnection: close\r\n\r\n")
	wantNoContent(t, conn)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// A request accepted late in a stop might not be answered before the process ends.
func TestAStopClosesIdleConnectionsWhileOthersAreBusy(t *testing.T) {
	c := startServer(t)
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
	if err := conn.SetReadDeadline(time.Now().Add(draintest.Timeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read from a connection that should be closed: %v", err)
	}
}

// A connection without a request does not delay a stop.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	c := startServer(t)
	dial(t, c)
	if err := <-stopInBackground(t, c); err != nil {
		t.Error(err)
	}
}

const (
	getRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	splitAt    = 20 // splits a request within its header
)

// net/http reports a connection as active only once it has read a complete header,
// so a stop could take a connection with half a header for idle.
func TestARequestBegunOnAKeptConnectionIsAnswered(t *testing.T) {
	c, counting := startCountedServer(t, answerNoContent)
	conn := dial(t, c)
	write(t, conn, getRequest)
	wantNoContent(t, conn)
	write(t, conn, getRequest[:splitAt])
	counting.WaitRead(t, conn, len(getRequest)+splitAt)
	stopped := stopInBackground(t, c)
	time.Sleep(2 * IdlePoll)
	write(t, conn, getRequest[splitAt:])
	wantNoContent(t, conn)
	wantClosed(t, conn)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

func TestARequestBegunOnANewConnectionIsAnsweredHoweverSlowItComes(t *testing.T) {
	c, counting := startCountedServer(t, answerNoContent)
	conn := dial(t, c)
	write(t, conn, getRequest[:splitAt])
	counting.WaitRead(t, conn, splitAt)
	stopped := stopInBackground(t, c)
	time.Sleep(firstBytesTime + 2*IdlePoll)
	write(t, conn, getRequest[splitAt:])
	wantNoContent(t, conn)
	wantClosed(t, conn)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// While a handler runs, the server reads one byte ahead. It may be the first byte
// of a request that the client sent as soon as it had the answer. That request must
// be answered too.
func TestARequestReadAheadIsAnswered(t *testing.T) {
	release := make(chan struct{}, 2)
	c, counting := startCountedServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.WriteHeader(http.StatusNoContent)
	}))
	conn := dial(t, c)
	write(t, conn, getRequest)
	counting.WaitRead(t, conn, len(getRequest))
	write(t, conn, getRequest[:1])
	counting.WaitRead(t, conn, len(getRequest)+1)
	stopped := stopInBackground(t, c)
	release <- struct{}{}
	wantNoContent(t, conn)
	time.Sleep(2 * IdlePoll)
	write(t, conn, getRequest[1:])
	release <- struct{}{}
	wantNoContent(t, conn)
	wantClosed(t, conn)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// A request of which bytes have been read is answered whenever the stop comes.
func TestAStopUnderTrafficAnswersAllThatWasRead(t *testing.T) {
	const clients = 50
	c, counting := startCountedServer(t, answerNoContent)
	var wait sync.WaitGroup
	for range clients {
		conn := dial(t, c)
		wait.Go(func() {
			answered := 0
			for r := bufio.NewReader(conn); ; answered++ {
				if _, err := io.WriteString(conn, getRequest); err != nil {
					break
				}
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					break
				}
				_ = resp.Body.Close()
			}
			if n := counting.Read(conn); n != int64(answered*len(getRequest)) {
				t.Errorf("%d bytes of a request were read and not answered", n-int64(answered*len(getRequest)))
			}
		})
	}
	time.Sleep(IdlePoll)
	if err := <-stopInBackground(t, c); err != nil {
		t.Error(err)
	}
	wait.Wait()
}

// The kernel completes connections before the process accepts them. When the
// listener is closed the kernel resets those that were not accepted.
func TestAConnectionMadeBeforeAStopIsServed(t *testing.T) {
	const (
		stops   = 40
		clients = 5
	)
	for range stops {
		c := startServer(t)
		conns := make([]net.Conn, clients)
		for i := range conns {
			conns[i] = dial(t, c)
		}
		stopped := make(chan error, 1)
		go func() { stopped <- c.Stop(t.Context()) }()
		for _, conn := range conns {
			write(t, conn, getRequest)
			wantNoContent(t, conn)
		}
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	}
}

// The context of a request whose client has left is cancelled only by a goroutine that may
// not have run yet.
func TestAClientThatLeftBeforeItsRequestIsReadHasLeft(t *testing.T) {
	left := make(chan bool, 1)
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { left <- ClientLeft(r.Context()) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := New(&http.Server{Handler: handler}, l) //nolint:gosec // the tests send whole headers or end
	t.Cleanup(func() { _ = c.Close() })
	gone := dial(t, c)
	write(t, gone, getRequest)
	if err := gone.Close(); err != nil {
		t.Fatal(err)
	}
	go func() {
		if err := c.Serve(); err != nil {
			t.Error(err)
		}
	}()
	if !<-left {
		t.Error("a client that had closed its connection counts as waiting")
	}
	write(t, dial(t, c), getRequest)
	if <-left {
		t.Error("a client that waits counts as having left")
	}
}
