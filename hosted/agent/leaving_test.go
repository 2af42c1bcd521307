package agent

import (
	"testing"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/wire"
)

// sentMessages records what is sent on a link.
type sentMessages struct{ all []wire.Message }

func (s *sentMessages) Send(m wire.Message) error {
	s.all = append(s.all, m)
	return nil
}

func (s *sentMessages) Close() {}

// reports returns the reports sent, and forgets them.
func (s *sentMessages) reports() (reports []*wire.EndpointReport) {
	for _, m := range s.all {
		if r, ok := m.(*wire.EndpointReport); ok {
			reports = append(reports, r)
		}
	}
	s.all = nil
	return reports
}

// linkEntry links an entry to the agent.
func (a *pumpedAgent) linkEntry(name string) (*mesh.Link, *sentMessages) {
	sent := &sentMessages{}
	l := &mesh.Link{Conn: sent, Hello: wire.NodeHello{Name: name, Incarnation: 1, Role: wire.RoleEntry, NewestKind: wire.NewestKind}}
	a.receive(mesh.Now(), control.LinkUp{Link: l})
	return l, sent
}

func TestReportsSayWhenALeavingEndpointLeaves(t *testing.T) {
	a := newPumpedAgent(t)
	a.pumpUntilAvailable(dispatch.EndpointID{})
	_, sent := a.linkEntry("n")
	if r := sent.reports(); len(r) != 1 || r[0].Status.LeavesIn != 0 {
		t.Fatalf("%d reports, %+v", len(r), r)
	}
	announced := func(notice time.Duration) []*wire.EndpointReport {
		a.endpoint.GiveNotice(notice)
		a.announce()
		seq := a.seq()
		a.pump("the heartbeat", func() bool { return a.seq() > seq })
		return sent.reports()
	}
	isAbout := func(d, want time.Duration) bool { return d <= want && d > want-time.Second }
	if r := announced(5 * time.Second); len(r) != 1 || r[0].Status.Available || !isAbout(r[0].Status.LeavesIn, 5*time.Second) {
		t.Errorf("reports %+v", r)
	}
	if r := announced(5 * time.Second); len(r) > 1 { // one, if the test was held up between the two
		t.Errorf("%d reports of nothing new", len(r))
	}
	if r := announced(15 * time.Second); len(r) != 1 || !isAbout(r[0].Status.LeavesIn, 15*time.Second) {
		t.Errorf("reports %+v", r)
	}
	_, later := a.linkEntry("m")
	if r := later.reports(); len(r) != 1 || !isAbout(r[0].Status.LeavesIn, 15*time.Second) {
		t.Errorf("reports on a new link %+v", r)
	}
}

// seq returns the number of the newest heartbeat of the endpoint.
func (a *pumpedAgent) seq() int64 {
	for _, e := range a.state.endpoints {
		return e.announced.Seq
	}
	return 0
}
