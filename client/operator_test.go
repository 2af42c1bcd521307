package client

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"bergamotwing.example/client/api"
	"bergamotwing.example/result"
)

func newTestOperator(t *testing.T, entries ...string) *Operator {
	t.Helper()
	o, err := NewOperator(Config{Entries: entries, MaxAttempts: 3, BackoffMin: time.Millisecond, BackoffMax: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(o.Close)
	return o
}

func noteReply(code result.Code) reply {
	return func(w http.ResponseWriter, _ string) {
		writeJSON(w, result.Lookup(code).HTTPStatus, api.NoteAnswer{Code: code, Version: 7})
	}
}

func TestZoneCommandIsSentAgainUnderOneNoteID(t *testing.T) {
	a := newFake(t, "a", loseAnswer, noteReply(result.StoreUnavailable), noteReply(result.OK))
	answer, err := newTestOperator(t, a.url).ZoneOut(t.Context(), "gent-noord", "")
	if err != nil || answer.Version != 7 {
		t.Fatalf("answer %+v, error %v", answer, err)
	}
	calls := a.received()
	if len(calls) != 3 || calls[0] != calls[1] || calls[1] != calls[2] {
		t.Errorf("calls %v", calls)
	}
}

func TestAcceptedNotesReturnNoError(t *testing.T) {
	for _, code := range []result.Code{result.OK, result.HeldNotDurable, result.NoteUnconfirmed} {
		a := newFake(t, "a", noteReply(code))
		answer, err := newTestOperator(t, a.url).ApplyNote(t.Context(), []byte(`{"id":"n"}`))
		if err != nil || answer.Code != code {
			t.Errorf("%s: answer %+v, error %v", code, answer, err)
		}
	}
}

func TestNoteConflictIsReturnedAtOnce(t *testing.T) {
	a := newFake(t, "a", noteReply(result.NoteConflict))
	answer, err := newTestOperator(t, a.url).ApplyNote(t.Context(), []byte(`{"id":"n"}`))
	if !errors.Is(err, &result.Error{Code: result.NoteConflict}) || answer.Version != 7 || len(a.received()) != 1 {
		t.Errorf("answer %+v, error %v, calls %v", answer, err, a.received())
	}
}

func TestCommandThatMayHaveTakenEffectIsNotReportedAsNotRun(t *testing.T) {
	a := newFake(t, "a", repeated(loseAnswer, 3)...)
	o := newTestOperator(t, a.url, "http://127.0.0.1:1")
	o.cfg.MaxAttempts = 2
	_, err := o.ZoneBack(t.Context(), "gent-noord", "n")
	if typeName(err) != "unknown" {
		t.Errorf("lost: error %v", err)
	}
	_, err = newTestOperator(t, "http://127.0.0.1:1").ZoneBack(t.Context(), "gent-noord", "n")
	if typeName(err) != "not run" {
		t.Errorf("not connected: error %v", err)
	}
}

func TestQueriesSkipAnEntryThatDoesNotAnswer(t *testing.T) {
	status := raw(200, `{"entry":"e1","version":3}`)
	a := newFake(t, "a", raw(503, `{"code":206}`), status, raw(404, `{"code":111}`))
	o := newTestOperator(t, "http://127.0.0.1:1", a.url)
	if s, err := o.Status(t.Context()); err != nil || s.Entry != "e1" || s.Version != 3 {
		t.Errorf("status %+v, error %v", s, err)
	}
	if _, err := o.Note(t.Context(), "gone"); !errors.Is(err, &result.Error{Code: result.NotFound}) {
		t.Errorf("error %v", err)
	}
}
