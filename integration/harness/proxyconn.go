package harness

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	chunkBytes      = 32 << 10
	maxQueuedChunks = 4096 // per direction
)

// chunk is a piece of a stream that the proxy forwards at the time due.
type chunk struct {
	data []byte
	due  time.Time
}

// proxyConn is one connection through a Proxy.
type proxyConn struct {
	proxy    *Proxy
	in       net.Conn      // from the client
	out      net.Conn      // to the target
	lag      time.Duration // of bytes to the target
	sourceID atomic.Pointer[string]
	lossy    atomic.Bool // bytes were dropped
	inLost   atomic.Bool // the client's side was closed by loseIn

	mu   sync.Mutex
	held chan struct{} // not nil while answers are held back; closed by hold(false)
	done chan struct{}
	once sync.Once
}

func newProxyConn(p *Proxy, in, out net.Conn) *proxyConn {
	return &proxyConn{proxy: p, in: in, out: out, lag: time.Duration(p.lag.Load()), done: make(chan struct{})}
}

// source returns the id of the process that dialled, or an empty string while it is
// not known.
func (c *proxyConn) source() string {
	if s := c.sourceID.Load(); s != nil {
		return *s
	}
	return ""
}

func (c *proxyConn) close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.in.Close()
		_ = c.out.Close()
	})
}

// loseIn closes the client's side. The target gets what the client has sent.
func (c *proxyConn) loseIn() {
	c.inLost.Store(true)
	_ = c.in.Close()
}

// run forwards both directions until one ends, which closes the connection.
func (c *proxyConn) run() {
	var wg sync.WaitGroup
	for _, d := range []Direction{ToTarget, FromTarget} {
		queue := make(chan chunk, maxQueuedChunks)
		wg.Go(func() { c.read(d, queue) })
		wg.Go(func() { c.write(d, queue) })
	}
	wg.Wait()
}

func (c *proxyConn) read(d Direction, queue chan<- chunk) {
	defer close(queue)
	src := c.in
	if d == FromTarget {
		src = c.out
	}
	hello := helloReader{}
	for {
		buf := make([]byte, chunkBytes)
		n, err := src.Read(buf)
		if d == ToTarget && c.sourceID.Load() == nil {
			c.setSource(hello.add(buf[:n]))
		}
		if n > 0 && !c.forward(d, buf[:n], queue) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (c *proxyConn) setSource(id string) {
	if id != "" {
		c.sourceID.Store(&id)
	}
}

// forward queues data unless a fault drops it, and closes the connection if its
// source is disconnected. It returns false once the connection is closed.
func (c *proxyConn) forward(d Direction, data []byte, queue chan<- chunk) bool {
	f := c.proxy.faultsOf(c.source())
	if f.disconnected {
		c.close()
		return false
	}
	if f.drop[d] {
		c.lossy.Store(true)
		return true
	}
	due := time.Now().Add(f.delay)
	if d == ToTarget {
		due = due.Add(c.lag)
	}
	select {
	case queue <- chunk{data: data, due: due}:
		return true
	case <-c.done:
		return false
	}
}

func (c *proxyConn) write(d Direction, queue <-chan chunk) {
	defer c.close()
	dst := c.out
	if d == FromTarget {
		dst = c.in
	}
	for ch := range queue {
		if !c.waitUntil(ch.due) || d == FromTarget && !c.waitReleased() {
			return
		}
		if _, err := dst.Write(ch.data); err != nil && (d == ToTarget || !c.inLost.Load()) {
			return
		}
	}
}

func (c *proxyConn) waitUntil(due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	select {
	case <-time.After(wait):
		return true
	case <-c.done:
		return false
	}
}

func (c *proxyConn) hold(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case on && c.held == nil:
		c.held = make(chan struct{})
	case !on && c.held != nil:
		close(c.held)
		c.held = nil
	}
}

func (c *proxyConn) waitReleased() bool {
	c.mu.Lock()
	held := c.held
	c.mu.Unlock()
	if held == nil {
		return true
	}
	select {
	case <-held:
		return true
	case <-c.done:
		return false
	}
}
