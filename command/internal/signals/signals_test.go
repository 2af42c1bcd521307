package signals

import (
	"errors"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// What the test binary does, as its first argument, when it runs as a helper.
const (
	helperServesNobody = "helper-default"
	helperServes       = "helper-watch"
)

const helperLimit = 5 * time.Second

func TestMain(m *testing.M) {
	switch {
	case len(os.Args) < 2:
	case os.Args[1] == helperServesNobody:
		raise(syscall.SIGTERM)
		Default()
		time.Sleep(helperLimit)
		os.Exit(1)
	case os.Args[1] == helperServes:
		floodThenStop()
	}
	os.Exit(m.Run())
}

// floodThenStop has many signals of one kind come before a stop, all before they
// are watched, while what notes them is stuck.
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
	case <-time.After(helperLimit):
		os.Exit(1)
	}
}

func runHelper(t *testing.T, argument string) error {
	t.Helper()
	return exec.CommandContext(t.Context(), os.Args[0], argument).Run()
}

func TestASignalBeforeDefaultTakesEffect(t *testing.T) {
	const runs = 30 // the signal may be under way while Default runs
	for range runs {
		err := runHelper(t, helperServesNobody)
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGTERM {
			t.Fatalf("ended with %v, want SIGTERM", err)
		}
	}
}

func TestAStopIsHeardWhateverElseComes(t *testing.T) {
	if err := runHelper(t, helperServes); err != nil {
		t.Errorf("SIGTERM was lost: %v", err)
	}
}

func TestOnlyAnInterruptEndsAProcessThatStops(t *testing.T) {
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
