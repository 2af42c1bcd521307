package control

import (
	"sync"
	"time"

	"bergamotwing.example/hosted/connlimit"
)

// limitLogEvery is the time between two log lines for the same bound of a listener: a crowd
// meets it very often.
const limitLogEvery = time.Second

// LimitReport counts and logs what a limiter closes and refuses.
type LimitReport struct {
	deps Deps

	mu   sync.Mutex
	seen map[reportedBound]*boundSeen
}

type reportedBound struct {
	listener string
	why      connlimit.Reason
}

type boundSeen struct {
	logged time.Time
	since  int // connections and requests since then
}

// NewLimitReport returns a report without any entry.
func NewLimitReport(deps Deps) *LimitReport {
	return &LimitReport{deps: deps, seen: map[reportedBound]*boundSeen{}}
}

// Closed takes note of a connection that was closed, or a request that was refused.
func (r *LimitReport) Closed(listener string, why connlimit.Reason) {
	r.deps.Metrics.Count("bergamotwing_connlimit_"+string(why)+"_total", "Connections closed and requests refused at this bound on what clients hold.", 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	bound := reportedBound{listener, why}
	seen := r.seen[bound]
	if seen == nil {
		seen = &boundSeen{}
		r.seen[bound] = seen
	}
	seen.since++
	if time.Since(seen.logged) < limitLogEvery {
		return
	}
	r.deps.Log.Warn().Str("event", "connection_limited").Str("listener", listener).Str("bound", string(why)).Int("count", seen.since).Msg("connections closed or requests refused at a bound")
	seen.logged, seen.since = time.Now(), 0
}
