package load

import (
	"math"
	"math/rand/v2"
)

// Bounds of the search for the exponent of a bounded Pareto distribution.
const (
	minExponent     = -20.0
	maxExponent     = 20.0
	exponentSteps   = 100
	tinyExponent    = 1e-9 // below it the limit for exponent 0, a logarithm, is used
	smallestJobSize = 1
)

// sizeDistribution draws numbers of tasks from a Pareto distribution that is
// bounded to 1..max and rounded down.
type sizeDistribution struct {
	exponent float64
	max      int
	mean     float64
}

// newSizes finds, by bisection, the exponent that gives the wanted mean.
func newSizes(s Sizes) sizeDistribution {
	low, high := minExponent, maxExponent
	for range exponentSteps {
		middle := (low + high) / 2
		if (sizeDistribution{exponent: middle, max: s.Max}).expected() > s.Mean {
			low = middle
		} else {
			high = middle
		}
	}
	d := sizeDistribution{exponent: high, max: s.Max}
	d.mean = d.expected()
	return d
}

// expected returns the mean: the sum, over n, of the probability of at least n
// tasks.
func (d sizeDistribution) expected() float64 {
	var sum float64
	for n := smallestJobSize; n <= d.max; n++ {
		sum += d.probAtLeast(float64(n))
	}
	return sum
}

func (d sizeDistribution) probAtLeast(n float64) float64 {
	end := float64(d.max + 1)
	if math.Abs(d.exponent) < tinyExponent {
		return 1 - math.Log(n)/math.Log(end)
	}
	last := math.Pow(end, -d.exponent)
	return (math.Pow(n, -d.exponent) - last) / (1 - last)
}

func (d sizeDistribution) draw(rng *rand.Rand) int {
	u, end := rng.Float64(), float64(d.max+1)
	if math.Abs(d.exponent) < tinyExponent {
		return min(d.max, int(math.Pow(end, u)))
	}
	last := math.Pow(end, -d.exponent)
	return min(d.max, int(math.Pow(1-u*(1-last), -1/d.exponent)))
}
