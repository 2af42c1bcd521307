//go:build cgo

package signals

/*
#include <signal.h>
#include <stddef.h>

static int was_default;

// Runs before the Go runtime starts. Unless SIGHUP was ignored when the process
// started, the Go runtime ends the process on it until the program calls
// signal.Notify. A SIGHUP that comes before the settings have been read may be
// ignored, since it asks for nothing but a reload.
static void __attribute__((constructor)) ignore_hangup(void) {
	struct sigaction old;
	was_default = sigaction(SIGHUP, NULL, &old) == 0 && old.sa_handler == SIG_DFL;
	if (was_default)
		signal(SIGHUP, SIG_IGN);
}

static void restore_hangup(void) {
	if (was_default)
		signal(SIGHUP, SIG_DFL);
}
*/
import "C"

// restoreHangup restores the effect that SIGHUP had when the process started.
func restoreHangup() { C.restore_hangup() }
