// Package logs makes the log of a hosted process: JSON lines on standard
// output, written in the background so that a slow reader holds nothing up.
package logs

import (
	"bufio"
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
)

// New returns a logger and a function that writes what is left. onDropped is
// told how many lines were dropped because the reader was too slow.
func New(w io.Writer, role, name, zone string, onDropped func(int)) (zerolog.Logger, func()) {
	buffered := &flusher{w: bufio.NewWriterSize(w, bufferSize)}
	ring := diode.NewWriter(buffered, maxLines, flushEvery, onDropped)
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(ring).With().Timestamp().Str("process", role).Str("host", name).Str("zone", zone).Logger()
	return log, func() {
		_ = ring.Close()
		buffered.flush()
	}
}

// flusher collects lines and writes them once flushEvery has passed.
type flusher struct {
	mu    sync.Mutex
	w     *bufio.Writer
	timer *time.Timer
}

// Write implements io.Writer.
func (f *flusher) Write(line []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.timer == nil {
		f.timer = time.AfterFunc(flushEvery, f.flush)
	}
	return f.w.Write(line)
}

func (f *flusher) flush() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timer = nil
	_ = f.w.Flush() // standard output is gone: nowhere to report it
}
