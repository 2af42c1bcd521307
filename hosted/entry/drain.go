package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// firstBytesTime is how long a new connection may be without a request
	// before it counts as unused: clients write theirs as soon as they connect.
	firstBytesTime = 500 * time.Millisecond
	idlePoll       = 50 * time.Millisecond // between two checks of what is open
	// acceptTime is how long a stop goes on accepting connections that the kernel
	// has completed: much longer than a process waits for a busy processor.
	acceptTime = 200 * time.Millisecond
	acceptPoll = time.Millisecond
)

// clientServer serves clients and can stop without dropping a request of which a
// byte has been read. http.Server.Shutdown may read a request from an open
// connection and close the connection without an answer, and the state that
// http.Server reports of a connection changes only once a header has been read.
type clientServer struct {
	server   *http.Server
	listener clientListener
	accepted chan struct{} // closed once no more connections are accepted
	mu       sync.Mutex
	conns    map[*clientConn]time.Time // until when the first request is expected; zero once it has come
	stopping bool                      // connections take no further request
}

func newClientServer(l net.Listener, h http.Handler) *clientServer {
	c := &clientServer{listener: clientListener{l}, accepted: make(chan struct{}), conns: map[*clientConn]time.Time{}}
	c.server = &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ConnState: c.connState}
	return c
}

func (c *clientServer) connState(conn net.Conn, state http.ConnState) {
	client, ok := conn.(*clientConn)
	if !ok {
		return // does not happen: all are accepted by a clientListener
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.conns[client] = time.Now().Add(firstBytesTime)
	case http.StateActive:
		c.conns[client] = time.Time{}
	case http.StateIdle:
		client.answered()
		if c.stopping {
			client.startClosing()
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, client)
	}
}

// count returns how many connections have an open request or are so new that one
// is expected, and how many others there are.
func (c *clientServer) count(now time.Time) (busy, unused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, expected := range c.conns {
		if now.Before(expected) || conn.hasBegun() {
			busy++
		}
	}
	return busy, len(c.conns) - busy
}

func (c *clientServer) serve() error {
	defer close(c.accepted)
	err := c.server.Serve(c.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return eris.Wrap(err, "serve clients")
}

// stop accepts no new connections and closes idle ones, since the time left may not
// suffice for another request. It waits until the open requests are answered.
func (c *clientServer) stop(ctx context.Context) error {
	for began := time.Now(); c.listener.hasWaiting() && time.Since(began) < acceptTime; {
		time.Sleep(acceptPoll)
	}
	if err := c.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "close listener of clients")
	}
	<-c.accepted
	return c.wait(ctx)
}

// wait returns once all connections are closed.
func (c *clientServer) wait(ctx context.Context) error {
	for c.closeUnused(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "requests were open")
		case <-time.After(idlePoll):
		}
	}
	return nil
}

// interrupt ends the reading of requests that have not arrived completely.
func (c *clientServer) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		conn.interrupt()
	}
}

// closeUnused closes connections as soon as they have no open request, except new
// ones whose first request is still expected, and returns how many are open.
func (c *clientServer) closeUnused(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	for conn, expected := range c.conns {
		if !now.Before(expected) || conn.hasBegun() {
			conn.startClosing()
		}
	}
	return len(c.conns)
}
