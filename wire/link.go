package wire

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"bergamotwing.example/result"
)

// Sizes and times of a link.
const (
	maxBatchBytes = 256 << 10
	writeTimeout  = 5 * time.Second
	dialTimeout   = 2 * time.Second
)

// ErrClosed is returned by Send once the link is closed or its queue is full.
var ErrClosed = eris.New("link is closed")

// Handler is called with the messages of a link in the order they were sent. It runs
// on the link's reading goroutine, so it must not wait for the link.
type Handler func(m Message)

// Link carries messages over one WebSocket connection. Send may be called from
// many goroutines; messages keep the order in which Send was called.
type Link struct {
	conn   *websocket.Conn
	remote string
	obs    Observer
	queue  *sendQueue
	done   chan struct{}
	once   sync.Once

	openedAt time.Time
	received atomic.Int64 // nanoseconds from openedAt to the last received frame
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
		conn:     conn,
		remote:   remote,
		obs:      obs,
		queue:    newSendQueue(),
		done:     make(chan struct{}),
		openedAt: time.Now(),
	}
}

// LimitFrames has the link end at a frame of more bytes, from the next frame on; without
// it, MaxFrameBytes is the limit.
func (l *Link) LimitFrames(bytes int64) { l.conn.SetReadLimit(bytes) }

// Remote returns the other side's address.
func (l *Link) Remote() string { return l.remote }

// Done is closed when the link is.
func (l *Link) Done() <-chan struct{} { return l.done }

// Idle returns the time since the last complete frame was received, or since the
// link was opened if there was none. It grows without bound when the connection is
// lost silently.
func (l *Link) Idle() time.Duration {
	return time.Since(l.openedAt) - time.Duration(l.received.Load())
}

// Send encodes m, queues it and returns without waiting for the connection; m
// may be changed afterwards. A full queue closes the link: the other side has
// stopped reading. A message that is too large is refused with BadMessage.
func (l *Link) Send(m Message) error {
	buf := buffers.Get().(*bytes.Buffer)
	defer putBuffer(buf)
	if err := encode(buf, m); err != nil {
		return err
	}
	if !l.queue.add(buf.Bytes()) {
		l.Close()
		return ErrClosed
	}
	l.obs.Sent(m.kind(), buf.Len())
	return nil
}

// Queued returns how many bytes are waiting to be written.
func (l *Link) Queued() int { return l.queue.size() }

// Close ends the link and returns at once; queued messages are dropped.
func (l *Link) Close() {
	l.once.Do(func() {
		l.queue.close()
		close(l.done)
		go func() { _ = l.conn.CloseNow() }()
	})
}

// Serve writes queued messages and passes incoming ones to h until the link or ctx
// ends. Once Serve has returned, no call of h is running and none follows.
func (l *Link) Serve(ctx context.Context, h Handler) error {
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	written := make(chan struct{})
	go func() {
		defer close(written)
		l.write()
	}()
	err := l.read(h)
	l.Close()
	<-written
	if ctx.Err() != nil {
		return eris.Wrap(context.Cause(ctx), "serve link")
	}
	return err
}

func (l *Link) read(h Handler) error {
	var frame bytes.Buffer
	var messages []Message
	for {
		if err := l.readFrame(&frame); err != nil {
			return err
		}
		l.received.Store(int64(time.Since(l.openedAt)))
		var err error
		if messages, err = appendMessages(messages[:0], frame.Bytes()); err != nil {
			return err
		}
		for _, m := range messages {
			l.obs.Received(m.kind())
			h(m)
		}
		clear(messages)
	}
}

// readFrame replaces the content of frame with the next frame.
func (l *Link) readFrame(frame *bytes.Buffer) error {
	if frame.Cap() > maxPooledBytes {
		*frame = bytes.Buffer{}
	}
	frame.Reset()
	kind, r, err := l.conn.Reader(context.Background())
	if err != nil {
		return eris.Wrap(err, "read link")
	}
	if kind != websocket.MessageBinary {
		return result.Errorf(result.BadMessage, "frame is not binary")
	}
	_, err = frame.ReadFrom(r)
	if errors.Is(err, websocket.ErrMessageTooBig) {
		return result.Errorf(result.BadMessage, "frame is over %d bytes", MaxFrameBytes)
	}
	return eris.Wrap(err, "read link")
}

func (l *Link) write() {
	defer l.Close()
	timeout := time.AfterFunc(writeTimeout, l.Close)
	defer timeout.Stop()
	for {
		timeout.Stop()
		select {
		case <-l.done:
			return
		case <-l.queue.ready:
		}
		for frame := l.queue.take(); frame != nil; frame = l.queue.take() {
			timeout.Reset(writeTimeout)
			err := l.conn.Write(context.Background(), websocket.MessageBinary, frame.Bytes())
			putBuffer(frame)
			if err != nil {
				return
			}
		}
	}
}
