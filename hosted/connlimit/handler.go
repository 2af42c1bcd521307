package connlimit

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// handler has the limiter follow the requests of its connections.
type handler struct {
	limiter *Limiter
	next    http.Handler
}

// ServeHTTP implements http.Handler.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	if c == nil {
		h.next.ServeHTTP(w, r)
		return
	}
	c.begin(r)
	fields := 0
	for _, values := range r.Header {
		fields += len(values)
	}
	if fields > h.limiter.limits.Fields {
		h.limiter.report(c.kind.Name, Fields)
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = &body{ReadCloser: r.Body, conn: c}
	}
	h.next.ServeHTTP(w, r)
}

// body notes when a request's body has been read to its end.
type body struct {
	io.ReadCloser

	conn *conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.whole()
	}
	return n, err //nolint:wrapcheck // as of the body
}

// Hold replaces what a request's body holds by the given bytes, until the request is
// answered. It returns false if there is no room for them.
func Hold(request context.Context, bytes int64) bool {
	c := connOf(request)
	if c == nil {
		return true
	}
	d := c.limiter
	d.mu.Lock()
	defer d.unlock()
	if d.hold(c, c.request+bytes) {
		return true
	}
	if _, ok := d.conns[c]; ok {
		_ = d.hold(c, c.request)
		d.note(c, Refused)
	}
	return false
}

// Linked notes that the other side of a link has said hello.
func Linked(request context.Context) {
	c := connOf(request)
	if c == nil {
		return
	}
	c.whole()
	c.limiter.mu.Lock()
	defer c.limiter.unlock()
	_ = c.limiter.hold(c, 0)
}
