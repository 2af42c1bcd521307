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
	idlePoll       = 50 * time.Millisecond // between two looks at what is open
	// acceptTime is how long a stop lets connections be accepted that the kernel
	// has taken: much longer than a busy process is kept from its processor.
	acceptTime = 200 * time.Millisecond
	acceptPoll = time.Millisecond
)

// clientServer serves clients and can stop without dropping a request of which a
// byte has been read. http.Server.Shutdown reads requests of open connections and
// closes them without an answer, and the state that it reports of a connection
// changes only once a header has been read.
type clientServer struct {
	server   *http.Server
	listener clientListener
	accepted chan struct{} // closed once no more connections are accepted
	mu       sync.Mutex
	conns    map[*clientConn]time.Time // until when a first request is expected; zero: no more
	stopping bool                      // connections take no further request
}

func newClientServer(l net.Listener, h http.Handler) *clientServer {
	c := &clientServer{listener: clientListener{l}, accepted: make(chan struct{}), conns: map[*clientConn]time.Time{}}
	c.server = &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ConnState: c.note}
	return c
}

func (c *clientServer) note(conn net.Conn, state http.ConnState) {
	client, ok := conn.(*clientConn)
	if !ok {
		return // none: all are accepted by a clientListener
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
			client.end()
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, client)
	}
}

// count returns how many connections have a request or are about to, and how
// many others there are.
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

// stop takes no new connections and closes idle ones, since the time left may not
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
	for c.endUnused(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "requests were open")
		case <-time.After(idlePoll):
		}
	}
	return nil
}

// interrupt ends the reading of requests that have not arrived whole.
func (c *clientServer) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		conn.interrupt()
	}
}

// endUnused has connections take no further request, but for new ones whose
// first is still expected, and returns how many are open.
func (c *clientServer) endUnused(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	for conn, expected := range c.conns {
		if !now.Before(expected) || conn.hasBegun() {
			conn.end()
		}
	}
	return len(c.conns)
}
