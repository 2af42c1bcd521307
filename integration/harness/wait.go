package harness

import (
	"testing"
	"time"
)

// pollInterval is how often a state is looked at again.
const pollInterval = 50 * time.Millisecond

// Eventually polls cond until it holds and fails the test after limit.
func Eventually(t testing.TB, limit time.Duration, what string, cond func() bool) {
	t.Helper()
	if !Poll(limit, cond) {
		t.Fatalf("not within %v: %s", limit, what)
	}
}

// Poll polls cond until it holds and reports whether it did within limit.
func Poll(limit time.Duration, cond func() bool) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for end := time.Now().Add(limit); time.Now().Before(end); <-ticker.C {
		if cond() {
			return true
		}
	}
	return cond()
}
