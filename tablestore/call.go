package tablestore

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const maxErrorBytes = 512 // most bytes of an answer's body that an error quotes

var errTooLarge = errors.New("the answer is over the limit")

// read sends a GET request. Every failure is ErrUnavailable, except that an absent
// object is ErrNotFound.
func (c *Client) read(ctx context.Context, path string, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := c.request(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, wrap(ErrUnavailable, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, wrap(ErrUnavailable, err)
	}
	defer closeBody(resp)
	if resp.StatusCode == http.StatusNotFound {
		return nil, statusError(ErrNotFound, resp)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(ErrUnavailable, resp)
	}
	body, err := readBounded(resp.Body, limit)
	if err != nil {
		return nil, wrap(ErrUnavailable, err)
	}
	return body, nil
}

// write sends a request that may take effect even if its answer is lost. A failure
// before there was a connection is ErrUnavailable, as nothing was sent.
func (c *Client) write(ctx context.Context, method, path, contentType string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.request(ctx, method, path, body)
	if err != nil {
		return wrap(ErrUnavailable, err)
	}
	req.Header.Set("Content-Type", contentType)
	resp, err := c.http.Do(req)
	if err != nil && !connected.Load() {
		return wrap(ErrUnavailable, err)
	}
	if err != nil {
		return wrap(ErrUnknown, err)
	}
	defer closeBody(resp)
	return writeStatus(resp)
}

// writeStatus returns the error that the status of a write's answer stands for, or
// nil if the write took effect.
func writeStatus(resp *http.Response) error {
	switch s := resp.StatusCode; {
	case s == http.StatusOK || s == http.StatusNoContent:
		return nil
	case s == http.StatusConflict:
		return statusError(ErrConflict, resp)
	case s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests:
		return statusError(ErrUnavailable, resp)
	case s >= http.StatusBadRequest && s < http.StatusInternalServerError:
		return statusError(ErrRefused, resp)
	default:
		return statusError(ErrUnknown, resp)
	}
}

func readBounded(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errTooLarge
	}
	return body, nil
}

// closeBody closes the body. It first reads a short remainder, so that the
// connection can be reused.
func closeBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxErrorBytes)
	_ = resp.Body.Close()
}

func statusError(kind error, resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	return wrapf(kind, "%s %s: %s %s", resp.Request.Method, resp.Request.URL.Path, resp.Status, text)
}

func wrap(kind, cause error) error { return eris.Wrap(kind, cause.Error()) }

func wrapf(kind error, format string, args ...any) error { return eris.Wrapf(kind, format, args...) }
