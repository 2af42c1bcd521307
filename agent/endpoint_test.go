package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/result"
	"bergamotwing.example/settings"
	"bergamotwing.example/wire"
)

func allowed() result.Code { return result.OK }

func newTestEndpoint(t *testing.T, url string) *endpoint {
	t.Helper()
	e, err := newEndpoint(settings.Agent{Endpoint: url, Connections: 2})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.close)
	return e
}

func testCall(payload string) call {
	return call{
		grant:    &wire.Grant{Task: taskOf(3, 1), Attempt: 2, Payload: []byte(payload), Idempotent: true},
		startBy:  time.UnixMilli(1234),
		mayStart: allowed,
	}
}

func TestTaskIsPostedWithItsHeadersAndAnswered(t *testing.T) {
	var got http.Header
	var payload []byte
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got, payload = r.Header, nil
		payload, _ = io.ReadAll(r.Body)
		_, _ = w.Write([]byte("done"))
	}))
	t.Cleanup(server.Close)
	out := newTestEndpoint(t, server.URL).do(context.Background(), testCall("switch on"))
	if out.code != result.OK || string(out.body) != "done" || string(payload) != "switch on" {
		t.Errorf("outcome %v %q of payload %q", out.code, out.body, payload)
	}
	want := []string{"a/1/3/1", "2", "1234", "true"}
	headers := []string{got.Get(headerTask), got.Get(headerAttempt), got.Get(headerStartBy), got.Get(headerIdempotent)}
	if diff := cmp.Diff(want, headers); diff != "" {
		t.Error(diff)
	}
}

func TestAnswerDecidesTheResultCode(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch string(body) {
		case "fail":
			http.Error(w, "no such circuit", http.StatusConflict)
		case "large":
			_, _ = w.Write(make([]byte, maxResultBody+1))
		case "largest":
			_, _ = w.Write(make([]byte, maxResultBody))
		case "redirect":
			http.Redirect(w, r, "/task", http.StatusTemporaryRedirect)
		case "hang":
			<-r.Context().Done()
		}
	}))
	t.Cleanup(server.Close)
	e := newTestEndpoint(t, server.URL)
	for payload, want := range map[string]result.Code{
		"":         result.OK,
		"fail":     result.TaskFailed,
		"large":    result.ResultTooLarge,
		"largest":  result.OK,
		"redirect": result.TaskFailed,
		"hang":     result.EndpointTimeout,
	} {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		if out := e.do(ctx, testCall(payload)); out.code != want || out.notStarted != result.OK {
			t.Errorf("%q: code %v, not started %v, want %v", payload, out.code, out.notStarted, want)
		}
		cancel()
	}
}

func TestConnectionsAreReused(t *testing.T) {
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	e := newTestEndpoint(t, server.URL)
	for range 50 {
		if out := e.do(context.Background(), testCall("x")); out.code != result.OK {
			t.Fatal(out)
		}
	}
	if opened.Load() != 1 {
		t.Errorf("%d connections for 50 tasks in a row", opened.Load())
	}
}

func TestDeniedStartSendsNothing(t *testing.T) {
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	t.Cleanup(server.Close)
	e := newTestEndpoint(t, server.URL)
	for _, payload := range []string{"x", "", strings.Repeat("x", 1<<16)} {
		c := testCall(payload)
		c.mayStart = func() result.Code { return result.PermissionLapsed }
		e.do(context.Background(), testCall("warm up the connection"))
		if out := e.do(context.Background(), c); out.notStarted != result.PermissionLapsed {
			t.Errorf("outcome %+v", out)
		}
	}
	if requests.Load() != 3 {
		t.Errorf("%d requests, want only the 3 that were allowed", requests.Load())
	}
}

func TestRefusedConnectionIsNotAStart(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	out := newTestEndpoint(t, "http://"+listener.Addr().String()).do(context.Background(), testCall("x"))
	if out.notStarted != result.EndpointUnreachable || !out.unreachable {
		t.Errorf("outcome %+v", out)
	}
}

// dropSecond answers the first request of its first connection and reads the
// second without an answer. It counts all requests.
func dropSecond(listener net.Listener, requests *atomic.Int32) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for range 2 {
			req, err := http.ReadRequest(reader)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if requests.Add(1) == 1 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}
		_ = conn.Close()
	}
}

func TestRequestOnADroppedConnectionIsNeverResent(t *testing.T) {
	for _, payload := range []string{"x", ""} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var requests atomic.Int32
		done := make(chan struct{})
		go func() {
			defer close(done)
			dropSecond(listener, &requests)
		}()
		e := newTestEndpoint(t, "http://"+listener.Addr().String())
		e.do(context.Background(), testCall(payload))
		out := e.do(context.Background(), testCall(payload))
		_ = listener.Close()
		<-done
		if out.code != result.TaskFailed || out.notStarted != result.OK || requests.Load() != 2 {
			t.Errorf("payload %q: outcome %+v after %d requests", payload, out, requests.Load())
		}
	}
}

func TestCancelledCallThatWasSentMayHaveRun(t *testing.T) {
	reached := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(reached)
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() {
		<-reached
		cancel(errCancelled)
	}()
	if out := newTestEndpoint(t, server.URL).do(ctx, testCall("")); out.code != result.Cancelled {
		t.Errorf("outcome %+v", out)
	}
}
