package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Reason says which bound a connection or a request was over.
type Reason string

// Reasons.
const (
	Connections Reason = "connections" // too many connections of a listener
	Unlinked    Reason = "unlinked"    // too many links without a hello
	Held        Reason = "held"        // too many bytes held
	HeaderTime  Reason = "header_time"
	BodyTime    Reason = "body_time"
	AnswerTime  Reason = "answer_time"
	IdleTime    Reason = "idle_time"
	Fields      Reason = "fields"  // too many fields in a header
	Refused     Reason = "refused" // no bytes left for a complete request
)

// Kind is a kind of listener.
type Kind struct {
	Name        string
	Connections int
	Unlinked    int // connections without a hello; 0: the connections are not links
	// Known reports whether a host is that of a member; nil: none is.
	Known func(host string) bool
	// Wrap replaces the listener by one of the same connections; nil: it stays.
	Wrap func(net.Listener) net.Listener
}

// bufferBytes is the size of the kernel's buffers for what a client has sent and nobody has
// read, and for answers that the client has not read. They count toward the machine's
// memory. Links have the kernel's own sizes.
const bufferBytes = 64 << 10

// Limiter bounds what the connections of all listeners of a process hold.
type Limiter struct {
	limits Limits
	report func(listener string, why Reason)
	now    func() time.Duration

	mu     sync.Mutex
	held   int64
	conns  map[*conn]struct{}
	counts map[string]int // of connections, by listener
	// scratch and order are kept between decisions: they are as long as there are connections.
	scratch []holding
	order   []*conn
	closing []*conn // to be closed once mu is released
	notes   []note  // to be reported once mu is released: whoever reads the metrics waits for mu
}

// New returns a limiter. report is called for each connection that is closed and each request
// that is refused; it must not block.
func New(limits Limits, report func(listener string, why Reason)) *Limiter {
	began := time.Now()
	return &Limiter{limits: limits, report: report, now: func() time.Duration { return time.Since(began) }, conns: map[*conn]struct{}{}, counts: map[string]int{}}
}

// Clients returns the kind of the listener of clients.
func (d *Limiter) Clients() Kind { return Kind{Name: "clients", Connections: d.limits.Clients} }

// Service returns the kind of a listener of probes, metrics or endpoints.
func (d *Limiter) Service(name string) Kind { return Kind{Name: name, Connections: d.limits.Service} }

// Links returns the kind of the listener of links.
func (d *Limiter) Links(known func(host string) bool) Kind {
	return Kind{Name: "links", Connections: d.limits.Links, Unlinked: d.limits.Unlinked, Known: known}
}

// Held returns the bytes held.
func (d *Limiter) Held() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held
}

// Count returns the number of connections.
func (d *Limiter) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns)
}

// Listen listens at an address.
func (d *Limiter) Listen(ctx context.Context, addr string, kind Kind) (net.Listener, error) {
	var lc net.ListenConfig
	if kind.Unlinked == 0 {
		lc.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				for _, option := range []int{unix.SO_RCVBUF, unix.SO_SNDBUF} {
					_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, bufferBytes) //nolint:gosec // descriptors are small
				}
			})
		}
	}
	l, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for %s at %s", kind.Name, addr)
	}
	if kind.Wrap != nil {
		l = kind.Wrap(l)
	}
	return &listener{Listener: l, limiter: d, kind: kind}, nil
}

// Server returns a server for connections of a listener of this limiter.
func (d *Limiter) Server(h http.Handler, headerTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler: handler{d, h}, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: d.limits.HeaderBytes, IdleTimeout: d.limits.IdleTime,
		ConnContext: withConn, ConnState: connState,
	}
}

// enter takes a connection in, if need be in place of others. It returns false if there is
// no room.
func (d *Limiter) enter(c *conn) bool {
	d.mu.Lock()
	defer d.unlock()
	if c.kind.Unlinked > 0 && d.unlinked(c.kind.Name) >= c.kind.Unlinked {
		d.closeChosen(c.kind.Name, Unlinked, closeUnfinished)
	}
	if d.counts[c.kind.Name] >= c.kind.Connections && !d.closeChosen(c.kind.Name, Connections, func(h []holding) int { return closeForRoom(d.now(), h) }) {
		return false
	}
	c.since = d.now()
	d.conns[c] = struct{}{}
	d.counts[c.kind.Name]++
	return true
}

// unlinked returns how many connections of a listener wait for a hello.
func (d *Limiter) unlinked(name string) (n int) {
	for c := range d.conns {
		if c.kind.Name == name && c.unfinished() {
			n++
		}
	}
	return n
}

// closeChosen closes the connection that choose chooses among those of a listener, or of
// all listeners if its name is empty.
func (d *Limiter) closeChosen(name string, why Reason, choose func([]holding) int) bool {
	d.scratch, d.order = d.scratch[:0], d.order[:0]
	for c := range d.conns {
		if name == "" || c.kind.Name == name {
			d.scratch, d.order = append(d.scratch, c.holding), append(d.order, c)
		}
	}
	chosen := choose(d.scratch)
	if chosen < 0 {
		return false
	}
	d.close(d.order[chosen], why)
	clear(d.order)
	return true
}

// close has unlock close a connection; its reads fail then.
func (d *Limiter) close(c *conn, why Reason) {
	d.leave(c)
	d.note(c, why)
	d.closing = append(d.closing, c)
}

// note is what is reported of a connection.
type note struct {
	listener string
	why      Reason
}

// note has unlock report a connection.
func (d *Limiter) note(c *conn, why Reason) { d.notes = append(d.notes, note{c.kind.Name, why}) }

// unlock releases mu, reports and closes connections. Whoever needs the room waits until it is
// there.
func (d *Limiter) unlock() {
	closing, notes := d.closing, d.notes
	d.closing, d.notes = nil, nil
	d.mu.Unlock()
	for _, n := range notes {
		d.report(n.listener, n.why)
	}
	for _, c := range closing {
		_ = c.Conn.Close()
	}
}

// leave forgets a connection.
func (d *Limiter) leave(c *conn) {
	if _, ok := d.conns[c]; !ok {
		return
	}
	delete(d.conns, c)
	d.counts[c.kind.Name]--
	d.held -= c.held
	c.held = 0
	c.stopTimer()
}

// hold sets what a connection holds, if need be in place of others. It returns false if
// there is no room, or the connection has been closed.
func (d *Limiter) hold(c *conn, bytes int64) bool {
	if _, ok := d.conns[c]; !ok {
		return false
	}
	d.held += bytes - c.held
	c.held = bytes
	for d.held > d.limits.Held {
		if !d.closeChosen("", Held, func(h []holding) int { return closeForBytes(d.now(), h) }) {
			return false
		}
	}
	_, ok := d.conns[c]
	return ok
}
