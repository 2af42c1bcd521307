package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Settings of the client's own HTTP transport.
const (
	dialTimeout         = 2 * time.Second
	idleConnTimeout     = 90 * time.Second
	maxIdleConnsPerHost = 1024
	transportBufferSize = 32 << 10
)

// caller makes single HTTP calls to entries.
type caller struct {
	bases []string
	token string
	http  *http.Client
}

// callError is the error of a call without a usable answer.
type callError struct {
	sent bool // the request may have reached the entry
	err  error
}

func (e *callError) Error() string { return e.err.Error() }
func (e *callError) Unwrap() error { return e.err }

func newCaller(bases []string, token string, tlsConfig *tls.Config, hc *http.Client) *caller {
	if hc == nil {
		hc = newHTTPClient(tlsConfig)
	}
	return &caller{bases: bases, token: token, http: hc}
}

func newHTTPClient(tlsConfig *tls.Config) *http.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig:     tlsConfig,
		ForceAttemptHTTP2:   true,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		ReadBufferSize:      transportBufferSize,
		WriteBufferSize:     transportBufferSize,
		DisableCompression:  true,
	}
	return &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// call sends one request and returns its decoded JSON answer and HTTP status.
func call[T any](ctx context.Context, c *caller, entry int, method, path string, body []byte) (*T, int, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.bases[entry]+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, &callError{err: err}
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, &callError{sent: mayHaveSent(err), err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	answer := new(T)
	if err := decodeBody(resp.Body, answer); err != nil {
		return nil, resp.StatusCode, &callError{sent: true, err: fmt.Errorf("answer with status %d: %w", resp.StatusCode, err)}
	}
	return answer, resp.StatusCode, nil
}

// decodeBody decodes a body that holds exactly one JSON value. It reads to the
// end of the body, so that the connection can be used again.
func decodeBody(body io.Reader, into any) error {
	dec := json.NewDecoder(body)
	if err := dec.Decode(into); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more data after the answer")
	}
	return nil
}

// mayHaveSent reports whether a failed request may have left this process. It
// cannot have left if no connection was made.
func mayHaveSent(err error) bool {
	var op *net.OpError
	return !errors.As(err, &op) || op.Op != "dial"
}
