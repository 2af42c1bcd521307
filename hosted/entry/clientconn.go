package entry

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// clientConn is a client's connection. Once it is to end it takes no further
// request, but goes on with one of which any byte has been read.
type clientConn struct {
	net.Conn

	mu       sync.Mutex
	begun    bool // a byte of a request that is not answered has been read
	ahead    bool // and one of the request after it
	ending   bool
	cut      bool      // nothing more is read of a request
	reading  int       // length of the buffer of a read under way; 0: none
	deadline time.Time // of reads, as the server has set it
}

// longAgo, as a read's deadline, ends the read without taking a byte.
var longAgo = time.Unix(1, 0)

// readAhead is the length of net/http's reads while a handler runs, which see a
// client leave. No other read is so short.
const readAhead = 1

// Read reads, or returns EOF between two requests of a connection that is to end.
func (c *clientConn) Read(p []byte) (int, error) {
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
		if c.ending && !c.cut { // after this read had begun
			_ = c.Conn.SetReadDeadline(c.deadline)
		}
	case n > 0:
		c.ahead = len(p) == readAhead
	case c.ending && !c.begun:
		return 0, io.EOF
	}
	return n, err
}

func (c *clientConn) beginRead(length int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ending && !c.begun:
		return io.EOF
	case c.cut && length != readAhead:
		return os.ErrDeadlineExceeded
	}
	c.reading = length
	return nil
}

// interrupt ends the reading of a request, which its handler can answer then.
func (c *clientConn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = true
	if c.reading > readAhead {
		_ = c.Conn.SetReadDeadline(longAgo)
	}
}

func (c *clientConn) hasBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun
}

// end has the connection take no further request. Its server closes it then.
func (c *clientConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if !c.begun {
		_ = c.Conn.SetReadDeadline(longAgo)
	}
}

// answered notes that a request is over. No read is under way.
func (c *clientConn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun, c.ahead = c.ahead, false
}

// SetReadDeadline implements net.Conn.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.ending && !c.begun {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *clientConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite has the client get an answer whose request was not read to its end:
// net/http calls it where a connection has it.
func (c *clientConn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// clientListener accepts clients' connections.
type clientListener struct{ net.Listener }

// Accept implements net.Listener.
func (l clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn}, nil
}

// hasWaiting reports whether the kernel holds connections to be accepted. It
// resets them when the listener is closed.
func (l clientListener) hasWaiting() bool {
	socket, ok := l.Listener.(syscall.Conn)
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
