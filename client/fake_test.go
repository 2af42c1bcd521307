package client

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotwing.example/client/api"
	"bergamotwing.example/result"
)

// reply answers one submission.
type reply func(w http.ResponseWriter, ticket string)

// fakeEntry answers submissions with its replies in turn, then with complete answers.
type fakeEntry struct {
	url     string
	mu      sync.Mutex
	issued  int
	replies []reply
	calls   []string // method and ticket
}

// newFake starts an entry that issues tickets with its name as prefix.
func newFake(t *testing.T, name string, replies ...reply) *fakeEntry {
	t.Helper()
	f := &fakeEntry{replies: replies}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tickets", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.issued++
		writeJSON(w, http.StatusOK, api.Tickets{Tickets: []string{fmt.Sprintf("%s-%d", name, f.issued)}})
	})
	mux.HandleFunc("/v1/", func(w http.ResponseWriter, r *http.Request) {
		ticket := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
		f.next(r.Method+" "+ticket+r.URL.RawQuery)(w, ticket)
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	f.url = s.URL
	return f
}

func (f *fakeEntry) next(call string) reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, call)
	if len(f.replies) == 0 {
		return complete
	}
	r := f.replies[0]
	f.replies = f.replies[1:]
	return r
}

func (f *fakeEntry) received() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.calls...)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func complete(w http.ResponseWriter, ticket string) {
	writeJSON(w, http.StatusOK, api.Answer{Ticket: ticket, Started: 1, Tasks: 1, Results: [][]byte{[]byte("done " + ticket)}})
}

func loseAnswer(http.ResponseWriter, string) { panic(http.ErrAbortHandler) }

func refuse(code result.Code) reply {
	return func(w http.ResponseWriter, ticket string) {
		writeJSON(w, result.Lookup(code).HTTPStatus, api.Answer{Code: code, Name: code.String(), Ticket: ticket})
	}
}

// refuseUnnamed refuses a request without naming its ticket, as an entry does that
// has not read the ticket.
func refuseUnnamed(code result.Code) reply {
	return func(w http.ResponseWriter, _ string) {
		writeJSON(w, result.Lookup(code).HTTPStatus, api.Answer{Code: code, Name: code.String()})
	}
}

func raw(status int, body string) reply {
	return func(w http.ResponseWriter, _ string) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func redirect(w http.ResponseWriter, _ string) {
	w.Header().Set("Location", "/v1/elsewhere")
	w.WriteHeader(http.StatusTemporaryRedirect)
}

func repeated(r reply, count int) []reply {
	all := make([]reply, count)
	for i := range all {
		all[i] = r
	}
	return all
}

// newTestClient returns a client with short back-offs that takes one ticket at a time.
func newTestClient(t *testing.T, change func(*Config), fakes ...*fakeEntry) *Client {
	t.Helper()
	cfg := Config{
		TicketPack: 1, MaxAttempts: 4, BackoffMin: time.Millisecond, BackoffMax: 2 * time.Millisecond,
		Rand: func() float64 { return 0 },
	}
	for _, f := range fakes {
		cfg.Entries = append(cfg.Entries, f.url)
	}
	if change != nil {
		change(&cfg)
	}
	c, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func oneTask() api.Job {
	return api.Job{Service: "postlink", DeadlineMS: 5000, Tasks: []api.Task{{Payload: []byte("x")}}}
}
