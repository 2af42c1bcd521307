package signals

import (
	"os"
	"syscall"
	"testing"
)

func TestOnlyASecondInterruptEndsAProcessThatStops(t *testing.T) {
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
