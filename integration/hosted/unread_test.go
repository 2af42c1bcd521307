package hosted

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"bergamotwing.example/integration/harness"
	"bergamotwing.example/platform/fake"
)

// openConn is a connection to an entry whose end the client can leave undelivered.
type openConn struct {
	net.Conn
	answers *bufio.Reader
}

func openTo(t *testing.T, e *Host) *openConn {
	t.Helper()
	conn, err := net.Dial("tcp", fake.Addr(e.IP, fake.ClientPort))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &openConn{conn, bufio.NewReader(conn)}
}

// post writes a job's POST.
func (c *openConn) post(t *testing.T, id, body string) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Deadline: %d\r\nContent-Length: %d\r\n\r\n%s",
		prefix, id, routeHost, clientDeadline.Milliseconds(), len(body), body); err != nil {
		t.Fatal(err)
	}
}

// status returns the status of the next answer.
func (c *openConn) status(t *testing.T) int {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(clientDeadline + clientMargin))
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		t.Errorf("no answer: %v", err)
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// freezeFor freezes an entry, calls play once all of its threads are stopped, and thaws it at
// the given time after that.
func freezeFor(t *testing.T, e *Host, frozen time.Duration, play func()) {
	t.Helper()
	if err := e.Freeze(); err != nil {
		t.Fatal(err)
	}
	harness.Eventually(t, time.Second, "the entry is stopped", func() bool { return allThreadsStopped(t, e.PID()) })
	thaw := time.Now().Add(frozen)
	play()
	time.Sleep(time.Until(thaw))
	if err := e.Thaw(); err != nil {
		t.Fatal(err)
	}
}

// Guards against an entry that wakes from a freeze and submits requests that it reads only
// then, as if they were new: their clients have sent the jobs to other entries, and the ends
// of their connections may arrive seconds later (review case 6).
func TestARequestThatWaitedUnreadAtAFrozenEntryStartsNothing(t *testing.T) {
	const taskMs = 2500
	c := Start(t, Options{Entries: 3, Agents: 4, Proxied: true})
	for _, role := range []string{"home", "other entry"} {
		for _, how := range []string{"new connection", "kept connection", "sent at the freeze"} {
			t.Run(role+", "+how, func(t *testing.T) {
				home, others := homeAndOthers(t, c)
				frozen, next := home, others[0]
				if role != "home" {
					frozen, next = others[0], home
				}
				id, body := NewJobID(), fake.Tasks(2, taskMs)
				var waiting *openConn
				if how != "new connection" {
					waiting = openTo(t, frozen)
					waiting.post(t, NewJobID(), fake.Tasks(1, 20))
					if status := waiting.status(t); status != http.StatusOK {
						t.Fatalf("before the freeze: status %d", status)
					}
				}
				if how == "sent at the freeze" {
					waiting.post(t, id, body)
				}
				again := make(chan fake.Answer, 1)
				freezeFor(t, frozen, fake.ResendAfter+700*time.Millisecond, func() {
					switch how {
					case "new connection":
						waiting = openTo(t, frozen)
						fallthrough
					case "kept connection":
						waiting.post(t, id, body)
					}
					time.Sleep(fake.ResendAfter)
					go func() { again <- c.Submit(next, id, body) }()
				})
				if status := waiting.status(t); status != http.StatusBadGateway {
					t.Errorf("the request that waited: status %d, want 502", status)
				}
				if a := <-again; !a.Completed() {
					t.Errorf("the job that was sent again: %+v", a)
				}
				for _, task := range c.Record.Overlapping() {
					t.Errorf("ran twice at the same time: %s", task)
				}
			})
		}
	}
}

// Guards against an entry that refuses, after a freeze, what comes once it has woken: on a
// connection that has been open since before, and on a new one.
func TestARequestThatComesAfterAFrozenEntryWokeIsServed(t *testing.T) {
	c := Start(t, Options{Entries: 3, Agents: 3, Proxied: true})
	home, _ := homeAndOthers(t, c)
	kept := openTo(t, home)
	kept.post(t, NewJobID(), fake.Tasks(1, 20))
	if status := kept.status(t); status != http.StatusOK {
		t.Fatalf("before the freeze: status %d", status)
	}
	idle := openTo(t, home)
	var early *openConn
	freezeFor(t, home, time.Second, func() { early = openTo(t, home) })
	harness.Eventually(t, time.Second, "the entry has noticed its pause", func() bool { return logged(home, "paused", "") })
	homeAndOthers(t, c)
	for name, conn := range map[string]*openConn{
		"kept connection": kept, "connection that was never used": idle, "connection made during the freeze": early, "new connection": openTo(t, home),
	} {
		conn.post(t, NewJobID(), fake.Tasks(1, 20))
		if status := conn.status(t); status != http.StatusOK {
			t.Errorf("%s: status %d", name, status)
		}
	}
}
