// Package mesh keeps the links between the processes of a deployment: it listens,
// dials, exchanges the hello messages and passes what it receives to the process's
// control actor.
package mesh

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the reading of the host's boot-time clock. It never jumps back and
// includes the time that the host is suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(started) // not reached on Linux
	}
	return time.Duration(ts.Nano())
}

var started = time.Now()
