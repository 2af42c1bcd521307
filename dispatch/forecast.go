package dispatch

import (
	"time"
)

// Resolution and horizon of forecasts.
const (
	slotLength = 10 * time.Millisecond
	slotCount  = 500
)

// noRoomFrom is the slowness from which an endpoint does not count as room: a task that
// takes three times as long ends when it is of no more use. Tasks are placed at others that
// count as slow, where their jobs are still in time.
const noRoomFrom = 3.0

// timeline holds the processors, in thousandths of a core, that are expected to
// become free in each slot of time from now on.
type timeline [slotCount + 1]int

func slotOf(d Time) int {
	return min(int((d+slotLength-1)/slotLength), slotCount)
}

// demand is a number of waiting tasks of the same size.
type demand struct {
	count    int
	cpu      int  // thousandths of a core that each needs
	expected Time // run time of each
}

// totalCPU returns the processors that all tasks together need, in thousandths
// of a core.
func totalCPU(demands []demand) int {
	sum := 0
	for _, d := range demands {
		sum += d.count * d.cpu
	}
	return sum
}

// forecast plays a queue forward in its order, on the pooled processors of the
// endpoints, and once for all jobs. Work that is expected to arrive and go ahead
// takes its part of the room in each slot.
type forecast struct {
	free  int // thousandths of a core; less than 0: arriving work waits
	slot  int
	ends  *timeline
	flows []flow

	// What the last call of startOf has changed.
	freeBefore, slotBefore int
	added                  []addition
}

// addition is room that was added to a slot of the timeline.
type addition struct{ slot, cpu int }

// flow is the work of a route that is expected to arrive, in thousandths of a core
// that begin to be used in each slot.
type flow struct {
	route         string
	priority      int
	slack         Time // in which a job of the route has to start
	inShare       int
	excess        int
	hold          int // slots for which a task runs
	takes         int // of inShare and excess, what goes ahead of the job that is looked at
	takesInShare  bool
	takesInExcess bool
}

// startOf returns the slot in which the last of a job's tasks starts, and takes the
// room for them. It returns a slot after limit if that is later.
func (f *forecast) startOf(demands []demand, limit int) int {
	f.freeBefore, f.slotBefore, f.added = f.free, f.slot, f.added[:0]
	for _, d := range demands {
		for range d.count {
			for f.free < d.cpu {
				if f.slot >= min(limit, slotCount) {
					return f.slot + 1
				}
				f.advance()
			}
			f.free -= d.cpu
			f.comesFree(f.slot+max(slotOf(d.expected), 1), d.cpu)
		}
	}
	return f.slot
}

func (f *forecast) advance() {
	f.slot++
	f.free += f.ends[f.slot]
	for i := range f.flows {
		f.take(&f.flows[i], f.flows[i].takes)
	}
}

func (f *forecast) take(w *flow, cpu int) {
	f.free -= cpu
	f.comesFree(f.slot+w.hold, cpu)
}

func (f *forecast) comesFree(slot, cpu int) {
	slot = min(slot, slotCount)
	f.ends[slot] += cpu
	f.added = append(f.added, addition{slot, cpu})
}

// withdraw undoes the last call of startOf: its job is refused.
func (f *forecast) withdraw() {
	for _, a := range f.added {
		f.ends[a.slot] -= a.cpu
	}
	f.free, f.slot, f.added = f.freeBefore, f.slotBefore, f.added[:0]
}

// goAhead has the work that is expected to arrive and goes ahead of a job take room
// from the present on. Jobs come in the order of the queue, so that what goes ahead of
// one goes ahead of those after it.
func (f *forecast) goAhead(now Time, j *job) {
	late := j.missesObjective(now)
	for i := range f.flows {
		w := &f.flows[i]
		ahead := late || w.priority < j.sub.Route.Priority ||
			w.priority == j.sub.Route.Priority && w.slack < j.latestStart()-now && w.route != j.sub.Route.Name
		add := 0
		if !w.takesInShare && (ahead || !j.inShare && w.route != j.sub.Route.Name) {
			w.takesInShare = true
			add += w.inShare
		}
		if !w.takesInExcess && ahead && (late || !j.inShare) {
			w.takesInExcess = true
			add += w.excess
		}
		w.takes += add
		f.take(w, add*f.slot)
	}
}

// forecast returns a forecast of the room from now on for tasks of a size, and whether
// any endpoint counts as room.
func (s *Scheduler) forecast(now Time, cpu int) (*forecast, bool) {
	avoidSlow, avoidSuspect := s.roomElsewhere()
	f := &forecast{ends: &timeline{}}
	healthy := false
	for _, e := range s.endpoints {
		if !e.healthy(s.evacuated) {
			continue
		}
		healthy = true
		slow := e.slowness()
		if avoidSlow && slow >= noRoomFrom || avoidSuspect && e.suspect {
			continue
		}
		if free := e.free(); free.CPUMilli > 0 {
			f.free += free.CPUMilli - free.CPUMilli%max(cpu, 1)
		}
		for _, r := range e.runs {
			end := r.ordered + time.Duration(float64(r.expected)*slow)
			left := max(end-now, overdueRest(now-r.ordered))
			f.ends[max(slotOf(left), 1)] += r.need.CPUMilli
		}
	}
	return f, healthy
}

// roomElsewhere reports whether there are endpoints of normal speed, so that tasks are
// not placed at slow ones, and whether most agents are heard, so that those that are not
// have a fault of their own.
func (s *Scheduler) roomElsewhere() (normal, heard bool) {
	suspects, available := 0, 0
	for _, e := range s.endpoints {
		if !e.healthy(s.evacuated) {
			continue
		}
		available++
		if e.suspect {
			suspects++
		} else if e.slowness() == 1 {
			normal = true
		}
	}
	return normal, 2*suspects < available
}

// overdueRest returns the expected remaining time of a run that is past its
// expected end.
func overdueRest(elapsed Time) Time { return elapsed / 4 }

// predictWait returns how long the last task of a job that arrives now is expected to
// wait for room, given the queue ahead of it and the work that is expected to arrive and
// go ahead. It stops once the wait exceeds limit.
func (s *Scheduler) predictWait(now Time, j *job, limit Time) Time {
	demands := s.firstDemand(j)
	f, healthy := s.forecast(now, largestCPU(demands))
	if !healthy || len(s.queue) == 0 && totalCPU(demands) <= f.free {
		return 0 // without a healthy endpoint, the job's tasks are the probes
	}
	last := slotOf(limit)
	for _, o := range s.queueOrder(now, append(s.queue[:len(s.queue):len(s.queue)], j)) {
		f.goAhead(now, o)
		if o == j {
			break
		}
		if slot := f.startOf(s.waitingDemand(o), last); slot > last {
			return Time(slot) * slotLength
		}
	}
	return Time(f.startOf(demands, last)) * slotLength
}

// waitingDemand returns the tasks of a job that wait.
func (s *Scheduler) waitingDemand(j *job) []demand {
	demands := make([]demand, 0, len(j.waiting))
	est := s.estimateOf(j.sub.Route.Name)
	for _, t := range j.waiting {
		st := &j.sub.Job.Steps[t.step]
		demands = append(demands, demand{1, st.Need.CPUMilli, est.applyToWork(st.Estimate)})
	}
	return demands
}

// firstDemand returns the tasks with which a job begins.
func (s *Scheduler) firstDemand(j *job) []demand {
	var demands []demand
	est := s.estimateOf(j.sub.Route.Name)
	for i := range j.sub.Job.Steps {
		st := &j.sub.Job.Steps[i]
		if len(st.After) == 0 {
			demands = append(demands, demand{st.Count, st.Need.CPUMilli, est.applyToWork(st.Estimate)})
		}
	}
	return demands
}

func largestCPU(demands []demand) int {
	largest := 0
	for _, d := range demands {
		largest = max(largest, d.cpu)
	}
	return largest
}
