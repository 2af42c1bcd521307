package harness

import (
	"os/exec"
	"testing"
	"time"
)

func TestAStallOfTheTestsProcessIsMeasured(t *testing.T) {
	const stall = 300 * time.Millisecond
	w := WatchStalls(t)
	time.Sleep(10 * stallCheckEvery)
	stop := exec.Command("sh", "-c", "kill -STOP $PPID; sleep 0.3; kill -CONT $PPID")
	if err := stop.Run(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * stallCheckEvery)
	if got := w.Longest(); got < stall-2*stallCheckEvery {
		t.Errorf("measured a stall of %v, want %v", got, stall)
	}
}
