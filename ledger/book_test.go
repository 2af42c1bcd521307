package ledger

import (
	"errors"
	"testing"
	"time"

	"bergamotwing.example/result"
)

var issuedAt = time.Unix(1_700_000_000, 0)

// handedOver returns the ledger that a successor makes of what b holds.
func handedOver(b *Ledger, now time.Time) *Ledger {
	entry, run := b.Incarnation()
	heir := NewInherited(entry, run, 1<<20)
	b.Ended(func(seq uint64, d Digest, o *Outcome) { heir.Restore(seq, d, o, now) })
	return heir
}

func codeOf(t *testing.T, b *Ledger, ticket Ticket, d Digest, now time.Time) result.Code {
	t.Helper()
	rec, _, err := b.Open(ticket, d, now)
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return rec.Outcome().Code
}

func TestInheritedBookDoesNotSayNotRunOfTicketsThatItMayHaveForgotten(t *testing.T) {
	b := New("entry0", 7, 1<<20)
	used, unused := b.Issue(1, issuedAt)[0], b.Issue(1, issuedAt)[0]
	if _, isNew, err := b.Open(used, Digest{1}, issuedAt); err != nil || !isNew {
		t.Fatalf("open: %v", err)
	}
	b.Finish(used.Seq, &Outcome{Code: result.TaskFailed}, issuedAt)
	later := issuedAt.Add(recordLifetime + time.Minute)
	other := b.Issue(1, later)[0]
	if rec := b.Withdraw(other, later); rec == nil {
		t.Fatal("withdraw")
	}
	heir := handedOver(b, later)
	for _, ticket := range []Ticket{used, unused} {
		if code := codeOf(t, heir, ticket, Digest{1}, later); code != result.OutcomeUnknown {
			t.Errorf("the heir answers %s for ticket %d", code, ticket.Seq)
		}
		if !heir.MayHaveBeenSubmitted(ticket, later) {
			t.Errorf("the heir claims to know of ticket %d", ticket.Seq)
		}
	}
}

func TestInheritedBookSaysNotRunOfFreshTickets(t *testing.T) {
	b := New("entry0", 7, 1<<20)
	ticket := b.Issue(1, issuedAt)[0]
	heir := handedOver(b, issuedAt)
	if code := codeOf(t, heir, ticket, Digest{1}, issuedAt); code != result.IssuerClosed {
		t.Errorf("the heir answers %s", code)
	}
}

func TestInheritedWithdrawalMatchesAnyBody(t *testing.T) {
	b := New("entry0", 7, 1<<20)
	ticket := b.Issue(1, issuedAt)[0]
	b.Withdraw(ticket, issuedAt)
	for name, book := range map[string]*Ledger{"issuer": b, "heir": handedOver(b, issuedAt)} {
		if code := codeOf(t, book, ticket, Digest{1}, issuedAt); code != result.CancelledNotRun {
			t.Errorf("the %s answers %s", name, code)
		}
	}
}

func TestRefusedSubmissionConsumesItsTicket(t *testing.T) {
	b := New("entry0", 7, 1<<20)
	ticket := b.Issue(1, issuedAt)[0]
	if _, isNew, err := b.Open(ticket, Digest{1}, issuedAt); err != nil || !isNew {
		t.Fatalf("open: %v", err)
	}
	b.Finish(ticket.Seq, &Outcome{Code: result.UnknownService}, issuedAt)
	if _, isNew, _ := b.Open(ticket, Digest{1}, issuedAt); isNew {
		t.Error("a copy of a refused submission opens the job")
	}
	if code := codeOf(t, b, ticket, Digest{1}, issuedAt); code != result.UnknownService {
		t.Errorf("a copy of a refused submission is answered %s", code)
	}
}
