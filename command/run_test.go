package command

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/client"
	"bergamotwing.example/result"
)

// run returns the exit code, the standard output and the standard error of a command line.
func run(args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	code := Run(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// startFakeEntry returns the URL of an entry that answers every request alike.
func startFakeEntry(t *testing.T, status int, body string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return s.URL
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "file.jsonc")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestEveryCommandHasHelp(t *testing.T) {
	var check func(path []string, specs []spec)
	check = func(path []string, specs []spec) {
		for _, s := range specs {
			full := append(append([]string(nil), path...), s.name)
			code, stdout, _ := run(append(full, "--help")...)
			if code != ExitOK || !strings.Contains(stdout, "Usage:") {
				t.Errorf("%v --help: exit code %d, output %q", full, code, stdout)
			}
			check(full, s.sub)
		}
	}
	check(nil, commands(&output{}))
}

func TestHelpDocumentsTheExitCodes(t *testing.T) {
	_, stdout, _ := run("--help")
	for code := ExitOK; code <= ExitPending; code++ {
		if !strings.Contains(stdout, fmt.Sprintf("\n%d  ", code)) {
			t.Errorf("exit code %d is not in the help", code)
		}
	}
}

func TestUsageErrorsExitWithTwo(t *testing.T) {
	for _, args := range [][]string{{}, {"no-such"}, {"zone"}, {"zone", "out"}, {"status", "--no-such"}, {"version", "extra"}, {"entry"}, {"status"}, {"job", "submit"}} {
		t.Setenv("BERGAMOTWING_OPERATORS", "")
		t.Setenv("BERGAMOTWING_ENTRIES", "")
		if code, _, stderr := run(args...); code != ExitUsage || !strings.Contains(stderr, "--help") {
			t.Errorf("%v: exit code %d, %q", args, code, stderr)
		}
	}
}

func TestEachKindOfErrorHasItsExitCode(t *testing.T) {
	coded := func(c result.Code) *result.Error { return &result.Error{Code: c} }
	for _, c := range []struct {
		err  error
		want int
	}{
		{nil, ExitOK},
		{fmt.Errorf("other"), ExitFailed},
		{&client.FailedError{Err: coded(result.TaskFailed)}, ExitFailed},
		{&client.NotRunError{Err: coded(result.Overloaded)}, ExitNotRun},
		{&client.UnknownError{Err: coded(result.OutcomeUnknown)}, ExitUnknown},
		{coded(result.StoreUnavailable), ExitUnknown},
		{coded(result.NoteConflict), ExitConflict},
		{coded(result.NoteReused), ExitConflict},
		{&client.FailedError{Err: coded(result.TicketReused)}, ExitConflict},
		{coded(result.BadSettings), ExitSettings},
		{coded(result.HeldNotDurable), ExitPending},
		{fmt.Errorf("wrapped: %w", coded(result.NoteUnconfirmed)), ExitPending},
	} {
		if got := exitCode(c.err); got != c.want {
			t.Errorf("%v: exit code %d, want %d", c.err, got, c.want)
		}
	}
}

func TestCodesPageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../docs/CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	_, want, _ := run("codes", "--markdown")
	if diff := cmp.Diff(want, string(page)); diff != "" {
		t.Errorf("run 'bergamotwing codes --markdown > docs/CODES.md' (-want +page):\n%s", diff)
	}
}

func TestWrongNoteFileIsRefusedWithItsLine(t *testing.T) {
	good := writeFile(t, "{ // comment\n \"id\": \"n-1\", \"writtenAgainst\": 3,\n}")
	if code, stdout, stderr := run("note", "check", good); code != ExitOK || !strings.Contains(stdout, "n-1") {
		t.Errorf("good note: exit code %d, %s%s", code, stdout, stderr)
	}
	for _, c := range []struct{ text, want string }{
		{"{\n \"id\": \"n-1\",\n \"zonez\": {} }", "line 3"},
		{"{\n \"id\": 7}", "line 2"},
		{"{}", "no id"},
		{"{", "file.jsonc"},
	} {
		code, _, stderr := run("note", "apply", writeFile(t, c.text), "--operators", "http://127.0.0.1:1")
		if code != ExitSettings || !strings.Contains(stderr, c.want) {
			t.Errorf("%q: exit code %d, %s", c.text, code, stderr)
		}
	}
}

func TestStatusMarksProcessesWithProblems(t *testing.T) {
	url := startFakeEntry(t, 200, `{"entry":"e1","version":7,"noteId":"n7","storeAgeMs":-1,"warnings":["the store is down"],
		"entries":[{"id":"e1","version":7},{"id":"e2","version":6,"silentMs":25000}],
		"agents":[{"id":"a1","zone":"gwent","version":7,"silentMs":15000},{"id":"a2","version":7,"ejected":true,"leaving":true,"failurePct":50}]}`)
	code, stdout, _ := run("status", "--operators", url)
	if code != ExitOK {
		t.Fatalf("exit code %d", code)
	}
	lines := map[string]string{}
	for line := range strings.Lines(stdout) {
		if f := strings.Fields(line); len(f) > 0 {
			lines[f[0]] = strings.TrimSpace(line)
		}
	}
	for id, want := range map[string]string{"WARNING": "the store is down", "e2": "behind, silent, not linked", "a2": "ejected, leaving, failing"} {
		if !strings.HasSuffix(lines[id], want) {
			t.Errorf("%s: %q does not end in %q", id, lines[id], want)
		}
	}
	for _, id := range []string{"e1", "a1"} {
		if strings.Contains(lines[id], "behind") || strings.Contains(lines[id], "linked") || strings.Contains(lines[id], "silent") {
			t.Errorf("%s is marked: %q", id, lines[id])
		}
	}
}

func TestZoneCommandShowsWhereTheNoteIsMissing(t *testing.T) {
	url := startFakeEntry(t, 202, `{"code":405,"name":"note_unconfirmed","noteId":"n9","version":9,"inForce":["e1"],"missing":["e2","a4"]}`)
	code, stdout, stderr := run("zone", "out", "gwent", "--operators", url)
	if code != ExitPending || !strings.Contains(stdout, "MISSING at   e2, a4") {
		t.Errorf("exit code %d, %s%s", code, stdout, stderr)
	}
}

func TestConflictNamesTheNoteThatCameFirst(t *testing.T) {
	url := startFakeEntry(t, 409, `{"code":400,"name":"note_conflict","noteId":"n9","version":9,"conflictsAt":"n8"}`)
	code, stdout, _ := run("zone", "back", "gwent", "--operators", url)
	if code != ExitConflict || !strings.Contains(stdout, "note n8 came first") {
		t.Errorf("exit code %d, %s", code, stdout)
	}
}

func TestJobWithUnknownOutcomeNamesItsTicket(t *testing.T) {
	url := startFakeEntry(t, 503, `{"code":303,"name":"outcome_unknown","tickets":["t1"]}`)
	code, _, stderr := run("job", "submit", "--ticket", "t1", "--service", "postlink", "--payload", "x", "--deadline", "200ms", "--timeout", "300ms", "--entries", url)
	if code != ExitUnknown || !strings.Contains(stderr, "--ticket t1") {
		t.Errorf("exit code %d, %s", code, stderr)
	}
}

func TestSettingsCheckReportsTheFile(t *testing.T) {
	for _, process := range []string{"entry", "agent"} {
		code, _, stderr := run(process, "--check-settings", "--settings", writeFile(t, "{\n \"zone\": 1 }"))
		if code != ExitSettings || !strings.Contains(stderr, "file.jsonc:2") {
			t.Errorf("%s: exit code %d, %s", process, code, stderr)
		}
	}
}
