package placement

import (
	"slices"
	"time"
)

// runTimes holds the recently measured run times; those that callers declare are
// not trusted.
type runTimes struct {
	recent []time.Duration // ring buffer of the last runTimeWindow run times
	next   int             // index of the oldest one once the ring is full
	last   time.Time       // when the latest run time was added
	sum    time.Duration
	sorted []time.Duration
	stale  int // run times added since sorted was rebuilt
}

const (
	runTimeWindow  = 512
	runTimeSamples = 20               // run times needed for an estimate
	runTimeResort  = 32               // run times added before sorted is rebuilt
	runTimeMaxGap  = 10 * time.Second // after a longer gap, earlier run times are discarded
	minQuantile    = 0.1
)

func (r *runTimes) add(now time.Time, d time.Duration) {
	if now.Sub(r.last) > runTimeMaxGap {
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

// known reports whether there are enough run times for an estimate.
func (r *runTimes) known() bool { return len(r.recent) >= runTimeSamples }

// mean returns the mean run time. There must be at least one run time.
func (r *runTimes) mean() time.Duration { return r.sum / time.Duration(len(r.recent)) }

// quantile returns the q-quantile of the run times; q is from 0 to 1.
func (r *runTimes) quantile(q float64) time.Duration {
	all := r.ascending()
	return all[min(len(all)-1, int(q*float64(len(all))))]
}

// shareWithin returns the share of the run times that are at most d.
func (r *runTimes) shareWithin(d time.Duration) float64 {
	all := r.ascending()
	n, _ := slices.BinarySearch(all, d+1)
	return float64(n) / float64(len(all))
}

// ascending returns the run times in ascending order. It may lack the latest ones,
// as it sorts only after runTimeResort new ones.
func (r *runTimes) ascending() []time.Duration {
	if len(r.sorted) < runTimeSamples || r.stale >= runTimeResort {
		r.sorted = append(r.sorted[:0], r.recent...)
		slices.Sort(r.sorted)
		r.stale = 0
	}
	return r.sorted
}

// minRunTime returns the shortest run time to expect of a task: the minQuantile of
// the run times, or 0 if there are too few for an estimate.
func (r *runTimes) minRunTime() time.Duration {
	if !r.known() {
		return 0
	}
	return r.quantile(minQuantile)
}
