// Package arrival tells what a process has received on its connections before a moment
// from what came later. A process that was paused finds both unread.
package arrival

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Marker marks moments for the connections of its listeners.
type Marker struct {
	marks atomic.Uint64 // how many moments were marked

	mu        sync.Mutex
	listeners map[*listener]struct{}
	conns     map[*conn]struct{}
}

// NewMarker returns a marker without listeners.
func NewMarker() *Marker {
	return &Marker{listeners: map[*listener]struct{}{}, conns: map[*conn]struct{}{}}
}

// Mark marks this moment. What was read before, lies unread in a socket, or comes on a
// connection that is not accepted yet counts as received before it.
func (m *Marker) Mark() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.marks.Add(1)
	for l := range m.listeners {
		l.recheck()
	}
	for c := range m.conns {
		c.recheck()
	}
}

// BeforeMark reports whether what was read last from a connection may have been received
// before the latest mark. It is false for connections of other listeners.
func BeforeMark(nc net.Conn) bool {
	for nc != nil {
		if c, ok := nc.(*conn); ok {
			return c.read.Load() < c.marker.marks.Load()
		}
		wrapped, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return false
		}
		nc = wrapped.NetConn()
	}
	return false
}

// Listen returns a listener that accepts the connections of l, a TCP listener, for this marker.
func (m *Marker) Listen(l net.Listener) net.Listener {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return l
	}
	own := &listener{TCPListener: tcp, marker: m}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listeners[own] = struct{}{}
	return own
}

type listener struct {
	*net.TCPListener

	marker *Marker
	// early is set from a mark until the kernel has been found to hold no connection that
	// is not accepted. The marker's mutex guards it.
	early bool
}

// past, set as the deadline, ends an Accept that waits.
var past = time.Unix(1, 0)

// recheck has Accept find out which connections the kernel holds. The marker's mutex is held.
func (l *listener) recheck() {
	l.early = true
	_ = l.SetDeadline(past) // fails once the listener is closed
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		before := l.beginAccept()
		accepted, err := l.AcceptTCP()
		if err == nil {
			return l.add(accepted, before)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) { // set by recheck only
			return nil, err //nolint:wrapcheck // net/http compares it
		}
	}
}

// beginAccept returns the number of the latest mark that comes before the next connection,
// as far as is known.
func (l *listener) beginAccept() uint64 {
	l.marker.mu.Lock()
	defer l.marker.mu.Unlock()
	_ = l.SetDeadline(time.Time{})
	marks := l.marker.marks.Load()
	if l.early && isUnread(l.TCPListener) {
		return marks - 1
	}
	l.early = false
	return marks
}

// add adds a connection that was made after the given mark.
func (l *listener) add(accepted *net.TCPConn, after uint64) (net.Conn, error) {
	raw, err := accepted.SyscallConn()
	if err != nil {
		_ = accepted.Close()
		return nil, err //nolint:wrapcheck // does not happen
	}
	c := &conn{Conn: accepted, raw: raw, marker: l.marker, empty: after}
	l.marker.mu.Lock()
	defer l.marker.mu.Unlock()
	l.marker.conns[c] = struct{}{}
	return c, nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.marker.mu.Lock()
	delete(l.marker.listeners, l)
	l.marker.mu.Unlock()
	return l.TCPListener.Close() //nolint:wrapcheck // net/http compares it
}

type conn struct {
	net.Conn

	raw    syscall.RawConn
	marker *Marker
	read   atomic.Uint64 // number of the latest mark that comes before what was read last

	mu    sync.Mutex // held while bytes are taken from the socket
	empty uint64     // number of the latest mark after which the socket held nothing
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	var (
		n       int
		failure error
	)
	err := c.raw.Read(func(fd uintptr) bool {
		n, failure = c.take(int(fd), p) //nolint:gosec // descriptors are small
		return !errors.Is(failure, unix.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, err //nolint:wrapcheck // net/http compares it
	case failure != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", failure)}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// take takes bytes from the socket, and notes after which mark they have come.
func (c *conn) take(fd int, p []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	marks := c.marker.marks.Load() // before the read: a mark that comes later is not known to precede its result
	for {
		n, err = unix.Read(fd, p)
		if !errors.Is(err, unix.EINTR) {
			break
		}
	}
	switch {
	case errors.Is(err, unix.EAGAIN):
		c.empty = max(c.empty, marks)
	case n > 0:
		c.read.Store(c.empty)
	}
	return max(n, 0), err
}

// recheck notes whether the socket is empty at a new mark. The marker's mutex is held, so
// there is no later mark.
func (c *conn) recheck() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !isUnread(c.Conn) {
		c.empty = c.marker.marks.Load()
	}
}

// isUnread reports whether a socket holds something to be read: bytes, the end of the
// connection, or a connection to be accepted.
func isUnread(of any) bool {
	socket, ok := of.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	ready := 0
	failure := error(unix.EINTR) // a signal interrupts the call also if it does not wait
	err = raw.Control(func(fd uintptr) {
		for errors.Is(failure, unix.EINTR) {
			ready, failure = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) //nolint:gosec // descriptors are small
		}
	})
	return err != nil || failure != nil || ready > 0
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.marker.mu.Lock()
	delete(c.marker.conns, c)
	c.marker.mu.Unlock()
	return c.Conn.Close() //nolint:wrapcheck // net/http compares it
}

// CloseWrite lets the client receive an answer although its request was not read to the
// end: net/http calls CloseWrite on connections that have it.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite() //nolint:wrapcheck // net/http ignores it
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	return c.raw, nil
}
