package wire

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// forwarder passes bytes on to a server until partitioned is set. From then on it
// keeps the connections open and drops the bytes that it reads.
type forwarder struct{ partitioned atomic.Bool }

func (f *forwarder) pass(to io.Writer, b []byte) (int, error) {
	if f.partitioned.Load() {
		return len(b), nil
	}
	return to.Write(b)
}

func (f *forwarder) copy(to, from net.Conn) {
	defer func() { _ = from.Close() }()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if _, err := f.pass(to, buf[:n]); err != nil {
			return
		}
	}
}

// listen forwards one connection to addr and returns where to dial.
func (f *forwarder) listen(t *testing.T, addr string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", addr)
		if err != nil {
			t.Error(err)
			return
		}
		go f.copy(far, near)
		f.copy(near, far)
	}()
	return listener.Addr().String()
}

func TestSilentlyLostConnectionIsSeenAsIdleAndCanBeClosed(t *testing.T) {
	addr, links := acceptServer(t)
	f := &forwarder{}
	from, err := Dial(context.Background(), f.listen(t, addr), "/link/peer", "", nil, discard{})
	if err != nil {
		t.Fatal(err)
	}
	to := <-links
	got := make(chan Message, 1)
	ended := []<-chan error{serve(from, ignore), serve(to, func(m Message) { got <- m })}
	_ = from.Send(&ConfigAck{})
	_ = wait(t, "message", got)
	f.partitioned.Store(true)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for to.Idle() < 200*time.Millisecond {
		<-tick.C
		if err := from.Send(&ConfigAck{}); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case <-from.Done():
		t.Error("the sender noticed, so the connection was not lost silently")
	case <-got:
		t.Error("a message passed the partition")
	default:
	}
	from.Close()
	to.Close()
	for _, e := range ended {
		_ = wait(t, "Serve", e)
	}
}
