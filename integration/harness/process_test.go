package harness

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// helperArgument makes the test binary run as a process that waits for SIGTERM.
const helperArgument = "helper-process"

func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == helperArgument {
		runHelper()
		return
	}
	binaryFile = os.Args[0]
	goleak.VerifyTestMain(m)
}

func runHelper() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	fmt.Println("started")
	<-stop
	fmt.Println("stopped")
}

func startHelper(t *testing.T) *Process {
	t.Helper()
	p := StartProcess(t, "helper", helperArgument)
	waitForLog(t, p, "started", 1)
	return p
}

func waitForLog(t *testing.T, p *Process, text string, n int) {
	t.Helper()
	Eventually(t, testTimeout, text, func() bool { return strings.Count(p.Log(), text) == n })
}

func TestFrozenProcessActsOnlyOnceThawed(t *testing.T) {
	p := startHelper(t)
	if err := p.Freeze(); err != nil {
		t.Fatal(err)
	}
	if err := p.Stop(200 * time.Millisecond); !errors.Is(err, ErrStopTimeout) {
		t.Errorf("stop of a frozen process: %v", err)
	}
	if err := p.Thaw(); err != nil {
		t.Fatal(err)
	}
	if err := p.Wait(testTimeout); err != nil {
		t.Errorf("stop after the thaw: %v", err)
	}
	waitForLog(t, p, "stopped", 1)
}

func TestKilledProcessEndsAtOnceAndRestarts(t *testing.T) {
	p := startHelper(t)
	first := p.PID()
	p.Kill()
	if p.Running() {
		t.Error("a killed process is still running")
	}
	if err := p.Wait(testTimeout); err == nil {
		t.Error("a killed process exited with status 0")
	}
	if err := p.Freeze(); !errors.Is(err, ErrNotRunning) {
		t.Errorf("freeze of a process that has exited: %v", err)
	}
	p.Restart(t)
	waitForLog(t, p, "started", 2)
	if p.PID() == first {
		t.Error("the restarted process has the same process id")
	}
	if err := p.Stop(testTimeout); err != nil {
		t.Errorf("stop: %v", err)
	}
}
