package entry

import (
	"testing"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/wire"
)

// An entry that is partitioned from the home takes another one for it, which still has the
// home and sends heartbeats to entries that are none rarely.
func TestAnEntryThatIsTakenForTheHomeIsNotLostWhileItIsLinked(t *testing.T) {
	p := newPassing(t, 1)
	e := p.entries[0]
	p.home.state.home[dispatch.Shard{Service: "svc"}] = "another"
	p.wait(5 * time.Second)
	if e.state.peers["home"] == nil {
		t.Error("the entry that is taken for the home is lost")
	}
	if p.home.state.peers[e.self.Name] == nil {
		t.Error("the entry that takes another one for the home is lost")
	}
}

// Heartbeats of all pairs of entries would grow with the square of their number.
func TestEntriesThatAreNoHomeOfEachOtherSendRareHeartbeats(t *testing.T) {
	p := newPassing(t, 1)
	e := p.entries[0]
	for _, s := range []*state{p.home.state, e.state} {
		s.home[dispatch.Shard{Service: "svc"}] = "another"
	}
	p.wait(time.Second)
	p.pass()
	l := p.links[e]
	beats := 0
	const span = 12 * time.Second
	for until := p.now + span; p.now < until; {
		p.now += passEvery
		p.home.state.checkPeers(p.now)
		e.state.checkPeers(p.now)
		beats += len(sentOf[*wire.NodeHeartbeat](l.toHome)) + len(sentOf[*wire.NodeHeartbeat](l.toEntry))
		p.pass()
	}
	if most := 2 * int(span/idleHeartbeatEvery); beats > most {
		t.Errorf("%d heartbeats in %v, want at most %d", beats, span, most)
	}
}
