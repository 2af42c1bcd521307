package wire

import (
	"bytes"
	"sync"
)

// maxQueueBytes bounds what waits to be written on one link.
const maxQueueBytes = 64 << 20

// sendQueue collects encoded messages into frames for the writing goroutine.
type sendQueue struct {
	ready chan struct{} // has room for one signal

	mu     sync.Mutex
	closed bool
	frames []*bytes.Buffer
	bytes  int
}

func newSendQueue() *sendQueue { return &sendQueue{ready: make(chan struct{}, 1)} }

// add queues an encoded message. It reports false when the queue is closed or
// holds too much; a message of any size fits an empty queue.
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

// lastFrame returns a frame that still takes messages.
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

// size returns how many bytes wait to be taken.
func (q *sendQueue) size() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.bytes
}

// close drops what is queued and refuses what follows.
func (q *sendQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed, q.frames, q.bytes = true, nil, 0
}
