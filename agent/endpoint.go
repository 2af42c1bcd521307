package agent

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"bergamotwing.example/result"
	"bergamotwing.example/settings"
	"bergamotwing.example/wire"
)

// Limits of calls to the endpoint.
const (
	maxResultBody       = 4 << 20 // bytes
	maxErrorBody        = 4 << 10 // bytes
	endpointDialTimeout = 500 * time.Millisecond
	endpointIdleTimeout = 90 * time.Second
)

// Headers of a task's request.
const (
	headerTask       = "Bergamotwing-Task"       // entry/incarnation in hex/sequence number/index
	headerAttempt    = "Bergamotwing-Attempt"    // from 1
	headerStartBy    = "Bergamotwing-Start-By"   // Unix milliseconds
	headerIdempotent = "Bergamotwing-Idempotent" // true or false
)

// headerStarted is set to startedFalse by an endpoint that refuses a task
// without starting it. Without the header, any answer may be that of a started
// task.
const (
	headerStarted = "Bergamotwing-Started"
	startedFalse  = "false"
)

const taskPath = "/task"

// errCancelled is the cause of a task's cancelled context when an entry cancelled
// the task's ticket.
var errCancelled = eris.New("the ticket was cancelled")

// call is one request to the endpoint.
type call struct {
	grant    *wire.Grant
	startBy  time.Time
	mayStart func() result.Code // called again right before the first byte is sent
}

// outcome is the result of a call. If notStarted is not OK, it is the reason why
// the task provably did not start: nothing was sent, or the endpoint said so.
type outcome struct {
	notStarted  result.Code
	unreachable bool
	busy        bool
	code        result.Code
	body        []byte
}

// endpoint sends tasks to the endpoint beside the agent.
type endpoint struct {
	target    *url.URL
	transport *http.Transport
}

func newEndpoint(cfg settings.Agent) (*endpoint, error) {
	target, err := url.Parse(strings.TrimSuffix(cfg.Endpoint, "/") + taskPath)
	if err != nil {
		return nil, result.Errorf(result.BadSettings, "endpoint: %v", err)
	}
	plain := &net.Dialer{Timeout: endpointDialTimeout}
	encrypted := &tls.Dialer{NetDialer: plain}
	return &endpoint{
		target: target,
		transport: &http.Transport{
			DialContext:         guarded(plain.DialContext, false),
			DialTLSContext:      guarded(encrypted.DialContext, true),
			MaxConnsPerHost:     cfg.Connections,
			MaxIdleConns:        cfg.Connections,
			MaxIdleConnsPerHost: cfg.Connections,
			IdleConnTimeout:     endpointIdleTimeout,
			DisableCompression:  true,
		},
	}, nil
}

func (e *endpoint) close() { e.transport.CloseIdleConnections() }

// do sends the task and reads the answer. It sends at most one request.
func (e *endpoint) do(ctx context.Context, c call) outcome {
	guard := &sendGuard{mayStart: c.mayStart}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*guardedConn); ok {
				conn.guard.Store(guard)
			}
		},
	})
	resp, err := e.transport.RoundTrip(e.request(ctx, c))
	if err != nil {
		return failedOutcome(ctx, guard)
	}
	defer func() { _ = resp.Body.Close() }()
	return readAnswer(ctx, resp)
}

// request builds the request. Its body cannot be rewound, so that net/http never
// resends it by itself.
func (e *endpoint) request(ctx context.Context, c call) *http.Request {
	g := c.grant
	header := http.Header{
		headerTask:       {taskName(g.Task)},
		headerAttempt:    {strconv.Itoa(g.Attempt)},
		headerStartBy:    {strconv.FormatInt(c.startBy.UnixMilli(), 10)},
		headerIdempotent: {strconv.FormatBool(g.Idempotent)},
		"Content-Type":   {"application/octet-stream"},
	}
	req := &http.Request{
		Method:        http.MethodPost,
		URL:           e.target,
		Host:          e.target.Host,
		Header:        header,
		Body:          http.NoBody,
		ContentLength: int64(len(g.Payload)),
	}
	if len(g.Payload) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(g.Payload))
	}
	return req.WithContext(ctx)
}

// failedOutcome returns the outcome of a call that got no answer. It distinguishes
// a request that was never sent from one that the endpoint may have carried out.
func failedOutcome(ctx context.Context, guard *sendGuard) outcome {
	if !guard.abandon() {
		return outcome{code: failureCode(ctx)}
	}
	switch {
	case guard.denied() != result.OK:
		return outcome{notStarted: guard.denied()}
	case errors.Is(context.Cause(ctx), errCancelled):
		return outcome{notStarted: result.StartTooLate}
	default:
		return outcome{notStarted: result.EndpointUnreachable, unreachable: true}
	}
}

func failureCode(ctx context.Context) result.Code {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errCancelled):
		return result.Cancelled
	case errors.Is(cause, context.DeadlineExceeded):
		return result.EndpointTimeout
	default:
		return result.TaskFailed
	}
}

func readAnswer(ctx context.Context, resp *http.Response) outcome {
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
		_, _ = io.CopyN(io.Discard, resp.Body, maxErrorBody)
		if resp.Header.Get(headerStarted) == startedFalse {
			return refusedOutcome(resp.StatusCode)
		}
		return outcome{code: result.TaskFailed, body: detail}
	}
	if resp.ContentLength > maxResultBody {
		return outcome{code: result.ResultTooLarge}
	}
	body, err := readBody(resp)
	switch {
	case err != nil:
		return outcome{code: failureCode(ctx)}
	case len(body) > maxResultBody:
		return outcome{code: result.ResultTooLarge}
	}
	return outcome{code: result.OK, body: body}
}

// refusedOutcome returns the outcome of a task that the endpoint refused to start.
func refusedOutcome(status int) outcome {
	if status == http.StatusPreconditionFailed {
		return outcome{notStarted: result.StartTooLate}
	}
	return outcome{notStarted: result.EndpointBusy, busy: true}
}

// readBody reads a body of known length, or else at most one byte more than a
// result may have.
func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 {
		return io.ReadAll(io.LimitReader(resp.Body, maxResultBody+1))
	}
	body := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, body)
	return body, err
}

func taskName(t wire.TaskRef) string {
	b := make([]byte, 0, 64)
	b = append(b, t.Ticket.Entry...)
	b = append(b, '/')
	b = strconv.AppendUint(b, uint64(t.Ticket.Incarnation), 16)
	b = append(b, '/')
	b = strconv.AppendUint(b, t.Ticket.Seq, 10)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(t.Index), 10)
	return string(b)
}
