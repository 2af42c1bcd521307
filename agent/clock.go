package agent

import (
	"time"

	"bergamotwing.example/wire"
)

// clock reads the monotonic time since the agent's start. The clock keeps running
// while the process is stopped by a signal.
type clock struct{ start time.Time }

func newClock() clock { return clock{start: time.Now()} }

// now returns the time since shortly before the agent's start; it is never 0.
func (c clock) now() time.Duration { return time.Since(c.start) + time.Millisecond }

// millis returns the reading that is sent on links.
func (c clock) millis() int64 { return c.now().Milliseconds() }

// entryIncarnation identifies one incarnation of an entry.
type entryIncarnation struct {
	id          string
	incarnation wire.Incarnation
}

func issuerOf(t wire.TicketID) entryIncarnation {
	return entryIncarnation{id: t.Entry, incarnation: t.Incarnation}
}
