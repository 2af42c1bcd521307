package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/result"
)

const validEntry = `{
	"id": "entry-1", "zone": "gwent", // comments are fine
	"listen": "127.0.0.1:8080", "operatorListen": "127.0.0.1:8081",
	"linkListen": "127.0.0.1:8082",
	"keys": [{"secret": "sixteen letters!"}],
	"platform": {"url": "http://127.0.0.1:9000", "timeout": "250ms"},
}`

const validAgent = `{
	"id": "agent-1", "zone": "gwent", "service": "hire-desk", "endpoint": "http://127.0.0.1:7000",
	"listen": "127.0.0.1:7001", "entries": ["127.0.0.1:8082"],
	"keys": [{"secret": "sixteen letters!"}], "platform": {"url": "http://127.0.0.1:9000"}
}`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestFileOverridesDefaultsAndLinkAddrFollowsLinkListen(t *testing.T) {
	got, err := LoadEntry(writeFile(t, validEntry))
	if err != nil {
		t.Fatal(err)
	}
	want := DefaultEntry()
	want.ID, want.Zone, want.Listen, want.OperatorListen = "entry-1", "gwent", "127.0.0.1:8080", "127.0.0.1:8081"
	want.LinkListen, want.LinkAddr = "127.0.0.1:8082", "127.0.0.1:8082"
	want.Keys = []Key{{Secret: "sixteen letters!"}}
	want.Platform = Platform{URL: "http://127.0.0.1:9000", Timeout: Duration(250 * time.Millisecond)}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if _, err := LoadAgent(writeFile(t, validAgent)); err != nil {
		t.Error(err)
	}
}

// changed returns validEntry with old replaced. old must occur in it.
func changed(t *testing.T, old, replacement string) string {
	t.Helper()
	if !strings.Contains(validEntry, old) {
		t.Fatalf("validEntry has no %s", old)
	}
	return strings.Replace(validEntry, old, replacement, 1)
}

func TestWrongSettingIsReportedWithLineValueAndRange(t *testing.T) {
	for _, tc := range []struct{ old, replacement, want string }{
		{`"250ms"`, `"2ms"`, `f:6: platform.timeout = "2ms": must be from 50ms to 30s`},
		{`"250ms"`, `250`, `f:6: platform.timeout = 250: must be a duration in quotes such as "250ms" or "2s"`},
		{`"keys"`, `"kesy": 1, "keys"`, `f:5: kesy: unknown key`},
		{`"entry-1"`, `"a/b"`, `f:2: id = "a/b": must be 1 to 64 letters, digits, dots`},
		{`"id": "entry-1",`, ``, `f:1: id: must be set`},
		{`127.0.0.1:8080`, `localhost:8080`, `f:3: listen = "localhost:8080": must be an IP number and a port`},
		{`127.0.0.1:8081`, `0.0.0.0:8081`, `f:3: operatorListen = "0.0.0.0:8081": must be a loopback address`},
		{`127.0.0.1:8081`, `127.0.0.1:8080`, `f:3: operatorListen = "127.0.0.1:8080": must not be the address of listen`},
		{`127.0.0.1:8082`, `0.0.0.0:8082`, `f:1: linkAddr: must be set, since linkListen 0.0.0.0:8082 cannot be dialed`},
		{`"sixteen letters!"`, `"short"`, `f:5: keys[0].secret: must be 16 to 256 characters long`},
		{`"secret"`, `"secretFile": "/none", "secret"`, `f:5: keys[0].secret: must not be set, since secretFile is`},
		{`[{"secret": "sixteen letters!"}]`, `[]`, `f:5: keys: must have 1 to 8 entries`},
		{`http:`, `ftp:`, `f:6: platform.url = "ftp://127.0.0.1:9000": must be a URL such as`},
		{`"zone"`, `"limits": {"tasks": 0}, "zone"`, `f:2: limits.tasks = 0: must be from 1 to 10000`},
		{`"zone"`, `"limits": {"bodyBytes": 1024}, "zone"`, `f:2: limits.payloadBytes: must be at most limits.bodyBytes, which is 1024`},
		{`"zone"`, `"peers": ["127.0.0.1:1", "127.0.0.1:0"], "zone"`, `f:2: peers[1] = "127.0.0.1:0": must be the IP number and port that others dial`},
		{`"zone"`, `"logLevel": "loud", "zone"`, `f:2: logLevel = "loud": must be one of debug, info, warn, error`},
		{`"zone"`, `"linkTls": {"keyFile": "/none"}, "zone"`, `f:2: linkTls.certFile: must be set, since keyFile is`},
		{`"zone"`, `"linkTls": {"caFile": "/none"}, "zone"`, `f:2: linkTls.caFile = "/none": must name a file`},
	} {
		_, err := parseEntry("f", []byte(changed(t, tc.old, tc.replacement)))
		if !errors.Is(err, &result.Error{Code: result.BadSettings}) || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s -> %s:\n got %v\nwant %s", tc.old, tc.replacement, err, tc.want)
		}
	}
}

func TestEveryWrongSettingIsReportedOnce(t *testing.T) {
	_, err := parseAgent("f", []byte(`{
		"id": 7, "zone": "", "slots": 61,
		"endpoint": "x",
		"keys": [{}, {"secretFile": "/none"}],
		"stopTimeout": "0s"
	}`))
	want := strings.Split(`112 bad_settings: f:1: service: must be set
f:1: listen: must be set
f:1: entries: must be set
f:1: platform.url: must be set
f:1: connections: must be at least slots, which is 61
f:2: id = 7: must be text in quotes
f:2: zone = "": must be set
f:3: endpoint = "x": must be a URL such as http://127.0.0.1:8080
f:4: keys[0].secret: must be set, unless secretFile is
f:4: keys[1].secretFile = "/none": must name a file
f:5: stopTimeout = "0s": must be from 1s to 10m0s`, "\n")
	if diff := cmp.Diff(want, strings.Split(err.Error(), "\n")); diff != "" {
		t.Error(diff)
	}
}

func TestErrorsNeverQuoteSecrets(t *testing.T) {
	for _, text := range []string{
		`{"keys": [{"secret": "hunter2"}]}`, `{"operatorToken": "hunter2"}`, `{"keys": [{"secert": "hunter2"}]}`,
		`{"platform": {"token": ["hunter2"]}}`, `{"operatorToken": "hunter2" "x"}`,
	} {
		if _, err := parseEntry("f", []byte(text)); err == nil || strings.Contains(err.Error(), "hunter2") {
			t.Errorf("%s: %v", text, err)
		}
	}
}

func TestSettingsThatAreNotARegularFileAreRefused(t *testing.T) {
	for _, file := range []string{t.TempDir(), os.DevNull, filepath.Join(t.TempDir(), "none")} {
		if _, err := LoadEntry(file); !errors.Is(err, &result.Error{Code: result.BadSettings}) {
			t.Errorf("%s: %v", file, err)
		}
	}
}

func FuzzParseEntry(f *testing.F) {
	f.Add([]byte(validEntry))
	f.Add([]byte(`{"platform": null, "keys": [{"secretFile": "/"}], "limits": {"tasks": 1e9}}`))
	f.Add([]byte(`{"stopTimeout": "9999999h", "peers": [[]], "tls": {"caFile": "\u0000"}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := parseEntry("f", text)
		if err != nil && !errors.Is(err, &result.Error{Code: result.BadSettings}) {
			t.Fatal(err)
		}
		if err == nil && (s.ID == "" || s.OperatorToken == "" && !isLoopback(s.OperatorListen)) {
			t.Fatalf("accepted %+v", s)
		}
	})
}
