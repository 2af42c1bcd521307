package agent

import (
	"slices"
	"testing"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/wire"
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

// A stop without orders, also one from an entry of an older build, is about a run
// that this agent was ordered to start.
func TestOnlyAStopWithItsOrderIsForARunOfAnEarlierAgent(t *testing.T) {
	id := dispatch.EndpointID{ID: "e", Born: 7}
	owner := dispatch.Owner{Entry: "a", Incarnation: 1}
	run := dispatch.RunRef{Task: dispatch.TaskRef{Job: "j"}, Run: 1}
	guard := dispatch.NewGuard(id, "svc", "z", dispatch.Resources{CPUMilli: 1000}, nil, dispatch.NewTiming(dispatch.Limits{}))
	s := &state{endpoints: map[dispatch.EndpointID]*endpoint{id: {guard: guard}}}
	s.stopRuns(time.Minute, owner, &wire.RunStop{Endpoint: id, Runs: []dispatch.RunRef{run}})
	if guard.Runs() != 0 {
		t.Errorf("%d runs kept after a stop without an order", guard.Runs())
	}
	s.stopRuns(time.Minute, owner, &wire.RunStop{Endpoint: id, Runs: []dispatch.RunRef{run}, Orders: []uint64{7}})
	if kept := guard.OrdersOf(owner); !slices.Equal(kept, []uint64{7}) {
		t.Errorf("orders kept: %v, want 7", kept)
	}
	s.stopRuns(time.Minute, owner, &wire.RunStop{Endpoint: dispatch.EndpointID{ID: "other"}, Runs: []dispatch.RunRef{run}, Orders: []uint64{8}})
}
