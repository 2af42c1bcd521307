package agent

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/wire"
)

var word = dispatch.EndpointEvidence{Failed: 0.6, Slow: 2, Ejected: true}

func TestTheNextHomeIsToldWhatTheLastOneKnew(t *testing.T) {
	a := newPumpedAgent(t)
	id := a.pumpUntilAvailable(dispatch.EndpointID{})
	first, toFirst := a.linkEntry("first")
	next, toNext := a.linkEntry("next")
	toFirst.reports()
	toNext.reports()
	now := mesh.Now()
	a.receive(now, control.Received{Link: first, Message: &wire.EndpointEvidence{Endpoint: id, Evidence: word}})
	becomesHome := func(l *mesh.Link, home bool) {
		a.receive(now, control.Received{Link: l, Message: &wire.NodeHeartbeat{Home: home}})
	}
	if r := append(toFirst.reports(), toNext.reports()...); len(r) != 0 {
		t.Errorf("%d reports before the home moves", len(r))
	}
	now += dispatch.EvidenceMaxAge / 2
	becomesHome(first, true)
	becomesHome(next, true)
	if r := toFirst.reports(); len(r) != 0 {
		t.Errorf("the first home gets back %+v", r)
	}
	r := toNext.reports()
	if len(r) != 1 || r[0].Evidence == nil || r[0].EvidenceAge != dispatch.EvidenceMaxAge/2 {
		t.Fatalf("reports %+v", r)
	}
	if diff := cmp.Diff(word, *r[0].Evidence); diff != "" {
		t.Error(diff)
	}
	becomesHome(next, true)
	if r := toNext.reports(); len(r) != 0 {
		t.Errorf("told again: %+v", r)
	}
	becomesHome(next, false)
	now += dispatch.EvidenceMaxAge
	becomesHome(next, true)
	if r := toNext.reports(); len(r) != 0 {
		t.Errorf("told of the last minute: %+v", r)
	}
}

func TestALinkMadeAnewBringsTheEvidenceBack(t *testing.T) {
	a := newPumpedAgent(t)
	id := a.pumpUntilAvailable(dispatch.EndpointID{})
	l, _ := a.linkEntry("home")
	a.receive(mesh.Now(), control.Received{Link: l, Message: &wire.EndpointEvidence{Endpoint: id, Evidence: word}})
	a.receive(mesh.Now(), control.LinkDown{Link: l})
	if _, sent := a.linkEntry("home"); len(sent.all) == 0 {
		t.Fatal("nothing is sent on the new link")
	} else if r := sent.reports(); len(r) != 1 || r[0].Evidence == nil {
		t.Errorf("reports %+v", r)
	}
}

func TestEvidenceOfAnotherLifetimeIsDropped(t *testing.T) {
	a := newPumpedAgent(t)
	id := a.pumpUntilAvailable(dispatch.EndpointID{})
	l, sent := a.linkEntry("home")
	earlier := id
	earlier.Born--
	odd := word
	odd.Failed = 2
	for _, m := range []*wire.EndpointEvidence{{Endpoint: earlier, Evidence: word}, {Endpoint: id, Evidence: odd}} {
		a.receive(mesh.Now(), control.Received{Link: l, Message: m})
		if e := a.state.endpoints[id]; e.evidence.word != nil {
			t.Errorf("kept: %+v", e.evidence.word)
		}
	}
	a.receive(mesh.Now(), control.Received{Link: l, Message: &wire.EndpointEvidence{Endpoint: id, Evidence: word}})
	sent.reports()
	a.endpoint.Restart()
	a.announce()
	next := a.pumpUntilAvailable(id)
	for _, r := range sent.reports() {
		if r.Status.Endpoint == next && r.Evidence != nil {
			t.Errorf("the next lifetime begins with %+v", r.Evidence)
		}
	}
}
