package agent

import (
	"sync"
	"time"

	"bergamotwing.example/wire"
)

// Times of slot credits.
const (
	creditLease      = 1600 * time.Millisecond // a credit unconfirmed for longer is taken back
	rampTime         = time.Second             // from opening until all slots are offered
	busyPause        = 250 * time.Millisecond  // before a slot is offered again that the endpoint still uses
	unreachablePause = 250 * time.Millisecond  // before a slot is offered again after a failed dial
	cutOffPause      = time.Second             // before a slot is offered again after a call was cut off
)

// rampFirstShare is the share of the slots (one in so many) offered at opening.
const rampFirstShare = 4

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
	holder   entryRun      // while offered
	leaseEnd time.Duration // while offered
	readyAt  time.Duration // not offered before
}

// slotTable knows for each slot whether it is free, offered or busy. The epoch
// goes up whenever a credit is spent or taken back. The caller passes the time.
type slotTable struct {
	mu       sync.Mutex
	slots    []slot
	holders  map[entryRun]*holder
	isOpen   bool
	openedAt time.Duration
	inUse    int // offered or busy
}

func newSlotTable(n int) *slotTable {
	t := &slotTable{slots: make([]slot, n), holders: map[entryRun]*holder{}}
	for i := range t.slots {
		t.slots[i] = slot{number: i, epoch: 1}
	}
	return t
}

// open lets slots be offered, a share at once and the rest over rampTime.
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
			t.takeBack(s)
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
	t.takeBack(s)
	t.inUse++
	s.state = slotBusy
	return true
}

// release ends the use of a busy slot and, if it can, gives its new credit to
// run. Otherwise the slot is free and nil is returned.
func (t *slotTable) release(number int, to entryRun, now time.Duration) *credit {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.slots[number]
	t.endUse(s)
	return t.give(s, to, now)
}

// pause ends the use of a busy slot and keeps it from being offered until readyAt.
func (t *slotTable) pause(number int, readyAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.slots[number]
	t.endUse(s)
	s.readyAt = readyAt
}

// renew replaces the credit of a refused grant by a fresh one for run, if the
// slot is free or the credit was still unspent. Otherwise it returns nil.
func (t *slotTable) renew(c credit, run entryRun, now time.Duration) *credit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Slot < 0 || c.Slot >= len(t.slots) {
		return nil
	}
	if s := t.live(c); s != nil {
		t.takeBack(s)
	}
	return t.give(&t.slots[c.Slot], run, now)
}

// giveBack frees credits that an entry returns unused.
func (t *slotTable) giveBack(credits []credit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range credits {
		if s := t.live(c); s != nil {
			t.takeBack(s)
		}
	}
}

// expire takes back the credits whose lease has ended.
func (t *slotTable) expire(now time.Duration) (lapsed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.slots {
		s := &t.slots[i]
		if s.state != slotOffered || now < s.leaseEnd {
			continue
		}
		if h := t.holders[s.holder]; h != nil {
			h.silent = true
		}
		t.takeBack(s)
		lapsed++
	}
	return lapsed
}

// offer hands the free slots out to linked entries.
func (t *slotTable) offer(now time.Duration) map[entryRun][]credit {
	t.mu.Lock()
	defer t.mu.Unlock()
	offers := map[entryRun][]credit{}
	for i := range t.slots {
		s := &t.slots[i]
		if s.state != slotFree {
			continue
		}
		run, ok := t.pick(now)
		if !ok {
			break
		}
		if c := t.give(s, run, now); c != nil {
			offers[run] = append(offers[run], *c)
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

// give offers a free slot to run and returns its credit, or nil if the slot
// may not be offered now.
func (t *slotTable) give(s *slot, run entryRun, now time.Duration) *credit {
	h := t.holders[run]
	if h == nil || !t.isOpen || s.state != slotFree || now < s.readyAt || t.inUse >= t.limit(now) {
		return nil
	}
	s.state, s.holder, s.leaseEnd = slotOffered, run, now+creditLease
	h.held++
	t.inUse++
	return &credit{Slot: s.number, Epoch: s.epoch}
}

// takeBack voids the credit of an offered slot and frees the slot.
func (t *slotTable) takeBack(s *slot) {
	if h := t.holders[s.holder]; h != nil {
		h.held--
	}
	s.epoch++
	s.state, s.holder = slotFree, entryRun{}
	t.inUse--
}

// endUse frees a busy slot.
func (t *slotTable) endUse(s *slot) {
	s.state = slotFree
	t.inUse--
}

func (t *slotTable) setHolder(s *slot, run entryRun) {
	if h := t.holders[s.holder]; h != nil {
		h.held--
	}
	t.holders[run].held++
	s.holder = run
}

// limit returns how many slots may be offered or busy now.
func (t *slotTable) limit(now time.Duration) int {
	n := len(t.slots)
	first := (n + rampFirstShare - 1) / rampFirstShare
	since := min(now-t.openedAt, rampTime)
	return first + int(int64(n-first)*int64(since)/int64(rampTime))
}
