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
)

// clientServer serves clients and can stop without dropping a request that has
// arrived. http.Server.Shutdown reads requests of open connections and closes
// them without an answer.
type clientServer struct {
	server   *http.Server
	listener net.Listener
	accepted chan struct{} // closed once no more connections are accepted
	mu       sync.Mutex
	conns    map[net.Conn]connUse
	stopping bool // idle connections are closed
}

type connUse struct {
	state http.ConnState
	since time.Time
}

func newClientServer(l net.Listener, h http.Handler) *clientServer {
	c := &clientServer{listener: l, accepted: make(chan struct{}), conns: map[net.Conn]connUse{}}
	c.server = &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ConnState: c.note}
	return c
}

func (c *clientServer) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.conns, conn)
		return
	}
	if c.stopping && state == http.StateIdle {
		_ = conn.Close() // noted as closed later
	}
	c.conns[conn] = connUse{state, time.Now()}
}

// count returns how many connections have a request or are about to, and how
// many others there are.
func (c *clientServer) count(now time.Time) (busy, unused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, use := range c.conns {
		if use.state == http.StateActive || use.state == http.StateNew && now.Sub(use.since) < firstBytesTime {
			busy++
		}
	}
	return busy, len(c.conns) - busy
}

func (c *clientServer) busy(now time.Time) int {
	busy, _ := c.count(now)
	return busy
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
	if err := c.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "close listener of clients")
	}
	<-c.accepted
	c.closeIdle()
	for c.busy(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			_ = c.server.Close() // the grace period is over
			return eris.Wrap(ctx.Err(), "requests were open")
		case <-time.After(idlePoll):
		}
	}
	return eris.Wrap(c.server.Close(), "close connections of clients")
}

// closeIdle closes the connections without a request, and from now on those that
// become so.
func (c *clientServer) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	for conn, use := range c.conns {
		if use.state == http.StateIdle {
			_ = conn.Close()
		}
	}
}
