package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// clientsOf returns a generator of a route's clients. New ones wait for 1.5 s
// longer than an answer is of use to them; the estimates of that time are off by
// up to 40% of the run time.
func clientsOf(rng *rand.Rand) func(waited Time) (wait, useful Time) {
	return func(waited Time) (Time, Time) {
		actual := Time(600 * float64(ms) * math.Exp(0.4*rng.NormFloat64()))
		useful := Time(float64(actual) * (0.6 + 0.8*rng.Float64()))
		return actual + 1500*ms - waited, useful
	}
}

func TestNewClientsAreNotTakenForOnesThatWaitedBefore(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	client := clientsOf(rng)
	var e slackEstimate
	wrong := 0
	for range 1000 {
		wait, useful := client(0)
		if e.waitedBefore(wait, useful, useful/4, 1300*ms) > 0 {
			wrong++
		}
	}
	if wrong > 50 {
		t.Errorf("%d of 1000 new clients are taken for ones that waited before", wrong)
	}
}

func TestClientsThatWaitedBeforeAreKnownByTheirShorterWait(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 1))
	client := clientsOf(rng)
	var e slackEstimate
	// After a loss of all processes, resubmitted jobs arrive before the first
	// new ones.
	for range 3 {
		wait, useful := client(1300 * ms)
		e.waitedBefore(wait, useful, useful/4, 1300*ms)
	}
	for range 10 {
		wait, useful := client(0)
		e.waitedBefore(wait, useful, useful/4, 1300*ms)
	}
	known := 0
	for range 100 {
		wait, useful := client(1300*ms + Time(rng.Int64N(int64(300*time.Millisecond))))
		if age := e.waitedBefore(wait, useful, useful/4, 1300*ms); age >= 1300*ms {
			known++
		}
		wait, useful = client(0)
		e.waitedBefore(wait, useful, useful/4, 1300*ms)
	}
	if known < 80 {
		t.Errorf("%d of 100 clients that waited before are known", known)
	}
}
