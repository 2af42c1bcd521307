//go:build measure

package integration

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/load"
	"bergamotwing.example/result"
)

// Parameters of the measurement of the dispatcher's own cost: tasks that run for
// 0 ms, through one entry on two cores.
const (
	costAgents     = 8
	costSlots      = 32
	costCallers    = 24
	costJobTasks   = 100
	costTime       = 8 * time.Second
	costProcessors = "2" // of each process

	targetStarts = 20_000               // a second
	targetP99    = 2 * time.Millisecond // added latency at half of targetStarts
)

func TestMeasureOwnCost(t *testing.T) {
	t.Setenv("GOMAXPROCS", costProcessors)
	d := deploy(t, harness.Options{Entries: 1, Agents: costAgents, Slots: costSlots})
	before, err := load.Scrape(t.Context(), d.Entries[0].MetricsURL)
	if err != nil {
		t.Fatal(err)
	}
	rate := costRate(t, d)
	after, err := load.Scrape(t.Context(), d.Entries[0].MetricsURL)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Printf("| starts/s of one entry | %.0f | target %d | entry CPU %.2f of 2 cores |\n",
		rate, targetStarts, (after.CPUSeconds-before.CPUSeconds)/costTime.Seconds())
	p50, p99 := costLatency(t, d, min(rate, targetStarts)/2)
	fmt.Printf("| added latency at half | p50 %v | p99 %v | target p99 %v |\n", p50, p99, targetP99)
}

// costRate submits jobs of tasks that run for 0 ms as fast as they are answered
// and returns the tasks per second.
func costRate(t *testing.T, d *harness.Deployment) float64 {
	t.Helper()
	var tasks atomic.Int64
	began := time.Now()
	var callers sync.WaitGroup
	for i := range costCallers {
		callers.Go(func() {
			caller := newCaller(t)
			for n := 0; time.Since(began) < costTime; n++ {
				if !runZeroJob(t, caller, d, fmt.Sprintf("rate-%d-%d", i, n), costJobTasks) {
					return
				}
				tasks.Add(costJobTasks)
			}
		})
	}
	callers.Wait()
	return float64(tasks.Load()) / time.Since(began).Seconds()
}

// costLatency submits jobs of one task, one after the other, while large jobs at
// an even pace offer the rate, and returns percentiles of the response time of
// the one-task jobs.
func costLatency(t *testing.T, d *harness.Deployment, rate float64) (p50, p99 time.Duration) {
	t.Helper()
	began := time.Now()
	var callers sync.WaitGroup
	pause := time.Duration(float64(time.Second) * costJobTasks / rate)
	callers.Go(func() {
		var jobs sync.WaitGroup
		defer jobs.Wait()
		caller := newCaller(t)
		even := time.NewTicker(pause)
		defer even.Stop()
		for n := 0; time.Since(began) < costTime; n++ {
			jobs.Go(func() { runZeroJob(t, caller, d, fmt.Sprintf("rest-%d", n), costJobTasks) })
			<-even.C
		}
	})
	var took []time.Duration
	caller := newCaller(t)
	for n := 0; time.Since(began) < costTime; n++ {
		ticket := mustTicket(t, caller, d.Entries[0])
		at := time.Now()
		answer, err := caller.Submit(t.Context(), d.Entries[0].URL, ticket, harness.NewJob(fmt.Sprintf("one-%d", n), 1, 0))
		if err != nil || answer.Code != result.OK {
			t.Fatalf("%v %v", answer.Code, err)
		}
		took = append(took, time.Since(at))
	}
	callers.Wait()
	slices.Sort(took)
	return took[len(took)/2], took[len(took)*99/100]
}

func runZeroJob(t *testing.T, caller *harness.Caller, d *harness.Deployment, mark string, tasks int) bool {
	t.Helper()
	ticket, err := caller.Ticket(t.Context(), d.Entries[0].URL)
	if err != nil {
		t.Errorf("ticket: %v", err)
		return false
	}
	answer, err := caller.Submit(t.Context(), d.Entries[0].URL, ticket, harness.NewJob(mark, tasks, 0))
	if err != nil || answer.Code != result.OK {
		t.Errorf("%s: %v %s %v", mark, answer.Code, answer.Detail, err)
		return false
	}
	return true
}
