package agent

import (
	"sync"
	"time"

	"bergamotwing.example/wire"
)

// Times of slot credits.
const (
	creditLease      = 1600 * time.Millisecond // a credit that is not acknowledged for longer is taken back
	rampTime         = time.Second             // from opening until all slots may be offered
	busyPause        = 250 * time.Millisecond  // before a slot that the endpoint still uses is offered again
	unreachablePause = 250 * time.Millisecond  // before a slot is offered again after a failed dial
	abortedPause     = time.Second             // before a slot is offered again after a call was aborted
)

// One in rampFirstDivisor slots, rounded up, may be offered at opening.
const rampFirstDivisor = 4

type credit = wire.SlotCredit

type slotState uint8

const (
	slotFree    slotState = iota // no credit exists for its epoch
	slotOffered                  // an entry holds the credit of its epoch
	slotBusy                     // a task runs on it
)

type slot struct {
	number   int
	epoch    uint64
	state    slotState
	holder   entryIncarnation // while offered
	leaseEnd time.Duration    // while offered
	readyAt  time.Duration    // not offered before this time
}

// slotTable tracks for each slot whether it is free, offered or busy. The epoch of
// a slot increases whenever its credit is spent, returned or taken back. Callers
// pass the time.
type slotTable struct {
	mu       sync.Mutex
	slots    []slot
	holders  map[entryIncarnation]*holder
	isOpen   bool
	openedAt time.Duration
	nonFree  int // offered or busy
}

func newSlotTable(n int) *slotTable {
	t := &slotTable{slots: make([]slot, n), holders: map[entryIncarnation]*holder{}}
	for i := range t.slots {
		t.slots[i] = slot{number: i, epoch: 1}
	}
	return t
}

// open allows slots to be offered: a share at once and the rest over rampTime.
func (t *slotTable) open(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isOpen {
		t.isOpen, t.openedAt = true, now
	}
}

// shut voids all credits; no slot is offered until open. Busy slots stay busy.
func (t *slotTable) shut() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isOpen = false
	for i := range t.slots {
		if s := &t.slots[i]; s.state == slotOffered {
			t.voidCredit(s)
		}
	}
}

// take spends a credit. It returns false for a stale one.
func (t *slotTable) take(c credit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.live(c)
	if s == nil || !t.isOpen {
		return false
	}
	t.voidCredit(s)
	t.nonFree++
	s.state = slotBusy
	return true
}

// release ends the use of a busy slot and, if the slot may be offered, returns its
// new credit, held by to. Otherwise the slot is free and release returns nil.
func (t *slotTable) release(number int, to entryIncarnation, now time.Duration) *credit {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.slots[number]
	t.endUse(s)
	return t.issue(s, to, now)
}

// pause ends the use of a busy slot and keeps it from being offered until readyAt.
func (t *slotTable) pause(number int, readyAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.slots[number]
	t.endUse(s)
	s.readyAt = readyAt
}

// renew replaces the credit of a refused grant by a fresh one for entry, if the
// slot is free or the credit was still unspent. Otherwise it returns nil.
func (t *slotTable) renew(c credit, entry entryIncarnation, now time.Duration) *credit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Slot < 0 || c.Slot >= len(t.slots) {
		return nil
	}
	if s := t.live(c); s != nil {
		t.voidCredit(s)
	}
	return t.issue(&t.slots[c.Slot], entry, now)
}

// returnCredits frees the slots of credits that an entry returns unused.
func (t *slotTable) returnCredits(credits []credit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range credits {
		if s := t.live(c); s != nil {
			t.voidCredit(s)
		}
	}
}

// expire takes back the credits whose lease has ended and returns their number.
func (t *slotTable) expire(now time.Duration) (lapsed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.slots {
		s := &t.slots[i]
		if s.state != slotOffered || now < s.leaseEnd {
			continue
		}
		if h := t.holders[s.holder]; h != nil {
			h.suspect = true
		}
		t.voidCredit(s)
		lapsed++
	}
	return lapsed
}

// offer issues credits of the free slots to linked entries.
func (t *slotTable) offer(now time.Duration) map[entryIncarnation][]credit {
	t.mu.Lock()
	defer t.mu.Unlock()
	offers := map[entryIncarnation][]credit{}
	for i := range t.slots {
		s := &t.slots[i]
		if s.state != slotFree {
			continue
		}
		entry, ok := t.pick(now)
		if !ok {
			break
		}
		if c := t.issue(s, entry, now); c != nil {
			offers[entry] = append(offers[entry], *c)
		}
	}
	return offers
}

// idle returns the number of slots on which no task runs.
func (t *slotTable) idle() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for i := range t.slots {
		if t.slots[i].state != slotBusy {
			n++
		}
	}
	return n
}

// live returns the slot of a credit that is current and unspent, or nil.
func (t *slotTable) live(c credit) *slot {
	if c.Slot < 0 || c.Slot >= len(t.slots) {
		return nil
	}
	s := &t.slots[c.Slot]
	if s.state != slotOffered || s.epoch != c.Epoch {
		return nil
	}
	return s
}

// issue offers a free slot to entry and returns its credit, or nil if the slot
// may not be offered now.
func (t *slotTable) issue(s *slot, entry entryIncarnation, now time.Duration) *credit {
	h := t.holders[entry]
	if h == nil || !t.isOpen || s.state != slotFree || now < s.readyAt || t.nonFree >= t.limit(now) {
		return nil
	}
	s.state, s.holder, s.leaseEnd = slotOffered, entry, now+creditLease
	h.held++
	t.nonFree++
	return &credit{Slot: s.number, Epoch: s.epoch}
}

// voidCredit voids the credit of an offered slot and frees the slot.
func (t *slotTable) voidCredit(s *slot) {
	if h := t.holders[s.holder]; h != nil {
		h.held--
	}
	s.epoch++
	s.state, s.holder = slotFree, entryIncarnation{}
	t.nonFree--
}

// endUse frees a busy slot.
func (t *slotTable) endUse(s *slot) {
	s.state = slotFree
	t.nonFree--
}

func (t *slotTable) setHolder(s *slot, entry entryIncarnation) {
	if h := t.holders[s.holder]; h != nil {
		h.held--
	}
	t.holders[entry].held++
	s.holder = entry
}

// limit returns how many slots may be offered or busy now.
func (t *slotTable) limit(now time.Duration) int {
	n := len(t.slots)
	first := (n + rampFirstDivisor - 1) / rampFirstDivisor
	since := min(now-t.openedAt, rampTime)
	return first + int(int64(n-first)*int64(since)/int64(rampTime))
}
