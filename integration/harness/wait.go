package harness

import (
	"testing"
	"time"
)

// pollInterval is the time between two checks of a condition or two attempts.
const pollInterval = 50 * time.Millisecond

// Eventually polls cond until it holds and fails the test if it does not within timeout.
func Eventually(t testing.TB, timeout time.Duration, what string, cond func() bool) {
	t.Helper()
	if !Poll(timeout, cond) {
		t.Fatalf("not within %v: %s", timeout, what)
	}
}

// Poll polls cond until it holds and reports whether it did within timeout.
func Poll(timeout time.Duration, cond func() bool) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for end := time.Now().Add(timeout); time.Now().Before(end); <-ticker.C {
		if cond() {
			return true
		}
	}
	return cond()
}
