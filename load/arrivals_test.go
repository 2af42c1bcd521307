package load

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const ms = time.Millisecond

func testOptions() Options {
	return Options{
		Seed:           7,
		Jobs:           500,
		Duration:       time.Minute,
		Utilization:    0.8,
		Sizes:          DefaultSizes(),
		RunTimes:       DefaultRunTimes(),
		DeclaredFactor: 3,
		Mix: []Share{
			{Service: "postlink", Team: "gent", Weight: 3, Slots: 60},
			{Service: "hire-desk", Team: "gwent", Weight: 1, Slots: 20},
		},
		Callers:  10,
		Entries:  []string{"http://a", "http://b", "http://c"},
		Deadline: 30 * time.Second,
		Expected: func(b []byte) []byte { return b },
	}
}

func TestEqualSeedsGiveEqualArrivals(t *testing.T) {
	first, second := Arrivals(testOptions()), Arrivals(testOptions())
	if diff := cmp.Diff(first, second); diff != "" {
		t.Errorf("arrivals differ:\n%s", diff)
	}
	other := testOptions()
	other.Seed++
	if cmp.Equal(first, Arrivals(other)) {
		t.Error("another seed gives the same arrivals")
	}
}

func TestArrivalsKeepTheirBounds(t *testing.T) {
	o := testOptions()
	arrivals := Arrivals(o)
	if len(arrivals) > o.Jobs {
		t.Errorf("%d jobs, want at most %d", len(arrivals), o.Jobs)
	}
	for _, a := range arrivals {
		if a.At >= o.Duration || len(a.Tasks) < 1 || len(a.Tasks) > o.Sizes.Max {
			t.Fatalf("a job at %v with %d tasks", a.At, len(a.Tasks))
		}
		for _, task := range a.Tasks {
			if task.Run < o.RunTimes.Min || task.Run > o.RunTimes.LongMax {
				t.Fatalf("run time %v", task.Run)
			}
		}
	}
}

func TestArrivalsGiveTheUtilization(t *testing.T) {
	o := testOptions()
	o.Jobs, o.Duration = 200_000, 50*time.Minute
	var run time.Duration
	for _, a := range Arrivals(o) {
		run += a.totalRun()
	}
	got := run.Seconds() / float64(o.totalSlots()) / o.Duration.Seconds()
	if math.Abs(got-o.Utilization) > 0.05 {
		t.Errorf("offered load %.3f, want %.2f", got, o.Utilization)
	}
}

func TestSizesHaveTheirMean(t *testing.T) {
	for _, s := range []Sizes{{Mean: 1, Max: 670}, {Mean: 8, Max: 670}, {Mean: 100, Max: 670}, {Mean: 300, Max: 670}, {Mean: 1, Max: 1}} {
		if got := newSizes(s).mean; math.Abs(got-s.Mean) > 0.01 {
			t.Errorf("mean %.3f, want %v", got, s)
		}
	}
}

func tasks(runs ...time.Duration) []TaskTime {
	out := make([]TaskTime, len(runs))
	for i, r := range runs {
		out[i] = TaskTime{Run: r, Declared: r}
	}
	return out
}

func TestCentralQueueIsFirstComeFirstServed(t *testing.T) {
	cases := []struct {
		name     string
		arrivals []Arrival
		slots    int
		want     []time.Duration
	}{
		{"idle slots", []Arrival{{At: 5 * ms, Tasks: tasks(10*ms, 20*ms)}}, 2, []time.Duration{20 * ms}},
		{"tasks of a job wait for each other", []Arrival{{Tasks: tasks(10*ms, 20*ms)}}, 1, []time.Duration{30 * ms}},
		{
			"later jobs wait for the earliest free slot",
			[]Arrival{{Tasks: tasks(10*ms, 30*ms)}, {At: 2 * ms, Tasks: tasks(5 * ms)}, {At: 4 * ms, Tasks: tasks(5 * ms)}},
			2,
			[]time.Duration{30 * ms, 13 * ms, 16 * ms},
		},
		{
			"an idle time is not made up",
			[]Arrival{{Tasks: tasks(10 * ms)}, {At: 50 * ms, Tasks: tasks(10 * ms)}},
			1,
			[]time.Duration{10 * ms, 10 * ms},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, CentralQueue(c.arrivals, c.slots)); diff != "" {
				t.Errorf("responses differ (-want +got):\n%s", diff)
			}
		})
	}
}

func TestIdealQueuesServicesApart(t *testing.T) {
	arrivals := []Arrival{
		{Service: "a", Tasks: tasks(10 * ms)},
		{Service: "b", At: ms, Tasks: tasks(10 * ms)},
		{Service: "a", At: 2 * ms, Tasks: tasks(10 * ms)},
	}
	got := ideal(arrivals, map[string]int{"a": 1, "b": 1}, 4*ms)
	if diff := cmp.Diff([]time.Duration{14 * ms, 14 * ms, 22 * ms}, got); diff != "" {
		t.Errorf("responses differ (-want +got):\n%s", diff)
	}
}
