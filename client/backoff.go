package client

import (
	"context"
	"time"
)

// backoff is an exponential back-off. Jitter chooses each delay from the upper
// half of its step.
type backoff struct {
	min, max time.Duration
	rand     func() float64
}

// maxDoublings keeps the shift in delay from overflowing.
const maxDoublings = 16

func (b backoff) delay(retry int) time.Duration {
	step := min(b.min<<min(retry, maxDoublings), b.max)
	return step/2 + time.Duration(b.rand()*float64(step/2))
}

// wait blocks for the delay before a retry, or returns the context's error.
func (b backoff) wait(ctx context.Context, retry int) error {
	timer := time.NewTimer(b.delay(retry))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
