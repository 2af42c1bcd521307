package agent

import "time"

// recentGrantWindow is how long after a grant an entry counts as one that grants
// work here.
const recentGrantWindow = 2 * time.Second

// holder is the slot table's state of a linked entry.
type holder struct {
	held         int           // credits it holds
	lastReceived time.Duration // last message
	lastGrant    time.Duration // last grant, 0 for none
	suspect      bool          // a lease lapsed and no message was received since
}

func (h *holder) grantedRecently(now time.Duration) bool {
	return h.lastGrant > 0 && now-h.lastGrant < recentGrantWindow
}

// before reports whether h should get the next credit rather than other.
func (h *holder) before(other *holder, now time.Duration) bool {
	if h.suspect != other.suspect {
		return other.suspect
	}
	if recent := h.grantedRecently(now); recent != other.grantedRecently(now) {
		return recent
	}
	return h.held < other.held
}

// link adds an entry that may hold credits.
func (t *slotTable) link(entry entryIncarnation, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holders[entry] = &holder{lastReceived: now}
}

// unlink removes an entry and takes its credits back.
func (t *slotTable) unlink(entry entryIncarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.slots {
		if s := &t.slots[i]; s.state == slotOffered && s.holder == entry {
			t.voidCredit(s)
		}
	}
	delete(t.holders, entry)
}

// acknowledge renews the leases of the credits that entry lists as held, and makes
// entry their holder.
func (t *slotTable) acknowledge(entry entryIncarnation, held []credit, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.holders[entry]
	if h == nil {
		return
	}
	h.lastReceived, h.suspect = now, false
	for _, c := range held {
		if s := t.live(c); s != nil {
			t.setHolder(s, entry)
			s.leaseEnd = now + creditLease
		}
	}
}

// recordGrant records that entry granted work.
func (t *slotTable) recordGrant(entry entryIncarnation, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.holders[entry]; h != nil {
		h.lastGrant = now
	}
}

// pick returns the linked entry that gets the next credit. Ties are broken by
// the map's random iteration order.
func (t *slotTable) pick(now time.Duration) (entryIncarnation, bool) {
	var best entryIncarnation
	var bestHolder *holder
	for entry, h := range t.holders {
		if bestHolder == nil || h.before(bestHolder, now) {
			best, bestHolder = entry, h
		}
	}
	return best, bestHolder != nil
}
