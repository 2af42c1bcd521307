package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// record collects what clients sent and were answered, and what executors ran.
type record struct {
	mu    sync.Mutex
	began time.Time
	lines []string
	work  []span
}

// span is a time in which a run of a task was at work on an executor that was up.
type span struct {
	task       string
	run        int
	executor   string
	begin, end time.Duration // end is 0 while the run is at work
}

func (s span) String() string {
	return fmt.Sprintf("run %d of %s at %s from %.3f s to %.3f s", s.run, s.task, s.executor, s.begin.Seconds(), s.end.Seconds())
}

func (r *record) now() time.Duration { return time.Since(r.began) }

// note adds a line with the time.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", r.now().Seconds())+fmt.Sprintf(format, args...))
}

// works notes that a run is at work from now on.
func (r *record) works(task string, run int, executor string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.work = append(r.work, span{task: task, run: run, executor: executor, begin: r.now()})
}

// rests notes that a run is at work no longer.
func (r *record) rests(task string, run int, executor string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, s := range r.work {
		if s.task == task && s.run == run && s.executor == executor && s.end == 0 {
			r.work[i].end = r.now()
		}
	}
}

// spansOf returns the work done for a job; what is still at work ends now.
func (r *record) spansOf(job string) []span {
	r.mu.Lock()
	defer r.mu.Unlock()
	var spans []span
	for _, s := range r.work {
		if strings.HasPrefix(s.task, job+".") {
			if s.end == 0 {
				s.end = r.now()
			}
			spans = append(spans, s)
		}
	}
	return spans
}

// save writes the record to a file.
func (r *record) save(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := slices.Clone(r.lines)
	lines = append(lines, "", "work of executors that were up:")
	for _, s := range r.work {
		lines = append(lines, "  "+s.String())
	}
	return os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}
