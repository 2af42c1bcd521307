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
	runTimeFresh   = 10 * time.Second // after a longer gap, earlier run times are forgotten
	leastQuantile  = 0.1
)

func (r *runTimes) add(now time.Time, d time.Duration) {
	if now.Sub(r.last) > runTimeFresh {
		r.recent, r.sum, r.next = nil, 0, 0
	}
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

// known reports whether enough tasks were seen for an estimate.
func (r *runTimes) known() bool { return len(r.recent) >= runTimeSamples }

// mean returns the mean run time. There must be one.
func (r *runTimes) mean() time.Duration { return r.sum / time.Duration(len(r.recent)) }

// quantile returns a quantile of the run times, from 0 to 1.
func (r *runTimes) quantile(q float64) time.Duration {
	all := r.inOrder()
	return all[min(len(all)-1, int(q*float64(len(all))))]
}

// share returns the share of the run times that are at most d.
func (r *runTimes) share(d time.Duration) float64 {
	all := r.inOrder()
	n, _ := slices.BinarySearch(all, d+1)
	return float64(n) / float64(len(all))
}

// inOrder returns the run times in ascending order, without the latest few.
func (r *runTimes) inOrder() []time.Duration {
	if len(r.sorted) < runTimeSamples || r.stale >= runTimeResort {
		r.sorted = append(r.sorted[:0], r.recent...)
		slices.Sort(r.sorted)
		r.stale = 0
	}
	return r.sorted
}

// least returns the time a task may be expected to need at the least.
func (r *runTimes) least() time.Duration {
	if !r.known() {
		return 0
	}
	return r.quantile(leastQuantile)
}
