package command

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"bergamotwing.example/platform/fake"
)

const configFormat = `{"Version":%d,"Routes":[{"Name":"r","Host":"h.example","Prefix":"/a/","Service":"svc","TimeoutMs":1500,
"TargetLatencyMs":%d,"Priority":0,"MaxAttempts":3,"Stretch":3}],
"Services":[{"Name":"svc","AdmissionCheck":true}],"Limits":{"MaxBodyBytes":262144}}`

func TestHostedCheckComparesWithTheConfigurationInForce(t *testing.T) {
	old, changed := writeFile(t, fmt.Sprintf(configFormat, 7, 60)), writeFile(t, fmt.Sprintf(configFormat, 8, 80))
	code, stdout, stderr := run("hosted", "check", changed, "--in-force", old)
	if want := "differences from version 7:\n  ~ Routes r TargetLatencyMs: 80, was 60\n  ~ Version: 8, was 7\n"; code != ExitOK || stdout != want {
		t.Errorf("exit code %d, %s%s", code, stdout, stderr)
	}
	code, stdout, stderr = run("hosted", "check", old, "--in-force", changed)
	if code != ExitSettings || !strings.Contains(stdout, old+":1: error: Version = 7: is not above 8") || !strings.Contains(stderr, "errors: 1") {
		t.Errorf("older version: exit code %d, %s%s", code, stdout, stderr)
	}
}

func TestHostedCheckReadsTheStore(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	store := fake.NewStore()
	server := &http.Server{Handler: store} //nolint:gosec // a test's
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	file := writeFile(t, fmt.Sprintf(configFormat, 8, 80))
	check := func() (report configReport) {
		t.Helper()
		code, stdout, stderr := run("hosted", "check", file, "--store", listener.Addr().String(), "--json")
		if err := json.Unmarshal([]byte(stdout), &report); code != ExitOK || err != nil {
			t.Fatalf("exit code %d, %v, %s%s", code, err, stdout, stderr)
		}
		return report
	}
	if got := check(); got.Compared != nil {
		t.Errorf("without a configuration in force: %+v", got)
	}
	store.SetConfig(7, "h.example", "/a/", "svc")
	if got := check(); got.Compared == nil || *got.Compared != 7 || len(got.Changes) != 2 || len(got.Findings) != 0 {
		t.Errorf("%+v", got)
	}
}

func TestHostedCheckRefusesWrongUse(t *testing.T) {
	file := writeFile(t, fmt.Sprintf(configFormat, 8, 80))
	for _, args := range [][]string{{}, {file, "--in-force", file, "--store", "127.0.0.1:1"}, {file, "--store", "nowhere"}} {
		if code, _, stderr := run(append([]string{"hosted", "check"}, args...)...); code != ExitUsage {
			t.Errorf("%v: exit code %d, %s", args, code, stderr)
		}
	}
	if code, _, stderr := run("hosted", "check", file, "--store", "127.0.0.1:1"); code != ExitFailed {
		t.Errorf("a store that does not answer: exit code %d, %s", code, stderr)
	}
	if code, _, stderr := run("hosted", "check", file, "--in-force", writeFile(t, "{")); code != ExitSettings {
		t.Errorf("a configuration in force that cannot be read: exit code %d, %s", code, stderr)
	}
}
