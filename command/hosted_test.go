package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	hostedagent "bergamotwing.example/hosted/agent"
	"bergamotwing.example/hosted/control"
	hostedentry "bergamotwing.example/hosted/entry"
	"bergamotwing.example/platform"
	"bergamotwing.example/platform/fake"
	"bergamotwing.example/telemetry"
)

const (
	testHost    = "127.78.1.%d" // of a hosted process; a new address for each, since listeners close only when the test binary exits
	testPeer    = "127.78.0.2"  // a seed that only the new settings name
	testStore   = "127.78.0.3:8169"
	testTimeout = 5 * time.Second
)

var testHosts atomic.Int64

// writeSettings writes a settings file and returns the settings read back from it.
func writeSettings(t *testing.T, file string, n fake.Node) platform.Node {
	t.Helper()
	text, err := n.SettingsFile()
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	node, err := platform.LoadNode(file)
	if err != nil {
		t.Fatal(err)
	}
	return node
}

// The settings file may change between its first reading and the start of the
// process; the change must reach a process that is not running yet.
func TestSettingsChangedBeforeAProcessRunsAreApplied(t *testing.T) {
	for _, role := range []string{"entry", "agent"} {
		t.Run(role, func(t *testing.T) {
			peer, err := net.Listen("tcp", fake.Addr(testPeer, fake.LinkPort))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = peer.Close() })
			dialed := make(chan struct{})
			go func() {
				if conn, err := peer.Accept(); err == nil {
					_ = conn.Close()
					close(dialed)
				}
			}()
			file := filepath.Join(t.TempDir(), role)
			host := fake.Node{Name: "host", IP: fmt.Sprintf(testHost, testHosts.Add(1)), Zone: "z", StoreAddr: testStore}
			if role == "agent" {
				host.Service = "svc"
			}
			host.Seeds = []string{host.IP}
			node := writeSettings(t, file, host)
			host.Seeds = []string{host.IP, testPeer}
			writeSettings(t, file, host)
			metrics, err := telemetry.NewMetrics()
			if err != nil {
				t.Fatal(err)
			}
			p := &hostedProcess{log: zerolog.New(io.Discard), metrics: metrics}
			deps := control.Deps{Log: p.log, Metrics: p.metrics}
			var r runner = hostedagent.New(node, deps)
			if role == "entry" {
				r = hostedentry.New(node, hostedentry.Options{}, deps)
			}
			ctx, cancel := context.WithCancel(t.Context())
			reload := make(chan struct{}, 1)
			reload <- struct{}{}
			go p.reloadOnChange(ctx, reload, file, node, r)
			for len(reload) > 0 {
				time.Sleep(time.Millisecond)
			}
			ended := make(chan error, 1)
			go func() { ended <- r.Run(ctx) }()
			select {
			case <-dialed:
			case <-time.After(testTimeout):
				t.Error("the new seed is not dialed")
			}
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

func TestStartWaitsForSettingsThatAreBeingWritten(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry")
	want := writeSettings(t, file, fake.Node{Name: "host", IP: testPeer, Zone: "z", StoreAddr: testStore})
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, text[:len(text)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	written := make(chan error, 1)
	go func() {
		time.Sleep(2 * settingsRetryDelay)
		written <- os.WriteFile(file, text, 0o600)
	}()
	got, err := loadInitialSettings(file)
	if err := errors.Join(err, <-written); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestBoundsThatTheMachineDoesNotHaveStopTheStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry")
	writeSettings(t, file, fake.Node{Name: "host", IP: testPeer, Zone: "z", StoreAddr: testStore, MemoryMb: 184, MaxFds: 4100})
	for _, tc := range []struct{ role, option, value, want string }{
		{"entry", "--client-connections", "-1", "negative"},
		{"entry", "--client-connections", "4000", "descriptors"},
		{"entry", "--links", "-1", "negative"},
		{"entry", "--links", "4000", "descriptors"},
		{"entry", "--held-mb", "-1", "negative"},
		{"entry", "--held-mb", "93", "half of the machine's 184 MB"},
		{"agent", "--held-mb", "93", "half of the machine's 184 MB"},
		{"agent", "--body-time", "-1s", "negative"},
	} {
		code, _, stderr := run("hosted", tc.role, "--node-file", file, tc.option+"="+tc.value)
		if code != ExitUsage || !strings.Contains(stderr, tc.want) {
			t.Errorf("%s %s=%s: exit code %d, %q; want %d, %q", tc.role, tc.option, tc.value, code, stderr, ExitUsage, tc.want)
		}
	}
}
