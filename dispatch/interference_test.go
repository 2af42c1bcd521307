package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// interferingScheduler returns a scheduler with endpoints, some slow or nearly full, at which
// tasks of routes run, and where each of these kinds slows all others.
func interferingScheduler(rng *rand.Rand) (s *Scheduler, jobs []*job) {
	const endpoints, routes = 6, 3
	s = NewScheduler("svc", testTiming, &OrderNumbers{}, 0)
	s.SetInterference(InterferenceKeepApart)
	for i := range endpoints {
		s.Report(0, agentOf(fmt.Sprint(i)), EndpointStatus{
			Endpoint: EndpointID{ID: fmt.Sprint(i)}, Service: "svc", Available: rng.IntN(5) > 0, Capacity: Resources{CPUMilli: 8000, MemoryMB: 1 << 20},
		})
	}
	for i := range rng.IntN(24) {
		route := Route{Name: fmt.Sprint(rng.IntN(routes)), MaxAttempts: 4, Stretch: 1.6, TargetLatency: 60 * ms}
		s.Submit(0, Submission{
			Caller: Owner{Entry: "c", Incarnation: 1}, Route: route, Deadline: 10 * time.Second,
			Job: Job{ID: fmt.Sprintf("%016x", i), Steps: []Step{{Count: 1 + rng.IntN(3), Need: Resources{CPUMilli: 1000 + rng.IntN(3000)}, Estimate: 100 * ms}}},
		})
	}
	for kind := range routes {
		for neighbour := range routes {
			s.interference.pairs[kind][neighbour] = interferencePair{noticed: true, usual: 0.1, windows: 8, w: 1, ww: 0.1, wv: 10 * rng.Float64()}
			s.interference.stats.Pairs++
		}
	}
	for _, e := range s.endpoints {
		e.slow = 1 + 3*rng.Float64()*float64(rng.IntN(2))
	}
	for _, id := range s.jobIDs() {
		jobs = append(jobs, s.jobs[id])
	}
	return s, jobs
}

func TestNoTaskWaitsBecauseOfInterference(t *testing.T) {
	for seed := range uint64(300) {
		s, jobs := interferingScheduler(rand.New(rand.NewPCG(seed, 1)))
		for _, j := range jobs {
			for _, task := range j.tasks {
				in, from := s.interference, s.searchFrom
				s.raiseMaxFreeCPU(nil)
				apart := s.choose(100*ms, j, task)
				s.interference, s.searchFrom = nil, from
				s.raiseMaxFreeCPU(nil)
				without := s.choose(100*ms, j, task)
				s.interference = in
				if (apart == nil) != (without == nil) {
					t.Fatalf("seed %d, job %s: an endpoint is chosen only with or only without the pairs: %v, %v", seed, j.sub.Job.ID, apart, without)
				}
			}
		}
	}
}

// Of two endpoints with room, one with a task that slows others and one with a task of
// another kind, the second gets the task, unless it is slow.
func TestATaskGoesWhereItsEndIsTheEarliest(t *testing.T) {
	for _, c := range []struct {
		slow float64 // of the endpoint without the neighbour
		want string
	}{{1, "b"}, {5, "a"}} {
		b := newBed(t, "a", "b")
		b.s.SetInterference(InterferenceKeepApart)
		in := b.s.interference
		slowed, neighbour, other := in.kindOf("slowed"), in.kindOf("neighbour"), in.kindOf("other")
		in.pairs[slowed][neighbour] = interferencePair{noticed: true, usual: 0.2, windows: 8, w: 1, ww: 0.1, wv: 3}
		in.stats.Pairs = 1
		for i, kind := range []int{neighbour, other} {
			e := b.s.endpoints[i]
			r := &run{need: Resources{CPUMilli: e.status.Capacity.CPUMilli / 4}, expected: time.Second, neighbours: &neighbours{kind: kind}, endpoint: e}
			e.runs, e.used = append(e.runs, r), r.need
		}
		b.s.endpoints[1].slow = c.slow
		b.s.Submit(b.now, Submission{
			Caller: Owner{Entry: "c", Incarnation: 1}, Route: Route{Name: "slowed", MaxAttempts: 4, Stretch: 10, TargetLatency: time.Second},
			Deadline: b.now + 10*time.Second, Job: Job{ID: "0000000000000001", Steps: []Step{step(1)}},
		})
		if orders, _, _ := b.take(); len(orders) != 1 || orders[0].Endpoint.ID != c.want {
			t.Errorf("slowness %g: orders %v, want one at %s", c.slow, orders, c.want)
		}
		if got := b.s.InterferenceStats(); got.Apart+got.Beside != 1 || (got.Apart == 1) != (c.want == "b") {
			t.Errorf("slowness %g: %+v", c.slow, got)
		}
	}
}

func TestRoutesBeyondTheMostKindsShareOne(t *testing.T) {
	in := &interference{kinds: map[string]int{}}
	for i := range 3 * maxKinds {
		if kind := in.kindOf(fmt.Sprint(i)); kind != min(i, maxKinds-1) {
			t.Errorf("route %d has kind %d", i, kind)
		}
	}
	if len(in.kinds) > maxKinds {
		t.Errorf("%d kinds are kept", len(in.kinds))
	}
}

// The regression is compared with slopes from which run times are made up.
func TestContrastsAreThoseFromWhichRunTimesAreMade(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	slopes := kindSet{0.5, 2, 1}
	w := &interferenceWindow{sums: map[*endpoint]*regressionSums{}}
	for range 20 {
		e, speed := &endpoint{}, rng.NormFloat64()
		for range 400 {
			var share kindSet
			y := speed + 0.1*rng.NormFloat64()
			load := 0.0
			for kind := range 3 {
				share[kind] = 0.1 * float64(rng.IntN(4))
				y += slopes[kind] * share[kind]
				load += share[kind]
			}
			w.add(e, &share, y+0.3*load*load)
		}
	}
	for kind, c := range w.contrasts(3) {
		want := slopes[kind] - (slopes[(kind+1)%3]+slopes[(kind+2)%3])/2
		if err := math.Sqrt(c.variance); math.Abs(c.value-want) > 5*err || err > 0.05 {
			t.Errorf("kind %d: %.3f, standard error %.3f, want %.3f", kind, c.value, err, want)
		}
	}
}
