package entry

import (
	"context"
	"net/http"
	"sync/atomic"
)

// openRequests counts the callers' requests that are not answered yet, so that a
// stop can wait for them, and ends their wait when the stop timeout has passed.
type openRequests struct {
	count       atomic.Int64
	waitEnded   context.Context //nolint:containedctx // ends the wait of every request
	stopWaiting context.CancelFunc
}

func newOpenRequests() openRequests {
	waitEnded, stopWaiting := context.WithCancel(context.Background())
	return openRequests{waitEnded: waitEnded, stopWaiting: stopWaiting}
}

// counted wraps a handler of callers' requests.
func (o *openRequests) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o.count.Add(1)
		defer o.count.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// withStop returns a context that ends with ctx or when the entry stops waiting for
// the open requests; each is then answered that its outcome is unknown.
func (o *openRequests) withStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	unwatch := context.AfterFunc(o.waitEnded, cancel)
	return ctx, func() {
		unwatch()
		cancel()
	}
}
