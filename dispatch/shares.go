package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// recentTime is the time over which the work that a route offers lately is measured:
	// several of the intervals in which jobs come and go, less than a burst.
	recentTime = time.Second
	// usualTime is the time over which the work that a route offers usually is learned
	// while no task waits, and contendedTime while tasks wait: a kind that bursts is not to
	// gain a share by it.
	usualTime     = 20 * time.Second
	contendedTime = 2 * time.Minute
	// learnTime is how long the usual work is learned before there are shares.
	learnTime = 2 * time.Second
	// protectedPart of the usual work is a route's share. The rest is left to priority, so
	// that the most urgent kinds still lose the least.
	protectedPart = 0.75
)

// routeLoad is the work that a route offers, and its share of the room. Work is in
// thousandths of a core that are in use on average.
type routeLoad struct {
	priority int
	slack    Time // usual time in which a job has to start
	hold     Time // usual run time of a task
	recent   movingRate
	jobs     movingRate // jobs a second
	usual    float64
	learned  Time // for how long usual has been learned
	running  int  // thousandths of a core that runs of the route hold
	share    int  // protected room, in thousandths of a core; 0: none
	left     int  // of the share, while queueOrder goes through the jobs
	promised Time // last return that a refused client was promised
}

// movingRate is a rate that is measured over the time that passed lately.
type movingRate struct {
	sum   float64
	began Time
	at    Time
}

// add counts an amount.
func (r *movingRate) add(now Time, amount float64) {
	if r.began == 0 {
		r.began, r.at = now, now
	}
	r.sum = r.sum*math.Exp(-float64(now-r.at)/float64(recentTime)) + amount
	r.at = now
}

// perSecond returns the rate. A rate that has been measured for a short time is taken as
// if it had been for longer, so that few amounts do not make a large rate.
func (r *movingRate) perSecond(now Time) float64 {
	if r.began == 0 {
		return 0
	}
	measured := max(now-r.began, recentTime/4)
	window := recentTime.Seconds() * (1 - math.Exp(-float64(measured)/float64(recentTime)))
	return r.sum * math.Exp(-float64(now-r.at)/float64(recentTime)) / window
}

func (s *Scheduler) loadOf(route string) *routeLoad {
	l := s.loads[route]
	if l == nil {
		l = &routeLoad{}
		s.loads[route] = l
	}
	return l
}

// countOffered counts the work of a job that arrives.
func (s *Scheduler) countOffered(now Time, j *job) {
	l := s.loadOf(j.sub.Route.Name)
	j.load = l
	est := s.estimateOf(j.sub.Route.Name)
	work, tasks, taskTime := 0.0, 0, 0.0
	for i := range j.sub.Job.Steps {
		st := &j.sub.Job.Steps[i]
		expected := est.applyToWork(st.Estimate).Seconds()
		work += float64(st.Count*st.Need.CPUMilli) * expected
		tasks += st.Count
		taskTime += float64(st.Count) * expected
	}
	l.recent.add(now, work)
	l.jobs.add(now, 1)
	l.priority = j.sub.Route.Priority
	hold := Time(taskTime / float64(max(tasks, 1)) * float64(time.Second))
	if l.hold == 0 {
		l.hold, l.slack = hold, j.slack(now)
	}
	l.hold += Time(slackFall * float64(hold-l.hold))
	l.slack += Time(slackFall * float64(j.slack(now)-l.slack))
}

// learnShares learns what the routes offer usually, and sets their shares of the room.
func (s *Scheduler) learnShares(now, elapsed Time) {
	maps.DeleteFunc(s.loads, func(_ string, l *routeLoad) bool { return l.running == 0 && now-l.recent.at > contendedTime })
	sum := 0.0
	for _, l := range s.loads {
		l.learned += elapsed
		over := min(usualTime, l.learned)
		if len(s.queue) > 0 && l.learned > learnTime {
			over = contendedTime
		}
		l.usual += float64(elapsed) / float64(over) * (l.recent.perSecond(now) - l.usual)
		sum += l.usual
	}
	room := s.room()
	for _, l := range s.loads {
		l.share = 0
		if l.learned >= learnTime && len(s.loads) > 1 && sum > 0 {
			l.share = int(protectedPart * l.usual * min(1, float64(room)/sum))
		}
	}
}

// room returns the processors of the endpoints at which tasks are placed, in
// thousandths of a core.
func (s *Scheduler) room() int {
	avoidSlow, avoidSuspect := s.roomElsewhere()
	room := 0
	for _, e := range s.endpoints {
		if e.healthy(s.evacuated) && (!avoidSlow || e.slowness() < noRoomFrom) && (!avoidSuspect || !e.suspect) {
			room += e.status.Capacity.CPUMilli
		}
	}
	return room
}

// queueOrder sorts jobs as they go ahead of each other: those inside their route's
// share first, both parts in the order of compareJobs.
func (s *Scheduler) queueOrder(now Time, jobs []*job) []*job {
	slices.SortFunc(jobs, func(a, b *job) int { return compareJobs(now, a, b) })
	for _, l := range s.loads {
		l.left = l.share - l.running
	}
	var others []*job
	n := 0
	for _, j := range jobs {
		j.inShare = j.load.left > 0 && !j.missesObjective(now)
		if !j.inShare {
			others = append(others, j)
			continue
		}
		for _, t := range j.waiting {
			j.load.left -= j.sub.Job.Steps[t.step].Need.CPUMilli
		}
		jobs[n] = j
		n++
	}
	copy(jobs[n:], others)
	return jobs
}

// flows returns the work that is expected to arrive of each route, in a fixed order.
func (s *Scheduler) flows(now Time) []flow {
	flows := make([]flow, 0, len(s.loads))
	for name, l := range s.loads {
		if l.learned < learnTime {
			continue // clients that send again after a loss of the home come all at once
		}
		inUse := l.recent.perSecond(now)
		// In use on average: in each slot, as much begins as a run time has slots.
		hold := max(slotOf(l.hold), 1)
		inShare := min(inUse, float64(l.share))
		flows = append(flows, flow{
			route: name, priority: l.priority, slack: l.slack, hold: hold,
			inShare: int(inShare) / hold, excess: int(inUse-inShare) / hold,
		})
	}
	slices.SortFunc(flows, func(a, b flow) int {
		if a.route < b.route {
			return -1
		}
		return 1
	})
	return flows
}
