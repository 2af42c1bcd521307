package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the pages.
const (
	cancelTime  = 3 * time.Second
	ackTime     = 4 * time.Second
	configApply = 2 * time.Second
	stopTimeout = 50 * time.Millisecond
	// checkSlack is added to bounds for the delays of this machine.
	checkSlack = 250 * time.Millisecond
)

// waitFor polls a condition.
func waitFor(limit time.Duration, cond func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return true
		}
	}
	return cond()
}

// beyondCancel returns the runs of a job that go on for longer than its cancel allows.
func (r *record) beyondCancel(job string, acknowledged time.Duration) []string {
	var breaks []string
	for _, s := range r.spansOf(job) {
		if past := s.end - acknowledged - cancelTime - stopTimeout; past > checkSlack {
			breaks = append(breaks, fmt.Sprintf("UNASKED: cancel counts from %.3f s, %v, %.0f ms past the bound", acknowledged.Seconds(), s, 1000*past.Seconds()))
		}
	}
	return breaks
}

// playCancel has a client cancel its job after the front machine of its zone was stopped
// and started again: the job was submitted to another machine, and the cancel comes to
// that of the zone.
func playCancel(d *deployment, trouble bool) ([]string, error) {
	settle()
	home := d.fronts[0]
	if trouble {
		home.signal(syscall.SIGTERM)
		if !waitFor(5*time.Second, func() bool { return !home.rotates() }) {
			return nil, errors.New("the machine stays in rotation")
		}
	}
	job, answered := newID(), make(chan answer, 1)
	first := d.frontFor(0)
	go func() {
		answered <- d.call(context.Background(), first, http.MethodPost, job, jobBody(2, 9000, 6200), 14*time.Second)
	}()
	if !waitFor(2*time.Second, func() bool { return len(d.rec.spansOf(job)) == 2 }) {
		return nil, errors.New("the job's tasks do not run")
	}
	if trouble {
		if !home.waitExited(7 * time.Second) {
			return nil, errors.New("the process does not end")
		}
		if err := home.start(); err != nil {
			return nil, err
		}
		if !waitFor(6*time.Second, home.rotates) {
			return nil, errors.New("the machine does not come back")
		}
	}
	time.Sleep(2 * time.Second)
	a := d.call(context.Background(), d.frontFor(0), http.MethodDelete, job, "", 4*time.Second)
	acknowledged := d.rec.now()
	if a.status != http.StatusOK && a.status != http.StatusGone {
		return nil, fmt.Errorf("the cancel was answered %d", a.status)
	}
	<-answered
	return d.rec.beyondCancel(job, acknowledged), nil
}

func twice(found []string) []string {
	for i, f := range found {
		found[i] = "TWICE: " + f
	}
	return found
}

// playLate has a side machine lose power after its executor has left a start unanswered.
// The executor starts again under its id, and carries the start out there.
func playLate(d *deployment, trouble bool) ([]string, error) {
	const (
		lateBy    = 8 * time.Second // 2 to 12 s
		powerless = 3 * time.Second // 3.5 s at most
	)
	settle()
	stop := d.startTraffic()
	defer stop()
	time.Sleep(8 * time.Second) // the executor's clock is ahead of that of its next lifetime
	job, answered := newID(), make(chan answer, 1)
	late := make(chan *machine, 1)
	if trouble {
		var first sync.Once
		for _, m := range d.sides {
			m.executor.leaveUnanswered(func(o order) (by time.Duration) {
				if strings.HasPrefix(o.Task, job+".") {
					first.Do(func() {
						by = lateBy
						late <- m
					})
				}
				return by
			})
		}
	}
	go func() {
		answered <- d.call(context.Background(), d.frontFor(0), http.MethodPost, job, jobBody(1, 9000, 6200), 14*time.Second)
	}()
	if !waitFor(3*time.Second, func() bool { return len(d.rec.spansOf(job)) > 0 }) {
		return nil, errors.New("the job's task does not run")
	}
	if trouble {
		m := <-late
		time.Sleep(time.Second)
		m.signal(syscall.SIGKILL)
		m.executor.crash()
		time.Sleep(powerless)
		if err := errors.Join(m.start(), m.executor.start()); err != nil {
			return nil, err
		}
	}
	<-answered
	time.Sleep(500 * time.Millisecond)
	return twice(overlaps(d.rec.allSpans())), nil
}

// playDropped has a client cancel its job after a desired state has dropped the job's
// route. The client tries for AckMs, and the cancel counts from then on.
func playDropped(d *deployment, trouble bool) ([]string, error) {
	settle()
	job, answered := newID(), make(chan answer, 1)
	front := d.frontFor(0)
	go func() {
		answered <- d.call(context.Background(), front, http.MethodPost, job, jobBody(2, 13000, 6200), 18*time.Second)
	}()
	if !waitFor(2*time.Second, func() bool { return len(d.rec.spansOf(job)) == 2 }) {
		return nil, errors.New("the job's tasks do not run")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		d.setConfig(9, otherRoute)
	}
	time.Sleep(configApply + 500*time.Millisecond)
	began := d.rec.now()
	acknowledged := began + ackTime
	for d.rec.now() < began+ackTime {
		a := d.call(context.Background(), d.frontFor(0), http.MethodDelete, job, "", ackTime)
		if a.status == http.StatusOK || a.status == http.StatusGone {
			acknowledged = d.rec.now()
			break
		}
		time.Sleep(time.Second)
	}
	<-answered
	return d.rec.beyondCancel(job, acknowledged), nil
}

// playRenewal has an executor leave a renewal of its lease unanswered, and start again
// under its id. It carries the renewal out there while it is cut off from its agent, in
// the moment in which another client leaves.
func playRenewal(d *deployment, trouble bool) ([]string, error) {
	const (
		down      = 500 * time.Millisecond // 4.5 s at most
		cutAfter  = 5 * time.Second        // from the renewal
		lateBy    = cutAfter + 350*time.Millisecond
		cutLength = 4 * time.Second // 5.5 s at most
		leaveTime = 250 * time.Millisecond
		taskCPU   = 20000
		shortMs   = 800
		longMs    = 5000
	)
	settle()
	time.Sleep(4 * time.Second) // the executor's clock is ahead of that of its next lifetime
	e := d.sides[0].executor
	late := make(chan time.Time, 1)
	if trouble {
		var first sync.Once
		e.leaveUnanswered(func(o order) (by time.Duration) {
			if o.Task == "" {
				first.Do(func() {
					by = lateBy
					late <- time.Now()
				})
			}
			return by
		})
	}
	submit := func(ms int) (answered chan answer, leave func()) {
		ctx, cancel := context.WithCancel(context.Background())
		answered = make(chan answer, 1)
		go func() {
			answered <- d.call(ctx, d.frontFor(0), http.MethodPost, newID(), jobBody(len(d.sides), ms, taskCPU), 14*time.Second)
		}()
		return answered, cancel
	}
	began := time.Now()
	first, _ := submit(shortMs)
	if trouble {
		select {
		case began = <-late:
		case <-time.After(2 * time.Second):
			return nil, errors.New("the agent sends no renewal")
		}
		e.crash()
		time.Sleep(down)
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	<-first
	time.Sleep(time.Until(began.Add(cutAfter - time.Second)))
	stays, _ := submit(longMs)
	leaves, leave := submit(longMs)
	time.Sleep(time.Until(began.Add(cutAfter)))
	if trouble {
		e.setCut(true)
		time.AfterFunc(cutLength, func() { e.setCut(false) })
	}
	time.Sleep(leaveTime)
	leave()
	<-leaves
	<-stays
	time.Sleep(500 * time.Millisecond)
	return twice(overlaps(d.rec.allSpans())), nil
}
