// Package dispatchtest has a model of an endpoint for simulations in tests.
package dispatchtest

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bergamotwing.example/dispatch"
)

// Host is what a model endpoint needs of the simulation that it runs in.
type Host interface {
	Now() dispatch.Time
	After(d dispatch.Time, do func())
	// RunStarts is called as a run starts, and returns how long its work takes.
	RunStarts(e *Endpoint, run dispatch.RunRef) dispatch.Time
	// RunEnds is called as a run ends.
	RunEnds(e *Endpoint, run dispatch.RunRef, reason dispatch.EndReason)
	// StopTime returns how long a stop takes.
	StopTime(e *Endpoint, run dispatch.RunRef) dispatch.Time
}

// Endpoint models one lifetime of an endpoint by the published protocol.
type Endpoint struct {
	Name      string
	Slots     int           // runs at once
	ClockRate float64       // of its clock, to the host's
	ClockZero dispatch.Time // host's clock at which its clock read 0
	MaxLease  dispatch.Time // longest lease

	host    Host
	until   dispatch.Time // lease, own clock
	runs    map[dispatch.RunRef]bool
	highest map[dispatch.TaskRef]int // highest run that was stopped or ended here
	ends    []dispatch.EndedRun
	endSeq  int64
	fence   int64 // highest generation number seen
	crashed bool
}

// NewEndpoint returns an endpoint on a host.
func NewEndpoint(host Host, name string, slots int, clockRate float64) *Endpoint {
	return &Endpoint{
		Name: name, Slots: slots, ClockRate: clockRate, MaxLease: time.Second, host: host,
		runs: map[dispatch.RunRef]bool{}, highest: map[dispatch.TaskRef]int{},
	}
}

// Clock returns the reading of the endpoint's clock.
func (e *Endpoint) Clock() dispatch.Time {
	return dispatch.Time(float64(e.host.Now()-e.ClockZero) * e.ClockRate)
}

// Admit reports whether the endpoint carries out a call with a generation number: it does
// nothing for one lower than it has seen.
func (e *Endpoint) Admit(number int64) bool {
	if number < e.fence {
		return false
	}
	e.fence = number
	return true
}

// Start carries out a start.
func (e *Endpoint) Start(run dispatch.RunRef, until dispatch.Time) dispatch.CallResult {
	if until < e.Clock() {
		return dispatch.CallResult{Refusal: dispatch.Expired, Clock: e.Clock()}
	}
	e.extend(until)
	switch {
	case e.runs[run]:
		return dispatch.CallResult{Clock: e.Clock()}
	case run.Run <= e.highest[run.Task]:
		return dispatch.CallResult{Refusal: dispatch.StaleRun, Clock: e.Clock()}
	case len(e.runs) >= e.Slots:
		return dispatch.CallResult{Refusal: dispatch.NoRoom, Clock: e.Clock()}
	}
	work := e.host.RunStarts(e, run)
	e.runs[run] = true
	e.host.After(work, func() { e.end(run, dispatch.EndDone) })
	return dispatch.CallResult{Clock: e.Clock()}
}

func (e *Endpoint) end(run dispatch.RunRef, reason dispatch.EndReason) {
	if !e.runs[run] || e.crashed {
		return
	}
	delete(e.runs, run)
	e.highest[run.Task] = max(e.highest[run.Task], run.Run)
	e.endSeq++
	e.ends = append(e.ends, dispatch.EndedRun{Seq: e.endSeq, Run: run, Reason: reason})
	e.host.RunEnds(e, run, reason)
}

// Stop carries out a stop.
func (e *Endpoint) Stop(run dispatch.RunRef) dispatch.CallResult {
	e.highest[run.Task] = max(e.highest[run.Task], run.Run)
	if e.runs[run] {
		e.host.After(e.host.StopTime(e, run), func() { e.end(run, dispatch.EndStopped) })
	}
	return dispatch.CallResult{Clock: e.Clock()}
}

// Poll lists the runs and the ends after acknowledged, and forgets the other ends.
// If until is above 0, it extends the lease.
func (e *Endpoint) Poll(until dispatch.Time, acknowledged int64) dispatch.Snapshot {
	if until > 0 {
		e.extend(until)
	}
	snap := dispatch.Snapshot{Clock: e.Clock()}
	for _, run := range e.Listed() {
		snap.Running = append(snap.Running, dispatch.RunningRun{Run: run})
	}
	e.ends = slices.DeleteFunc(e.ends, func(end dispatch.EndedRun) bool { return end.Seq <= acknowledged })
	snap.Ended = slices.Clone(e.ends)
	return snap
}

// HasEnds reports whether an end after acknowledged is listed.
func (e *Endpoint) HasEnds(acknowledged int64) bool {
	return slices.ContainsFunc(e.ends, func(end dispatch.EndedRun) bool { return end.Seq > acknowledged })
}

// Crash ends the lifetime and all that runs there.
func (e *Endpoint) Crash() {
	e.crashed = true
	for _, run := range e.Listed() {
		delete(e.runs, run)
		e.host.RunEnds(e, run, 0)
	}
}

// Crashed reports whether the lifetime is over.
func (e *Endpoint) Crashed() bool { return e.crashed }

// extend moves the end of the lease to a later time, at most MaxLease in the future.
func (e *Endpoint) extend(until dispatch.Time) {
	until = min(until, e.Clock()+e.MaxLease)
	if until <= e.until {
		return
	}
	e.until = until
	e.host.After(dispatch.Time(float64(until-e.Clock())/e.ClockRate)+time.Millisecond, e.lapse)
}

func (e *Endpoint) lapse() {
	if e.Clock() <= e.until {
		return
	}
	for _, run := range e.Listed() {
		e.end(run, dispatch.EndLapsed)
	}
}

// Listed returns the active runs in a fixed order.
func (e *Endpoint) Listed() []dispatch.RunRef {
	return slices.SortedFunc(maps.Keys(e.runs), func(a, b dispatch.RunRef) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Step, b.Task.Step),
			cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Run, b.Run))
	})
}
