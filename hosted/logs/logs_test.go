package logs

import (
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const linesLogged = 1000 // several buffers

// reader is a reader of logs that fails while failing is set.
type reader struct {
	mu      sync.Mutex
	failing bool
	got     strings.Builder
}

func (r *reader) Write(lines []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failing {
		return 0, errors.New("broken pipe")
	}
	return r.got.Write(lines)
}

func (r *reader) setFailing(failing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = failing
}

func TestLinesThatCannotBeWrittenAreCounted(t *testing.T) {
	var dropped atomic.Int64
	r := &reader{failing: true}
	log, flush := New(r, "entry", "e", "z", func(n int) { dropped.Add(int64(n)) })
	for range linesLogged {
		log.Info().Msg("lost")
	}
	for until := time.Now().Add(10 * time.Second); dropped.Load() < linesLogged && time.Now().Before(until); {
		time.Sleep(flushEvery)
	}
	if n := dropped.Load(); n != linesLogged {
		t.Errorf("%d lines counted as dropped, want %d", n, linesLogged)
	}
	r.setFailing(false)
	log.Info().Msg("kept")
	flush()
	if got := r.got.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "kept") {
		t.Errorf("written after the reader had recovered: %q", got)
	}
}

func TestTheLastLinesAreWrittenAtTheEnd(t *testing.T) {
	r := &reader{}
	log, flush := New(r, "entry", "e", "z", func(int) {})
	for range linesLogged {
		log.Info().Msg("last")
	}
	flush()
	if n := strings.Count(r.got.String(), "\n"); n != linesLogged {
		t.Errorf("%d lines written, want %d", n, linesLogged)
	}
}

func TestAReaderThatReadsNothingDoesNotBlockTheEnd(t *testing.T) {
	stuck, w := io.Pipe()
	defer func() { _ = stuck.Close() }()
	log, flush := New(w, "entry", "e", "z", func(int) {})
	log.Info().Msg("never read")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		flush()
	}()
	select {
	case <-ended:
	case <-time.After(10 * closeTimeout):
		t.Error("the end waits for the reader")
	}
}
