package harness

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Direction is a direction of a proxied connection.
type Direction int

// Directions of a proxied connection.
const (
	ToTarget Direction = iota
	FromTarget
)

// dialTimeout bounds the connection to a proxy's target.
const dialTimeout = 2 * time.Second

// Proxy forwards TCP connections to a target and injects faults. Faults apply
// to all connections, or only to those of one source: the process named in the
// first message of a link.
type Proxy struct {
	Addr   string
	target string
	listen net.Listener

	mu     sync.Mutex
	conns  map[*proxyConn]struct{}
	faults map[string]*faults // by source; the empty source is every connection
	closed bool
	wg     sync.WaitGroup
}

// faults are the faults in force for one source.
type faults struct {
	cut   bool
	drop  [2]bool // by Direction
	delay time.Duration
}

// StartProxy listens on addr and forwards to target until the test is over.
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

// Disconnect closes the connections of the sources, or all of them if none is named,
// and refuses new ones until Heal.
func (p *Proxy) Disconnect(sources ...string) {
	p.update(sources, func(f *faults) { f.cut = true })
	p.closeConns(func(c *proxyConn) bool { return p.faultsOf(c.source()).cut })
}

// DropDirection swallows the bytes of one direction and leaves connections
// open, as on a half-open connection, until Heal.
func (p *Proxy) DropDirection(d Direction, sources ...string) {
	p.update(sources, func(f *faults) { f.drop[d] = true })
}

// Delay delays each direction by d. Heal keeps it.
func (p *Proxy) Delay(d time.Duration, sources ...string) {
	p.update(sources, func(f *faults) { f.delay = d })
}

// Heal ends cuts and drops. Connections that lost bytes are closed: their
// streams are not whole any more.
func (p *Proxy) Heal(sources ...string) {
	p.update(sources, func(f *faults) { f.cut, f.drop = false, [2]bool{} })
	p.closeConns(func(c *proxyConn) bool { return c.lossy.Load() })
}

// Hold holds the answers on the connections that are open now until Release.
func (p *Proxy) Hold() {
	p.each(func(c *proxyConn) { c.hold(true) })
}

// Release lets held answers go.
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
		if p.faultsOf("").cut {
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

// each calls f for the open connections, outside the lock.
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

// faultsOf returns what is in force for a source, with what is in force for all.
func (p *Proxy) faultsOf(source string) faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum faults
	for _, s := range []string{"", source} {
		f := p.faults[s]
		if f == nil {
			continue
		}
		sum.cut = sum.cut || f.cut
		sum.drop[ToTarget] = sum.drop[ToTarget] || f.drop[ToTarget]
		sum.drop[FromTarget] = sum.drop[FromTarget] || f.drop[FromTarget]
		sum.delay = max(sum.delay, f.delay)
	}
	return sum
}
