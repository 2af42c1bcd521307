package harness

import (
	"sync"
	"testing"
	"time"
)

// stallCheckEvery is the pause between two checks of a StallWatch.
const stallCheckEvery = 5 * time.Millisecond

// StallWatch measures for how long the test's own process gets no processor. The proxies
// run in it, so all links through them are silent meanwhile.
type StallWatch struct {
	mu      sync.Mutex
	checked time.Time
	longest time.Duration
}

// WatchStalls starts a StallWatch that ends with the test.
func WatchStalls(t testing.TB) *StallWatch {
	t.Helper()
	w := &StallWatch{checked: time.Now()}
	ticker := time.NewTicker(stallCheckEvery)
	t.Cleanup(ticker.Stop)
	go func() {
		for {
			select {
			case <-t.Context().Done():
				return
			case <-ticker.C:
				w.Longest()
			}
		}
	}()
	return w
}

// Longest returns the longest stall so far.
func (w *StallWatch) Longest() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.longest = max(w.longest, now.Sub(w.checked)-stallCheckEvery)
	w.checked = now
	return w.longest
}
