package wire

import (
	"bytes"
	"sync"
)

// maxQueueBytes bounds the bytes waiting to be written on one link.
const maxQueueBytes = 64 << 20

// sendQueue collects encoded messages into frames for the writing goroutine.
type sendQueue struct {
	ready chan struct{} // signals frames to write; buffered: one signal

	mu     sync.Mutex
	closed bool
	frames []*bytes.Buffer
	bytes  int
}

func newSendQueue() *sendQueue { return &sendQueue{ready: make(chan struct{}, 1)} }

// add queues an encoded message. It returns false when the queue is closed or would
// exceed maxQueueBytes; an empty queue takes a message of any size.
func (q *sendQueue) add(message []byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || (q.bytes > 0 && q.bytes+len(message) > maxQueueBytes) {
		return false
	}
	q.bytes += len(message)
	_, _ = q.lastFrame().Write(message)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// lastFrame returns the last frame if it is below maxBatchBytes, else a new one.
func (q *sendQueue) lastFrame() *bytes.Buffer {
	if n := len(q.frames); n > 0 && q.frames[n-1].Len() < maxBatchBytes {
		return q.frames[n-1]
	}
	frame := buffers.Get().(*bytes.Buffer)
	q.frames = append(q.frames, frame)
	return frame
}

// take removes the first frame; it returns nil when there is none.
func (q *sendQueue) take() *bytes.Buffer {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames) == 0 {
		return nil
	}
	frame := q.frames[0]
	n := copy(q.frames, q.frames[1:])
	q.frames[n] = nil
	q.frames = q.frames[:n]
	q.bytes -= frame.Len()
	return frame
}

// size returns how many bytes are queued.
func (q *sendQueue) size() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.bytes
}

// close drops the queued messages and refuses later ones.
func (q *sendQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed, q.frames, q.bytes = true, nil, 0
}
