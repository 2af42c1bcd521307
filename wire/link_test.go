package wire

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/goleak"

	"bergamotwing.example/result"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rawPeer returns a WebSocket connection to an accepted link.
func rawPeer(t *testing.T) (*websocket.Conn, *Link) {
	t.Helper()
	addr, links := acceptServer(t)
	conn, _, err := websocket.Dial(context.Background(), "ws://"+addr, nil)
	if err != nil {
		t.Fatal(err)
	}
	l := <-links
	t.Cleanup(func() { _ = conn.CloseNow() })
	t.Cleanup(l.Close)
	return conn, l
}

func encoded(t *testing.T, m Message) []byte {
	t.Helper()
	frame, err := AppendMessage(nil, m)
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

func TestMessagesKeepTheOrderOfEachSender(t *testing.T) {
	const senders, each = 4, 5000
	from, to := pair(t)
	next := [senders]uint64{}
	all := make(chan struct{})
	total := 0
	serve(from, ignore)
	serve(to, func(m Message) {
		heartbeat := m.(*EntryHeartbeat)
		sender := heartbeat.Confirmation.Echo
		if heartbeat.Confirmation.Version != next[sender] {
			t.Errorf("sender %d: got %d, want %d", sender, heartbeat.Confirmation.Version, next[sender])
		}
		next[sender]++
		if total++; total == senders*each {
			close(all)
		}
	})
	for sender := range senders {
		go func() {
			for i := range each {
				if err := from.Send(&EntryHeartbeat{Confirmation: Confirmation{Version: uint64(i), Echo: int64(sender)}}); err != nil {
					t.Error(err)
				}
			}
		}()
	}
	wait(t, "all messages", all)
}

func TestSentMessageMayBeChangedAfterwards(t *testing.T) {
	from, to := pair(t)
	got := make(chan Message, 2)
	serve(from, ignore)
	m := &Forward{Body: []byte("first")}
	_ = from.Send(m)
	copy(m.Body, "other")
	serve(to, func(m Message) { got <- m })
	if body := string(wait(t, "message", got).(*Forward).Body); body != "first" {
		t.Errorf("got %q", body)
	}
}

func TestMalformedFrameClosesTheLinkAndDeliversNothing(t *testing.T) {
	valid := encoded(t, &ConfigAck{Version: 1})
	tests := []struct {
		name  string
		kind  websocket.MessageType
		frame []byte
	}{
		{"not CBOR", websocket.MessageBinary, []byte{0xff, 0xff}},
		{"unknown kind", websocket.MessageBinary, []byte{0x18, 0xc8, 0xa0}},
		{"kind without a body", websocket.MessageBinary, []byte{byte(KindConfigAck)}},
		{"valid message before a truncated one", websocket.MessageBinary, append(append([]byte{}, valid...), valid[:len(valid)-1]...)},
		{"text frame", websocket.MessageText, []byte("hello")},
		{"frame over the limit", websocket.MessageBinary, make([]byte, MaxFrameBytes+1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			conn, l := rawPeer(t)
			ended := serve(l, func(m Message) { t.Errorf("delivered %v", m) })
			_ = conn.Write(context.Background(), tt.kind, tt.frame)
			err := wait(t, "Serve", ended)
			if !errors.Is(err, &result.Error{Code: result.BadMessage}) {
				t.Errorf("got %v", err)
			}
			wait(t, "Done", l.Done())
		})
	}
}

func TestTooLargeMessageIsRefusedAndTheLinkGoesOn(t *testing.T) {
	from, to := pair(t)
	got := make(chan Message, 1)
	serve(from, ignore)
	serve(to, func(m Message) { got <- m })
	err := from.Send(&Forward{Body: make([]byte, MaxMessageBytes)})
	if !errors.Is(err, &result.Error{Code: result.BadMessage}) {
		t.Errorf("got %v", err)
	}
	if err := from.Send(&ConfigAck{Version: 7}); err != nil {
		t.Error(err)
	}
	wait(t, "the next message", got)
}

func TestLargeMessagesPassInOrder(t *testing.T) {
	from, to := pair(t)
	got := make(chan uint64, 3)
	serve(from, ignore)
	serve(to, func(m Message) { got <- m.(*Forward).Request })
	for i := range uint64(3) {
		if err := from.Send(&Forward{Request: i, Body: make([]byte, 8<<20)}); err != nil {
			t.Fatal(err)
		}
	}
	for want := range uint64(3) {
		if i := wait(t, "message", got); i != want {
			t.Errorf("got %d, want %d", i, want)
		}
	}
}

func TestPeerThatStopsReadingLosesItsLink(t *testing.T) {
	_, l := rawPeer(t)
	ended := serve(l, ignore)
	m := &Forward{Body: make([]byte, 1<<20)}
	refused := make(chan error)
	go func() {
		for {
			if err := l.Send(m); err != nil {
				refused <- err
				return
			}
		}
	}()
	if err := wait(t, "a refused Send", refused); !errors.Is(err, ErrClosed) {
		t.Error(err)
	}
	_ = wait(t, "Serve", ended)
}

func TestSendWithoutServeNeverBlocks(t *testing.T) {
	l, _ := pair(t)
	refused := make(chan error)
	go func() {
		m := &Forward{Body: make([]byte, 1<<20)}
		err := l.Send(m)
		for err == nil {
			err = l.Send(m)
		}
		refused <- err
	}()
	if err := wait(t, "a refused Send", refused); !errors.Is(err, ErrClosed) {
		t.Error(err)
	}
}

func TestCloseOfEitherSideEndsServeOnBoth(t *testing.T) {
	for _, side := range []string{"dialled", "accepted"} {
		t.Run(side, func(t *testing.T) {
			dialled, accepted := pair(t)
			ended := []<-chan error{serve(dialled, ignore), serve(accepted, ignore)}
			if side == "dialled" {
				dialled.Close()
			} else {
				accepted.Close()
			}
			for i, e := range ended {
				if err := wait(t, "Serve", e); err == nil {
					t.Errorf("Serve %d ended without an error", i)
				}
			}
			if err := dialled.Send(&ConfigAck{}); !errors.Is(err, ErrClosed) {
				t.Errorf("Send after Close: %v", err)
			}
		})
	}
}

func TestCloseFromTheHandlerEndsServe(t *testing.T) {
	from, to := pair(t)
	serve(from, ignore)
	ended := serve(to, func(Message) { to.Close() })
	_ = from.Send(&ConfigAck{})
	_ = wait(t, "Serve", ended)
}

func TestEndOfContextEndsServe(t *testing.T) {
	l, _ := pair(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Serve(ctx, ignore) }()
	cancel()
	if err := wait(t, "Serve", ended); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}

func TestIdleGrowsWithoutFramesAndRestartsWithOne(t *testing.T) {
	from, to := pair(t)
	after := make(chan time.Duration, 1)
	serve(from, ignore)
	serve(to, func(Message) { after <- to.Idle() })
	const idle = 100 * time.Millisecond
	tick := time.NewTicker(idle)
	defer tick.Stop()
	for to.Idle() < idle {
		<-tick.C
	}
	_ = from.Send(&ConfigAck{})
	if got := wait(t, "message", after); got >= idle {
		t.Errorf("idle for %v after a frame", got)
	}
	for to.Idle() < idle {
		<-tick.C
	}
}

func TestLinkOverTLS(t *testing.T) {
	links := make(chan *Link, 1)
	server := httptest.NewTLSServer(acceptInto(t, links))
	t.Cleanup(server.Close)
	addr := strings.TrimPrefix(server.URL, "https://")
	roots := x509.NewCertPool()
	if _, err := Dial(context.Background(), addr, "/link/peer", "", &tls.Config{RootCAs: roots}, discard{}); err == nil {
		t.Fatal("dialled a server of an unknown authority")
	}
	roots.AddCert(server.Certificate())
	from, err := Dial(context.Background(), addr, "/link/peer", "", &tls.Config{RootCAs: roots}, discard{})
	if err != nil {
		t.Fatal(err)
	}
	to := <-links
	t.Cleanup(from.Close)
	t.Cleanup(to.Close)
	got := make(chan Message, 1)
	ended := serve(from, ignore)
	serve(to, func(m Message) { got <- m })
	_ = from.Send(&ConfigAck{})
	wait(t, "message", got)
	to.Close()
	_ = wait(t, "Serve", ended)
}
