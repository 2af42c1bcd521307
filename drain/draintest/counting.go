// Package draintest counts what a server has read from its clients, for tests that stop
// the server at a known byte of a request.
package draintest

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Timeout is longer than any wait of these tests.
const Timeout = 3 * time.Second

// CountingListener counts the bytes that the server has read, by client.
type CountingListener struct {
	*net.TCPListener

	read sync.Map // *atomic.Int64 by the client's address
}

// Listen returns a listener on a free port of the loopback interface.
func Listen(t *testing.T) *CountingListener {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	return &CountingListener{TCPListener: l}
}

// Accept implements net.Listener.
func (l *CountingListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, read: l.of(conn.RemoteAddr())}, nil
}

func (l *CountingListener) of(client net.Addr) *atomic.Int64 {
	n, _ := l.read.LoadOrStore(client.String(), new(atomic.Int64))
	return n.(*atomic.Int64) //nolint:forcetypeassert // as stored
}

// Read returns how many bytes the server has read from a client.
func (l *CountingListener) Read(client net.Conn) int64 { return l.of(client.LocalAddr()).Load() }

// WaitRead returns once the server has read n bytes from a client.
func (l *CountingListener) WaitRead(t *testing.T, client net.Conn, n int) {
	t.Helper()
	for began := time.Now(); l.Read(client) < int64(n); time.Sleep(time.Millisecond) {
		if time.Since(began) > Timeout {
			t.Fatalf("the server has read %d bytes, want %d", l.Read(client), n)
		}
	}
}

type countingConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}
