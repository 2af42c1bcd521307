package dispatch

import (
	"slices"
	"testing"

	"bergamotwing.example/result"
)

// A client sends a job again after an answer that leaves open what ran, and knows nothing of
// the runs that were left.
func TestAnAnswerBeforeAllRunsHaveEndedStopsThem(t *testing.T) {
	refused := Outcome{Code: result.Stopping}
	for _, tc := range []struct {
		name string
		end  func(b *testBed, orders []SchedulerAction)
		want result.Code
		left int // runs
	}{
		{"a task has used up its attempts", func(b *testBed, orders []SchedulerAction) {
			for range 3 {
				failing := slices.IndexFunc(orders, func(a SchedulerAction) bool { return a.Run.Task.Index == 0 })
				b.end(orders[failing], EndFailed)
				if len(b.s.jobs) == 1 && !b.s.jobs["j"].closed {
					orders, _, _ = b.take()
				}
			}
		}, result.TaskFailed, 2},
		{"the endpoint calls an order invalid", func(b *testBed, orders []SchedulerAction) { b.end(orders[0], InvalidOrder) }, result.OutcomeUnknown, 2},
		{"tasks that wait cannot end in time", func(b *testBed, orders []SchedulerAction) {
			for _, e := range []string{"e1", "e2", "e3"} {
				b.report(e, EndpointStatus{Capacity: Resources{CPUMilli: 4000, MemoryMB: 1000}})
			}
			b.end(orders[0], EndLapsed)
			b.now = b.s.jobs["j"].sub.Deadline - 20*ms
			b.s.Tick(b.now)
		}, result.DeadlinePassed, 2},
		{"the time to stop is over", func(b *testBed, _ []SchedulerAction) { b.s.EndEarly(b.now, "j", callerA, refused) }, result.OutcomeUnknown, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBed(t, "e1", "e2", "e3")
			b.submit("j", callerA, 0, step(3))
			orders, _, _ := b.take()
			if len(orders) != 3 {
				t.Fatalf("%d orders, want 3", len(orders))
			}
			tc.end(b, orders)
			_, outcomes, cancels := b.take()
			if outcomes["j"] != tc.want || len(cancels) != tc.left {
				t.Fatalf("answered %v with %d runs stopped, want %v and %d", outcomes["j"], len(cancels), tc.want, tc.left)
			}
			for _, e := range []string{"e1", "e2", "e3"} {
				b.report(e, EndpointStatus{Available: true, Capacity: Resources{CPUMilli: 4000, MemoryMB: 1000}})
			}
			b.submit("j", callerB, 0, step(3))
			if again, _, _ := b.take(); len(again) > 0 {
				t.Errorf("%d tasks start again before the ends of the runs are known", len(again))
			}
			for _, r := range b.runsOf("j") {
				if again, _, _ := b.take(); len(again) > 0 {
					t.Errorf("%d tasks start again while runs are left", len(again))
				}
				b.s.Ended(b.now, r.order, EndStopped, 0)
			}
			if again, _, _ := b.take(); len(again) != 3 {
				t.Errorf("%d tasks start again once all runs are over, want 3", len(again))
			}
		})
	}
}

// runsOf returns the runs of a job that are not known to have ended.
func (b *testBed) runsOf(job string) (runs []*run) {
	for _, r := range b.s.runs {
		if r.ref.Task.Job == job {
			runs = append(runs, r)
		}
	}
	return runs
}
