// Package logs makes the log of a hosted process: JSON lines on standard
// output, written in the background so that a slow reader holds nothing up.
package logs

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	maxLines   = 4096                   // waiting to be written; more replace the oldest
	flushEvery = 100 * time.Millisecond // longest time a line waits
	bufferSize = 16 << 10               // bytes written at once
	// closeLimit bounds the wait for the reader at the end. It is less than an
	// entry or an agent keeps of its time to stop.
	closeLimit = 300 * time.Millisecond
)

// New returns a logger and a function that writes what is left. onDropped is
// told how many lines were dropped because the reader was too slow or gone.
func New(w io.Writer, role, name, zone string, onDropped func(int)) (zerolog.Logger, func()) {
	buffered := &flusher{w: w, onDropped: onDropped}
	ring := diode.NewWriter(buffered, maxLines, flushEvery, onDropped)
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(ring).With().Timestamp().Str("process", role).Str("host", name).Str("zone", zone).Logger()
	return log, func() {
		written := make(chan struct{})
		go func() {
			defer close(written)
			_ = ring.Close()
			buffered.flush()
		}()
		select {
		case <-written:
		case <-time.After(closeLimit): // the reader has stopped reading
		}
	}
}

// flusher collects lines and writes them once flushEvery has passed.
type flusher struct {
	w         io.Writer
	onDropped func(int)

	mu    sync.Mutex
	lines []byte // not written yet; at most bufferSize, or one longer line
	timer *time.Timer
}

// Write implements io.Writer.
func (f *flusher) Write(line []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.lines)+len(line) > bufferSize {
		f.writeOut()
	}
	f.lines = append(f.lines, line...)
	if f.timer == nil {
		f.timer = time.AfterFunc(flushEvery, f.flush)
	}
	return len(line), nil
}

func (f *flusher) flush() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timer = nil
	f.writeOut()
}

// writeOut writes the lines. Those that cannot be written are dropped, and the
// next ones are tried again: a full disk may have room by then.
func (f *flusher) writeOut() {
	if len(f.lines) == 0 {
		return
	}
	if n, err := f.w.Write(f.lines); err != nil {
		f.onDropped(bytes.Count(f.lines[n:], []byte{'\n'}))
	}
	f.lines = f.lines[:0]
}
