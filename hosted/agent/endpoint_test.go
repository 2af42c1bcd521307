package agent

import (
	"testing"
	"time"
)

// When the whole deployment starts, the first calls open connections while all
// processes compete for the processor. If those calls counted as unanswered, the
// runs would be stopped and the tasks placed again.
func TestFirstStartsMayTakeLonger(t *testing.T) {
	e := &endpoint{foundAt: time.Minute}
	if limit := e.startLimit(time.Minute + 300*time.Millisecond); limit != firstStartTimeout {
		t.Errorf("limit %v soon after the endpoint was found, want %v", limit, firstStartTimeout)
	}
	if limit := e.startLimit(time.Minute + firstCalls); limit != startTimeout {
		t.Errorf("limit %v later, want %v", limit, startTimeout)
	}
}
