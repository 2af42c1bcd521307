package agent

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var (
	entryA = entryIncarnation{id: "a", incarnation: 1}
	entryB = entryIncarnation{id: "b", incarnation: 2}
)

// rampedTable returns an open table and the time second 10, at which all its slots
// may be offered.
func rampedTable(n int, entries ...entryIncarnation) (*slotTable, time.Duration) {
	t := newSlotTable(n)
	for _, entry := range entries {
		t.link(entry, 0)
	}
	t.open(0)
	return t, 10 * time.Second
}

func TestSlotsAreSpreadOverLinkedEntries(t *testing.T) {
	table, now := rampedTable(8, entryA, entryB)
	offers := table.offer(now)
	got := map[entryIncarnation]int{entryA: len(offers[entryA]), entryB: len(offers[entryB])}
	if diff := cmp.Diff(map[entryIncarnation]int{entryA: 4, entryB: 4}, got, cmp.AllowUnexported(entryIncarnation{})); diff != "" {
		t.Error(diff)
	}
}

func TestSlotsAreOfferedGraduallyAfterOpening(t *testing.T) {
	table := newSlotTable(8)
	table.link(entryA, 0)
	table.open(0)
	got := make([]int, 0, 3)
	for _, at := range []time.Duration{0, rampTime / 2, rampTime} {
		got = append(got, len(table.offer(at)[entryA]))
	}
	if diff := cmp.Diff([]int{2, 3, 3}, got); diff != "" {
		t.Error(diff)
	}
}

func TestSpentCreditIsStaleAndItsSlotComesBackWithAFreshOne(t *testing.T) {
	table, now := rampedTable(1, entryA)
	c := table.offer(now)[entryA][0]
	if !table.take(c) || table.take(c) {
		t.Fatal("a credit must allow exactly one start")
	}
	fresh := table.release(0, entryA, now)
	if fresh == nil || table.take(c) || !table.take(*fresh) {
		t.Fatalf("fresh credit %v after %v is not the only valid one", fresh, c)
	}
}

func TestUnacknowledgedCreditGoesToAnEntryThatSentAMessage(t *testing.T) {
	table, now := rampedTable(1, entryA)
	c := table.offer(now)[entryA][0]
	table.link(entryB, now)
	table.acknowledge(entryA, []credit{c}, now+creditLease/2)
	if table.expire(now+creditLease) != 0 {
		t.Fatal("an acknowledged credit was taken back")
	}
	later := now + 2*creditLease
	table.acknowledge(entryB, nil, later)
	if table.expire(later) != 1 || table.take(c) {
		t.Fatal("an unacknowledged credit was not taken back")
	}
	if got := len(table.offer(later)[entryB]); got != 1 {
		t.Errorf("the entry that sent a message was offered %d credits, want 1", got)
	}
}

func TestTransferredCreditStaysWhenTheFirstHoldersLinkCloses(t *testing.T) {
	table, now := rampedTable(1, entryA)
	c := table.offer(now)[entryA][0]
	table.link(entryB, now)
	table.acknowledge(entryB, []credit{c}, now)
	table.unlink(entryA)
	if !table.take(c) {
		t.Error("the credit of the new holder was taken back")
	}
}

func TestShuttingVoidsCreditsAndOffersNone(t *testing.T) {
	table, now := rampedTable(2, entryA)
	offered := table.offer(now)[entryA]
	table.take(offered[0])
	table.shut()
	if table.take(offered[1]) {
		t.Error("a credit was still valid after shut")
	}
	if fresh := table.release(offered[0].Slot, entryA, now); fresh != nil || len(table.offer(now)) > 0 {
		t.Error("a slot was offered while shut")
	}
}

func TestPausedSlotIsOfferedOnlyAfterItsPause(t *testing.T) {
	table, now := rampedTable(1, entryA)
	table.take(table.offer(now)[entryA][0])
	table.pause(0, now+unreachablePause)
	if len(table.offer(now+unreachablePause-1)) != 0 || len(table.offer(now+unreachablePause)) != 1 {
		t.Error("the pause was not kept")
	}
}

func TestFreedCreditGoesToTheEntryThatGrantedRecently(t *testing.T) {
	table, now := rampedTable(4, entryA, entryB)
	table.recordGrant(entryB, now)
	if got := len(table.offer(now + time.Millisecond)[entryB]); got != 4 {
		t.Errorf("the entry that granted recently was offered %d of 4", got)
	}
}

// slotModel applies random operations to a table and records every credit that was
// ever issued.
type slotModel struct {
	table  *slotTable
	now    time.Duration
	issued []credit
	seen   map[credit]bool
	busy   map[int]bool
}

func (m *slotModel) issue(t *rapid.T, credits ...credit) {
	for _, c := range credits {
		if m.seen[c] {
			t.Fatalf("credit %v was issued twice", c)
		}
		m.seen[c] = true
		m.issued = append(m.issued, c)
	}
}

func (m *slotModel) issuePtr(t *rapid.T, c *credit) {
	if c != nil {
		m.issue(t, *c)
	}
}

func (m *slotModel) offer(t *rapid.T) {
	for _, credits := range m.table.offer(m.now) {
		m.issue(t, credits...)
	}
}

func (m *slotModel) anyCredit(t *rapid.T) credit {
	if len(m.issued) == 0 {
		return credit{Slot: rapid.IntRange(-1, 5).Draw(t, "slot"), Epoch: 1}
	}
	return rapid.SampledFrom(m.issued).Draw(t, "credit")
}

func anyEntry(t *rapid.T) entryIncarnation {
	return rapid.SampledFrom([]entryIncarnation{entryA, entryB}).Draw(t, "run")
}

func (m *slotModel) take(t *rapid.T) {
	c := m.anyCredit(t)
	taken := m.table.take(c)
	if !taken {
		return
	}
	if m.busy[c.Slot] {
		t.Fatalf("slot %d was taken while busy", c.Slot)
	}
	for _, other := range m.issued {
		if other.Slot == c.Slot && other.Epoch > c.Epoch {
			t.Fatalf("stale credit %v was taken after %v was issued", c, other)
		}
	}
	m.busy[c.Slot] = true
}

func (m *slotModel) finish(t *rapid.T) {
	for number := range m.busy {
		delete(m.busy, number)
		if rapid.Bool().Draw(t, "pause") {
			m.table.pause(number, m.now+unreachablePause)
			return
		}
		m.issuePtr(t, m.table.release(number, anyEntry(t), m.now))
		return
	}
}

// check runs after every step: each slot is busy with its task, held by a
// linked entry for at most one lease, or free.
func (m *slotModel) check(t *rapid.T) {
	nonFree := 0
	for _, s := range m.table.slots {
		if m.busy[s.number] != (s.state == slotBusy) {
			t.Fatalf("slot %d: state %d, busy in the model: %v", s.number, s.state, m.busy[s.number])
		}
		if s.state == slotOffered && (m.table.holders[s.holder] == nil || s.leaseEnd > m.now+creditLease || !m.table.isOpen) {
			t.Fatalf("slot %d is offered without a live holder: %+v", s.number, s)
		}
		if s.state != slotFree {
			nonFree++
		}
	}
	if nonFree != m.table.nonFree {
		t.Fatalf("%d slots in use, %d counted", nonFree, m.table.nonFree)
	}
}

func (m *slotModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":       m.check,
		"offer":  m.offer,
		"take":   m.take,
		"finish": m.finish,
		"renew": func(t *rapid.T) {
			m.issuePtr(t, m.table.renew(m.anyCredit(t), anyEntry(t), m.now))
		},
		"confirm": func(t *rapid.T) { m.table.acknowledge(anyEntry(t), []credit{m.anyCredit(t)}, m.now) },
		"return":  func(t *rapid.T) { m.table.returnCredits([]credit{m.anyCredit(t)}) },
		"link": func(t *rapid.T) {
			entry := anyEntry(t)
			m.table.unlink(entry)
			m.table.link(entry, m.now)
		},
		"unlink": func(t *rapid.T) { m.table.unlink(anyEntry(t)) },
		"open":   func(*rapid.T) { m.table.open(m.now) },
		"shut":   func(*rapid.T) { m.table.shut() },
		"time": func(t *rapid.T) {
			m.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
			m.table.expire(m.now)
		},
	}
}

func TestNoSlotHasTwoLiveCreditsOrIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &slotModel{table: newSlotTable(4), seen: map[credit]bool{}, busy: map[int]bool{}}
		t.Repeat(m.actions())
		for number := range m.busy {
			m.table.pause(number, m.now)
		}
		m.now += 2 * creditLease
		m.table.expire(m.now)
		m.table.link(entryA, m.now)
		m.table.open(m.now)
		m.now += rampTime
		m.table.expire(m.now)
		if got := len(m.table.offer(m.now)[entryA]) + len(m.table.offer(m.now)[entryB]); got+heldOf(m.table) < 4 {
			t.Fatalf("only %d of 4 slots came back", got)
		}
	})
}

func heldOf(t *slotTable) int {
	n := 0
	for _, h := range t.holders {
		n += h.held
	}
	return n
}
