package agent

import (
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/release"
	"bergamotwing.example/result"
	"bergamotwing.example/tablestore"
	"bergamotwing.example/wire"
)

func openEndpoint(t *testing.T) *gatedEndpoint {
	g := newGatedEndpoint(t)
	close(g.gate)
	return g
}

// awaitRefusal waits for the next refusal and checks its code; it sends no grant.
func awaitRefusal(t *testing.T, e *fakeEntry, want result.Code) *wire.Refuse {
	t.Helper()
	refusal := await[*wire.Refuse](e)
	if refusal.Code != want {
		t.Fatalf("refused with %v, want %v", refusal.Code, want)
	}
	return refusal
}

func post(t *testing.T, a *Agent, path string) int {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+a.Addr()+path, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func TestGrantedTaskRunsOnceAndItsResultCarriesTheNextCredit(t *testing.T) {
	e, g := newFakeEntry(t), openEndpoint(t)
	runAgent(t, g.server.URL, newMemTable(), e)
	spent := e.credit()
	e.grant(1, 0, spent)
	first := await[*wire.Result](e)
	if first.Code != result.OK || string(first.Body) != "done" || first.Credit == nil {
		t.Fatalf("result %+v", first)
	}
	e.grant(1, 0, *first.Credit)
	refusal := awaitRefusal(t, e, result.AlreadyStarted)
	e.grant(1, 1, spent)
	awaitRefusal(t, e, result.StaleCredit)
	e.grant(1, 1, *refusal.Credit)
	if res := await[*wire.Result](e); res.Task.Index != 1 {
		t.Errorf("result %+v", res)
	}
	if len(g.started) != 2 {
		t.Errorf("the endpoint got %d requests, want 2", len(g.started))
	}
}

func TestGrantIsRefusedWithTheReasonOfItsFirstFailedCheck(t *testing.T) {
	e, g := newFakeEntry(t), openEndpoint(t)
	runAgent(t, g.server.URL, newMemTable(), e)
	c := e.credit()
	e.send(&wire.Fence{Request: 9, Tickets: []wire.TicketID{e.task(4, 0).Ticket}})
	if reply := await[*wire.FenceReply](e); reply.Request != 9 || len(reply.Started[0]) != 0 {
		t.Fatalf("reply %+v", reply)
	}
	for _, step := range []struct {
		want   result.Code
		change func(*wire.Grant)
	}{
		{result.BadMessage, func(g *wire.Grant) { g.Task.Index = -1 }},
		{result.NotIssuer, func(g *wire.Grant) { g.Task.Ticket.Incarnation++ }},
		{result.TicketFenced, func(g *wire.Grant) { g.Task = e.task(4, 0) }},
		{result.StartTooLate, func(g *wire.Grant) { g.StartInMS = 0 }},
	} {
		grant := e.newGrant(1, 0, c)
		step.change(grant)
		e.send(grant)
		c = *awaitRefusal(t, e, step.want).Credit
	}
	e.grant(1, 0, c)
	if res := await[*wire.Result](e); res.Code != result.OK {
		t.Errorf("result %+v", res)
	}
}

func TestNothingStartsOnceThePermissionLapsed(t *testing.T) {
	e, g := newFakeEntry(t), openEndpoint(t)
	runAgent(t, g.server.URL, newMemTable(), e)
	e.credit()
	e.confirms.Store(false)
	refusal := (*wire.Refuse)(nil)
	for seq := uint64(1); refusal == nil; seq++ {
		// This credit was never issued, so the grant starts nothing. The slot's
		// real credits come from offers until the permission lapses.
		e.grant(seq, 0, wire.SlotCredit{Slot: 0, Epoch: 1 << 40})
		if r := await[*wire.Refuse](e); r.Code == result.PermissionLapsed {
			refusal = r
		}
	}
	if refusal.Credit != nil || len(g.started) != 0 {
		t.Errorf("refusal %+v after %d starts", refusal, len(g.started))
	}
	e.confirms.Store(true)
	for len(e.credits) > 0 {
		<-e.credits
	}
	e.grant(1000000, 0, e.credit())
	if res := await[*wire.Result](e); res.Code != result.OK {
		t.Errorf("result %+v", res)
	}
}

func TestUnreachableEndpointRefusesAndTheSlotComesBack(t *testing.T) {
	e := newFakeEntry(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	runAgent(t, "http://"+listener.Addr().String(), newMemTable(), e)
	e.grant(1, 0, e.credit())
	refused := awaitRefusal(t, e, result.EndpointUnreachable)
	if refused.Credit != nil {
		t.Error("a credit of an unreachable endpoint was offered at once")
	}
	e.send(&wire.Resume{Tasks: []wire.TaskRef{e.task(1, 0)}})
	reply := await[*wire.ResumeReply](e)
	if diff := cmp.Diff([]wire.TaskState{wire.TaskNeverSeen}, reply.States); diff != "" {
		t.Error(diff)
	}
	e.credit()
}

func TestResumeAfterADisconnectSendsResultsFirst(t *testing.T) {
	e, g := newFakeEntry(t), newGatedEndpoint(t)
	runAgent(t, g.server.URL, newMemTable(), e)
	await[*wire.AgentHello](e)
	e.grant(1, 0, e.credit())
	g.awaitStart(t)
	e.disconnect()
	await[*wire.AgentHello](e)
	tasks := []wire.TaskRef{e.task(1, 0), e.task(1, 1)}
	e.send(&wire.Resume{Tasks: tasks})
	reply := await[*wire.ResumeReply](e)
	if diff := cmp.Diff([]wire.TaskState{wire.TaskRunning, wire.TaskNeverSeen}, reply.States); diff != "" {
		t.Fatal(diff)
	}
	g.gate <- struct{}{}
	if res := await[*wire.Result](e); res.Code != result.OK {
		t.Fatalf("result %+v", res)
	}
	e.disconnect()
	await[*wire.AgentHello](e)
	e.send(&wire.Resume{Tasks: tasks})
	if res := await[*wire.Result](e); string(res.Body) != "done" || res.Credit != nil {
		t.Errorf("result %+v", res)
	}
	if reply := await[*wire.ResumeReply](e); reply.States[0] != wire.TaskFinished {
		t.Errorf("states %v", reply.States)
	}
}

func TestZoneOutOfServiceRefusesAndReturnOffersAgain(t *testing.T) {
	e, g := newFakeEntry(t), openEndpoint(t)
	runAgent(t, g.server.URL, newMemTable(), e)
	c := e.credit()
	awaitAck(e, 5) // of the hello
	e.send(&wire.Config{Holds: []release.Hold{{Zone: testZone, NoteID: "n6"}}})
	awaitAck(e, 5)
	e.grant(1, 0, c)
	awaitRefusal(t, e, result.ZoneOut)
	out := *e.state
	out.Version, out.NoteID, out.Zones = 6, "n6", map[string]release.Zone{testZone: {}}
	e.send(&wire.Config{State: &out})
	e.send(&wire.Config{State: e.state}) // an older version that must not come back
	awaitAck(e, 6)
	awaitAck(e, 6)
	e.grant(1, 0, c)
	awaitRefusal(t, e, result.ZoneOut)
	e.setState(7, "n7", true)
	e.grant(1, 0, e.credit())
	if res := await[*wire.Result](e); res.Code != result.OK {
		t.Errorf("result %+v", res)
	}
}

// setState sends a configuration and confirms its version from now on.
func (e *fakeEntry) setState(version uint64, note string, inService bool) {
	next := &release.State{
		Version: version,
		NoteID:  note,
		Zones:   map[string]release.Zone{testZone: {InService: inService}},
	}
	e.mu.Lock()
	e.state = next
	e.mu.Unlock()
	e.send(&wire.Config{State: next})
}

func awaitAck(e *fakeEntry, version uint64) {
	e.t.Helper()
	for await[*wire.ConfigAck](e).Version != version {
		continue
	}
}

func TestLeavingEndpointGetsNoWorkUntilItReturns(t *testing.T) {
	e, g := newFakeEntry(t), newGatedEndpoint(t)
	a, _ := runAgent(t, g.server.URL, newMemTable(), e)
	e.grant(1, 0, e.credit())
	g.awaitStart(t)
	if got := post(t, a, "/leave"); got != http.StatusOK {
		t.Fatalf("leave: %d", got)
	}
	if ping := await[*wire.AgentPing](e); !ping.Leaving {
		t.Errorf("ping %+v", ping)
	}
	e.grant(1, 1, wire.SlotCredit{Slot: 0, Epoch: 2})
	awaitRefusal(t, e, result.EndpointLeaving)
	g.gate <- struct{}{}
	if res := await[*wire.Result](e); res.Code != result.OK || res.Credit != nil {
		t.Errorf("result %+v", res)
	}
	if got := post(t, a, "/return"); got != http.StatusOK {
		t.Fatalf("return: %d", got)
	}
	e.credit()
}

func TestGracefulStopFinishesTasksAndIsRecordedInTheTable(t *testing.T) {
	e, g, table := newFakeEntry(t), newGatedEndpoint(t), newMemTable()
	_, stop := runAgent(t, g.server.URL, table, e)
	e.grant(1, 0, e.credit())
	g.awaitStart(t)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop()
	}()
	for !await[*wire.AgentPing](e).Leaving {
		continue
	}
	if at := agentRecord(t, table).CleanStopAt; at != 0 {
		t.Errorf("a clean stop at %d is recorded while a task runs", at)
	}
	g.gate <- struct{}{}
	if res := await[*wire.Result](e); res.Code != result.OK {
		t.Errorf("result %+v", res)
	}
	<-stopped
	if agentRecord(t, table).CleanStopAt == 0 {
		t.Error("the clean stop is not recorded")
	}
}

func agentRecord(t *testing.T, table *memTable) tablestore.AgentRecord {
	t.Helper()
	table.mu.Lock()
	defer table.mu.Unlock()
	var record tablestore.AgentRecord
	if err := json.Unmarshal(table.rows[tablestore.PrefixAgents+"agent-1"].Value, &record); err != nil {
		t.Fatal(err)
	}
	return record
}

func TestUnregisteredAgentRefusesUntilTheStoreIsBack(t *testing.T) {
	e, g, table := newFakeEntry(t), openEndpoint(t), newMemTable()
	fence, _ := json.Marshal(tablestore.FenceRecord{Tickets: []tablestore.TicketKey{{Entry: "entry-1", Incarnation: 77, Seq: 4}}})
	table.rows[tablestore.PrefixFences+"x/1"] = tablestore.Row{Key: tablestore.PrefixFences + "x/1", Value: fence, Version: 1}
	earlier, _ := json.Marshal(tablestore.AgentRecord{ID: "agent-1", Incarnation: 3})
	table.rows[tablestore.PrefixAgents+"agent-1"] = tablestore.Row{Value: earlier, Version: 8}
	table.fail = []error{tablestore.ErrUnavailable, tablestore.ErrUnavailable, tablestore.ErrUnavailable, tablestore.ErrUnknown}
	a, _ := runAgent(t, g.server.URL, table, e)
	await[*wire.AgentHello](e)
	e.grant(1, 0, wire.SlotCredit{Slot: 0, Epoch: 1})
	awaitRefusal(t, e, result.NotRegistered)
	e.grant(4, 0, e.credit())
	awaitRefusal(t, e, result.TicketFenced)
	record := agentRecord(t, table)
	replaced := record.Replaced[0]
	if record.Incarnation != uint64(a.incarnation) || len(record.Replaced) != 1 || replaced.Incarnation != 3 || replaced.Clean {
		t.Errorf("record %+v", record)
	}
}

func TestCancelEndsTheRunningTasksOfItsTicketOnly(t *testing.T) {
	e, g := newFakeEntry(t), newGatedEndpoint(t)
	runAgent(t, g.server.URL, newMemTable(), e)
	e.grant(1, 0, e.credit())
	g.awaitStart(t)
	e.send(&wire.Cancel{Ticket: e.task(2, 0).Ticket})
	e.send(&wire.Cancel{Ticket: e.task(1, 0).Ticket})
	res := await[*wire.Result](e)
	if res.Code != result.Cancelled || res.FailurePct != 0 {
		t.Errorf("result %+v", res)
	}
}

func TestUnacknowledgedCreditIsTakenBack(t *testing.T) {
	e, g := newFakeEntry(t), openEndpoint(t)
	runAgent(t, g.server.URL, newMemTable(), e)
	began := time.Now()
	first, second := e.credit(), e.credit()
	if first.Slot != second.Slot || first.Epoch >= second.Epoch || time.Since(began) < creditLease/2 {
		t.Errorf("credits %v and %v after %v", first, second, time.Since(began))
	}
}

func TestPeerNamedByAnEntryIsLinkedToo(t *testing.T) {
	first, second := newFakeEntry(t), newFakeEntry(t)
	second.self = wire.Peer{ID: "entry-2", Incarnation: 78, Addr: second.server.Listener.Addr().String()}
	runAgent(t, openEndpoint(t).server.URL, newMemTable(), first)
	await[*wire.AgentHello](first)
	first.send(&wire.Config{Peers: []wire.Peer{first.self, second.self}})
	await[*wire.AgentHello](second)
	awaitAck(second, 5)
}
