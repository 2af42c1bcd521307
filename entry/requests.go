package entry

import (
	"context"
	"net/http"
	"sync/atomic"
)

// openRequests counts the callers' requests that are not answered yet, so that a
// stop can wait for them, and ends their wait when the stop timeout has passed.
type openRequests struct {
	count   atomic.Int64
	aborted context.Context //nolint:containedctx // ends the wait of every request
	abort   context.CancelFunc
}

func newOpenRequests() openRequests {
	aborted, abort := context.WithCancel(context.Background())
	return openRequests{aborted: aborted, abort: abort}
}

// counted wraps a handler of callers' requests.
func (o *openRequests) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o.count.Add(1)
		defer o.count.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// withAbort returns a context that ends with ctx or when the entry aborts the
// requests that are still open.
func (o *openRequests) withAbort(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	unwatch := context.AfterFunc(o.aborted, cancel)
	return ctx, func() {
		unwatch()
		cancel()
	}
}
