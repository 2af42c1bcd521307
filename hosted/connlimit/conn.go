package connlimit

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// headerCost is the memory of a byte of a header until the header is whole: a field
	// of a few bytes takes an entry of a map, a list and two texts.
	headerCost = 32
	bodyCost   = 2   // of a byte of a body: the buffer it is read into grows by copying
	fieldCost  = 160 // memory of a field of a whole header, besides its text
	// aheadBytes are what the kernel may hold of requests sent before the answer: it takes
	// twice the size of the buffer that it is asked for.
	aheadBytes = 2 * bufferBytes
)

// ErrClosed is returned by reads of a connection that was closed to make room.
var ErrClosed = eris.New("the connection was closed to make room for others")

type listener struct {
	net.Listener

	limiter *Limiter
	kind    Kind
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // net/http compares it
		}
		c := &conn{Conn: accepted, limiter: l.limiter, kind: l.kind}
		if l.kind.Known != nil {
			host, _, _ := net.SplitHostPort(accepted.RemoteAddr().String())
			c.known = l.kind.Known(host)
		}
		if l.limiter.enter(c) {
			return c, nil
		}
		l.limiter.report(l.kind.Name, Connections)
		_ = accepted.Close()
	}
}

// SyscallConn implements syscall.Conn.
func (l *listener) SyscallConn() (syscall.RawConn, error) { return rawConn(l.Listener) }

// conn is a connection. The limiter's mutex guards its fields.
type conn struct {
	net.Conn
	holding

	limiter *Limiter
	kind    Kind
	read    int64       // bytes of the header or the body that have been read
	timer   *time.Timer // closes the connection unless the body is whole by then; nil: none is due
	request int64       // bytes that the request's header holds
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	d := c.limiter
	d.mu.Lock()
	defer d.unlock()
	if n == 0 {
		c.reportTimeout(err)
		return n, err //nolint:wrapcheck // net/http compares it
	}
	switch c.phase {
	case phaseNew: // the time without a request goes on
		c.phase = phaseHeader
	case phaseIdle:
		c.enterPhase(phaseHeader)
	default:
	}
	held := true
	switch c.phase {
	case phaseHeader:
		c.read += int64(n)
		held = d.hold(c, headerCost*c.read)
	case phaseBody:
		c.read += int64(n)
		held = d.hold(c, c.request+bodyCost*c.read)
	case phaseOpen:
		if c.kind.Unlinked == 0 && !c.ahead { // the server reads one byte ahead, the kernel the rest
			c.ahead = true
			held = d.hold(c, c.held+aheadBytes)
		}
	default:
	}
	if !held {
		if _, ok := d.conns[c]; ok {
			d.close(c, Held)
		}
		return 0, ErrClosed
	}
	return n, err //nolint:wrapcheck // net/http compares it
}

// reportTimeout reports that the client has taken too long for its header or its next
// request.
func (c *conn) reportTimeout(err error) {
	age := c.limiter.now() - c.since
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
	case c.phase == phaseIdle && age >= c.limiter.limits.IdleTime:
		c.limiter.note(c, IdleTime)
	case c.unfinished() && c.phase != phaseBody && age >= hurry:
		c.limiter.note(c, HeaderTime)
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(c.limiter.limits.AnswerTime))
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.limiter.report(c.kind.Name, AnswerTime)
	}
	return n, err //nolint:wrapcheck // net/http compares it
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.limiter.mu.Lock()
	c.limiter.leave(c)
	c.limiter.unlock()
	return c.Conn.Close() //nolint:wrapcheck // net/http compares it
}

// CloseWrite lets the client receive an answer although its request was not read to the
// end.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite() //nolint:wrapcheck // net/http ignores it
	}
	return nil
}

// NetConn returns the connection that the listener has accepted.
func (c *conn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return rawConn(c.Conn) }

func rawConn(of any) (syscall.RawConn, error) {
	socket, ok := of.(syscall.Conn)
	if !ok {
		return nil, eris.Errorf("%T is no socket", of)
	}
	return socket.SyscallConn() //nolint:wrapcheck // as of the socket
}

func (c *conn) enterPhase(p phase) {
	c.phase, c.since, c.read = p, c.limiter.now(), 0
}

func (c *conn) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}

// begin notes that a header is whole.
func (c *conn) begin(r *http.Request) {
	d := c.limiter
	d.mu.Lock()
	defer d.unlock()
	if _, ok := d.conns[c]; !ok {
		return
	}
	c.request = headerMemory(r)
	if r.Body == nil || r.Body == http.NoBody {
		c.enterPhase(phaseOpen)
		if c.kind.Unlinked > 0 { // until its hello
			c.phase = phaseBody
		}
		_ = d.hold(c, c.request)
		return
	}
	c.enterPhase(phaseBody)
	_ = d.hold(c, c.request)
	began := c.since
	c.timer = time.AfterFunc(d.limits.BodyTime, func() { c.expire(began) })
}

// expire closes the connection if the body that was to be whole by now is not.
func (c *conn) expire(began time.Duration) {
	d := c.limiter
	d.mu.Lock()
	defer d.unlock()
	if _, ok := d.conns[c]; ok && c.phase == phaseBody && c.since == began {
		d.close(c, BodyTime)
	}
}

// whole notes that the request has been read to its end.
func (c *conn) whole() {
	c.limiter.mu.Lock()
	defer c.limiter.unlock()
	if c.phase == phaseBody {
		c.stopTimer()
		c.phase, c.since = phaseOpen, c.limiter.now()
	}
}

// answered notes that the request is answered.
func (c *conn) answered() {
	d := c.limiter
	d.mu.Lock()
	defer d.unlock()
	if _, ok := d.conns[c]; !ok {
		return
	}
	c.stopTimer()
	c.enterPhase(phaseIdle)
	c.ahead = false
	_ = d.hold(c, 0)
}

func headerMemory(r *http.Request) int64 {
	bytes := int64(len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		for _, v := range values {
			bytes += int64(fieldCost + len(name) + len(v))
		}
	}
	return bytes
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

func connState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*conn); ok && state == http.StateIdle {
		c.answered()
	}
}
