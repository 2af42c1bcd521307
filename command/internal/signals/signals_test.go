package signals

import (
	"errors"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// First arguments that make the test binary run as a helper process.
const (
	helperDefault = "helper-default"
	helperWatch   = "helper-watch"
)

const helperTimeout = 5 * time.Second

func TestMain(m *testing.M) {
	switch {
	case len(os.Args) < 2:
	case os.Args[1] == helperDefault:
		raise(syscall.SIGTERM)
		Default()
		time.Sleep(helperTimeout)
		os.Exit(1)
	case os.Args[1] == helperWatch:
		floodThenStop()
	}
	os.Exit(m.Run())
}

// floodThenStop raises many SIGHUPs and then SIGTERM, all before Watch is called
// with a record function that never returns. It exits with 0 if Watch still
// reports the stop.
func floodThenStop() {
	const hangups = 100
	for range hangups {
		raise(syscall.SIGHUP)
	}
	raise(syscall.SIGTERM)
	stopping, _ := Watch(true, func(os.Signal, Effect) { select {} })
	select {
	case <-stopping.Done():
		os.Exit(0)
	case <-time.After(helperTimeout):
		os.Exit(1)
	}
}

func runHelper(t *testing.T, argument string) error {
	t.Helper()
	return exec.CommandContext(t.Context(), os.Args[0], argument).Run()
}

func TestASignalBeforeDefaultTakesEffect(t *testing.T) {
	const runs = 30 // the signal may or may not have been delivered when Default runs
	for range runs {
		err := runHelper(t, helperDefault)
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGTERM {
			t.Fatalf("ended with %v, want SIGTERM", err)
		}
	}
}

func TestStopIsNotLostAmongOtherSignals(t *testing.T) {
	if err := runHelper(t, helperWatch); err != nil {
		t.Errorf("SIGTERM was lost: %v", err)
	}
}

func TestOnlySIGINTEndsAStoppingProcess(t *testing.T) {
	for _, tc := range []struct {
		signal            os.Signal
		stopping, reloads bool
		want              Effect
	}{
		{syscall.SIGTERM, false, true, Stop},
		{syscall.SIGINT, false, true, Stop},
		{syscall.SIGHUP, false, true, Reload},
		{syscall.SIGHUP, false, false, Ignore},
		{syscall.SIGTERM, true, true, Ignore},
		{syscall.SIGHUP, true, true, Ignore},
		{syscall.SIGHUP, true, false, Ignore},
		{syscall.SIGINT, true, true, End},
	} {
		if got := effectOf(tc.signal, tc.stopping, tc.reloads); got != tc.want {
			t.Errorf("%v, stopping %v, reloads %v: %q, want %q", tc.signal, tc.stopping, tc.reloads, got, tc.want)
		}
	}
}
