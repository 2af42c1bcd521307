package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	executorCPU   = 64000
	executorMemMb = 131072
	holdMaxMs     = 1000
	stopTakes     = 20 * time.Millisecond // a stop may take 50 ms
	beatEvery     = 1500 * time.Millisecond
	stepEvery     = time.Millisecond
)

// executor stands in for an executor with AdmissionCheck. The Spec of a job is the
// run time of its tasks in milliseconds.
type executor struct {
	id, addr, service, zone, control, rack string
	rec                                    *record

	mu       sync.Mutex
	up       bool
	server   *http.Server
	clock    time.Duration // of this lifetime
	stepped  time.Time
	born     int64
	seq      int64
	runs     map[string]*taskRun
	highest  map[string]int // by task: latest run that was stopped or has ended
	ends     []ended
	endSeq   int64
	leaseEnd time.Duration
	fence    int64
}

type taskRun struct {
	task         string
	run, cpu     int
	left, length time.Duration
	stopIn       time.Duration // 0: not stopping
}

type ended struct {
	seq  int64
	task string
	run  int
	how  string
}

// Paths of the calls.
const (
	startPath = "/-/run-start"
	stopPath  = "/-/run-stop"
	holdPath  = "/-/hold"
)

// order is the body of every call.
type order struct {
	Task         string
	Run          int
	Spec         string
	UntilMs      int64
	FencingToken int64
	AckCursor    int64
	WaitMs       int64
}

func (e *executor) start() error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.up, e.clock, e.stepped = true, 0, time.Now()
	e.born = max(time.Now().UnixMilli(), e.born+1)
	e.seq, e.endSeq, e.leaseEnd, e.fence, e.ends = 0, 0, 0, 0, nil
	e.runs, e.highest = map[string]*taskRun{}, map[string]int{}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	e.rec.note("executor %s starts, born %d", e.id, e.born)
	return nil
}

// keepStepping advances the executor's time, its tasks and its lease.
func (e *executor) keepStepping(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		e.step()
		e.mu.Unlock()
		time.Sleep(stepEvery)
	}
}

func (e *executor) step() {
	now := time.Now()
	passed := now.Sub(e.stepped)
	e.stepped = now
	if !e.up {
		return
	}
	e.clock += passed
	for _, r := range e.runs {
		switch {
		case e.clock > e.leaseEnd:
			e.end(r, "lapsed")
		case r.stopIn > 0 && r.stopIn <= passed:
			e.end(r, "stopped")
		case r.stopIn > 0:
			r.stopIn -= passed
		case r.left <= passed:
			e.end(r, "done")
		default:
			r.left -= passed
		}
	}
}

func (e *executor) end(r *taskRun, how string) {
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.run)
	e.endSeq++
	e.ends = append(e.ends, ended{e.endSeq, r.task, r.run, how})
	e.rec.rests(r.task, r.run, e.id)
	e.rec.note("executor %s: run %d of %s ends %s", e.id, r.run, r.task, how)
}

func (e *executor) keepBeating(ctx context.Context) {
	for ctx.Err() == nil {
		e.beat(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(beatEvery):
		}
	}
}

func (e *executor) beat(ctx context.Context) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.seq++
	text, _ := json.Marshal(map[string]any{
		"Service": e.service, "Address": e.addr, "Zone": e.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
		"Capacity": map[string]int{"Cpu": executorCPU, "MemMb": executorMemMb, "Gpu": 0},
		"Labels":   []string{"a", e.rack}, "ClockMs": e.clock.Milliseconds(), "Seq": e.seq, "born": e.born,
	})
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+e.control+"/-/instances/"+e.id, bytes.NewReader(text))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case startPath:
		e.answer(w, o, e.begin)
	case stopPath:
		e.answer(w, o, e.stop)
	case holdPath:
		e.hold(w, r, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (e *executor) answer(w http.ResponseWriter, o order, do func(order) (int, string)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.step()
	status, reason := do(o)
	body := map[string]any{"ClockMs": e.clock.Milliseconds(), "born": e.born}
	if reason != "" {
		body["Reason"] = reason
	}
	writeJSON(w, status, body)
}

// fenced notes the fencing token of a call, and reports whether a higher one was seen.
func (e *executor) fenced(o order) bool {
	e.fence = max(e.fence, o.FencingToken)
	return o.FencingToken < e.fence
}

func (e *executor) begin(o order) (int, string) {
	switch {
	case e.fenced(o):
		return http.StatusConflict, "fence"
	case o.UntilMs < e.clock.Milliseconds():
		return http.StatusConflict, "late"
	}
	e.extend(o.UntilMs)
	if r := e.runs[o.Task]; r != nil && r.run == o.Run {
		return http.StatusOK, ""
	}
	if o.Run <= e.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	length, cpu := specOf(o.Spec)
	used := cpu
	for _, r := range e.runs {
		used += r.cpu
	}
	if used > executorCPU {
		return http.StatusConflict, "room"
	}
	e.runs[o.Task] = &taskRun{task: o.Task, run: o.Run, cpu: cpu, left: length, length: length}
	e.rec.works(o.Task, o.Run, e.id)
	e.rec.note("executor %s: run %d of %s starts", e.id, o.Run, o.Task)
	return http.StatusOK, ""
}

// specOf reads a Spec: run time in milliseconds and Cpu.
func specOf(spec string) (length time.Duration, cpu int) {
	ms, rest, _ := strings.Cut(spec, " ")
	n, err := strconv.Atoi(ms)
	cpu, err2 := strconv.Atoi(rest)
	if errors.Join(err, err2) != nil {
		return 0, 0
	}
	return time.Duration(n) * time.Millisecond, cpu
}

func (e *executor) stop(o order) (int, string) {
	if e.fenced(o) {
		return http.StatusConflict, "fence"
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if r := e.runs[o.Task]; r != nil && r.run <= o.Run && r.stopIn == 0 {
		r.stopIn = stopTakes
	}
	return http.StatusOK, ""
}

func (e *executor) extend(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, e.clock+holdMaxMs*time.Millisecond)
	e.leaseEnd = max(e.leaseEnd, until)
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request, o order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.step()
	if e.fenced(o) {
		writeJSON(w, http.StatusConflict, map[string]any{"ClockMs": e.clock.Milliseconds(), "Reason": "fence", "born": e.born})
		return
	}
	if o.UntilMs > 0 {
		e.extend(o.UntilMs)
	}
	for len(e.ends) > 0 && e.ends[0].seq <= o.AckCursor {
		e.ends = e.ends[1:]
	}
	born, until := e.born, e.clock+time.Duration(min(o.WaitMs, 2000))*time.Millisecond
	for len(e.ends) == 0 && e.clock < until {
		e.mu.Unlock()
		time.Sleep(stepEvery)
		e.mu.Lock()
		if r.Context().Err() != nil || !e.up || e.born != born {
			return
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, t := range e.runs {
		running = append(running, []any{t.task, t.run, "", int(100 * (t.length - t.left) / max(t.length, 1)), t.cpu})
	}
	for _, f := range e.ends[:min(len(e.ends), 500)] {
		finished = append(finished, []any{f.seq, f.task, f.run, f.how, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{"ClockMs": e.clock.Milliseconds(), "born": e.born, "Running": running, "Finished": finished})
}
