package agent

import (
	"testing"
	"time"
)

// After a start of everything the first calls open connections while all
// processes want the processor; taken for unanswered, they would be stopped and
// the tasks placed again.
func TestFirstStartsMayTakeLonger(t *testing.T) {
	e := &endpoint{found: time.Minute}
	if limit := e.startLimit(time.Minute + 300*time.Millisecond); limit != firstStartTimeout {
		t.Errorf("limit %v soon after the endpoint was found, want %v", limit, firstStartTimeout)
	}
	if limit := e.startLimit(time.Minute + firstCalls); limit != startTimeout {
		t.Errorf("limit %v later, want %v", limit, startTimeout)
	}
}
