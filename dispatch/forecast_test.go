package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// newForecast is a forecast of room that comes free in equal parts.
func newForecast(free, perSlot int, flows ...flow) *forecast {
	f := &forecast{free: free, ends: &timeline{}, flows: flows}
	for i := range f.ends {
		f.ends[i] = perSlot
	}
	return f
}

func TestAForecastCountsWorkThatGoesAheadAndHasNotArrived(t *testing.T) {
	j := &job{sub: Submission{Route: Route{Name: "late", Priority: 2}}, objective: time.Second}
	demands := []demand{{count: 10, cpu: 1000, expected: 200 * ms}}
	alone := newForecast(0, 1000)
	alone.goAhead(0, j)
	urgent := newForecast(0, 1000, flow{route: "urgent", priority: 0, excess: 500, hold: 100})
	urgent.goAhead(0, j)
	less := newForecast(0, 1000, flow{route: "less urgent", priority: 3, excess: 500, hold: 100})
	less.goAhead(0, j)
	a, u, l := alone.startOf(demands, slotCount), urgent.startOf(demands, slotCount), less.startOf(demands, slotCount)
	if a != 10 || u != 20 || l != a {
		t.Errorf("starts in slot %d alone, %d after more urgent work, %d beside less urgent work; want 10, 20, 10", a, u, l)
	}
}

func TestARefusedJobTakesNoRoomInTheForecast(t *testing.T) {
	f, want := newForecast(500, 100), newForecast(500, 100)
	for range 3 {
		if slot := f.startOf([]demand{{count: 4, cpu: 1000, expected: time.Second}}, 20); slot <= 20 {
			t.Fatalf("starts in slot %d", slot)
		}
		f.withdraw()
	}
	if f.free != want.free || f.slot != want.slot || *f.ends != *want.ends {
		t.Error("the forecast differs from one without the job")
	}
}

func TestRoomAtSlowAndSilentEndpointsDoesNotCount(t *testing.T) {
	b := newBed(t, "e1", "e2", "e3")
	b.s.find(agentOf("e2"), EndpointID{ID: "e2"}).slow = 5
	b.s.SetAgentSuspect(agentOf("e3"), true)
	if f, healthy := b.s.forecast(b.now, 1500); f.free != 3000 || !healthy {
		t.Errorf("%d thousandths of a core, want room for two tasks of 1500", f.free)
	}
	// If it is so everywhere, the fault is not theirs.
	b.s.SetAgentSuspect(agentOf("e1"), true)
	b.s.SetAgentSuspect(agentOf("e2"), true)
	if f, _ := b.s.forecast(b.now, 1000); f.free != 12000 {
		t.Errorf("%d thousandths of a core while all agents are silent, want 12000", f.free)
	}
}

func TestAShareIsPartOfWhatARouteOffersUsually(t *testing.T) {
	s := NewScheduler("svc", testTiming, &OrderNumbers{}, 0)
	for i := range 10 {
		s.Report(0, agentOf(fmt.Sprint(i)), EndpointStatus{
			Endpoint: EndpointID{ID: fmt.Sprint("e", i)}, Service: "svc", Available: true, Capacity: Resources{CPUMilli: 10000, MemoryMB: 1000},
		})
	}
	now := Time(0)
	offer := func(route string, priority, perStep int) {
		for range perStep {
			st := step(1)
			j := newJob(now, Submission{Route: Route{Name: route, Priority: priority, Stretch: 2}, Job: Job{Steps: []Step{st}}}, s.estimateOf(route))
			s.countOffered(now, j)
		}
	}
	for ; now < 10*time.Second; now += checkEvery {
		offer("a", 0, 4) // 200 jobs of a tenth of a core-second each second: 20 cores
		offer("b", 1, 2)
		s.learnShares(now, checkEvery)
	}
	for route, want := range map[string]float64{"a": 20000, "b": 10000} {
		if got := float64(s.loadOf(route).share); got < 0.95*protectedPart*want || got > 1.05*protectedPart*want {
			t.Errorf("share of %s %.0f, want about %.0f", route, got, protectedPart*want)
		}
	}
	// Half of the room that the usual work needs is left: both shares are cut alike.
	for _, e := range s.endpoints {
		e.status.Capacity.CPUMilli = 1500
	}
	s.learnShares(now, checkEvery)
	a, b := float64(s.loadOf("a").share), float64(s.loadOf("b").share)
	if a+b > 15000 || a < 1.8*b || a > 2.2*b {
		t.Errorf("shares %.0f and %.0f of 15000", a, b)
	}
}

// Declared run times that are off both ways give the right work of many tasks.
func TestTheWorkOfManyTasksIsExpectedRight(t *testing.T) {
	e := &estimate{factor: 1, spread: firstSpread}
	var expected, actual Time
	for i := range 2000 {
		declared := []Time{50 * ms, 200 * ms}[i%2]
		e.observe(declared, 100*ms)
		if i >= 1000 {
			expected += e.applyToWork(declared)
			actual += 100 * ms
		}
	}
	if off := float64(expected)/float64(actual) - 1; off < -0.05 || off > 0.05 {
		t.Errorf("expected work is off by %.2f", off)
	}
}
