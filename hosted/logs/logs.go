// Package logs writes the log of a hosted process: JSON lines on standard output,
// written in the background so that a slow reader does not block the process.
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
	maxLines   = 4096                   // lines waiting to be written; newer ones replace the oldest
	flushEvery = 100 * time.Millisecond // longest time a line waits
	bufferSize = 16 << 10               // bytes written at once
	// closeTimeout bounds the wait for the reader at the end. It is shorter than the
	// part of their time to stop that entries and agents keep in reserve.
	closeTimeout = 300 * time.Millisecond
)

// New returns a logger and a function that writes the lines that are left. onDropped
// gets the number of lines that were dropped because the reader was too slow or gone.
func New(w io.Writer, role, name, zone string, onDropped func(int)) (zerolog.Logger, func()) {
	buffered := &batchWriter{w: w, onDropped: onDropped}
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
		case <-time.After(closeTimeout): // the reader has stopped reading
		}
	}
}

// batchWriter collects lines and writes them once flushEvery has passed or bufferSize
// would be exceeded.
type batchWriter struct {
	w         io.Writer
	onDropped func(int)

	mu    sync.Mutex
	lines []byte // not written yet; at most bufferSize, or one longer line
	timer *time.Timer
}

// Write implements io.Writer.
func (f *batchWriter) Write(line []byte) (int, error) {
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

func (f *batchWriter) flush() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timer = nil
	f.writeOut()
}

// writeOut writes the collected lines. Lines that cannot be written are dropped, and
// later ones are tried again: a full disk may have space by then.
func (f *batchWriter) writeOut() {
	if len(f.lines) == 0 {
		return
	}
	if n, err := f.w.Write(f.lines); err != nil {
		f.onDropped(bytes.Count(f.lines[n:], []byte{'\n'}))
	}
	f.lines = f.lines[:0]
}
