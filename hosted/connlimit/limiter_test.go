package connlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const testTimeout = 5 * time.Second

// limitedServer is a server behind a limiter, and what the limiter has reported.
type limitedServer struct {
	*Limiter

	addr    string
	mu      sync.Mutex
	reports map[Reason]int
}

func startLimited(t *testing.T, limits Limits, kind func(*Limiter) Kind, h http.HandlerFunc) *limitedServer {
	t.Helper()
	s := &limitedServer{reports: map[Reason]int{}}
	s.Limiter = New(limits, func(_ string, why Reason) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reports[why]++
	})
	l, err := s.Listen(t.Context(), "127.0.0.1:0", kind(s.Limiter))
	if err != nil {
		t.Fatal(err)
	}
	s.addr = l.Addr().String()
	server := s.Server(h, testTimeout)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *limitedServer) reported(why Reason) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reports[why]
}

func limitsForTest() Limits {
	return Limits{Clients: 4, Links: 4, Unlinked: 2, Service: 4, Held: 256 << 10, HeaderBytes: headerBytes, Fields: 10, BodyTime: testTimeout, AnswerTime: testTimeout, IdleTime: testTimeout}
}

func dial(t *testing.T, s *limitedServer, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for began := time.Now(); !ok(); time.Sleep(time.Millisecond) {
		if time.Since(began) > testTimeout {
			t.Fatal("not in time: " + what)
		}
	}
}

func wantStatus(t *testing.T, c net.Conn, status int) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != status {
		t.Errorf("status %d, want %d", resp.StatusCode, status)
	}
}

func wantCut(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	if n, err := c.Read(make([]byte, 1)); err == nil || n > 0 || strings.Contains(err.Error(), "timeout") {
		t.Errorf("read %d bytes, %v; want a closed connection", n, err)
	}
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func post(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
}

func readAll(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
}

func TestANewConnectionTakesThePlaceOfAnUnfinishedOne(t *testing.T) {
	s := startLimited(t, limitsForTest(), (*Limiter).Clients, readAll)
	oldest := dial(t, s, "GET / HT")
	eventually(t, "the first is open", func() bool { return s.Count() == 1 })
	for range 3 {
		dial(t, s, "GET / HT")
	}
	eventually(t, "all are open", func() bool { return s.Count() == 4 })
	wantStatus(t, dial(t, s, get), http.StatusOK)
	wantCut(t, oldest)
	if n := s.reported(Connections); n != 1 {
		t.Errorf("%d reports", n)
	}
}

func TestOpenRequestsKeepTheirConnectionsAndNewOnesAreClosed(t *testing.T) {
	release := make(chan struct{})
	s := startLimited(t, limitsForTest(), (*Limiter).Clients, func(http.ResponseWriter, *http.Request) { <-release })
	open := make([]net.Conn, 4)
	for i := range open {
		open[i] = dial(t, s, get)
	}
	eventually(t, "all are open", func() bool {
		s.Limiter.mu.Lock()
		defer s.Limiter.mu.Unlock()
		n := 0
		for c := range s.conns {
			if c.phase == phaseOpen {
				n++
			}
		}
		return n == 4
	})
	wantCut(t, dial(t, s, ""))
	close(release)
	for _, c := range open {
		wantStatus(t, c, http.StatusOK)
	}
}

func TestBodiesThatStopShortMakeRoomForOthers(t *testing.T) {
	s := startLimited(t, limitsForTest(), (*Limiter).Clients, readAll)
	const stalled = 100 << 10
	first := dial(t, s, post(stalled+1)+strings.Repeat(" ", stalled))
	eventually(t, "the first is held", func() bool { return s.Held() >= 2*(stalled-(8<<10)) })
	dial(t, s, post(stalled+1)+strings.Repeat(" ", stalled))
	wantCut(t, first)
	wantStatus(t, dial(t, s, post(100)+strings.Repeat(" ", 100)), http.StatusOK)
	if n := s.reported(Held); n == 0 {
		t.Error("not reported")
	}
}

func TestABodyThatIsNotWholeInTimeEndsItsConnection(t *testing.T) {
	limits := limitsForTest()
	limits.BodyTime = 20 * time.Millisecond
	s := startLimited(t, limits, (*Limiter).Clients, readAll)
	wantCut(t, dial(t, s, post(10)+"123"))
	if n := s.reported(BodyTime); n != 1 {
		t.Errorf("%d reports", n)
	}
}

// The time for a body does not cut an answer that waits for its job.
func TestAnAnswerMayTakeLongerThanABody(t *testing.T) {
	limits := limitsForTest()
	limits.BodyTime, limits.AnswerTime, limits.IdleTime = 20*time.Millisecond, 20*time.Millisecond, 20*time.Millisecond
	s := startLimited(t, limits, (*Limiter).Clients, func(w http.ResponseWriter, r *http.Request) {
		readAll(w, r)
		select {
		case <-time.After(10 * limits.BodyTime):
		case <-r.Context().Done():
			t.Error("the request was cancelled")
		}
	})
	wantStatus(t, dial(t, s, post(3)+"123"), http.StatusOK)
}

func TestAHeaderOfManyFieldsIsRefused(t *testing.T) {
	s := startLimited(t, limitsForTest(), (*Limiter).Clients, readAll)
	wantStatus(t, dial(t, s, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a: b\r\n", 11)+"\r\n"), http.StatusRequestHeaderFieldsTooLarge)
	if n := s.reported(Fields); n != 1 {
		t.Errorf("%d reports", n)
	}
}

func TestAnswersThatAreNotReadEndTheirConnection(t *testing.T) {
	limits := limitsForTest()
	limits.AnswerTime = 50 * time.Millisecond
	s := startLimited(t, limits, (*Limiter).Clients, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 32<<20))
	})
	dial(t, s, get)
	eventually(t, "the answer is given up", func() bool { return s.reported(AnswerTime) == 1 && s.Count() == 0 })
}

func TestHoldRefusesWhatIsOverTheBoundAndReleasesItWithTheAnswer(t *testing.T) {
	s := startLimited(t, limitsForTest(), (*Limiter).Clients, func(w http.ResponseWriter, r *http.Request) {
		readAll(w, r)
		if r.URL.Path == "/much" && Hold(r.Context(), 257<<10) || !Hold(r.Context(), 32<<10) {
			w.WriteHeader(http.StatusConflict)
		}
	})
	c := dial(t, s, strings.Replace(get, "/", "/much", 1))
	wantStatus(t, c, http.StatusOK)
	eventually(t, "nothing is held", func() bool { return s.Held() == 0 })
	if n := s.reported(Refused); n != 1 {
		t.Errorf("%d reports", n)
	}
}

func TestRequestsSentAheadCountAsHeld(t *testing.T) {
	s := startLimited(t, limitsForTest(), (*Limiter).Clients, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	sendAhead := func(others int64) net.Conn {
		c := dial(t, s, get)
		eventually(t, "the request is read", func() bool { return s.Held() > others })
		_, _ = io.WriteString(c, get)
		return c
	}
	first := sendAhead(0)
	eventually(t, "the first is held", func() bool { return s.Held() >= aheadBytes })
	sendAhead(s.Held())
	wantCut(t, first)
	eventually(t, "one is held", func() bool { return s.Held() < 2*aheadBytes && s.reported(Held) == 1 })
}

func TestLinksWithoutAHelloDoNotKeepOutOthers(t *testing.T) {
	said := make(chan struct{})
	s := startLimited(t, limitsForTest(), func(d *Limiter) Kind { return d.Links(nil) }, func(_ http.ResponseWriter, r *http.Request) {
		Linked(r.Context())
		<-said
	})
	linked := dial(t, s, get)
	eventually(t, "the link is open", func() bool {
		s.Limiter.mu.Lock()
		defer s.Limiter.mu.Unlock()
		return s.unlinked("links") == 0 && len(s.conns) == 1
	})
	silent := []net.Conn{dial(t, s, ""), dial(t, s, "")}
	eventually(t, "three are open", func() bool { return s.Count() == 3 })
	other := dial(t, s, get)
	wantCut(t, silent[0])
	close(said)
	wantStatus(t, other, http.StatusOK)
	wantStatus(t, linked, http.StatusOK)
	if n := s.reported(Unlinked); n != 1 {
		t.Errorf("%d reports", n)
	}
}

// Who reports may wait for who reads the metrics, which wait for the limiter.
func TestAReportMayAskTheLimiter(t *testing.T) {
	s := startLimited(t, limitsForTest(), (*Limiter).Clients, readAll)
	asked := make(chan int64, 16)
	s.report = func(string, Reason) { asked <- s.Held() }
	for range 5 {
		dial(t, s, "GET / HT")
	}
	select {
	case <-asked:
	case <-time.After(testTimeout):
		t.Error("the limiter is locked while it reports")
	}
}
