package load

import (
	"time"

	"github.com/rotisserie/eris"
)

// Options describe a load and where it goes.
type Options struct {
	Seed     uint64        // of the arrivals; printed and reported
	Jobs     int           // most jobs that arrive
	Duration time.Duration // time over which jobs arrive
	// Utilization is the share of all slots that the tasks keep busy on
	// average; it sets the arrival rate.
	Utilization float64
	Sizes       Sizes
	RunTimes    RunTimes
	// DeclaredFactor bounds the error of declared run times: each is the run time
	// times a factor drawn log-uniformly from 1/DeclaredFactor to DeclaredFactor.
	// 0 and 1 mean exact.
	DeclaredFactor float64
	Mix            []Share
	Callers        int // each has its own connections; jobs go to them in turn
	Entries        []string
	Deadline       time.Duration
	Network        time.Duration // allowance for the network in the ideal response
	ZoneEvents     []ZoneEvent
	Operators      string // base URL of an operators' listener, for ZoneEvents
	OperatorToken  string
	Sources        []Source
	// Payload returns a task's payload; nil is StandinPayload.
	Payload func(mark string, run time.Duration) []byte
	// Expected returns the correct result of a payload.
	Expected func(payload []byte) []byte
	// Submitter submits the jobs; nil uses net/http.
	Submitter   Submitter
	ReportFile  string // JSON; empty for none
	PictureFile string // PNG; empty for none
}

// Sizes describe the number of tasks per job: a Pareto distribution bounded to
// 1..Max.
type Sizes struct {
	Mean float64
	Max  int
}

// RunTimes describe the run times of tasks: log-uniform from Min to Max, except
// for LongShare of the tasks, which take LongMin to LongMax. Equal Min and Max
// give fixed run times.
type RunTimes struct {
	Min, Max         time.Duration
	LongShare        float64
	LongMin, LongMax time.Duration
}

// Share is one part of the mix of jobs.
type Share struct {
	Service string
	Team    string
	Weight  float64
	Slots   int // of the service in the whole deployment
}

// ZoneEvent takes a zone out of service or back.
type ZoneEvent struct {
	At   time.Duration `json:"atNs"`
	Zone string        `json:"zone"`
	Out  bool          `json:"out"`
}

// Source is a process whose metrics are read.
type Source struct {
	Name string
	Zone string
	// Endpoint says that this process is an agent with an endpoint, so the results
	// that it sends count as work done in its zone.
	Endpoint bool
	URL      string
}

// Limits of a load.
const (
	maxJobs     = 1_000_000
	maxDuration = time.Hour
)

// DefaultRunTimes are 50 ms to 1 s and a few per cent of 2 to 5 s.
func DefaultRunTimes() RunTimes {
	return RunTimes{
		Min:       50 * time.Millisecond,
		Max:       time.Second,
		LongShare: 0.03,
		LongMin:   2 * time.Second,
		LongMax:   5 * time.Second,
	}
}

// DefaultSizes are jobs of 1 to 670 tasks.
func DefaultSizes() Sizes { return Sizes{Mean: 8, Max: 670} }

// check returns an error if no load can be generated from the options.
func (o Options) check() error {
	switch {
	case o.Jobs < 1 || o.Jobs > maxJobs:
		return eris.Errorf("jobs: %d is not in 1..%d", o.Jobs, maxJobs)
	case o.Duration <= 0 || o.Duration > maxDuration:
		return eris.Errorf("duration: %v is not over 0 and at most %v", o.Duration, maxDuration)
	case o.Utilization <= 0:
		return eris.New("utilization must be over 0")
	case o.Sizes.Max < 1 || o.Sizes.Mean < 1 || o.Sizes.Mean > float64(o.Sizes.Max):
		return eris.New("sizes: the mean must be in 1..max")
	case o.RunTimes.Min < 0 || o.RunTimes.Max < o.RunTimes.Min || o.RunTimes.LongMax < o.RunTimes.LongMin:
		return eris.New("run times: a minimum is below 0 or over its maximum")
	case o.RunTimes.mean() <= 0 && o.Network <= 0:
		return eris.New("run times of 0 need a network allowance")
	case len(o.Entries) == 0 || o.Callers < 1:
		return eris.New("entries and callers must not be empty")
	case o.Deadline <= 0 || o.Expected == nil:
		return eris.New("a deadline and the expected results are needed")
	}
	return checkMix(o.Mix)
}

func checkMix(mix []Share) error {
	if len(mix) == 0 {
		return eris.New("the mix must not be empty")
	}
	slots := map[string]int{}
	for _, s := range mix {
		if s.Weight <= 0 || s.Slots < 1 {
			return eris.Errorf("service %s: weight and slots must be over 0", s.Service)
		}
		if n, ok := slots[s.Service]; ok && n != s.Slots {
			return eris.Errorf("service %s has %d and %d slots", s.Service, n, s.Slots)
		}
		slots[s.Service] = s.Slots
	}
	return nil
}

// slots returns the number of slots of each service.
func (o Options) slots() map[string]int {
	slots := map[string]int{}
	for _, s := range o.Mix {
		slots[s.Service] = s.Slots
	}
	return slots
}

func (o Options) totalSlots() int {
	sum := 0
	for _, n := range o.slots() {
		sum += n
	}
	return sum
}
