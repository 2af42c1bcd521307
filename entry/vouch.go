package entry

import (
	"slices"
	"sync"
	"time"

	"bergamotwing.example/release"
	"bergamotwing.example/wire"
)

// clockRing remembers when which clock readings of another process arrived, so
// that a moment here can be turned into a reading there that is not later.
type clockRing struct {
	mu    sync.Mutex
	at    [clockRingSize]time.Time
	clock [clockRingSize]int64
	next  int
}

const (
	clockRingSize = 24
	clockRingStep = 80 * time.Millisecond // times the size covers the vouch lifetime
)

// heard notes a clock reading that has just arrived.
func (r *clockRing) heard(clock int64, now time.Time) {
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

// knownAt returns the moment at which the version in force was last known to be
// current, and false if that is too long ago to vouch for it.
func (c *control) knownAt() (time.Time, bool) {
	ns := c.known.Load()
	if ns == 0 {
		return time.Time{}, false
	}
	at := c.e.start.Add(time.Duration(ns))
	return at, time.Since(at) <= release.ConfirmationLifetime
}

// raiseKnown notes that the version in force was current at a moment. Agents
// that wait for a renewal get it.
func (c *control) raiseKnown(at time.Time) {
	ns := int64(at.Sub(c.e.start)) + 1
	for {
		old := c.known.Load()
		if old >= ns {
			return
		}
		if c.known.CompareAndSwap(old, ns) {
			break
		}
	}
	c.e.agents.each(func(a *agentLink) { c.e.answerPing(a) })
}

// vouch returns the vouch for a process whose clock readings are in ring, or
// the zero vouch.
func (c *control) vouch(ring *clockRing) wire.Confirmation {
	at, ok := c.knownAt()
	version := c.view().version()
	if !ok || version == 0 {
		return wire.Confirmation{}
	}
	return wire.Confirmation{Version: version, Echo: ring.before(at)}
}

// vouchedBy notes a peer's vouch: the version was current when this entry's
// clock read echo.
func (c *control) vouchedBy(v wire.Confirmation) {
	// Another version than the one in force here says nothing about it.
	if v.Echo == 0 || v.Version != c.view().version() {
		return
	}
	c.raiseKnown(c.e.start.Add(time.Duration(v.Echo-1) * time.Millisecond))
}

// confirmByMajority raises the known moment to the one by which a majority of
// the entries had reported no higher version. A note is accepted
// only when a majority has it, so no later note can have been accepted by then.
//
// A run that is not registered does not count: it has forgotten what the run
// before it had confirmed, and may not have read the store since.
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
		c.raiseKnown(c.e.start.Add(time.Duration(at-1) * time.Millisecond))
	}
}

// reported returns the moment, on this entry's clock, at which a registered run
// had the version as its newest, and false if it did not say so.
func (c *control) reported(run wire.Peer, version uint64) (int64, bool) {
	if run.ID == c.e.self.ID {
		return c.e.clock(), run.Incarnation == c.e.self.Incarnation
	}
	p := c.e.peers.get(run.ID)
	if p == nil || p.incarnation != run.Incarnation {
		return 0, false
	}
	report := p.report.Load()
	return report.echo, report.version == version
}
