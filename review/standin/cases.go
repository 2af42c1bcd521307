package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Bounds of the pages.
const (
	cancelTime  = 3 * time.Second
	ackTime     = 4 * time.Second
	configApply = 2 * time.Second
	contactTime = 3 * time.Second
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

// playDropped has a client cancel its job after a desired state has dropped the job's
// route. The client tries for AckMs, and the cancel counts from then on.
func playDropped(d *deployment, trouble bool) ([]string, error) {
	settle()
	job, answered := newID(), make(chan answer, 1)
	front := d.frontFor(0)
	go func() {
		answered <- d.call(context.Background(), front, http.MethodPost, job, jobBody(2, 15000, 6200), 20*time.Second)
	}()
	if !waitFor(2*time.Second, func() bool { return len(d.rec.spansOf(job)) == 2 }) {
		return nil, errors.New("the job's tasks do not run")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		d.setConfig(9, otherRoute)
	}
	time.Sleep(configApply + contactTime)
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
