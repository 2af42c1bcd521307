package harness

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Direction is a direction of the bytes on a proxied connection.
type Direction int

// Directions of a proxied connection.
const (
	ToTarget Direction = iota
	FromTarget
)

// dialTimeout bounds dialling a proxy's target.
const dialTimeout = 2 * time.Second

// Proxy forwards TCP connections to a target and injects faults. A fault applies
// to all connections or only to those of one source. The source of a connection
// is the id of the process that dialled, as the first message of a link names it.
type Proxy struct {
	Addr   string
	target string
	listen net.Listener

	mu     sync.Mutex
	conns  map[*proxyConn]struct{}
	faults map[string]*faults // by source; those of the empty source apply to all connections
	closed bool
	lag    atomic.Int64 // nanoseconds
	wg     sync.WaitGroup
}

// faults are the faults in force for one source.
type faults struct {
	disconnected bool
	drop         [2]bool // by Direction
	delay        time.Duration
}

// StartProxy starts a proxy that listens on addr and forwards to target until the
// end of the test.
func StartProxy(t testing.TB, addr, target string) *Proxy {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatalf("proxy to %s: %v", target, err)
	}
	p := &Proxy{
		Addr:   l.Addr().String(),
		target: target,
		listen: l,
		conns:  map[*proxyConn]struct{}{},
		faults: map[string]*faults{},
	}
	p.wg.Add(1)
	go p.accept()
	t.Cleanup(p.close)
	return p
}

// Disconnect closes the connections of the sources, or all connections if no source
// is named, and closes new ones too until Heal.
func (p *Proxy) Disconnect(sources ...string) {
	p.update(sources, func(f *faults) { f.disconnected = true })
	p.closeConns(func(c *proxyConn) bool { return p.faultsOf(c.source()).disconnected })
}

// DropDirection drops the bytes of one direction until Heal and leaves connections
// open, as on a half-open connection.
func (p *Proxy) DropDirection(d Direction, sources ...string) {
	p.update(sources, func(f *faults) { f.drop[d] = true })
}

// Delay delays the bytes of each direction by d. Heal does not end it.
func (p *Proxy) Delay(d time.Duration, sources ...string) {
	p.update(sources, func(f *faults) { f.delay = d })
}

// Lag has connections that are made from now on carry bytes to the target by d later.
func (p *Proxy) Lag(d time.Duration) { p.lag.Store(int64(d)) }

// LoseClients closes the clients' side of the open connections. What was sent on them
// still arrives, as on a path that is slow and not broken.
func (p *Proxy) LoseClients() { p.each((*proxyConn).loseIn) }

// Heal ends Disconnect and DropDirection. Connections that lost bytes are closed,
// since their streams are no longer complete.
func (p *Proxy) Heal(sources ...string) {
	p.update(sources, func(f *faults) { f.disconnected, f.drop = false, [2]bool{} })
	p.closeConns(func(c *proxyConn) bool { return c.lossy.Load() })
}

// Hold holds back the target's answers on the connections that are open now, until
// Release.
func (p *Proxy) Hold() {
	p.each(func(c *proxyConn) { c.hold(true) })
}

// Release ends Hold and forwards the answers that were held back.
func (p *Proxy) Release() {
	p.each(func(c *proxyConn) { c.hold(false) })
}

// Connections returns the number of open connections.
func (p *Proxy) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

func (p *Proxy) accept() {
	defer p.wg.Done()
	for {
		conn, err := p.listen.Accept()
		if err != nil {
			return
		}
		if p.faultsOf("").disconnected {
			_ = conn.Close()
			continue
		}
		p.wg.Add(1)
		go p.serve(conn)
	}
}

func (p *Proxy) serve(in net.Conn) {
	defer p.wg.Done()
	out, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		_ = in.Close()
		return
	}
	c := newProxyConn(p, in, out)
	if !p.add(c) {
		c.close()
		return
	}
	c.run()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (p *Proxy) add(c *proxyConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listen.Close()
	p.closeConns(func(*proxyConn) bool { return true })
	p.wg.Wait()
}

func (p *Proxy) closeConns(match func(*proxyConn) bool) {
	p.each(func(c *proxyConn) {
		if match(c) {
			c.close()
		}
	})
}

// each calls f for each open connection without holding p.mu.
func (p *Proxy) each(f func(*proxyConn)) {
	p.mu.Lock()
	conns := make([]*proxyConn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
}

func (p *Proxy) update(sources []string, change func(*faults)) {
	if len(sources) == 0 {
		sources = []string{""}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range sources {
		if p.faults[s] == nil {
			p.faults[s] = &faults{}
		}
		change(p.faults[s])
	}
}

// faultsOf returns the faults in force for a source, combined with those in force
// for all connections.
func (p *Proxy) faultsOf(source string) faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	var merged faults
	for _, s := range []string{"", source} {
		f := p.faults[s]
		if f == nil {
			continue
		}
		merged.disconnected = merged.disconnected || f.disconnected
		merged.drop[ToTarget] = merged.drop[ToTarget] || f.drop[ToTarget]
		merged.drop[FromTarget] = merged.drop[FromTarget] || f.drop[FromTarget]
		merged.delay = max(merged.delay, f.delay)
	}
	return merged
}
