package agent

import "time"

// recentGrant is how long an entry counts as one that grants work here.
const recentGrant = 2 * time.Second

// holder is what the slot table knows of a linked entry.
type holder struct {
	held    int           // credits it holds
	heard   time.Duration // last message
	granted time.Duration // last grant, 0 for none
	silent  bool          // a lease lapsed and nothing was heard since
}

func (h *holder) grantsLately(now time.Duration) bool {
	return h.granted > 0 && now-h.granted < recentGrant
}

// before reports whether h should get the next credit rather than other.
func (h *holder) before(other *holder, now time.Duration) bool {
	if h.silent != other.silent {
		return other.silent
	}
	if lately := h.grantsLately(now); lately != other.grantsLately(now) {
		return lately
	}
	return h.held < other.held
}

// link adds an entry that may hold credits.
func (t *slotTable) link(run entryRun, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holders[run] = &holder{heard: now}
}

// unlink removes an entry and takes its credits back.
func (t *slotTable) unlink(run entryRun) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.slots {
		if s := &t.slots[i]; s.state == slotOffered && s.holder == run {
			t.takeBack(s)
		}
	}
	delete(t.holders, run)
}

// confirm renews the leases of the credits that run lists as held and makes it
// their holder.
func (t *slotTable) confirm(run entryRun, held []credit, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.holders[run]
	if h == nil {
		return
	}
	h.heard, h.silent = now, false
	for _, c := range held {
		if s := t.live(c); s != nil {
			t.setHolder(s, run)
			s.leaseEnd = now + creditLease
		}
	}
}

// granted notes that run granted work.
func (t *slotTable) granted(run entryRun, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.holders[run]; h != nil {
		h.granted = now
	}
}

// pick returns the linked entry that gets the next credit. Ties are broken by
// the random order of the map.
func (t *slotTable) pick(now time.Duration) (entryRun, bool) {
	var best entryRun
	var bestHolder *holder
	for run, h := range t.holders {
		if bestHolder == nil || h.before(bestHolder, now) {
			best, bestHolder = run, h
		}
	}
	return best, bestHolder != nil
}
