package main

import (
	"bytes"
	"net"
	"sync"
)

// network holds which machines are partitioned from each other.
type network struct {
	mu      sync.Mutex
	changed *sync.Cond
	cut     func(a, b string) bool // nil: none is
}

func newNetwork() *network {
	n := &network{}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// setCut partitions the pairs of machines for which cut returns true; nil heals all.
func (n *network) setCut(cut func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	n.changed.Broadcast()
}

// pass returns once bytes pass between two machines.
func (n *network) pass(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.cut != nil && n.cut(a, b) {
		n.changed.Wait()
	}
}

// listen forwards the links that other machines open to the machine target. A partition is
// silent: what is sent meanwhile is delivered once it has ended. names are the machines
// that may call; the first message on a link names its sender.
func (n *network) listen(addr, forwardTo, target string, names []string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			go n.forward(from, forwardTo, target, names)
		}
	}()
	return l, nil
}

func (n *network) forward(from net.Conn, forwardTo, target string, names []string) {
	to, err := net.Dial("tcp", forwardTo)
	if err != nil {
		_ = from.(*net.TCPConn).SetLinger(0) // nothing listens there: the caller is told by a reset
		_ = from.Close()
		return
	}
	defer func() { _ = from.Close(); _ = to.Close() }()
	caller := &caller{names: names, known: make(chan struct{})}
	ended := make(chan struct{}, 2)
	go func() { // to the caller: only the answer to the handshake before it has said who it is
		copyUntilEnd(from, to, func(chunk []byte) {
			if !caller.handshakeOver(chunk) {
				return
			}
			select {
			case <-caller.known:
				n.pass(caller.name, target)
			case <-ended:
			}
		})
		ended <- struct{}{}
	}()
	go func() {
		copyUntilEnd(to, from, func(chunk []byte) {
			caller.read(chunk)
			select {
			case <-caller.known:
				n.pass(caller.name, target)
			default:
			}
		})
		ended <- struct{}{}
	}()
	<-ended
	ended <- struct{}{}
}

// copyUntilEnd copies chunks for which before has returned.
func copyUntilEnd(to, from net.Conn, before func(chunk []byte)) {
	buf := make([]byte, 64<<10)
	for {
		k, err := from.Read(buf)
		if k > 0 {
			before(buf[:k])
			if _, err := to.Write(buf[:k]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// caller finds out which machine has opened a connection.
type caller struct {
	names    []string
	name     string
	known    chan struct{} // closed once name is set
	text     []byte
	answered bool
}

// handshakeOver reports whether a chunk of the answer follows that to the handshake.
func (c *caller) handshakeOver(chunk []byte) bool {
	if c.answered {
		return true
	}
	i := bytes.Index(chunk, []byte("\r\n\r\n"))
	c.answered = i >= 0
	return c.answered && i+4 < len(chunk)
}

// read looks for the name in the first frame after the handshake, whose bytes are masked.
func (c *caller) read(chunk []byte) {
	if c.name != "" {
		return
	}
	c.text = append(c.text, chunk...)
	_, frame, found := bytes.Cut(c.text, []byte("\r\n\r\n"))
	if !found || len(frame) < 2 {
		return
	}
	at := 2
	switch frame[1] & 0x7f {
	case 126:
		at += 2
	case 127:
		at += 8
	}
	if len(frame) < at+4 {
		return
	}
	mask, body := frame[at:at+4], bytes.Clone(frame[at+4:])
	for i := range body {
		body[i] ^= mask[i%4]
	}
	for _, name := range c.names {
		if bytes.Contains(body, []byte(name)) {
			c.name, c.text = name, nil
			close(c.known)
			return
		}
	}
}
