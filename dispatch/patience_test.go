package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// clientsOf returns a route whose new clients wait for 1.5 s longer than an
// answer is of use to them, by estimates that are off by 0.4.
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
	var p patience
	wrong := 0
	for range 1000 {
		wait, useful := client(0)
		if p.waitedBefore(wait, useful, useful/4, 1300*ms) > 0 {
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
	var p patience
	// After a loss of everything, jobs sent again come before the first new ones.
	for range 3 {
		wait, useful := client(1300 * ms)
		p.waitedBefore(wait, useful, useful/4, 1300*ms)
	}
	for range 10 {
		wait, useful := client(0)
		p.waitedBefore(wait, useful, useful/4, 1300*ms)
	}
	known := 0
	for range 100 {
		wait, useful := client(1300*ms + Time(rng.Int64N(int64(300*time.Millisecond))))
		if age := p.waitedBefore(wait, useful, useful/4, 1300*ms); age >= 1300*ms {
			known++
		}
		wait, useful = client(0)
		p.waitedBefore(wait, useful, useful/4, 1300*ms)
	}
	if known < 80 {
		t.Errorf("%d of 100 clients that waited before are known", known)
	}
}
