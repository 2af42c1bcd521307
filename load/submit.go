package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"bergamotwing.example/client/api"
	"bergamotwing.example/result"
)

// Submitter submits a caller's job to an entry and returns the answer. A
// Submitter must be safe for concurrent use.
type Submitter interface {
	Submit(ctx context.Context, caller, entry int, job api.Job) (api.Answer, error)
}

// ticketsPerCall is how many tickets a caller requests at a time.
const ticketsPerCall = 50

// httpSubmitter submits through net/http; each caller has its own client and
// keeps unused tickets for each entry and service.
type httpSubmitter struct {
	entries []string
	callers []*httpCaller
}

// ticketKey identifies a caller's unused tickets of one entry and service.
type ticketKey struct {
	entry   int
	service string
}

type httpCaller struct {
	client  *http.Client
	mu      sync.Mutex
	tickets map[ticketKey][]string
}

// newHTTPSubmitter returns the default Submitter.
func newHTTPSubmitter(entries []string, callers int, timeout time.Duration) *httpSubmitter {
	s := &httpSubmitter{entries: entries}
	for range callers {
		transport := &http.Transport{MaxIdleConnsPerHost: ticketsPerCall}
		s.callers = append(s.callers, &httpCaller{
			client:  &http.Client{Transport: transport, Timeout: timeout},
			tickets: map[ticketKey][]string{},
		})
	}
	return s
}

// Submit submits a job under a ticket of the entry.
func (s *httpSubmitter) Submit(ctx context.Context, caller, entry int, job api.Job) (api.Answer, error) {
	c, base := s.callers[caller], s.entries[entry]
	ticket, err := c.ticket(ctx, base, ticketKey{entry: entry, service: job.Service})
	if err != nil {
		return api.Answer{}, err
	}
	body, err := json.Marshal(job)
	if err != nil {
		return api.Answer{}, eris.Wrap(err, "encode job")
	}
	var answer api.Answer
	err = call(ctx, c.client, http.MethodPut, base+api.PathJobs+"/"+ticket, "", body, &answer)
	return answer, err
}

func (s *httpSubmitter) close() {
	for _, c := range s.callers {
		c.client.CloseIdleConnections()
	}
}

func (c *httpCaller) ticket(ctx context.Context, base string, key ticketKey) (string, error) {
	if ticket, ok := c.take(key); ok {
		return ticket, nil
	}
	var more struct {
		api.Tickets
		api.Answer // of a refusal
	}
	target := fmt.Sprintf("%s%s?count=%d&service=%s", base, api.PathTickets, ticketsPerCall, url.QueryEscape(key.service))
	if err := call(ctx, c.client, http.MethodPost, target, "", nil, &more); err != nil {
		return "", err
	}
	if len(more.Tickets.Tickets) == 0 {
		return "", result.Errorf(more.Code, "no tickets: %s", more.Detail)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets[key] = append(c.tickets[key], more.Tickets.Tickets[1:]...)
	return more.Tickets.Tickets[0], nil
}

func (c *httpCaller) take(key ticketKey) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.tickets[key]
	if len(kept) == 0 {
		return "", false
	}
	c.tickets[key] = kept[:len(kept)-1]
	return kept[len(kept)-1], true
}

// call makes one HTTP call and decodes the JSON answer, whatever its status.
func call(ctx context.Context, client *http.Client, method, url, token string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "request")
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := client.Do(req)
	if err != nil {
		return eris.Wrap(err, "call")
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrap(err, "read answer")
	}
	return eris.Wrapf(json.Unmarshal(answer, out), "answer with status %d", resp.StatusCode)
}
