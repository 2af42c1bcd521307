package placement

import "time"

// runTimes keeps a moving mean of the run times seen; declared ones are not
// trusted.
type runTimes struct {
	ewma float64 // nanoseconds
	n    int
}

const (
	runTimeWeight  = 0.02
	runTimeSamples = 20 // before the mean is used
)

func (r *runTimes) add(d time.Duration) {
	r.n++
	weight := max(runTimeWeight, 1/float64(r.n))
	r.ewma += weight * (float64(d) - r.ewma)
}

// mean returns the mean run time, once enough tasks were seen.
func (r *runTimes) mean() (time.Duration, bool) {
	return time.Duration(r.ewma), r.n >= runTimeSamples
}

// least returns the time a task may be expected to need at the least.
func (r *runTimes) least() time.Duration {
	if r.n < runTimeSamples {
		return 0
	}
	return time.Duration(r.ewma / 10)
}
