package standin_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/standin"
	"bergamotwing.example/tablestore"
)

func newPlatform(t *testing.T) (*standin.Platform, *tablestore.Client, string) {
	t.Helper()
	p := standin.NewPlatform()
	srv := httptest.NewServer(p)
	t.Cleanup(srv.Close)
	return p, tablestore.NewClient(tablestore.ClientConfig{URL: srv.URL}), srv.URL
}

func post(t *testing.T, url, body string) *http.Response {
	t.Helper()
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func TestTransactionIsMadeWholeOrNotAtAll(t *testing.T) {
	_, c, _ := newPlatform(t)
	ctx := t.Context()
	if err := c.Commit(ctx, tablestore.Op{Key: "a/1", Value: []byte("x")}, tablestore.Op{Key: "b"}); err != nil {
		t.Fatal(err)
	}
	stale := c.Commit(ctx, tablestore.Op{Key: "a/2", Value: []byte("y")}, tablestore.Op{Key: "b", IfVersion: 7})
	if !errors.Is(stale, tablestore.ErrConflict) {
		t.Errorf("stale commit: %v", stale)
	}
	if err := c.Commit(ctx, tablestore.Op{Key: "b", Delete: true, IfVersion: 1}); err != nil {
		t.Error(err)
	}
	if err := c.Commit(ctx, tablestore.Op{Key: "a/0", Any: true}); err != nil {
		t.Error(err)
	}
	rows, err := c.List(ctx, "")
	want := []tablestore.Row{{Key: "a/0", Version: 3}, {Key: "a/1", Value: []byte("x"), Version: 1}}
	if diff := cmp.Diff(want, rows); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if row, err := c.Get(ctx, "b"); err != nil || row.Version != 0 {
		t.Errorf("deleted row: %+v %v", row, err)
	}
}

func TestObjectsKeepKeysWithSlashes(t *testing.T) {
	_, c, _ := newPlatform(t)
	if err := c.PutObject(t.Context(), "a/../b c", []byte("v")); err != nil {
		t.Fatal(err)
	}
	got, err := c.GetObject(t.Context(), "a/../b c")
	if err != nil || string(got) != "v" {
		t.Errorf("%q %v", got, err)
	}
	if _, err := c.GetObject(t.Context(), "b c"); !errors.Is(err, tablestore.ErrNotFound) {
		t.Errorf("absent object: %v", err)
	}
}

func TestLostAnswerLeavesTheWriteMade(t *testing.T) {
	p, c, url := newPlatform(t)
	post(t, url+"/control", `{"loseAnswers":true}`)
	if err := c.Commit(t.Context(), tablestore.Op{Key: "k"}); !errors.Is(err, tablestore.ErrUnknown) {
		t.Errorf("Commit: %v", err)
	}
	if row, err := c.Get(t.Context(), "k"); err != nil || row.Version != 1 {
		t.Errorf("row %+v %v", row, err)
	}
	want := standin.PlatformCounts{Reads: 1, Writes: 1, LostAnswers: 1, Version: 1}
	if diff := cmp.Diff(want, p.Counts()); diff != "" {
		t.Error(diff)
	}
}

func TestDownAnswers503AndConflictsComeAtTheirRate(t *testing.T) {
	p, c, _ := newPlatform(t)
	p.SetFaults(standin.Faults{Down: true})
	if _, err := c.Get(t.Context(), "k"); !errors.Is(err, tablestore.ErrUnavailable) {
		t.Errorf("Get: %v", err)
	}
	p.SetFaults(standin.Faults{ConflictEvery: 2})
	conflicts := 0
	for range 6 {
		if errors.Is(c.Commit(t.Context(), tablestore.Op{Key: "k", Any: true}), tablestore.ErrConflict) {
			conflicts++
		}
	}
	if conflicts != 3 {
		t.Errorf("%d of 6 transactions conflicted, want 3", conflicts)
	}
}

func TestControlKeepsFaultsThatItDoesNotNameAndRefusesUnknownKeys(t *testing.T) {
	p, _, url := newPlatform(t)
	post(t, url+"/control", `{"delayMs":1,"conflictEvery":9}`)
	post(t, url+"/control", `{"delayMs":0}`)
	if got := p.Faults(); got != (standin.Faults{ConflictEvery: 9}) {
		t.Errorf("faults %+v", got)
	}
	if resp := post(t, url+"/control", `{"dwon":true}`); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("unknown key: %s", resp.Status)
	}
	resp, err := http.Get(url + "/control")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	if !strings.Contains(string(body), `"conflictEvery":9`) {
		t.Errorf("state %s", body)
	}
}
