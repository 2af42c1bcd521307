package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax   = 1000 * time.Millisecond // HoldMaxMs
	stopTime  = 30 * time.Millisecond   // of a stop; StopTimeoutMs is 50
	heartbeat = 1500 * time.Millisecond // HeartbeatMs
)

// executor stands in for an executor. A task's run time in milliseconds is the number at
// the start of its Spec.
type executor struct {
	id, address, control, service, zone string
	labels                              []string
	cpu                                 int // thousandths of a core
	rec                                 *record
	began                               time.Time
	born                                int64

	mu      sync.Mutex
	seq     int64
	fence   int64
	until   time.Duration // end of the lease, on the executor's clock
	running map[string]*run
	highest map[string]int // by task: latest run that was stopped or has ended
	ends    []end
	lastEnd int64
	changed chan struct{}
}

type run struct {
	number int
	cpu    int
	began  time.Time
	length time.Duration
}

type end struct {
	n    int64
	task string
	run  int
	how  string
}

func newExecutor(id, address, control, service, zone string, cpu int, labels []string, rec *record) *executor {
	now := time.Now()
	return &executor{
		id: id, address: address, control: control, service: service, zone: zone, cpu: cpu, labels: labels, rec: rec,
		began: now, born: now.UnixMilli(), running: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
}

func (e *executor) clock() time.Duration { return time.Since(e.began) }

// announce sends heartbeats to the agent on the same machine until ctx ends.
func (e *executor) announce(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		e.seq++
		body, _ := json.Marshal(map[string]any{
			"Service": e.service, "Address": e.address, "Zone": e.zone, "Version": "v1", "Slots": 8, "State": "ready",
			"ColdLeftMs": 0, "Capacity": map[string]int{"Cpu": e.cpu, "MemMb": 131072, "Gpu": 0}, "Labels": e.labels,
			"ClockMs": e.clock().Milliseconds(), "Seq": e.seq, "born": e.born,
		})
		e.mu.Unlock()
		pause := heartbeat
		if !e.send(ctx, body) {
			pause = 200 * time.Millisecond // the agent does not listen yet
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (e *executor) send(ctx context.Context, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+e.control+"/-/instances/"+e.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

type order struct {
	Task                                     string
	Run                                      int
	Spec                                     string
	UntilMs, FencingToken, AckCursor, WaitMs int64
}

// ServeHTTP implements http.Handler.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	fenced := o.FencingToken < e.fence
	e.fence = max(e.fence, o.FencingToken)
	e.mu.Unlock()
	reason := ""
	switch {
	case fenced:
		reason = "fence"
	case r.URL.Path == "/-/run-start":
		reason = e.start(o)
	case r.URL.Path == "/-/run-stop":
		e.stop(o)
	case r.URL.Path == "/-/hold":
		e.hold(w, r, o)
		return
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if reason != "" {
		writeJSON(w, http.StatusConflict, map[string]any{"ClockMs": e.clock().Milliseconds(), "Reason": reason})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"ClockMs": e.clock().Milliseconds()})
}

func (e *executor) start(o order) (reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rec.mu.Lock()
	e.rec.told = append(e.rec.told, told{e.rec.now(), o.Task, o.Spec})
	e.rec.mu.Unlock()
	until := time.Duration(o.UntilMs) * time.Millisecond
	if until < e.clock() {
		return "late"
	}
	e.extend(until)
	if r := e.running[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if o.Run <= e.highest[o.Task] || e.running[o.Task] != nil {
		return "old"
	}
	length, cpu := readSpec(o.Spec)
	used := cpu
	for _, r := range e.running {
		used += r.cpu
	}
	if used > e.cpu {
		return "room"
	}
	r := &run{number: o.Run, cpu: cpu, began: time.Now(), length: length}
	e.running[o.Task] = r
	e.rec.started(e.id, o.Task, o.Run)
	time.AfterFunc(length, func() { e.end(o.Task, r, "done") })
	return ""
}

// readSpec returns a task's run time and its processors, in thousandths of a core: the
// stand-in client writes both into the Spec.
func readSpec(spec string) (length time.Duration, cpu int) {
	words := strings.Fields(spec)
	ms, _ := strconv.Atoi(words[0])
	cpu, _ = strconv.Atoi(words[1])
	return time.Duration(ms) * time.Millisecond, cpu
}

func (e *executor) stop(o order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if r := e.running[o.Task]; r != nil && r.number <= o.Run {
		time.AfterFunc(stopTime, func() { e.end(o.Task, r, "stopped") })
	}
}

func (e *executor) end(task string, r *run, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endLocked(task, r, how)
}

func (e *executor) endLocked(task string, r *run, how string) {
	if e.running[task] != r {
		return
	}
	delete(e.running, task)
	e.highest[task] = max(e.highest[task], r.number)
	e.lastEnd++
	e.ends = append(e.ends, end{e.lastEnd, task, r.number, how})
	e.rec.ended(e.id, task, r.number, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

// extend moves the end of the lease of everything that runs. It never shortens.
func (e *executor) extend(until time.Duration) {
	until = min(until, e.clock()+holdMax)
	if until <= e.until {
		return
	}
	e.until = until
	time.AfterFunc(until-e.clock()+time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.clock() <= e.until {
			return
		}
		for task, r := range e.running {
			e.endLocked(task, r, "lapsed")
		}
	})
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request, o order) {
	over := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	first := true
	for waiting := o.WaitMs > 0; ; {
		e.mu.Lock()
		if first && o.UntilMs > 0 {
			e.extend(time.Duration(o.UntilMs) * time.Millisecond)
		}
		first = false
		for len(e.ends) > 0 && e.ends[0].n <= o.AckCursor {
			e.ends = e.ends[1:]
		}
		changed := e.changed
		if !waiting || len(e.ends) > 0 {
			body := e.lists()
			e.mu.Unlock()
			writeJSON(w, http.StatusOK, body)
			return
		}
		e.mu.Unlock()
		select {
		case <-changed:
		case <-over:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (e *executor) lists() map[string]any {
	running, finished := [][]any{}, [][]any{}
	for task, r := range e.running {
		percent := 100
		if r.length > 0 {
			percent = min(100, int(100*time.Since(r.began)/r.length))
		}
		running = append(running, []any{task, r.number, "", percent, r.cpu})
	}
	for _, f := range e.ends[:min(500, len(e.ends))] {
		finished = append(finished, []any{f.n, f.task, f.run, f.how, ""})
	}
	return map[string]any{"ClockMs": e.clock().Milliseconds(), "born": e.born, "Running": running, "Finished": finished}
}

// spec is the text of a job whose tasks take length and cpu thousandths of a core.
func spec(length time.Duration, cpu int) string {
	return fmt.Sprintf("%d %d", length.Milliseconds(), cpu)
}
