package main

import (
	"strings"
	"syscall"
	"time"
)

func init() { cases["restarts"] = restartsCase }

const (
	restartDelay = 300 * time.Millisecond // after which the platform starts a process again
	cancelMs     = 3000
)

// restartsCase replaces an entry's machine as planned, has clients cancel accepted jobs, and
// kills all entries once these cancels have waited for AckMs and cancel_ms. Then the
// submission of each job arrives once more.
func restartsCase(log *record, trouble bool) int {
	d, err := newDeployment(log, 3, 3)
	defer d.stop()
	if err == nil {
		err = d.waitReady(d.entries...)
	}
	if err != nil {
		log.add("not started: %v", err)
		return failed
	}
	if trouble {
		if err := d.replaceEntry(); err != nil {
			log.add("not replaced: %v", err)
			return failed
		}
	}
	jobs, ok := d.acceptedJobs()
	if !ok {
		return failed
	}
	sent := time.Now()
	confirmed := d.cancelUntil(jobs, sent.Add((ackMs+cancelMs+500)*time.Millisecond))
	log.add("%d of %d cancels are confirmed; all have waited for AckMs and cancel_ms, undisturbed", confirmed, len(jobs))
	if trouble {
		if err := d.killEntries(); err != nil {
			log.add("not started again: %v", err)
			return failed
		}
	}
	late := time.Now().UnixMicro()
	for i, id := range jobs {
		m := d.entries[i%len(d.entries)]
		status, text := d.post(m, id, jobBody(1, 60), 3*time.Second)
		log.add("the submission of %s arrives once more, at %s: %d %s", id, m.name, status, text)
	}
	time.Sleep(time.Second)
	code := held
	for _, e := range d.eventsSoFar() {
		for _, id := range jobs {
			if e.what == "start" && e.at >= late && strings.HasPrefix(e.task, id+".") {
				log.add("UNASKED: task %s starts on %s, %.1f s after the job's cancel was sent", e.task, e.executor, float64(e.at-sent.UnixMicro())/1e6)
				code = broken
			}
		}
	}
	return code
}

// cancelUntil has clients cancel jobs until a moment, and returns how many cancels were
// confirmed.
func (d *deployment) cancelUntil(jobs []string, end time.Time) int {
	results := make(chan cancelled, len(jobs))
	for i, id := range jobs {
		go func() { results <- d.cancel(id, i, time.Until(end)) }()
	}
	confirmed := 0
	for range jobs {
		if r := <-results; r.took > 0 {
			confirmed++
		}
	}
	time.Sleep(time.Until(end))
	return confirmed
}

// killEntries kills the processes of all entries at once, and starts them again.
func (d *deployment) killEntries() error {
	for _, m := range d.entries {
		_ = m.proc.cmd.Process.Signal(syscall.SIGKILL)
	}
	d.log.add("all entries are killed")
	for _, m := range d.entries {
		<-m.proc.done
	}
	time.Sleep(restartDelay)
	for _, m := range d.entries {
		if err := d.startAgain(m); err != nil {
			return err
		}
	}
	err := d.waitReady(d.entries...)
	d.log.add("all entries are ready again")
	return err
}
