package agent

import (
	"math/rand/v2"
	"testing"
	"time"
)

const modelSlots = 3

// creditModel tracks what must be true of the credits of a slotTable.
type creditModel struct {
	t       *testing.T
	rng     *rand.Rand
	table   *slotTable
	now     time.Duration
	entries []entryIncarnation
	newest  [modelSlots]uint64 // epoch of the newest credit of each slot
	void    map[credit]bool    // spent or returned
	issued  []credit
	busy    map[int]bool
}

func newCreditModel(t *testing.T, seed uint64) *creditModel {
	t.Helper()
	m := &creditModel{
		t: t, rng: rand.New(rand.NewPCG(seed, 0)), table: newSlotTable(modelSlots), now: time.Second,
		entries: []entryIncarnation{{"entry0", 1}, {"entry1", 2}}, void: map[credit]bool{}, busy: map[int]bool{},
	}
	for _, entry := range m.entries {
		m.table.link(entry, m.now)
	}
	m.table.open(m.now)
	m.now += rampTime
	return m
}

// issue records credits that were issued to an entry.
func (m *creditModel) issue(credits ...credit) {
	for _, c := range credits {
		if c.Epoch <= m.newest[c.Slot] {
			m.t.Errorf("slot %d: epoch %d is issued after epoch %d", c.Slot, c.Epoch, m.newest[c.Slot])
		}
		m.newest[c.Slot] = c.Epoch
		m.issued = append(m.issued, c)
	}
}

func (m *creditModel) entry() entryIncarnation { return m.entries[m.rng.IntN(len(m.entries))] }

func (m *creditModel) anyCredit() credit {
	if len(m.issued) == 0 {
		return credit{}
	}
	return m.issued[m.rng.IntN(len(m.issued))]
}

func (m *creditModel) take(c credit) {
	if !m.table.take(c) {
		return
	}
	if m.void[c] || c.Epoch != m.newest[c.Slot] || m.busy[c.Slot] {
		m.t.Errorf("credit %+v is taken: void %v, newest epoch %d, slot busy %v", c, m.void[c], m.newest[c.Slot], m.busy[c.Slot])
	}
	m.void[c], m.busy[c.Slot] = true, true
}

func (m *creditModel) release(slot int) {
	if !m.busy[slot] {
		return
	}
	m.busy[slot] = false
	if c := m.table.release(slot, m.entry(), m.now); c != nil {
		m.issue(*c)
	}
}

func (m *creditModel) renew(c credit) {
	if fresh := m.table.renew(c, m.entry(), m.now); fresh != nil {
		m.void[c] = true
		m.issue(*fresh)
	}
}

func (m *creditModel) relink(entry entryIncarnation) {
	m.table.unlink(entry)
	m.table.link(entry, m.now)
}

func (m *creditModel) step() {
	switch m.rng.IntN(8) {
	case 0, 1:
		for _, credits := range m.table.offer(m.now) {
			m.issue(credits...)
		}
	case 2, 3:
		m.take(m.anyCredit())
	case 4:
		m.release(m.rng.IntN(modelSlots))
	case 5:
		m.renew(m.anyCredit())
	case 6:
		c := m.anyCredit()
		m.table.returnCredits([]credit{c})
		m.void[c] = true
	default:
		m.now += time.Duration(m.rng.IntN(int(creditLease)))
		m.table.expire(m.now)
		m.relink(m.entry())
	}
}

func TestCreditIsSpentOnceAndOnlyWhileItIsTheNewestOfItsSlot(t *testing.T) {
	const seeds, steps = 200, 400
	for seed := range uint64(seeds) {
		m := newCreditModel(t, seed)
		for range steps {
			m.step()
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
