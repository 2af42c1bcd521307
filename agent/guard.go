package agent

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"bergamotwing.example/result"
)

var errNotSent = eris.New("the start was refused before anything was sent")

// sendState is the progress of sending a task's request.
type sendState int32

const (
	sendPending   sendState = iota // nothing was written
	sendStarted                    // the task may have started
	sendAbandoned                  // nothing was written and nothing will be
)

// sendGuard decides right before the first write whether the request of a task may
// be sent, and records whether any of it was written. It allows one request only,
// so that a request is never sent a second time.
type sendGuard struct {
	mayStart func() result.Code
	state    atomic.Int32
	reason   atomic.Int32
}

// begin is called before each write. ok is false if the write must not be made;
// first reports whether it is the first write of the request.
func (g *sendGuard) begin() (first, ok bool) {
	switch sendState(g.state.Load()) {
	case sendStarted:
		return false, true
	case sendAbandoned:
		return false, false
	}
	if code := g.mayStart(); code != result.OK {
		g.reason.Store(int32(code)) //nolint:gosec // codes are below 1000
		g.abandon()
		return false, false
	}
	return true, g.state.CompareAndSwap(int32(sendPending), int32(sendStarted))
}

// abandon stops a request of which nothing was written. It returns false if
// something may have been written.
func (g *sendGuard) abandon() bool {
	g.state.CompareAndSwap(int32(sendPending), int32(sendAbandoned))
	return sendState(g.state.Load()) == sendAbandoned
}

// denied returns why mayStart refused, or OK if it did not.
func (g *sendGuard) denied() result.Code { return result.Code(g.reason.Load()) }

// guardedConn is a connection to the endpoint that asks the guard of the
// current request before each write.
type guardedConn struct {
	net.Conn
	guard     atomic.Pointer[sendGuard]
	encrypted bool
}

// Write writes if the guard allows it. If the kernel accepted no byte of the first
// write to an unencrypted connection, the request counts as unsent.
func (c *guardedConn) Write(p []byte) (int, error) {
	g := c.guard.Load()
	if g == nil {
		return 0, errNotSent
	}
	first, ok := g.begin()
	if !ok {
		return 0, errNotSent
	}
	n, err := c.Conn.Write(p)
	if err != nil && n == 0 && first && !c.encrypted {
		g.state.Store(int32(sendAbandoned))
	}
	return n, err
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

func guarded(dial dialFunc, encrypted bool) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn, encrypted: encrypted}, nil
	}
}
