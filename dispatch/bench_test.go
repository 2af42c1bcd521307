package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// benchScheduler returns a scheduler with endpoints of eight cores and a
// function that submits a job of eight tasks.
func benchScheduler(endpoints int) (*Scheduler, func(id string)) {
	s := NewScheduler("svc", testTiming, &OrderNumbers{}, -time.Minute)
	for i := range endpoints {
		s.Report(0, AgentID{Name: fmt.Sprintf("a%04d", i), Incarnation: 1}, EndpointStatus{
			Endpoint: EndpointID{ID: fmt.Sprintf("e%04d", i)}, Service: "svc", Available: true,
			Capacity: Resources{CPUMilli: 8000, MemoryMB: 8000},
		})
	}
	return s, func(id string) {
		s.Submit(0, Submission{
			Caller: callerA, Job: Job{ID: id, Steps: []Step{step(8)}}, Deadline: time.Minute,
			Route: Route{Name: "r", MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second},
		})
	}
}

// benchLoad measures a job from its submission to its end, while other tasks run
// and wait.
func benchLoad(b *testing.B, running, waiting func(endpoints int) int) {
	b.Helper()
	for _, endpoints := range []int{11, 51, 255, 1100} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			s, submit := benchScheduler(endpoints)
			for i := range running(endpoints) + waiting(endpoints) {
				submit(fmt.Sprintf("before-%d", i))
			}
			s.TakeActions()
			var orders []uint64
			for _, r := range s.runs {
				orders = append(orders, r.order)
			}
			slices.Sort(orders)
			for i := range b.N {
				submit(fmt.Sprint(i))
				for range 8 {
					s.Ended(0, orders[0], EndDone, 0)
					orders = orders[1:]
				}
				for _, a := range s.TakeActions() {
					if a.Kind == OrderRun {
						orders = append(orders, a.Order)
					}
				}
				s.recent = map[string]recentRuns{}
			}
		})
	}
}

func none(int) int            { return 0 }
func half(endpoints int) int  { return endpoints / 2 }
func all(endpoints int) int   { return endpoints }
func tenth(endpoints int) int { return endpoints / 10 }

// BenchmarkSubmit is the cost of a job while half of the endpoints are busy.
func BenchmarkSubmit(b *testing.B) { benchLoad(b, half, none) }

// BenchmarkSubmitBehindAQueue is the cost of a job while all endpoints are busy and jobs wait.
func BenchmarkSubmitBehindAQueue(b *testing.B) { benchLoad(b, all, tenth) }
