package placement

import (
	"slices"
	"time"
)

// runTimes keeps the run times seen lately; declared ones are not trusted.
type runTimes struct {
	recent []time.Duration // a ring of the last runTimeWindow
	next   int
	last   time.Time // of the latest run time
	sum    time.Duration
	sorted []time.Duration
	stale  int // run times added since sorted was made
}

const (
	runTimeWindow  = 512
	runTimeSamples = 20               // before an estimate is made
	runTimeResort  = 32               // run times between two sortings
	runTimeFresh   = 10 * time.Second // without a run time for longer, no estimate is made
	leastQuantile  = 0.1
)

func (r *runTimes) add(now time.Time, d time.Duration) {
	r.last = now
	r.sum += d
	r.stale++
	if len(r.recent) < runTimeWindow {
		r.recent = append(r.recent, d)
		return
	}
	r.sum -= r.recent[r.next]
	r.recent[r.next] = d
	r.next = (r.next + 1) % runTimeWindow
}

// known reports whether enough tasks ended lately for an estimate.
func (r *runTimes) known(now time.Time) bool {
	return len(r.recent) >= runTimeSamples && now.Sub(r.last) < runTimeFresh
}

// mean returns the mean run time. There must be one.
func (r *runTimes) mean() time.Duration { return r.sum / time.Duration(len(r.recent)) }

// quantile returns a quantile of the run times, from 0 to 1.
func (r *runTimes) quantile(q float64) time.Duration {
	if r.sorted == nil || r.stale >= runTimeResort || len(r.sorted) < runTimeSamples {
		r.sorted = append(r.sorted[:0], r.recent...)
		slices.Sort(r.sorted)
		r.stale = 0
	}
	return r.sorted[min(len(r.sorted)-1, int(q*float64(len(r.sorted))))]
}

// longest returns a run time that the longest of n tasks stays below nine
// times out of ten, as far as the window tells.
func (r *runTimes) longest(n int) time.Duration {
	return r.quantile(1 - 1/(10*float64(max(1, n))))
}

// least returns the time a task may be expected to need at the least.
func (r *runTimes) least(now time.Time) time.Duration {
	if !r.known(now) {
		return 0
	}
	return r.quantile(leastQuantile)
}
