package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/telemetry"
	"bergamotwing.example/wire"
)

// newTestState returns the state of an entry whose actor ignores all messages.
func newTestState(t *testing.T) *state {
	t.Helper()
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	e := New(platform.Node{Name: "e", IP: "127.0.0.1"}, Options{}, control.Deps{Log: zerolog.Nop(), Metrics: metrics})
	e.ctx = t.Context()
	e.actor.Start(func(time.Duration, any) {})
	t.Cleanup(e.actor.Shutdown)
	return e.state
}

// A configuration that cannot be read keeps no zone out of service from being followed.
func TestWithoutAReadableConfigurationTheOneInForceStays(t *testing.T) {
	s := newTestState(t)
	s.operatorRead(0, operatorRead{state: dispatch.OperatorState{StoreVersion: 1, Evacuated: []string{"z1"}}})
	if s.e.operator.Load() != nil {
		t.Error("a state without a configuration is in force")
	}
	s.operatorRead(0, operatorRead{state: dispatch.OperatorState{StoreVersion: 2, Config: dispatch.Config{Version: 7}}, hasConfig: true})
	s.operatorRead(0, operatorRead{state: dispatch.OperatorState{StoreVersion: 3, Evacuated: []string{"z1"}}})
	if got := s.e.operator.Load(); got.Config.Version != 7 || got.StoreVersion != 3 || !slices.Equal(got.Evacuated, []string{"z1"}) {
		t.Errorf("in force: %+v", got)
	}
}

// A list from an entry that does not check its rows.
func TestOddMembersAreNotPassedOn(t *testing.T) {
	s := newTestState(t)
	good := wire.Member{Name: "good", Addr: "127.0.0.2:7720"}
	for _, m := range []wire.Member{
		good,
		{Name: "odd", Addr: "127.0.0.2:99999"},
		{Name: "odd", Addr: "127.0.0.2:0"},
		{Name: "odd"},
		{Addr: "127.0.0.2:7720"},
		{Name: "odd", Addr: "127.0.0.2:7720", LinkMbps: 1e300},
	} {
		s.addMember(m)
	}
	if got := s.memberList().Entries; !slices.Equal(got, []wire.Member{s.e.self.Member(), good}) {
		t.Errorf("passed on: %v", got)
	}
}

func TestARowOfThisEntryFromAnotherWriterIsReplaced(t *testing.T) {
	s := newTestState(t)
	own := s.e.self.Member()
	other := own
	other.Addr = "127.0.0.9:7720"
	if containsMember([]mesh.MemberRow{{Member: other}}, own) {
		t.Error("a row with another address counts as this entry's")
	}
	if !containsMember([]mesh.MemberRow{{Member: other}, {Member: own}}, own) {
		t.Error("this entry's row is not found")
	}
}
