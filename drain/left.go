package drain

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Conn returns a request's connection, or nil: there is none over TLS or HTTP/2.
func Conn(request context.Context) net.Conn {
	c, ok := request.Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	return c
}

// ClientLeft reports whether the client of a request has closed its connection, as far as
// the kernel has been told. The request's context is cancelled only once a goroutine has
// read that, which in a process that was stopped or has much to do comes later than the
// request itself. It is false for connections over TLS or HTTP/2 until then.
func ClientLeft(request context.Context) bool {
	if request.Err() != nil {
		return true
	}
	c, ok := request.Value(connKey{}).(*conn)
	return ok && isClosed(c.Conn)
}

// isClosed reports whether the other side has closed or reset a connection and all that
// it has sent has been read.
func isClosed(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return errors.Is(err, net.ErrClosed)
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT) //nolint:gosec // descriptors are small
		closed = err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
	})
	return closed || errors.Is(err, net.ErrClosed)
}
