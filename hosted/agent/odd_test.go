package agent

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/wire"
)

// A row that another writer has left under the agent's name names no endpoint.
func TestAnOddStoredEndpointIsLeftOut(t *testing.T) {
	server, addr := startStore(t)
	a := newTestAgent(t, testNode(t, addr))
	for _, value := range []string{
		``, `{`, `{}`, "\xff", `null`, `[]`, strings.Repeat("[", 60_000), `{"Endpoint":{"ID":"i-1"}}`,
		`{"Endpoint":{"ID":"i-1"},"Addr":"10.0.0.1:99999","Service":"svc","Zone":"z1"}`,
		`{"Endpoint":{"ID":"i-1"},"Addr":"10.0.0.1:0","Service":"svc","Zone":"z1"}`,
		`{"Endpoint":{"ID":"i-1"},"Addr":"10.0.0.1:80","Service":"svc","Zone":"z1","Capacity":{"CPUMilli":-1}}`,
		`{"Endpoint":{"ID":"i-1"},"Addr":"10.0.0.1:80","Service":"svc","Zone":"z1","Seq":9000000000000000000}`,
		`{"Endpoint":{"ID":"i-1"},"Addr":"10.0.0.1:80","Service":"another","Zone":"z1"}`,
		`{"Endpoint":{"ID":"i-1","Born":1e400},"Addr":"10.0.0.1:80","Service":"svc","Zone":"z1"}`,
	} {
		server.PutBytes(endpointsTable, a.node.Name, []byte(value))
		if n, found, err := a.tryReadEndpoint(t.Context()); found || err != nil {
			t.Errorf("%.80s: found %v, error %v", value, n, err)
		}
	}
	server.PutBytes(endpointsTable, a.node.Name, []byte(`{"Endpoint":{"ID":"i-1"},"Addr":"10.0.0.1:80","Service":"svc","Zone":"z1"}`))
	if n, found, err := a.tryReadEndpoint(t.Context()); !found || err != nil || n.Addr != "10.0.0.1:80" {
		t.Errorf("good row: %v, error %v", n, err)
	}
}

// A list from an entry that does not check its rows.
func TestOddMembersOfAListAreNotDialed(t *testing.T) {
	a := newTestAgent(t, testNode(t, "127.0.0.1:1"))
	a.ctx = t.Context()
	a.actor.Start(func(time.Duration, any) {})
	t.Cleanup(a.actor.Shutdown)
	s := a.state
	s.peers["e"] = &mesh.Peer{Link: &mesh.Link{}}
	good := wire.Member{Name: "good", Addr: "127.0.0.2:7720"}
	s.setList("e", []wire.Member{
		{Name: "odd", Addr: "127.0.0.2:99999"},
		good,
		{Name: "odd", Addr: "127.0.0.2:0"},
		{Name: "odd"},
		{Addr: "127.0.0.2:7720"},
		{Name: "odd", Addr: "127.0.0.2:7720", LinkMbps: 1e300},
	})
	if known := s.known(); len(known) != 1 || known["good"] != good {
		t.Errorf("known entries: %v", known)
	}
}

func TestAnAnnouncementOfAnotherServiceNamesNoEndpoint(t *testing.T) {
	a := newTestAgent(t, testNode(t, "127.0.0.1:1"))
	a.ctx = t.Context()
	a.actor.Start(a.receive)
	t.Cleanup(a.actor.Shutdown)
	n := platform.Announcement{Endpoint: dispatch.EndpointID{ID: "i-1"}, Addr: "127.0.0.1:1", Service: "another", Zone: "z1"}
	if a.Announced(n) {
		t.Error("an endpoint of another service is acknowledged")
	}
	n.Service = a.node.Service
	if !a.Announced(n) {
		t.Error("the endpoint is not acknowledged")
	}
}

// After a loss of all processes, each agent would dial each entry at once: 13,200 links at
// 240 agents and 55 entries.
func TestAnAgentWithoutALinkDialsAllEntriesOnlyIfTheFirstOnesDoNotAnswer(t *testing.T) {
	s := newTestAgent(t, testNode(t, "127.0.0.1:1")).state
	for i := range 55 {
		s.rows = append(s.rows, wire.Member{Name: fmt.Sprintf("entry-%d", i), Addr: fmt.Sprintf("127.0.0.2:%d", 1000+i), Cores: 0.4, LinkMbps: 100})
	}
	if n := len(s.dialCandidates(s.unlinkedSince + dialAllAfter - time.Millisecond)); n != dispatch.MaxStandbys {
		t.Errorf("%d entries dialed at first, want %d", n, dispatch.MaxStandbys)
	}
	if n := len(s.dialCandidates(s.unlinkedSince + dialAllAfter)); n != len(s.rows) {
		t.Errorf("%d entries dialed after %v without a link, want all", n, dialAllAfter)
	}
}
