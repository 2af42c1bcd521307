package connlimit

import "time"

// phase is how far a connection's request is.
type phase int

const (
	phaseNew    phase = iota // no byte has been read
	phaseHeader              // a byte of a header has been read
	phaseBody                // of a body that is not whole, or a link without a hello
	phaseOpen                // the request is whole and not answered yet, or the link is open
	phaseIdle                // all requests are answered
)

// holding is what a decision needs to know of a connection.
type holding struct {
	phase phase
	since time.Duration // when the phase began
	held  int64         // bytes
	known bool          // the other side is a known member
	ahead bool          // a byte of the request after the open one has been read
}

// hurry is how long an unfinished request or link may take before it is closed rather
// than an idle connection: clients write theirs as soon as they connect.
const hurry = 500 * time.Millisecond

// unfinished reports whether the process waits for the rest of a request.
func (h holding) unfinished() bool { return h.phase != phaseOpen && h.phase != phaseIdle }

// rank orders connections for closing when there are too many; 0: not to be closed.
func (h holding) rank(now time.Duration) int {
	switch {
	case h.phase == phaseOpen:
		return 0
	case h.phase == phaseIdle:
		return 3
	case h.known:
		return 1
	case now-h.since < hurry:
		return 2
	default:
		return 4
	}
}

// closeForRoom returns which connection makes room for a new one, or -1: one whose request
// has been unfinished for long, else the longest idle, else the oldest unfinished one.
func closeForRoom(now time.Duration, conns []holding) int {
	chosen, highest, since := -1, 0, time.Duration(0)
	for i, h := range conns {
		r := h.rank(now)
		if r > highest || r > 0 && r == highest && h.since < since {
			chosen, highest, since = i, r, h.since
		}
	}
	return chosen
}

// closeUnfinished returns which unfinished connection makes room for a new one, or -1: the
// oldest, of known members only if there is no other.
func closeUnfinished(conns []holding) int {
	chosen, oldest := -1, holding{}
	for i, h := range conns {
		if !h.unfinished() {
			continue
		}
		if chosen < 0 || oldest.known && !h.known || oldest.known == h.known && h.since < oldest.since {
			chosen, oldest = i, h
		}
	}
	return chosen
}

// closeForBytes returns which connection's bytes are released for others, or -1: the one
// whose request, unfinished or sent ahead of an answer, holds the most for the longest.
func closeForBytes(now time.Duration, conns []holding) int {
	chosen, most := -1, 0.0
	for i, h := range conns {
		if !h.unfinished() && !h.ahead || h.held == 0 {
			continue
		}
		if weight := float64(h.held) * (now - h.since + time.Millisecond).Seconds(); weight > most {
			chosen, most = i, weight
		}
	}
	return chosen
}
