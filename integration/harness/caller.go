package harness

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"bergamotwing.example/client/api"
)

// callTimeout bounds one call, including reading the answer.
const callTimeout = 60 * time.Second

// Caller calls entries over HTTP. Each Caller has its own connections.
type Caller struct {
	http  *http.Client
	token string
}

// NewCaller returns a Caller for plain HTTP. token is the operator token; it may be empty.
func NewCaller(token string) *Caller { return NewTLSCaller(token, nil) }

// NewTLSCaller returns a Caller that uses config for TLS. config is nil for plain HTTP.
func NewTLSCaller(token string, config *tls.Config) *Caller {
	return &Caller{http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{TLSClientConfig: config}}, token: token}
}

// Close closes idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Ticket requests from the entry at base one ticket that this entry issued itself.
func (c *Caller) Ticket(ctx context.Context, base string) (string, error) {
	return c.TicketFor(ctx, base, "")
}

// TicketFor requests one ticket for jobs of a service from the entry at base.
func (c *Caller) TicketFor(ctx context.Context, base, service string) (string, error) {
	var out api.Tickets
	if err := c.call(ctx, http.MethodPost, base+api.PathTickets+"?count=1&service="+service, nil, &out); err != nil {
		return "", err
	}
	if len(out.Tickets) != 1 {
		return "", eris.Errorf("got %d tickets, want 1", len(out.Tickets))
	}
	return out.Tickets[0], nil
}

// Submit submits a job under a ticket and waits for its answer.
func (c *Caller) Submit(ctx context.Context, base, ticket string, job api.Job) (api.Answer, error) {
	var out api.Answer
	err := c.call(ctx, http.MethodPut, jobURL(base, ticket), job, &out)
	return out, err
}

// Get returns what is known of a job.
func (c *Caller) Get(ctx context.Context, base, ticket string) (api.Answer, error) {
	var out api.Answer
	err := c.call(ctx, http.MethodGet, jobURL(base, ticket), nil, &out)
	return out, err
}

// Cancel cancels a job.
func (c *Caller) Cancel(ctx context.Context, base, ticket string) (api.Answer, error) {
	var out api.Answer
	err := c.call(ctx, http.MethodDelete, jobURL(base, ticket), nil, &out)
	return out, err
}

// Note posts a release note to the operator listener at base.
func (c *Caller) Note(ctx context.Context, base string, note any) (api.NoteAnswer, error) {
	var out api.NoteAnswer
	err := c.call(ctx, http.MethodPost, base+api.PathNotes, note, &out)
	return out, err
}

// ZoneOut takes a zone out of service.
func (c *Caller) ZoneOut(ctx context.Context, base, zone string) (api.NoteAnswer, error) {
	return c.zone(ctx, base, zone, "out")
}

// ZoneBack puts a zone back into service.
func (c *Caller) ZoneBack(ctx context.Context, base, zone string) (api.NoteAnswer, error) {
	return c.zone(ctx, base, zone, "back")
}

// Status returns an entry's view of the deployment.
func (c *Caller) Status(ctx context.Context, base string) (api.Status, error) {
	var out api.Status
	err := c.call(ctx, http.MethodGet, base+api.PathStatus, nil, &out)
	return out, err
}

// Ready reports whether a GET of url returns status 200.
func (c *Caller) Ready(ctx context.Context, url string) bool {
	return c.call(ctx, http.MethodGet, url, nil, nil) == nil
}

func (c *Caller) zone(ctx context.Context, base, zone, action string) (api.NoteAnswer, error) {
	var out api.NoteAnswer
	err := c.call(ctx, http.MethodPost, fmt.Sprintf("%s%s/%s/%s", base, api.PathZones, zone, action), nil, &out)
	return out, err
}

func jobURL(base, ticket string) string { return base + api.PathJobs + "/" + ticket }

// call sends in as JSON and decodes the response body into out whatever the
// status, since a refusal has an answer in its body too. If out is nil, any status
// but 200 is an error.
func (c *Caller) call(ctx context.Context, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return eris.Wrap(err, "encode")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return eris.Wrap(err, "request")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req) //nolint:gosec // the tests' own processes
	if err != nil {
		return eris.Wrap(err, "call")
	}
	defer func() { _ = resp.Body.Close() }()
	if out != nil {
		return eris.Wrapf(json.NewDecoder(resp.Body).Decode(out), "%s %s: status %d", method, url, resp.StatusCode)
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s %s: status %d", method, url, resp.StatusCode)
	}
	return nil
}
