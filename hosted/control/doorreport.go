package control

import (
	"sync"
	"time"

	"bergamotwing.example/hosted/door"
)

// doorLogEvery is the time between two log lines for the same bound of a listener: a crowd
// meets it very often.
const doorLogEvery = time.Second

// DoorReport counts and logs what a door closes and refuses.
type DoorReport struct {
	deps Deps

	mu   sync.Mutex
	seen map[doorBound]*doorSeen
}

type doorBound struct {
	listener string
	why      door.Reason
}

type doorSeen struct {
	logged time.Time
	since  int // connections and requests since then
}

// NewDoorReport returns a report without any entry.
func NewDoorReport(deps Deps) *DoorReport {
	return &DoorReport{deps: deps, seen: map[doorBound]*doorSeen{}}
}

// Closed takes note of a connection that was closed, or a request that was refused.
func (r *DoorReport) Closed(listener string, why door.Reason) {
	r.deps.Metrics.Count("bergamotwing_door_"+string(why)+"_total", "Connections closed and requests refused at this bound on what clients hold.", 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	bound := doorBound{listener, why}
	seen := r.seen[bound]
	if seen == nil {
		seen = &doorSeen{}
		r.seen[bound] = seen
	}
	seen.since++
	if time.Since(seen.logged) < doorLogEvery {
		return
	}
	r.deps.Log.Warn().Str("event", "door_closed").Str("listener", listener).Str("bound", string(why)).Int("count", seen.since).Msg("connections closed or requests refused at a bound")
	seen.logged, seen.since = time.Now(), 0
}
