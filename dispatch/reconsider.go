package dispatch

import (
	"fmt"

	"bergamotwing.example/result"
)

const (
	// reconsiderTasks is how many waiting tasks one check looks at, which bounds its
	// processor time. Those behind them wait for the next check.
	reconsiderTasks = 4096
	// forecastEndpoints is how many endpoints a forecast needs for jobs that wait to be refused
	// by it: the run times of fewer do not even out, and jobs that would be served are refused.
	forecastEndpoints = 24
	// decidedAfter is the share of its objective after which a job waits on only if it
	// needs at most decidedShare of its slack. It leaves time for checks before the quarter
	// of the objective in which callers that can't be served are to be told.
	decidedAfter = 0.2
	// decidedShare covers the error of forecasts, as admitShare does on arrival.
	decidedShare = 0.5
)

// reconsider refuses the jobs that wait and are not expected to be of use to their
// callers. It handles loads that grow after jobs were admitted, and room that is lost.
func (s *Scheduler) reconsider(now Time) {
	if len(s.queue) == 0 || s.healthyEndpoints() < s.forecastEndpoints {
		return
	}
	tasks, cpu := 0, 0
	for _, j := range s.queue {
		for _, t := range j.waiting {
			tasks++
			cpu += j.sub.Job.Steps[t.step].Need.CPUMilli
		}
	}
	f, healthy := s.forecast(now, cpu/max(tasks, 1))
	if !healthy {
		return // the jobs' tasks are the probes
	}
	f.flows = s.flows(now)
	var refused []*job
	var waits []Time
	tasks = 0
	for _, j := range s.queueOrder(now, s.queue) {
		if tasks += len(j.waiting); tasks > reconsiderTasks {
			break
		}
		f.goAhead(now, j)
		if j.hasBegun() || j.sub.MayHaveRun {
			f.startOf(s.waitingDemand(j), slotCount)
			continue
		}
		limit := j.mayWait(now)
		if slot := f.startOf(s.waitingDemand(j), slotOf(limit)); slot > slotOf(limit) && !s.fitsNow(now, j) {
			f.withdraw()
			refused = append(refused, j)
			waits = append(waits, Time(slot)*slotLength)
		}
	}
	for i, j := range refused {
		out := s.refusal(now, j, waits[i])
		out.Detail = fmt.Sprintf("after %v of waiting, last task would wait %v more", now-j.submitted, waits[i])
		s.emit(SchedulerAction{Kind: LogDecision, Job: j.sub.Job.ID, Event: "job_refused_waiting", Reason: out.Detail})
		s.endJob(now, j, out)
	}
}

// healthyEndpoints returns how many endpoints count as capacity.
func (s *Scheduler) healthyEndpoints() int {
	n := 0
	for _, e := range s.endpoints {
		if e.healthy(s.evacuated) {
			n++
		}
	}
	return n
}

// mayWait returns how much longer a job's last task may be expected to wait: all of its
// slack at first, since the job holds no room and the forecast may be too long.
func (j *job) mayWait(now Time) Time {
	age := float64(now-j.submitted) / (decidedAfter * float64(j.objective-j.submitted))
	share := 1 - (1-decidedShare)*min(age, 1)
	return Time(share * float64(max(j.slack(now), 0)))
}

// refusal is the outcome of a job for which there is no room in time.
func (s *Scheduler) refusal(now Time, j *job, wait Time) Outcome {
	return Outcome{
		Code: result.Overloaded, RetryAfter: s.returnAfter(now, j, wait),
		Detail: "last task would wait " + wait.String(),
	}
}
