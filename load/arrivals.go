package load

import (
	"math"
	"math/rand/v2"
	"time"
)

// Arrival is one job of a load.
type Arrival struct {
	At      time.Duration // since the start of the load
	Service string
	Team    string
	Entry   int // index in Options.Entries
	Caller  int
	Tasks   []TaskTime
}

// TaskTime holds the actual and the declared run time of one task.
type TaskTime struct {
	Run      time.Duration
	Declared time.Duration
}

// zeroRunRate is the number of jobs per second and slot that counts as full
// utilization when run times are 0.
const zeroRunRate = 100

// Arrivals returns the jobs of a load. Equal options give equal jobs.
func Arrivals(o Options) []Arrival {
	rng := rand.New(rand.NewPCG(o.Seed, 0)) //nolint:gosec // reproducible
	sizes := newSizes(o.Sizes)
	rate := o.jobsPerSecond(sizes.mean)
	var arrivals []Arrival
	for at := next(rng, rate); at < o.Duration && len(arrivals) < o.Jobs; at += next(rng, rate) {
		share := pick(rng, o.Mix)
		arrivals = append(arrivals, Arrival{
			At:      at,
			Service: share.Service,
			Team:    share.Team,
			Entry:   rng.IntN(len(o.Entries)),
			Caller:  len(arrivals) % o.Callers,
			Tasks:   taskTimes(rng, o, sizes.draw(rng)),
		})
	}
	return arrivals
}

// jobsPerSecond returns the arrival rate that gives the utilization.
func (o Options) jobsPerSecond(meanSize float64) float64 {
	slots := o.totalSlots()
	run := o.RunTimes.mean().Seconds()
	if run <= 0 {
		return o.Utilization * float64(slots) * zeroRunRate
	}
	return o.Utilization * float64(slots) / (meanSize * run)
}

// next returns the time to the next arrival of a Poisson process.
func next(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

func pick(rng *rand.Rand, mix []Share) Share {
	var sum float64
	for _, s := range mix {
		sum += s.Weight
	}
	at := rng.Float64() * sum
	for _, s := range mix {
		if at -= s.Weight; at < 0 {
			return s
		}
	}
	return mix[len(mix)-1]
}

func taskTimes(rng *rand.Rand, o Options, n int) []TaskTime {
	tasks := make([]TaskTime, n)
	for i := range tasks {
		run := o.RunTimes.draw(rng)
		tasks[i] = TaskTime{Run: run, Declared: declared(rng, run, o.DeclaredFactor)}
	}
	return tasks
}

func declared(rng *rand.Rand, run time.Duration, factor float64) time.Duration {
	if factor <= 1 {
		return run
	}
	drawn := math.Pow(factor, 2*rng.Float64()-1)
	return time.Duration(float64(run) * drawn).Round(time.Millisecond)
}

// draw returns a run time in whole milliseconds, the unit that endpoints accept.
func (r RunTimes) draw(rng *rand.Rand) time.Duration {
	low, high := r.Min, r.Max
	if rng.Float64() < r.LongShare {
		low, high = r.LongMin, r.LongMax
	}
	if low == high || low <= 0 {
		return low
	}
	run := float64(low) * math.Pow(float64(high)/float64(low), rng.Float64())
	return time.Duration(run).Round(time.Millisecond)
}

// mean returns the expected run time.
func (r RunTimes) mean() time.Duration {
	short, long := logUniformMean(r.Min, r.Max), logUniformMean(r.LongMin, r.LongMax)
	return time.Duration((1-r.LongShare)*short + r.LongShare*long)
}

func logUniformMean(low, high time.Duration) float64 {
	if low == high || low <= 0 {
		return float64(low)
	}
	return float64(high-low) / math.Log(float64(high)/float64(low))
}
