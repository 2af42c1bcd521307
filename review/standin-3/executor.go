package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMaxMs   = 1000
	stopTakes   = 30 // milliseconds that a stop takes; StopTimeoutMs is 50
	heartbeatMs = 1500
	endsPage    = 500
	beat        = 2 * time.Millisecond // between two looks at the runs
	// suspended is the pause of the process from which on its host was suspended: the
	// executor's clock does not count that time.
	suspended = 500 * time.Millisecond
)

// executorArgs describe an executor. It is a process of its own, so that it can be
// suspended together with the agent on its machine.
type executorArgs struct {
	ID, Addr, Control, Zone, Service string
	CPU, MemMB                       int
	Labels                           []string
}

type executorRun struct {
	Task           string
	Run            int
	began, work    int64 // on the executor's clock; in milliseconds
	cpu            int
	stopAt         int64 // 0: no stop was ordered
	percent        int
	startedAtMicro int64
}

// executor stands in for an executor as PROTOCOL.md describes it. A task's work, in
// milliseconds, is the number with which its Spec begins; it takes taskCPU.
type executor struct {
	executorArgs

	mu      sync.Mutex
	clock   int64 // milliseconds since the start, without suspended time
	rest    time.Duration
	looked  time.Time
	born    int64
	seq     int64
	fence   int64
	until   int64
	runs    map[string]*executorRun
	highest map[string]int
	ends    [][]any
	endSeq  int64
	changed chan struct{}
}

func runExecutor(text string) int {
	e := &executor{born: time.Now().UnixMilli(), looked: time.Now(), runs: map[string]*executorRun{}, highest: map[string]int{}, changed: make(chan struct{})}
	if err := json.Unmarshal([]byte(text), &e.executorArgs); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	go e.announce()
	go func() {
		for range time.Tick(beat) {
			e.mu.Lock()
			e.advance()
			e.mu.Unlock()
		}
	}()
	fmt.Fprintln(os.Stderr, (&http.Server{Addr: e.Addr, Handler: e, ReadHeaderTimeout: time.Second}).ListenAndServe())
	return 2
}

// event writes a line that the case reads: the time of day in microseconds and what
// happened.
func event(format string, args ...any) {
	fmt.Printf("%d "+format+"\n", append([]any{time.Now().UnixMicro()}, args...)...)
}

// advance brings the clock up to now and carries out what is due by it. The mutex is held.
func (e *executor) advance() {
	now := time.Now()
	passed := now.Sub(e.looked)
	e.looked = now
	if passed >= suspended {
		event("paused %d", passed.Milliseconds())
		return
	}
	e.rest += passed
	e.clock += e.rest.Milliseconds()
	e.rest %= time.Millisecond
	lapsed := e.clock > e.until
	for _, r := range e.runs {
		r.percent = int(min(99, 100*(e.clock-r.began)/max(r.work, 1)))
		switch {
		case e.clock >= r.began+r.work:
			e.end(r, "done")
		case r.stopAt != 0 && e.clock >= r.stopAt:
			e.end(r, "stopped")
		case lapsed:
			e.end(r, "lapsed")
		}
	}
}

func (e *executor) end(r *executorRun, how string) {
	delete(e.runs, r.Task)
	e.highest[r.Task] = max(e.highest[r.Task], r.Run)
	e.endSeq++
	e.ends = append(e.ends, []any{e.endSeq, r.Task, r.Run, how, ""})
	event("end %s %d %s", r.Task, r.Run, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) announce() {
	for {
		e.mu.Lock()
		e.advance()
		e.seq++
		body, _ := json.Marshal(map[string]any{
			"Service": e.Service, "Address": e.Addr, "Zone": e.Zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
			"Capacity": map[string]int{"Cpu": e.CPU, "MemMb": e.MemMB, "Gpu": 0}, "Labels": e.Labels, "ClockMs": e.clock, "Seq": e.seq, "born": e.born,
		})
		e.mu.Unlock()
		pause := heartbeatMs * time.Millisecond
		req, _ := http.NewRequest(http.MethodPut, "http://"+e.Control+"/-/instances/"+e.ID, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		resp, err := (&http.Client{Timeout: time.Second}).Do(req)
		if err == nil {
			_ = resp.Body.Close()
		} else {
			pause = 200 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// ServeHTTP implements http.Handler.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get("X-Target-Instance"); target != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var b struct {
		Task, Spec                               string
		Run                                      int
		UntilMs, FencingToken, AckCursor, WaitMs int64
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.advance()
	refused := b.FencingToken < e.fence
	e.fence = max(e.fence, b.FencingToken)
	if refused {
		e.answer(w, "fence")
		e.mu.Unlock()
		return
	}
	switch r.URL.Path {
	case "/-/run-start":
		e.answer(w, e.start(b.Task, b.Run, b.Spec, b.UntilMs))
	case "/-/run-stop":
		e.stop(b.Task, b.Run)
		e.answer(w, "")
	case "/-/hold":
		e.extend(b.UntilMs)
		e.mu.Unlock()
		e.hold(w, r, b.AckCursor, min(b.WaitMs, 2000))
		return
	default:
		w.WriteHeader(http.StatusNotFound)
	}
	e.mu.Unlock()
}

func (e *executor) answer(w http.ResponseWriter, reason string) {
	if reason == "" {
		writeJSON(w, http.StatusOK, map[string]any{"ClockMs": e.clock, "born": e.born})
		return
	}
	writeJSON(w, http.StatusConflict, map[string]any{"ClockMs": e.clock, "born": e.born, "Reason": reason})
}

// extend moves the end of the lease; it never shortens.
func (e *executor) extend(until int64) { e.until = max(e.until, min(until, e.clock+holdMaxMs)) }

func (e *executor) start(task string, run int, spec string, until int64) string {
	if until <= e.clock {
		return "late"
	}
	e.extend(until)
	if r := e.runs[task]; r != nil && r.Run == run {
		return ""
	}
	if run <= e.highest[task] || e.runs[task] != nil {
		return "old"
	}
	number, _, _ := strings.Cut(spec, " ")
	work, _ := strconv.ParseInt(number, 10, 64)
	used := 0
	for _, r := range e.runs {
		used += r.cpu
	}
	if used+taskCPU > e.CPU {
		return "room"
	}
	e.runs[task] = &executorRun{Task: task, Run: run, began: e.clock, work: work, cpu: taskCPU}
	event("start %s %d", task, run)
	return ""
}

func (e *executor) stop(task string, run int) {
	if r := e.runs[task]; r != nil && r.Run <= run {
		if r.stopAt == 0 {
			r.stopAt = e.clock + stopTakes
		}
	}
	e.highest[task] = max(e.highest[task], run)
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request, cursor, wait int64) {
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := wait == 0; ; {
		e.mu.Lock()
		e.advance()
		for len(e.ends) > 0 && e.ends[0][0].(int64) <= cursor {
			e.ends = e.ends[1:]
		}
		if len(e.ends) > 0 || over {
			running := []any{}
			for _, x := range e.runs {
				running = append(running, []any{x.Task, x.Run, "", x.percent, x.cpu})
			}
			finished := append([][]any{}, e.ends[:min(len(e.ends), endsPage)]...)
			writeJSON(w, http.StatusOK, map[string]any{"ClockMs": e.clock, "born": e.born, "Running": running, "Finished": finished})
			e.mu.Unlock()
			return
		}
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
