package agent

import (
	"time"

	"bergamotwing.example/wire"
)

// clock reads the monotonic time since the agent's start. It goes on while the
// process is stopped by a signal.
type clock struct{ start time.Time }

func newClock() clock { return clock{start: time.Now()} }

// now returns the time since shortly before the agent's start; it is never 0.
func (c clock) now() time.Duration { return time.Since(c.start) + time.Millisecond }

// millis returns the reading that is sent on links.
func (c clock) millis() int64 { return c.now().Milliseconds() }

// entryRun names one run of an entry.
type entryRun struct {
	id          string
	incarnation wire.Incarnation
}

func issuerOf(t wire.TicketID) entryRun {
	return entryRun{id: t.Entry, incarnation: t.Incarnation}
}
