package main

import (
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

func init() { cases["suspended"] = suspendedCase }

const (
	suspendRounds = 5
	suspendWork   = 1500                   // milliseconds of the task
	suspendAfter  = 200 * time.Millisecond // of the task's start
	suspendFor    = 2 * time.Second
	suspendRest   = 4 * time.Second // between two rounds: more than ContactMs
)

// suspendedCase suspends the machine on which a task runs, with the agent and the executor
// on it, and checks that no other run of the task is at work beside it.
func suspendedCase(log *record, trouble bool) int {
	d, err := newDeployment(log, 3, 4)
	defer d.stop()
	if err == nil {
		err = d.waitReady(d.entries...)
	}
	if err != nil {
		log.add("not started: %v", err)
		return failed
	}
	var pauses []pause
	for round := range suspendRounds {
		id := newID()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			d.submitAsClient(id, jobBody(1, suspendWork), round, 7*time.Second)
		}()
		first, ok := d.awaitStart(id, 3*time.Second)
		if !ok {
			log.add("job %s: not started", id)
			return failed
		}
		time.Sleep(suspendAfter)
		if trouble {
			for _, m := range d.sides {
				if m.name == first.executor {
					pauses = append(pauses, suspend(log, m))
				}
			}
		}
		<-answered
		time.Sleep(suspendRest)
	}
	return checkTwice(log, d.eventsSoFar(), pauses)
}

// pause is a time for which a machine stood still, in microseconds of the time of day.
type pause struct {
	machine  string
	from, to int64
}

// suspend suspends a machine: all processes on it.
func suspend(log *record, m *machine) pause {
	on := []*exec.Cmd{m.proc.cmd, m.executor.cmd}
	for _, c := range on {
		_ = c.Process.Signal(syscall.SIGSTOP)
	}
	p := pause{machine: m.name, from: time.Now().UnixMicro()}
	log.add("machine %s is suspended", m.name)
	time.Sleep(suspendFor)
	p.to = time.Now().UnixMicro()
	for _, c := range on {
		_ = c.Process.Signal(syscall.SIGCONT)
	}
	log.add("machine %s goes on", m.name)
	return p
}

// awaitStart waits for the first start of a job's task.
func (d *deployment) awaitStart(id string, limit time.Duration) (executorEvent, bool) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		for _, e := range d.eventsSoFar() {
			if e.what == "start" && strings.HasPrefix(e.task, id+".") {
				return e, true
			}
		}
	}
	return executorEvent{}, false
}

// submitAsClient hands a job in as a client does: after no answer, 502 or 504 it comes
// again ResendMs later at another entry.
func (d *deployment) submitAsClient(id, body string, first int, wait time.Duration) int {
	end := time.Now().Add(wait)
	for attempt := first; ; attempt++ {
		m := d.entries[attempt%len(d.entries)]
		d.log.add("client: POST %s to %s", id, m.name)
		status, text := d.post(m, id, body, time.Until(end))
		d.log.add("client: %s answers %s: %d %s", m.name, id, status, text)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout || time.Until(end) < 2*resendMs*time.Millisecond {
			return status
		}
		time.Sleep(resendMs * time.Millisecond)
	}
}

type span struct {
	executor string
	run      int
	from, to int64
}

// checkTwice looks for two runs of one task at work at the same time. A run is not at work
// while its machine is suspended.
func checkTwice(log *record, events []executorEvent, pauses []pause) int {
	spans := map[string][]span{}
	open := map[string]span{}
	for _, e := range events {
		key := e.executor + "/" + e.task
		switch e.what {
		case "start":
			open[key] = span{e.executor, e.run, e.at, 0}
		case "end":
			s := open[key]
			s.to = e.at
			delete(open, key)
			from := s.from
			for _, p := range pauses {
				if p.machine == s.executor && p.from > from && p.from < s.to {
					spans[e.task] = append(spans[e.task], span{s.executor, s.run, from, p.from})
					from = p.to
				}
			}
			spans[e.task] = append(spans[e.task], span{s.executor, s.run, from, s.to})
		case "paused":
			known := false
			for _, p := range pauses {
				known = known || p.machine == e.executor && e.at >= p.to && e.at < p.to+int64(time.Second/time.Microsecond)
			}
			if !known {
				log.add("the executor on %s was held up for %s ms by this computer", e.executor, e.how)
				return failed
			}
		}
	}
	code := held
	for task, list := range spans {
		for i, a := range list {
			for _, b := range list[i+1:] {
				if both := min(a.to, b.to) - max(a.from, b.from); both > 0 && (a.executor != b.executor || a.run != b.run) {
					log.add("TWICE: task %s at work at the same time for %.1f ms: run %d on %s and run %d on %s", task, float64(both)/1000, a.run, a.executor, b.run, b.executor)
					code = broken
				}
			}
		}
	}
	return code
}
