// Package drain serves clients over HTTP and stops without dropping a request of which
// a byte has been read.
package drain

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
	// IdlePoll is the pause between two checks of what is open.
	IdlePoll = 50 * time.Millisecond
	// acceptTime is how long a stop goes on accepting connections that the kernel
	// has completed: much longer than a process waits for a busy processor.
	acceptTime = 200 * time.Millisecond
	acceptPoll = time.Millisecond
)

// Server serves clients and can stop without dropping a request of which a byte has
// been read. http.Server.Shutdown may read a request from an open connection and
// close the connection without an answer, and the state that http.Server reports of
// a connection changes only once a header has been read.
//
// Connections over TLS or HTTP/2 are stopped by http.Server.Shutdown all the same:
// what a connection has read says little there of the requests on it.
type Server struct {
	server   *http.Server
	listener net.Listener
	plain    bool          // connections carry HTTP/1 without TLS
	accepted chan struct{} // closed once no more connections are accepted
	mu       sync.Mutex
	conns    map[*conn]time.Time // until when the first request is expected; zero once it has come
	stopping bool                // connections take no further request
}

// New returns a server of the clients of a listener. The server's ConnState and ConnContext
// are called with the connections that the listener has accepted.
func New(server *http.Server, l net.Listener) *Server {
	s := &Server{
		server: server, listener: l, accepted: make(chan struct{}), conns: map[*conn]time.Time{},
		plain: server.TLSConfig == nil && (server.Protocols == nil || !server.Protocols.UnencryptedHTTP2()),
	}
	if s.plain {
		s.listener = listener{l}
		state, connContext := server.ConnState, server.ConnContext
		server.ConnState = func(c net.Conn, now http.ConnState) {
			if client, ok := c.(*conn); ok && state != nil {
				state(client.Conn, now)
			}
			s.connState(c, now)
		}
		server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			if client, ok := c.(*conn); ok && connContext != nil {
				ctx = connContext(ctx, client.Conn)
			}
			return withConn(ctx, c)
		}
	}
	return s
}

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

func (s *Server) connState(c net.Conn, state http.ConnState) {
	client, ok := c.(*conn)
	if !ok {
		return // does not happen: all are accepted by a listener of this package
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[client] = time.Now().Add(firstBytesTime)
	case http.StateActive:
		s.conns[client] = time.Time{}
	case http.StateIdle:
		client.answered()
		if s.stopping {
			client.startClosing()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, client)
	}
}

// Count returns how many connections have an open request or are so new that one
// is expected, and how many others there are.
func (s *Server) Count(now time.Time) (busy, unused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, expected := range s.conns {
		if now.Before(expected) || c.hasBegun() {
			busy++
		}
	}
	return busy, len(s.conns) - busy
}

// Serve serves until Stop or Close is called.
func (s *Server) Serve() error {
	defer close(s.accepted)
	var err error
	if s.server.TLSConfig != nil {
		err = s.server.ServeTLS(s.listener, "", "")
	} else {
		err = s.server.Serve(s.listener)
	}
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return eris.Wrap(err, "serve clients")
}

// Stop accepts no new connections and closes idle ones, since the time left may not
// suffice for another request. It waits until the open requests are answered.
func (s *Server) Stop(ctx context.Context) error {
	if !s.plain {
		return eris.Wrap(s.server.Shutdown(ctx), "shut down")
	}
	for began := time.Now(); hasWaiting(s.listener) && time.Since(began) < acceptTime; {
		time.Sleep(acceptPoll)
	}
	if err := s.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "close listener of clients")
	}
	<-s.accepted
	return s.Wait(ctx)
}

// Wait returns once all connections are closed.
func (s *Server) Wait(ctx context.Context) error {
	for s.closeUnused(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "requests were open")
		case <-time.After(IdlePoll):
		}
	}
	return nil
}

// Interrupt ends the reading of requests that have not arrived completely.
func (s *Server) Interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.interrupt()
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() error { return eris.Wrap(s.server.Close(), "close") }

// closeUnused closes connections as soon as they have no open request, except new
// ones whose first request is still expected, and returns how many are open.
func (s *Server) closeUnused(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for c, expected := range s.conns {
		if !now.Before(expected) || c.hasBegun() {
			c.startClosing()
		}
	}
	return len(s.conns)
}
