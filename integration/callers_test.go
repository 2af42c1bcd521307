package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotwing.example/client/api"
	"bergamotwing.example/integration/harness"
	"bergamotwing.example/ledger"
	"bergamotwing.example/result"
)

// Limits that the tests of bad requests rely on: the defaults of the settings,
// how long an entry waits for the header of a request (headerTimeout), and the
// setting ReadTimeout of these tests.
const (
	bodyLimit     = 16 << 20 // bytes
	taskLimit     = 1000     // tasks of a job
	payloadLimit  = 64 << 10 // bytes
	ticketLimit   = 1000     // tickets of one request
	headerTimeout = 5 * time.Second
	readTimeout   = time.Second
)

// badRequest is a request that must be refused. If ticket is set, a new ticket is
// appended to the path.
type badRequest struct {
	name   string
	method string
	path   string
	ticket bool
	body   []byte
	code   result.Code
}

func badRequests(t *testing.T) []badRequest {
	t.Helper()
	put := func(name string, body []byte, code result.Code) badRequest {
		return badRequest{name: name, method: http.MethodPut, path: api.PathJobs + "/", ticket: true, body: body, code: code}
	}
	many := harness.NewJob("many", taskLimit+1, time.Millisecond)
	large := harness.NewJob("large", 1, time.Millisecond)
	large.Tasks[0].Payload = bytes.Repeat([]byte{'x'}, payloadLimit+1)
	noDeadline := harness.NewJob("undated", 1, time.Millisecond)
	noDeadline.DeadlineMS = 0
	otherService := harness.NewJob("elsewhere", 1, time.Millisecond)
	otherService.Service = "unknown"
	valid := encode(t, harness.NewJob("whole", 1, time.Millisecond))
	return []badRequest{
		put("no JSON", []byte("{"), result.BadRequest),
		put("empty body", nil, result.BadRequest),
		put("other type", []byte(`{"tasks":"all"}`), result.BadRequest),
		put("no tasks", []byte(`{"service":"postlink","deadlineMs":1000}`), result.BadRequest),
		put("body over the limit", bytes.Repeat([]byte{' '}, bodyLimit+1), result.BodyTooLarge),
		put("tasks over the limit", encode(t, many), result.TooManyTasks),
		put("payload over the limit", encode(t, large), result.PayloadTooLarge),
		put("no deadline", encode(t, noDeadline), result.BadDeadline),
		put("unknown service", encode(t, otherService), result.UnknownService),
		{"bad ticket", http.MethodPut, api.PathJobs + "/ticket", false, valid, result.BadTicket},
		{"forged ticket", http.MethodPut, api.PathJobs + "/" + forgedTicket(), false, valid, result.BadTicket},
		{"cancel of a bad ticket", http.MethodDelete, api.PathJobs + "/ticket", false, nil, result.BadTicket},
		{"unknown path", http.MethodGet, "/v1/nothing", false, nil, result.NotFound},
		{"unknown method", http.MethodPatch, api.PathJobs + "/ticket", false, nil, result.NotFound},
		{"job never submitted", http.MethodGet, api.PathJobs + "/", true, nil, result.NotFound},
		{"no tickets", http.MethodPost, api.PathTickets + "?count=0", false, nil, result.BadRequest},
		{"tickets over the limit", http.MethodPost, fmt.Sprintf("%s?count=%d", api.PathTickets, ticketLimit+1), false, nil, result.TooManyTickets},
	}
}

// forgedTicket returns a ticket signed with another key than the deployment's.
func forgedTicket() string {
	return ledger.Ticket{Entry: "entry0", Incarnation: 1, Seq: 1, Issued: time.Now().Unix()}.Encode(ledger.Key("another key"))
}

func encode(t *testing.T, job api.Job) []byte {
	t.Helper()
	body, err := json.Marshal(job)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func TestBadRequestsGetTheirCodeAndStartNothing(t *testing.T) {
	d := deploy(t, harness.Options{})
	entry := d.Entries[0]
	refusals := func(code result.Code) float64 {
		return harness.Metric(t, entry.MetricsURL, "bergamotwing_refused_total", `reason="`+code.String()+`"`)
	}
	for _, bad := range badRequests(t) {
		t.Run(bad.name, func(t *testing.T) {
			before := refusals(bad.code)
			path := bad.path
			if bad.ticket {
				path += mustTicket(t, newCaller(t), entry)
			}
			status, answer := request(t, bad.method, entry.URL+path, bytes.NewReader(bad.body))
			wantCode(t, answer, bad.code)
			if want := result.Lookup(bad.code).HTTPStatus; status != want {
				t.Errorf("status %d, want %d", status, want)
			}
			if n := refusals(bad.code) - before; n != 1 && bad.name != "job never submitted" {
				t.Errorf("%v refusals were counted, want 1", n)
			}
		})
	}
	if n := len(d.Oracle.MustStarts(t)); n != 0 {
		t.Errorf("%d tasks started", n)
	}
}

// request makes a request and returns the status and the answer.
func request(t *testing.T, method, url string, body io.Reader) (int, api.Answer) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req) //nolint:gosec // the tests' own processes
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var answer api.Answer
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		t.Fatalf("status %d: %v", resp.StatusCode, err)
	}
	return resp.StatusCode, answer
}

// badConnections is the number of bad connections of each kind that are opened at
// once.
const badConnections = 40

func TestSlowAndHalfSentRequestsAreEndedAndLeaveNothingOpen(t *testing.T) {
	d := deploy(t, harness.Options{ReadTimeout: readTimeout})
	entry := d.Entries[0]
	c := newCaller(t)
	ticket, first := mustTicket(t, c, entry), mustTicket(t, c, entry)
	c.Close()
	warm := harness.NewJob("before", 8, 50*time.Millisecond)
	wantCode(t, await(t, d, first, warm, submit(t.Context(), entry, first, warm)), result.OK)
	idle := idleGoroutines(t, d, entry)
	put := "PUT " + api.PathJobs + "/" + ticket + " HTTP/1.1\r\nHost: entry\r\nContent-Length: 1000\r\n\r\n{"
	for range badConnections {
		slow := mustSend(t, entry, put)
		t.Cleanup(func() { _ = slow.Close() })
		header := mustSend(t, entry, "PUT "+api.PathJobs+"/"+ticket+" HTTP/1.1\r\nHo")
		t.Cleanup(func() { _ = header.Close() })
		_ = mustSend(t, entry, put).Close()
		_ = mustSend(t, entry, "PUT").Close()
		unread := mustSend(t, entry, "POST "+api.PathTickets+" HTTP/1.1\r\nHost: entry\r\nContent-Length: 1000\r\n\r\n")
		t.Cleanup(func() { _ = unread.Close() })
		garbage := mustSend(t, entry, "\x16\x03\x01\x02\x00\x01\r\n\r\n")
		t.Cleanup(func() { _ = garbage.Close() })
	}
	wantSlowRequest(t, mustSend(t, entry, put))
	wantClosed(t, mustSend(t, entry, "GET "+api.PathHealth+" HTTP/1.1\r\nHo"), headerTimeout+readTimeout)
	harness.Eventually(t, answerLimit, "no connection of a caller is open", func() bool { return entry.Callers.Connections() == 0 })
	harness.Eventually(t, answerLimit, fmt.Sprintf("the entry has at most its %v idle goroutines", idle), func() bool {
		return goroutines(t, entry) <= idle
	})
	job := harness.NewJob("after", 8, 50*time.Millisecond)
	wantCode(t, await(t, d, ticket, job, submit(t.Context(), entry, ticket, job)), result.OK)
	d.Oracle.Check(t)
}

// mustSend opens a connection to the callers' listener of an entry and sends text.
func mustSend(t *testing.T, e *harness.Entry, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", e.Callers.Addr)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// wantSlowRequest checks that a request whose body does not arrive is answered
// with slow_request.
func wantSlowRequest(t *testing.T, conn net.Conn) {
	t.Helper()
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(10 * readTimeout))
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Errorf("the connection of a slow request stays open: %v", err)
	}
	if !strings.Contains(string(answer), result.SlowRequest.String()) {
		t.Errorf("a slow request is answered %q", answer)
	}
}

// wantClosed checks that the entry closes a connection within limit.
func wantClosed(t *testing.T, conn net.Conn, limit time.Duration) {
	t.Helper()
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(limit))
	if _, err := io.ReadAll(conn); err != nil {
		t.Errorf("the connection is open after %v: %v", limit, err)
	}
}

func goroutines(t *testing.T, e *harness.Entry) float64 {
	t.Helper()
	return harness.Metric(t, e.MetricsURL, "go_goroutines", "")
}

// idleGoroutines returns the number of goroutines of an entry to which no caller
// or operator is connected: the largest of 10 readings.
func idleGoroutines(t *testing.T, d *harness.Deployment, e *harness.Entry) float64 {
	t.Helper()
	d.Operator.Close()
	var largest float64
	readings := 0
	harness.Eventually(t, answerLimit, "idle readings", func() bool {
		if e.Callers.Connections() > 0 {
			return false
		}
		largest = max(largest, goroutines(t, e))
		readings++
		return readings >= 10
	})
	return largest
}

func TestJobWithoutTicketRunsOnceThroughEveryEntry(t *testing.T) {
	d := deploy(t, harness.Options{})
	for _, e := range d.Entries {
		job := harness.NewJob("once-"+e.ID, 4, 50*time.Millisecond)
		body, err := json.Marshal(job)
		if err != nil {
			t.Fatal(err)
		}
		status, answer := request(t, http.MethodPost, e.URL+api.PathJobs, bytes.NewReader(body))
		if status != http.StatusOK || answer.Code != result.OK || answer.Ticket == "" {
			t.Fatalf("%s: status %d, %s (%s), ticket %q", e.ID, status, answer.Name, answer.Detail, answer.Ticket)
		}
		d.Oracle.Record(answer.Ticket, job, answer)
	}
	d.Oracle.Check(t)
}
