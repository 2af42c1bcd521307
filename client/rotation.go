package client

import (
	"sync"
	"time"
)

// downTime is how long a failed entry is skipped while others are up.
const downTime = time.Second

// rotation returns entries in turn and skips those that failed recently.
type rotation struct {
	mu        sync.Mutex
	next      int
	downUntil []time.Time
	now       func() time.Time
}

func newRotation(entries int, now func() time.Time) *rotation {
	return &rotation{downUntil: make([]time.Time, entries), now: now}
}

// pick returns the next entry that is up, or the next in turn when none is.
func (r *rotation) pick() int { return r.pickOther(-1) }

// pickOther returns the next entry that is up and is not avoid, or the next in
// turn, whichever it is, when there is none.
func (r *rotation) pickOther(avoid int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count, now := len(r.downUntil), r.now()
	fallback := r.next % count
	for i := range count {
		e := (r.next + i) % count
		if e != avoid && !now.Before(r.downUntil[e]) {
			r.next = e + 1
			return e
		}
	}
	r.next = fallback + 1
	return fallback
}

func (r *rotation) failed(entry int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.downUntil[entry] = r.now().Add(downTime)
}
