package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record keeps what was sent, answered and run, and writes it to a file as it happens.
type record struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	starts []start
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
	r.note("end      %s run %d at %s: %s", task, run, executor, how)
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
