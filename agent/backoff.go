package agent

import (
	"context"
	"math/rand/v2"
	"time"
)

// Bounds of the pause between attempts to reach an entry or the store.
const (
	backoffFirst = 100 * time.Millisecond
	backoffMax   = 3 * time.Second
)

// backoff gives exponentially growing, jittered pauses. The first one after a
// reset is the shortest.
type backoff struct{ attempts int }

func (b *backoff) reset() { b.attempts = 0 }

// next returns the next pause, drawn at random: between half of the step and the
// full step, for the first pause between 0 and the full step.
func (b *backoff) next() time.Duration {
	step := min(backoffFirst<<min(b.attempts, 10), backoffMax)
	b.attempts++
	if b.attempts == 1 {
		return jitter(0, step)
	}
	return jitter(step/2, step)
}

func jitter(low, high time.Duration) time.Duration {
	return low + rand.N(high-low) //nolint:gosec // spreads load, keeps no secret
}

// wait pauses; it returns false if ctx ended first.
func (b *backoff) wait(ctx context.Context) bool { return pause(ctx, b.next()) }

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
