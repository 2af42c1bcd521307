package wire

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
)

// Sizes and times of a link.
const (
	sendQueueMessages = 16384
	maxBatchBytes     = 256 << 10
	writeTimeout      = 5 * time.Second
	dialTimeout       = 2 * time.Second
)

// ErrClosed is returned by Send once the link is closed or its queue is full.
var ErrClosed = eris.New("link is closed")

// Observer counts the messages of links. Implementations must be safe for
// concurrent use.
type Observer interface {
	Sent(kind Kind, bytes int)
	Received(kind Kind)
}

// Handler takes the messages of a link in the order they were sent. It runs on
// the link's reading goroutine, so it must not wait for the link.
type Handler func(m Message)

// Link carries messages over one WebSocket connection. Send may be called from
// many goroutines; messages keep the order in which Send was called.
type Link struct {
	conn   *websocket.Conn
	remote string
	obs    Observer
	queue  chan Message
	done   chan struct{}
	once   sync.Once
}

// Dial opens a link to addr (IP:port); path is /link/agent or /link/peer. A nil
// tlsConfig means plain TCP. token is sent as a bearer token.
func Dial(ctx context.Context, addr, path, token string, tlsConfig *tls.Config, obs Observer) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	scheme := "ws://"
	if tlsConfig != nil {
		scheme = "wss://"
	}
	transport := &http.Transport{TLSClientConfig: tlsConfig, DialContext: (&net.Dialer{}).DialContext}
	opts := &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: transport},
		HTTPHeader: http.Header{"Authorization": {"Bearer " + token}},
	}
	conn, resp, err := websocket.Dial(ctx, scheme+addr+path, opts)
	if resp != nil && resp.Body != nil && err != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		transport.CloseIdleConnections()
		return nil, eris.Wrapf(err, "dial %s", addr)
	}
	return newLink(conn, addr, obs), nil
}

// Accept upgrades an incoming request to a link. On error the response has been
// written.
func Accept(w http.ResponseWriter, r *http.Request, obs Observer) (*Link, error) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, eris.Wrap(err, "accept link")
	}
	return newLink(conn, r.RemoteAddr, obs), nil
}

func newLink(conn *websocket.Conn, remote string, obs Observer) *Link {
	conn.SetReadLimit(MaxFrameBytes)
	return &Link{
		conn:   conn,
		remote: remote,
		obs:    obs,
		queue:  make(chan Message, sendQueueMessages),
		done:   make(chan struct{}),
	}
}

// Remote returns the other side's address.
func (l *Link) Remote() string { return l.remote }

// Done is closed when the link is.
func (l *Link) Done() <-chan struct{} { return l.done }

// Send queues m and returns at once. A full queue closes the link: the other
// side has stopped reading.
func (l *Link) Send(m Message) error {
	select {
	case <-l.done:
		return ErrClosed
	default:
	}
	select {
	case l.queue <- m:
		return nil
	default:
		l.Close()
		return ErrClosed
	}
}

// Close ends the link without waiting for queued messages.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.conn.CloseNow()
	})
}

// Serve writes queued messages and hands incoming ones to h until the link or
// ctx ends. No call of h is running or follows once Serve has returned.
func (l *Link) Serve(ctx context.Context, h Handler) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		l.write(ctx)
	}()
	err := l.read(ctx, h)
	l.Close()
	cancel()
	<-written
	return err
}

func (l *Link) read(ctx context.Context, h Handler) error {
	for {
		_, frame, err := l.conn.Read(ctx)
		if err != nil {
			return eris.Wrap(err, "read link")
		}
		messages, err := DecodeFrame(frame)
		if err != nil {
			return err
		}
		for _, m := range messages {
			l.obs.Received(m.kind())
			h(m)
		}
	}
}

func (l *Link) write(ctx context.Context) {
	defer l.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.done:
			return
		case m := <-l.queue:
			if err := l.writeBatch(ctx, m); err != nil {
				return
			}
		}
	}
}

// writeBatch sends first and what else is queued by now in one frame.
func (l *Link) writeBatch(ctx context.Context, first Message) error {
	var frame []byte
	m := first
	for {
		before := len(frame)
		next, err := AppendMessage(frame, m)
		if err != nil {
			return err
		}
		frame = next
		l.obs.Sent(m.kind(), len(frame)-before)
		if len(frame) >= maxBatchBytes {
			break
		}
		select {
		case m = <-l.queue:
			continue
		default:
		}
		break
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return eris.Wrap(l.conn.Write(ctx, websocket.MessageBinary, frame), "write link")
}
