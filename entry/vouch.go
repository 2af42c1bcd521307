package entry

import (
	"slices"
	"sync"
	"time"

	"bergamotwing.example/release"
	"bergamotwing.example/wire"
)

// clockRing keeps clock readings of another process with their times of arrival
// here. It maps a moment on this entry's clock to a reading of the other
// process's clock that was taken no later than that moment.
type clockRing struct {
	mu    sync.Mutex
	at    [clockRingSize]time.Time
	clock [clockRingSize]int64
	next  int
}

const (
	clockRingSize = 24
	clockRingStep = 80 * time.Millisecond // shortest time between two readings kept; multiplied by the size, covers release.ConfirmationLifetime
)

// add records a clock reading that has just arrived.
func (r *clockRing) add(clock int64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := (r.next + clockRingSize - 1) % clockRingSize
	if clock <= r.clock[last] || now.Sub(r.at[last]) < clockRingStep {
		return
	}
	r.at[r.next], r.clock[r.next] = now, clock
	r.next = (r.next + 1) % clockRingSize
}

// before returns the newest reading that had arrived by t, or 0.
func (r *clockRing) before(t time.Time) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best int64
	for i := range r.at {
		if r.clock[i] > best && !r.at[i].After(t) {
			best = r.clock[i]
		}
	}
	return best
}

// confirmedAt returns the moment at which the version in force was last known to be
// current, and false if that is too long ago to confirm the version to others.
func (c *control) confirmedAt() (time.Time, bool) {
	ns := c.lastConfirmed.Load()
	if ns == 0 {
		return time.Time{}, false
	}
	at := c.e.start.Add(time.Duration(ns))
	return at, time.Since(at) <= release.ConfirmationLifetime
}

// raiseConfirmed records that the version in force was current at a moment. It
// answers the agents that wait for a renewal of their permission.
func (c *control) raiseConfirmed(at time.Time) {
	ns := int64(at.Sub(c.e.start)) + 1
	for {
		old := c.lastConfirmed.Load()
		if old >= ns {
			return
		}
		if c.lastConfirmed.CompareAndSwap(old, ns) {
			break
		}
	}
	c.e.agents.each(func(a *agentLink) { c.e.answerPing(a) })
}

// confirmation returns the confirmation of the version in force for the process
// whose clock readings are in ring. It is zero if there is no version, or if the
// version was last known to be current too long ago.
func (c *control) confirmation(ring *clockRing) wire.Confirmation {
	at, ok := c.confirmedAt()
	version := c.view().version()
	if !ok || version == 0 {
		return wire.Confirmation{}
	}
	return wire.Confirmation{Version: version, Echo: ring.before(at)}
}

// handleConfirmation handles a peer's confirmation: the version was current when
// this entry's clock read m.Echo.
func (c *control) handleConfirmation(m wire.Confirmation) {
	// A confirmation of another version says nothing about the version in force.
	if m.Echo == 0 || m.Version != c.view().version() {
		return
	}
	c.raiseConfirmed(c.e.start.Add(time.Duration(m.Echo-1) * time.Millisecond))
}

// confirmByMajority raises the confirmed moment to the latest one at which a
// majority of the entries, by their reports, had no newer version. A note is
// accepted only when a majority has it, so no later note can have been accepted
// by that moment.
//
// An incarnation that is not registered does not count: it has lost the versions
// that the incarnation before it had acknowledged, and may not have read the
// store since it started.
func (c *control) confirmByMajority() {
	v := c.view()
	if v.State == nil || len(v.Registered) == 0 {
		return
	}
	echoes := make([]int64, 0, len(v.Registered))
	for _, r := range v.Registered {
		if echo, ok := c.reported(r, v.version()); ok {
			echoes = append(echoes, echo)
		}
	}
	majority := len(v.Members)/2 + 1
	if len(echoes) < majority {
		return
	}
	slices.Sort(echoes)
	if at := echoes[len(echoes)-majority]; at > 0 {
		c.raiseConfirmed(c.e.start.Add(time.Duration(at-1) * time.Millisecond))
	}
}

// reported returns the moment, on this entry's clock, at which a registered
// incarnation had the version as its newest, and false if that incarnation is not
// linked or last reported another version.
func (c *control) reported(registered wire.Peer, version uint64) (int64, bool) {
	if registered.ID == c.e.self.ID {
		return c.e.clock(), registered.Incarnation == c.e.self.Incarnation
	}
	p := c.e.peers.get(registered.ID)
	if p == nil || p.incarnation != registered.Incarnation {
		return 0, false
	}
	report := p.report.Load()
	return report.echo, report.version == version
}
