package ledger

import (
	"errors"
	"testing"
	"time"

	"bergamotwing.example/result"
)

var issuedAt = time.Unix(1_700_000_000, 0)

// handedOver returns the ledger that a successor builds from the records of l.
func handedOver(l *Ledger, now time.Time) *Ledger {
	entry, incarnation := l.Incarnation()
	successor := NewInherited(entry, incarnation, 1<<20)
	l.Ended(func(seq uint64, d Digest, o *Outcome) { successor.Restore(seq, d, o, now) })
	return successor
}

func codeOf(t *testing.T, l *Ledger, ticket Ticket, d Digest, now time.Time) result.Code {
	t.Helper()
	rec, _, err := l.Open(ticket, d, now)
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return rec.Outcome().Code
}

func TestInheritedLedgerAnswersUnknownForTicketsThatItMayHaveForgotten(t *testing.T) {
	issuer := New("entry0", 7, 1<<20)
	used, unused := issuer.Issue(1, issuedAt)[0], issuer.Issue(1, issuedAt)[0]
	if _, isNew, err := issuer.Open(used, Digest{1}, issuedAt); err != nil || !isNew {
		t.Fatalf("open: %v", err)
	}
	issuer.Finish(used.Seq, &Outcome{Code: result.TaskFailed}, issuedAt)
	later := issuedAt.Add(recordLifetime + time.Minute)
	other := issuer.Issue(1, later)[0]
	if rec := issuer.Withdraw(other, later); rec == nil {
		t.Fatal("withdraw")
	}
	successor := handedOver(issuer, later)
	for _, ticket := range []Ticket{used, unused} {
		if code := codeOf(t, successor, ticket, Digest{1}, later); code != result.OutcomeUnknown {
			t.Errorf("the successor answers %s for ticket %d", code, ticket.Seq)
		}
		if !successor.MayHaveBeenSubmitted(ticket, later) {
			t.Errorf("the successor rules out that ticket %d was submitted", ticket.Seq)
		}
	}
}

func TestInheritedLedgerAnswersNotRunForFreshTickets(t *testing.T) {
	issuer := New("entry0", 7, 1<<20)
	ticket := issuer.Issue(1, issuedAt)[0]
	successor := handedOver(issuer, issuedAt)
	if code := codeOf(t, successor, ticket, Digest{1}, issuedAt); code != result.IssuerClosed {
		t.Errorf("the successor answers %s", code)
	}
}

func TestInheritedWithdrawalMatchesAnyBody(t *testing.T) {
	issuer := New("entry0", 7, 1<<20)
	ticket := issuer.Issue(1, issuedAt)[0]
	issuer.Withdraw(ticket, issuedAt)
	for name, l := range map[string]*Ledger{"issuer": issuer, "heir": handedOver(issuer, issuedAt)} {
		if code := codeOf(t, l, ticket, Digest{1}, issuedAt); code != result.CancelledNotRun {
			t.Errorf("the %s answers %s", name, code)
		}
	}
}

func TestRefusedSubmissionConsumesItsTicket(t *testing.T) {
	issuer := New("entry0", 7, 1<<20)
	ticket := issuer.Issue(1, issuedAt)[0]
	if _, isNew, err := issuer.Open(ticket, Digest{1}, issuedAt); err != nil || !isNew {
		t.Fatalf("open: %v", err)
	}
	issuer.Finish(ticket.Seq, &Outcome{Code: result.UnknownService}, issuedAt)
	if _, isNew, _ := issuer.Open(ticket, Digest{1}, issuedAt); isNew {
		t.Error("a copy of a refused submission opens the job")
	}
	if code := codeOf(t, issuer, ticket, Digest{1}, issuedAt); code != result.UnknownService {
		t.Errorf("a copy of a refused submission is answered %s", code)
	}
}
