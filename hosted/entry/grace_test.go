package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/drain"
	"bergamotwing.example/drain/draintest"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/platform"
	"bergamotwing.example/telemetry"
)

const (
	shortGrace = time.Second
	testJob    = `{"Spec":"1","BestEffort":true,"Steps":[{"Count":1,"Cpu":1000,"EstimateMs":60000}]}`
)

// startEntry returns an entry without links and endpoints, which serves clients.
func startEntry(t *testing.T) (*Entry, *drain.Server, *draintest.CountingListener) {
	t.Helper()
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	e := New(platform.Node{Name: "e", IP: "127.0.0.1", Grace: shortGrace}, Options{}, control.Deps{Log: zerolog.Nop(), Metrics: metrics})
	e.ctx = t.Context()
	e.actor.Start(e.receive)
	t.Cleanup(e.actor.Shutdown)
	e.operator.Store(&dispatch.OperatorState{Config: dispatch.Config{
		Routes:       []dispatch.Route{{Name: "r", Host: "h", Prefix: "/q/", Service: "svc", MaxAttempts: 3, Stretch: 3, TargetLatency: time.Minute}},
		MaxBodyBytes: 1 << 18,
	}})
	counting := draintest.Listen(t)
	clients := drain.New(&http.Server{Handler: http.HandlerFunc(e.serveClient)}, counting) //nolint:gosec // the tests send whole headers or end
	go func() {
		if err := clients.Serve(); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { _ = clients.Close() })
	return e, clients, counting
}

func dial(t *testing.T, clients *drain.Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", clients.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// post returns the text of a submission by a client that waits for 30 s.
func post(body string) string {
	return fmt.Sprintf("POST /q/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// drainWithinGrace drains an entry and fails if that takes longer than its grace period,
// less the time for which the kernel kept one of its threads waiting for a processor.
func drainWithinGrace(t *testing.T, e *Entry, clients *drain.Server) {
	t.Helper()
	began, before := time.Now(), processorWaits()
	e.drain(clients)
	took, waited := time.Since(began), longestWait(before, processorWaits())
	if took-waited > shortGrace {
		t.Errorf("the stop took %v of %v, a thread waited %v of it for a processor", took, shortGrace, waited)
	}
}

// processorWaits returns how long each thread of this process has been ready to run
// without a processor; it is empty where the kernel does not say.
func processorWaits() map[string]time.Duration {
	waits := map[string]time.Duration{}
	for thread, text := range threadFiles("schedstat") {
		var ran, waited int64
		if _, err := fmt.Sscan(text, &ran, &waited); err == nil {
			waits[thread] = time.Duration(waited)
		}
	}
	return waits
}

func threadFiles(name string) map[string]string {
	files := map[string]string{}
	const tasks = "/proc/self/task"
	threads, _ := os.ReadDir(tasks) // none: not Linux
	for _, thread := range threads {
		text, err := os.ReadFile(filepath.Join(tasks, thread.Name(), name))
		if err == nil { // else the thread has ended
			files[thread.Name()] = string(text)
		}
	}
	return files
}

func longestWait(before, after map[string]time.Duration) (longest time.Duration) {
	for thread, waited := range after {
		longest = max(longest, waited-before[thread])
	}
	return longest
}

func wantAnswer(t *testing.T, conn net.Conn, status int, code string) http.Header {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(draintest.Timeout)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Errorf("incomplete answer: %v", err)
	}
	if resp.StatusCode != status || !strings.Contains(string(body), code) {
		t.Errorf("answer %d %s, want %d %s", resp.StatusCode, body, status, code)
	}
	return resp.Header
}

// Clients may wait longer than an entry has time to stop.
func TestAJobThatHasNotRunIsRefusedAtTheEndOfTheGracePeriod(t *testing.T) {
	e, clients, _ := startEntry(t)
	conn := dial(t, clients)
	write(t, conn, post(testJob))
	for e.unfinished(t.Context()).jobs == 0 {
		time.Sleep(time.Millisecond)
	}
	drainWithinGrace(t, e, clients)
	if h := wantAnswer(t, conn, http.StatusServiceUnavailable, "stopping"); h.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
}

// The entry cannot know whether the job was submitted elsewhere before and ran.
func TestARequestWithoutItsWholeBodyIsAnsweredAtTheEndOfTheGracePeriod(t *testing.T) {
	e, clients, counting := startEntry(t)
	conn := dial(t, clients)
	text := post(testJob)
	write(t, conn, text[:len(text)-1])
	counting.WaitRead(t, conn, len(text)-1)
	drainWithinGrace(t, e, clients)
	wantAnswer(t, conn, http.StatusBadGateway, "outcome_unknown")
}
