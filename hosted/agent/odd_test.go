package agent

import (
	"testing"

	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/wire"
)

// A list from an entry that does not check its rows.
func TestOddMembersOfAListAreNotDialed(t *testing.T) {
	a := newTestAgent(t, testNode(t, "127.0.0.1:1"))
	a.ctx = t.Context()
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
