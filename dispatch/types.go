package dispatch

import (
	"slices"
	"strings"
	"time"
)

// Time is a reading of the host's clock that counts suspended time.
type Time = time.Duration

// Resources are what a task needs or an endpoint has.
type Resources struct {
	CPUMilli int `cbor:"1,keyasint,omitempty"` // thousandths of a core
	MemoryMB int `cbor:"2,keyasint,omitempty"`
	GPU      int `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Fits reports whether r is at most limit in every dimension.
func (r Resources) Fits(limit Resources) bool {
	return r.CPUMilli <= limit.CPUMilli && r.MemoryMB <= limit.MemoryMB && r.GPU <= limit.GPU
}

// Step is one step of a job: Count tasks of the same size.
type Step struct {
	Count           int           `cbor:"1,keyasint"`
	Need            Resources     `cbor:"2,keyasint"`
	Estimate        time.Duration `cbor:"3,keyasint"` // of one task's run time; may be far off
	After           []int         `cbor:"4,keyasint,omitempty"`
	RequiredLabel   string        `cbor:"5,keyasint,omitempty"` // empty: any endpoint
	DataRack        string        `cbor:"6,keyasint,omitempty"` // label of the rack that has the data
	MaxPerEndpoint  int           `cbor:"7,keyasint,omitempty"` // 0: no limit
	AllowDuplicates bool          `cbor:"8,keyasint,omitempty"`
}

// Job is a caller's request to run the tasks of its steps.
type Job struct {
	ID      string `cbor:"1,keyasint"`
	Payload string `cbor:"2,keyasint"` // passed to the endpoint unchanged
	Steps   []Step `cbor:"3,keyasint"`
}

// Route maps a host name and a path prefix to a service.
type Route struct {
	Name          string        `cbor:"1,keyasint"`
	Host          string        `cbor:"2,keyasint"`
	Prefix        string        `cbor:"3,keyasint"`
	Service       string        `cbor:"4,keyasint"`
	Timeout       time.Duration `cbor:"5,keyasint"`
	Priority      int           `cbor:"6,keyasint"` // 0 goes first
	MaxAttempts   int           `cbor:"7,keyasint"` // failed runs of one task after which its job fails
	Stretch       float64       `cbor:"8,keyasint"` // latency objective as a multiple of the job's own work
	TargetLatency time.Duration `cbor:"9,keyasint"` // added to the objective
	// PlacedByPolicy is set where an external service chooses the endpoints.
	// Such jobs are not served.
	PlacedByPolicy bool `cbor:"10,keyasint,omitempty"`
}

// NamesJob reports whether a request's host and path name a job of the route.
func (r *Route) NamesJob(host, path, job string) bool {
	return strings.EqualFold(r.Host, host) && path == r.Prefix+job
}

// Service is a pool of endpoints.
type Service struct {
	Name    string `cbor:"1,keyasint"`
	Guarded bool   `cbor:"2,keyasint"` // its endpoints refuse tasks that do not fit
}

// Config is the operator's configuration.
type Config struct {
	Version      int64     `cbor:"1,keyasint"`
	Routes       []Route   `cbor:"2,keyasint"`
	Services     []Service `cbor:"3,keyasint"`
	MaxBodyBytes int64     `cbor:"4,keyasint"`
}

// Match returns the route of a request: same host, longest prefix of path.
func (c *Config) Match(host, path string) (Route, bool) {
	best := -1
	for i, r := range c.Routes {
		if !strings.EqualFold(r.Host, host) || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best < 0 || len(r.Prefix) > len(c.Routes[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}

// OperatorState is what operators have set.
type OperatorState struct {
	StoreVersion uint64   `cbor:"1,keyasint"` // of the store, with the newest change that the state has
	Config       Config   `cbor:"2,keyasint"`
	Evacuated    []string `cbor:"3,keyasint"` // zones that take no new task, sorted
}

// SameSettings reports whether operators have set the same in both states.
func (s *OperatorState) SameSettings(o *OperatorState) bool {
	a, b := &s.Config, &o.Config
	return a.Version == b.Version && a.MaxBodyBytes == b.MaxBodyBytes && slices.Equal(a.Routes, b.Routes) &&
		slices.Equal(a.Services, b.Services) && slices.Equal(s.Evacuated, o.Evacuated)
}

// ZoneEvacuated reports whether the zone takes no new task.
func (s *OperatorState) ZoneEvacuated(zone string) bool {
	return slices.Contains(s.Evacuated, zone)
}

// TaskRef names one task of a job.
type TaskRef struct {
	Job   string `cbor:"1,keyasint"`
	Step  int    `cbor:"2,keyasint"`
	Index int    `cbor:"3,keyasint"`
}

// RunRef names one run of a task. Runs of a task are numbered from 1.
type RunRef struct {
	Task TaskRef `cbor:"1,keyasint"`
	Run  int     `cbor:"2,keyasint"`
}

// Owner is the incarnation of an entry on whose behalf tasks run.
type Owner struct {
	Entry       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// EndpointID names one lifetime of an endpoint.
type EndpointID struct {
	ID   string `cbor:"1,keyasint"`
	Born int64  `cbor:"2,keyasint"` // start of this lifetime, Unix milliseconds; 0 is unknown
}

// EndpointStatus is what an agent reports about an endpoint beside it.
type EndpointStatus struct {
	Endpoint  EndpointID `cbor:"1,keyasint"`
	Service   string     `cbor:"2,keyasint"`
	Zone      string     `cbor:"3,keyasint"`
	Capacity  Resources  `cbor:"4,keyasint"`
	Labels    []string   `cbor:"5,keyasint,omitempty"`
	Available bool       `cbor:"6,keyasint"` // takes new tasks
	Others    Resources  `cbor:"7,keyasint"` // in use by runs of other owners
	// LeavesIn is how long an endpoint that drains stays at least, from the report on. 0: it
	// does not drain, or does not say, or the agent's build does not.
	LeavesIn time.Duration `cbor:"8,keyasint,omitempty"`
}

// EndReason is how a run ended, or why it never began.
type EndReason uint8

// End reasons. NotStarted and those after it mean that the run did no work.
const (
	EndDone      EndReason = 1
	EndFailed    EndReason = 2 // the task, or the endpoint, failed
	EndStopped   EndReason = 3 // stopped on request
	EndLapsed    EndReason = 4 // the endpoint's lease ran out, or the endpoint ended
	NotStarted   EndReason = 10
	NoRoom       EndReason = 11
	StaleRun     EndReason = 12 // the endpoint has seen this or a later run of the task
	Unhealthy    EndReason = 13 // the endpoint reported that it takes no tasks now
	Unanswered   EndReason = 14 // the endpoint did not answer, and the run is known not to exist there
	Expired      EndReason = 15 // the order was too old, or the owner's lease had run out
	NotAvailable EndReason = 16 // draining, in an evacuated zone, or another lifetime
	InvalidOrder EndReason = 17 // the endpoint called the order invalid
	TaskBusy     EndReason = 18 // another run of the task has not ended at the endpoint
)

var endReasonNames = map[EndReason]string{
	EndDone: "done", EndFailed: "failed", EndStopped: "stopped", EndLapsed: "lapsed",
	NotStarted: "not_started", NoRoom: "no_room", StaleRun: "stale_run", Unhealthy: "unhealthy",
	Unanswered: "unanswered", Expired: "expired", NotAvailable: "not_available", InvalidOrder: "invalid", TaskBusy: "task_busy",
}

// String returns the reason's name in logs and metrics.
func (r EndReason) String() string {
	if name, ok := endReasonNames[r]; ok {
		return name
	}
	return "unknown"
}

// Refused reports whether the agent or the endpoint refused the order before
// anything could start. A refusal says nothing about other runs of the task.
func (r EndReason) Refused() bool {
	return r == NoRoom || r == Unhealthy || r == Expired || r == NotAvailable
}
