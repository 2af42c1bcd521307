package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/platform/fake"
	"bergamotwing.example/wire"
)

const (
	lateTime = 2 * time.Second // after which an endpoint with the fault EndpointLate carries out an order
	pumpTime = 5 * time.Second // limit for what a test waits for
)

// pumpedAgent is an agent that receives its messages in the test's goroutine. It is
// linked to no entry.
type pumpedAgent struct {
	*Agent
	t        *testing.T
	messages chan any
	endpoint *fake.Endpoint
	record   *fake.Record
	control  string // address for the endpoint's heartbeats
	exit     context.CancelFunc
	owner    dispatch.Owner
}

// newPumpedAgent returns an agent whose endpoint has sent a heartbeat.
func newPumpedAgent(t *testing.T) *pumpedAgent {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	record := fake.NewRecord()
	endpoint := fake.NewEndpoint(fake.EndpointConfig{
		ID: "i-0", Service: "svc", Zone: "z1", Addr: listener.Addr().String(), CPUMilli: 4000, Record: record,
	})
	server := &http.Server{Handler: endpoint, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return newPumpedAgentOf(t, endpoint, record)
}

// newPumpedAgentOf returns an agent that an endpoint has sent a heartbeat.
func newPumpedAgentOf(t *testing.T, endpoint *fake.Endpoint, record *fake.Record) *pumpedAgent {
	t.Helper()
	_, store := startStore(t)
	a := &pumpedAgent{
		Agent: newTestAgent(t, testNode(t, store)), t: t, messages: make(chan any, 10000),
		endpoint: endpoint, record: record, owner: dispatch.Owner{Entry: "n", Incarnation: 1},
	}
	ctx, cancel := context.WithCancel(t.Context())
	a.ctx, a.exit = ctx, cancel
	a.actor.Start(func(_ time.Duration, message any) { a.messages <- message })
	t.Cleanup(a.actor.Shutdown)
	heartbeats := httptest.NewServer(platform.ControlHandler(a, func(err error) { t.Error(err) }))
	t.Cleanup(heartbeats.Close)
	a.control = heartbeats.Listener.Addr().String()
	a.messages <- control.Tick{}
	a.announce()
	return a
}

// Announced implements platform.EndpointEvents.
func (a *pumpedAgent) Announced(n platform.Announcement) bool {
	a.messages <- announced{n, make(chan struct{}, 1)}
	return true
}

// Ended implements platform.EndpointEvents.
func (a *pumpedAgent) Ended(string) {}

// announce has the endpoint send a heartbeat, and the agent receive it.
func (a *pumpedAgent) announce() {
	a.t.Helper()
	if err := a.endpoint.Announce(a.control); err != nil {
		a.t.Fatal(err)
	}
}

// pump receives messages until done returns true.
func (a *pumpedAgent) pump(waitsFor string, done func() bool) {
	a.t.Helper()
	for timeout := time.After(pumpTime); !done(); {
		select {
		case message := <-a.messages:
			a.receive(mesh.Now(), message)
		case <-timeout:
			a.t.Fatalf("waited in vain for %s", waitsFor)
		}
	}
}

func (a *pumpedAgent) pumpFor(d time.Duration) {
	a.t.Helper()
	end := mesh.Now() + d
	a.pump("time to pass", func() bool { return mesh.Now() > end })
}

// pumpUntilAvailable waits for an available lifetime that is later than earlier.
func (a *pumpedAgent) pumpUntilAvailable(earlier dispatch.EndpointID) (id dispatch.EndpointID) {
	a.t.Helper()
	a.pump("an available endpoint", func() bool {
		for _, e := range a.state.endpoints {
			if id = e.announced.Endpoint; id.Born > earlier.Born && e.guard.Status(a.owner).Available {
				return true
			}
		}
		return false
	})
	return id
}

func (a *pumpedAgent) order(id dispatch.EndpointID, run dispatch.RunRef) {
	now := mesh.Now()
	a.state.endpoints[id].guard.RenewOwner(a.owner, now+a.state.timing.OwnerLease)
	a.state.order(now, a.owner, &wire.RunOrder{Endpoint: id, Echo: now, Payload: "100", Runs: []wire.OrderedRun{
		{Run: run, Need: dispatch.Resources{CPUMilli: 1000}, Order: 1},
	}})
	a.state.applyActions(now)
}

// restartBehindLateStart orders a run whose start the endpoint carries out late, begins a
// new lifetime under the same id, and waits until that is available. Stops have no answer.
func (a *pumpedAgent) restartBehindLateStart(run dispatch.RunRef) (earlier, next dispatch.EndpointID) {
	a.t.Helper()
	earlier = a.pumpUntilAvailable(dispatch.EndpointID{})
	a.endpoint.SetFault(fake.EndpointLate)
	a.order(earlier, run)
	a.pumpFor(10 * time.Millisecond)
	a.endpoint.Restart()
	a.announce()
	return earlier, a.pumpUntilAvailable(earlier)
}

var lateRun = dispatch.RunRef{Task: dispatch.TaskRef{Job: "5c0e7a21d94b36f8"}, Run: 1}

// The call is late beyond the end of its lifetime. If the end of its run were reported
// with that lifetime, the task would be placed elsewhere and then run here too.
func TestAStartForAnEarlierLifetimeIsRefusedBeforeItsRunIsReportedAsEnded(t *testing.T) {
	a := newPumpedAgent(t)
	a.pumpFor(lateTime) // so that the start is valid until then by the new lifetime's clock
	a.restartBehindLateStart(lateRun)
	if len(a.state.ends) > 0 || len(a.state.endpoints) != 2 {
		t.Fatalf("ends %+v, %d lifetimes kept; want no end and the earlier lifetime, too", a.state.ends, len(a.state.endpoints))
	}
	a.endpoint.SetFault(fake.EndpointHealthy)
	a.pump("the end of the run", func() bool { return len(a.state.ends) > 0 })
	if len(a.state.endpoints) != 1 {
		t.Errorf("%d lifetimes kept, want the new one", len(a.state.endpoints))
	}
	a.pumpFor(lateTime)
	if n := a.record.Starts(lateRun.Task.Job); n != 0 {
		t.Errorf("%d runs started after the end was reported", n)
	}
}

// The answer of an earlier lifetime to a stop keeps no start from a later one.
func TestAStopThatAnEarlierLifetimeAnsweredEndsNoRun(t *testing.T) {
	a := newPumpedAgent(t)
	earlier, _ := a.restartBehindLateStart(lateRun)
	a.messages <- stopAnswered{earlier, earlier.Born, lateRun, dispatch.CallResult{Clock: time.Millisecond}, nil}
	a.pumpFor(200 * time.Millisecond)
	if len(a.state.ends) > 0 {
		t.Errorf("ends %+v, want none", a.state.ends)
	}
}

// Endpoints refuse a run only once it or a later one was stopped or has ended, so an
// earlier run could start beside this one.
func TestATaskThatMayStillStartInAnEarlierLifetimeIsBusyInTheNext(t *testing.T) {
	a := newPumpedAgent(t)
	_, next := a.restartBehindLateStart(lateRun)
	run := lateRun
	run.Run = 2
	a.order(next, run)
	if len(a.state.ends) != 1 || a.state.ends[0].end.Run != run || a.state.ends[0].end.Reason != dispatch.TaskBusy {
		t.Errorf("ends %+v, want %v refused as busy", a.state.ends, run)
	}
}

// The next lifetime may carry out the start, and is there as long as it is not given up.
func TestALifetimeWhoseIDWasTakenOverIsGivenUpOnlyAfterTheNext(t *testing.T) {
	a := newPumpedAgent(t)
	earlier, next := a.restartBehindLateStart(lateRun)
	e := a.state.endpoints[earlier]
	later := mesh.Now()
	pass := func(d time.Duration) { // without an answer
		for end := later + d; later < end; later += busyTick {
			e.guard.Tick(later)
		}
	}
	pass(time.Minute)
	a.state.endIfUnresponsive(later, e)
	pass(lateTime)
	if e.guard.Runs() != 1 || e.guard.Ended() {
		t.Fatalf("%d runs kept, ended %v, while the next lifetime may start the run", e.guard.Runs(), e.guard.Ended())
	}
	delete(a.state.endpoints, next)
	a.state.endIfUnresponsive(later, e)
	pass(lateTime)
	if !e.guard.Ended() {
		t.Error("not ended after the next lifetime")
	}
}

// Nobody had time to ask the endpoint while the process was frozen.
func TestAFrozenAgentDoesNotTakeItsOwnSilenceForTheEndpoints(t *testing.T) {
	a := newPumpedAgent(t)
	id := a.pumpUntilAvailable(dispatch.EndpointID{})
	a.receive(mesh.Now()+time.Minute, control.Tick{})
	if a.state.endpoints[id] == nil {
		t.Fatal("the lifetime was given up")
	}
}

// The time of day may jump back before an endpoint starts again.
func TestALifetimeBornEarlierByTheTimeOfDayTakesTasks(t *testing.T) {
	a := newPumpedAgent(t)
	earlier := a.pumpUntilAvailable(dispatch.EndpointID{})
	next := dispatch.EndpointID{ID: earlier.ID, Born: earlier.Born - 1000}
	a.endpoint.RestartAt(next.Born)
	a.announce()
	a.pump("the new lifetime", func() bool {
		e := a.state.endpoints[next]
		return e != nil && e.guard.Status(a.owner).Available
	})
	if a.state.endpoints[earlier] != nil {
		t.Error("the earlier lifetime is kept")
	}
	a.order(next, lateRun)
	a.pump("the end of the run", func() bool { return len(a.state.ends) > 0 })
	if got := a.state.ends[0].end.Reason; got != dispatch.EndDone {
		t.Errorf("run ended as %v", got)
	}
}

// A heartbeat may come long after its lifetime has ended, and its time of birth says
// nothing about the order: the run goes on in the lifetime that answers.
func TestALateHeartbeatOfAnotherLifetimeEndsNoRun(t *testing.T) {
	a := newPumpedAgent(t)
	id := a.pumpUntilAvailable(dispatch.EndpointID{})
	a.order(id, lateRun)
	a.pumpFor(50 * time.Millisecond) // it is listed
	n := a.state.endpoints[id].announced
	n.Endpoint.Born += 1000
	a.Announced(n)
	a.pump("the end of the run", func() bool { return len(a.state.ends) > 0 })
	if got := a.state.ends[0].end.Reason; got != dispatch.EndDone {
		t.Errorf("run ended as %v while it went on", got)
	}
}

// Hypotheses about a task that ran twice differ in how the end of its first run was known.
func TestTheLogSaysHowTheEndOfARunWasKnown(t *testing.T) {
	a := newPumpedAgent(t)
	var out bytes.Buffer
	a.deps.Log = zerolog.New(&out)
	id := a.pumpUntilAvailable(dispatch.EndpointID{})
	a.order(id, lateRun)
	a.pump("the end of the run", func() bool { return len(a.state.ends) > 0 })
	if strings.Contains(out.String(), "run_ended") {
		t.Errorf("a line for a run that ended well:\n%s", out.String())
	}
	stopped := lateRun
	stopped.Task.Index = 1
	a.order(id, stopped)
	a.pumpFor(20 * time.Millisecond)
	a.state.endpoints[id].guard.Stop(mesh.Now(), a.owner, stopped)
	a.pump("the end of the stopped run", func() bool { return len(a.state.ends) > 1 })
	lines := 0
	for line := range strings.Lines(out.String()) {
		var fields struct {
			Event   string  `json:"event"`
			KnownBy string  `json:"known_by"`
			StopAge float64 `json:"stop_age_ms"`
		}
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatal(err)
		}
		if fields.Event != "run_ended" {
			continue
		}
		lines++
		if fields.KnownBy != "listed" || fields.StopAge <= 0 {
			t.Errorf("known by %q, stop age %v ms", fields.KnownBy, fields.StopAge)
		}
	}
	if lines != 1 {
		t.Errorf("%d lines, want one for the stopped run:\n%s", lines, out.String())
	}
}

// loseStart orders a run whose start the endpoint carries out late, and waits until the
// run is over since its validity has passed. The endpoint carries out no stop.
func (a *pumpedAgent) loseStart() {
	a.t.Helper()
	a.pumpFor(lateTime) // so that the start is valid until then by the next lifetime's clock
	id := a.pumpUntilAvailable(dispatch.EndpointID{})
	a.endpoint.SetFault(fake.EndpointLate)
	a.state.endpoints[id].foundAt = mesh.Now() // the longer timeout of starts, so that the call arrives
	a.order(id, lateRun)
	for unanswered := false; !unanswered; {
		message := <-a.messages
		if _, unanswered = message.(startAnswered); unanswered {
			a.endpoint.SetFault(fake.EndpointBusy)
		}
		a.receive(mesh.Now(), message)
	}
	a.pump("the end of the run", func() bool { return len(a.state.ends) > 0 })
	a.pumpFor(100 * time.Millisecond) // so that no stop is on its way
	a.endpoint.SetFault(fake.EndpointHealthy)
}

// The validity of the start has passed by the clock of its lifetime; that of the next one
// begins anew.
func TestAStartWhoseRunIsOverIsRefusedByTheNextLifetime(t *testing.T) {
	for name, announce := range map[string]bool{"announced": true, "found by a poll": false} {
		t.Run(name, func(t *testing.T) {
			a := newPumpedAgent(t)
			a.loseStart()
			a.endpoint.Restart()
			if announce {
				a.announce()
			}
			a.pumpFor(lateTime)
			if n := a.record.Starts(lateRun.Task.Job); n != 0 {
				t.Errorf("%d runs started after the end was reported", n)
			}
			if !announce {
				a.announce()
			}
			next := a.pumpUntilAvailable(dispatch.EndpointID{})
			if len(a.state.endpoints) != 1 || a.state.endpoints[next].guard.Runs() != 0 {
				t.Errorf("%d lifetimes and %d runs kept", len(a.state.endpoints), a.state.endpoints[next].guard.Runs())
			}
		})
	}
}

// The agent that sent the start has exited, and its next incarnation knows nothing of it.
func TestAStartWhoseRunIsOverIsRefusedByTheNextLifetimeOfARestartedAgent(t *testing.T) {
	a := newPumpedAgent(t)
	a.loseStart()
	a.exit()
	a.endpoint.Restart()
	next := newPumpedAgentOf(t, a.endpoint, a.record)
	next.pumpFor(lateTime)
	if n := a.record.Starts(lateRun.Task.Job); n != 0 {
		t.Errorf("%d runs started after the end was reported", n)
	}
}
