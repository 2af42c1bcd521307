package drain

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a client's connection. Once it is closing it takes no further
// request, but completes one of which any byte has been read.
type conn struct {
	net.Conn

	mu          sync.Mutex
	begun       bool // a byte of a request that is not yet answered has been read
	nextBegun   bool // a byte of the request after that one has been read too
	closing     bool
	interrupted bool      // no more bytes of a request are read
	reading     int       // buffer length of the read in progress; 0: none
	deadline    time.Time // of reads, as the server has set it
}

// longAgo, set as the read deadline, ends a read before it takes a byte.
var longAgo = time.Unix(1, 0)

// readAhead is the length of the reads by which net/http detects, while a handler
// runs, that the client has disconnected. No other read is so short.
const readAhead = 1

// Read reads from the connection. Between two requests of a closing connection it
// returns EOF.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.beginRead(len(p)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = 0
	switch {
	case n > 0 && !c.begun:
		c.begun = true
		if c.closing && !c.interrupted { // startClosing came during this read and set longAgo
			_ = c.Conn.SetReadDeadline(c.deadline)
		}
	case n > 0:
		c.nextBegun = len(p) == readAhead
	case c.closing && !c.begun:
		return 0, io.EOF
	}
	return n, err
}

func (c *conn) beginRead(length int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing && !c.begun:
		return io.EOF
	case c.interrupted && length != readAhead:
		return os.ErrDeadlineExceeded
	}
	c.reading = length
	return nil
}

// interrupt ends the reading of a request, so that its handler can answer it.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	if c.reading > readAhead {
		_ = c.Conn.SetReadDeadline(longAgo)
	}
}

func (c *conn) hasBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun
}

// startClosing has the connection take no further request. The server closes the
// connection when Read returns EOF.
func (c *conn) startClosing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if !c.begun {
		_ = c.Conn.SetReadDeadline(longAgo)
	}
}

// answered marks the request as answered. It is called while no read is in progress.
func (c *conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun, c.nextBegun = c.nextBegun, false
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.closing && !c.begun {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// NetConn returns the connection that the listener has accepted.
func (c *conn) NetConn() net.Conn { return c.Conn }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite lets the client receive an answer although its request was not read to
// the end: net/http calls CloseWrite on connections that have it.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// listener accepts clients' connections.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// hasWaiting reports whether the kernel holds connections that are not accepted
// yet. The kernel resets them when the listener is closed.
func hasWaiting(l net.Listener) bool {
	if wrapped, ok := l.(listener); ok {
		l = wrapped.Listener
	}
	socket, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false // closed
	}
	waiting := 0
	err = raw.Control(func(fd uintptr) {
		waiting, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) //nolint:gosec // descriptors are small
	})
	return err == nil && waiting > 0
}
