package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record keeps what was sent, answered and run, and writes it to a file as it happens.
type record struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	starts []start
	ends   []start
	told   []told
}

// start is a task that an executor has begun on an order.
type start struct {
	at       time.Duration // since the record began
	executor string
	task     string
	run      int
}

// told is an order to start that an executor has received, with its text.
type told struct {
	at   time.Duration
	task string
	spec string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

func (r *record) now() time.Duration { return time.Since(r.began) }

// note writes a line and returns its time.
func (r *record) note(format string, args ...any) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.noteLocked(format, args...)
}

func (r *record) noteLocked(format string, args ...any) time.Duration {
	at := r.now()
	line := fmt.Sprintf("%9.3f s  %s\n", at.Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	return at
}

// started records that an executor has begun a task.
func (r *record) started(executor, task string, run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.noteLocked("start    %s run %d at %s", task, run, executor)
	r.starts = append(r.starts, start{at, executor, task, run})
}

// ended records the end of a run.
func (r *record) ended(executor, task string, run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.noteLocked("end      %s run %d at %s: %s", task, run, executor, how)
	r.ends = append(r.ends, start{at, executor, task, run})
}

// overlaps describes the runs of a job's tasks that began while another run of the same task
// had not ended.
func (r *record) overlaps(job string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	endOf := func(s start) time.Duration {
		for _, e := range r.ends {
			if e.task == s.task && e.run == s.run && e.executor == s.executor && e.at >= s.at {
				return e.at
			}
		}
		return r.now()
	}
	var found []string
	for _, a := range r.starts {
		for _, b := range r.starts {
			if strings.HasPrefix(a.task, job+".") && a.task == b.task && a != b && a.at <= b.at && b.at < endOf(a) {
				found = append(found, fmt.Sprintf("%s has two runs from %.3f s to %.3f s: run %d at %s and run %d at %s",
					a.task, b.at.Seconds(), min(endOf(a), endOf(b)).Seconds(), a.run, a.executor, b.run, b.executor))
			}
		}
	}
	return found
}

// startsOf returns the starts of a job's tasks.
func (r *record) startsOf(job string) []start {
	r.mu.Lock()
	defer r.mu.Unlock()
	var of []start
	for _, s := range r.starts {
		if len(s.task) > len(job) && s.task[:len(job)+1] == job+"." {
			of = append(of, s)
		}
	}
	return of
}
