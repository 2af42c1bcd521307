package entry

import (
	"slices"
	"strconv"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/wire"
)

const (
	// catchUpAfter is how long an entry waits for the store to deliver a change that
	// another entry has, before it asks one. All entries learn of a change at about the
	// same time, and a large configuration sent by each to each would hold up the
	// heartbeats on small links.
	catchUpAfter = 500 * time.Millisecond
	catchUpRetry = 600 * time.Millisecond // until another entry is asked
)

// operatorRows are the operator's rows as the store held them at a version.
type operatorRows struct {
	rows      map[string]platform.Row // by key
	readAt    uint64                  // version of the store
	changedAt uint64                  // version of the newest change that is known
}

func newOperatorRows(read platform.Rows) *operatorRows {
	o := &operatorRows{rows: map[string]platform.Row{}}
	o.apply(read)
	return o
}

// apply adds rows that were read or have changed.
func (o *operatorRows) apply(read platform.Rows) {
	for _, row := range read.Rows {
		switch {
		case row.Part != "":
			continue
		case row.Removed:
			delete(o.rows, row.Key)
		default:
			o.rows[row.Key] = row
		}
		o.changedAt = max(o.changedAt, row.Version)
	}
	o.readAt = max(o.readAt, read.Version, o.changedAt)
}

// state decodes the rows. The version of the state is that of its newest change, so
// that all entries that have the same state name it by the same version.
func (o *operatorRows) state() (operatorRead, error) {
	rows := make([]platform.Row, 0, len(o.rows))
	for _, row := range o.rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b platform.Row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	version := o.changedAt
	if version == 0 {
		version = o.readAt
	}
	state, ok, err := platform.DecodeOperatorRows(rows, version)
	return operatorRead{state: state, hasConfig: ok, readAt: o.readAt}, err
}

// operatorRead puts the operator's state into force unless the one held is newer than
// the read. If its configuration could not be read, the one in force stays so.
func (s *state) operatorRead(now time.Duration, m operatorRead) {
	old := s.e.operator.Load()
	if !m.hasConfig {
		if old == nil {
			return
		}
		m.state.Config = old.Config
	}
	if old != nil {
		readAt := max(m.readAt, m.state.StoreVersion)
		if readAt < old.StoreVersion {
			return
		}
		if m.state.StoreVersion <= old.StoreVersion && !m.state.SameSettings(old) {
			m.state.StoreVersion = readAt // a row that was removed names no version
		}
	}
	s.adopt(now, m.state, "store")
}

// adopt puts the operator's state into force unless the one held is as new or newer.
func (s *state) adopt(now time.Duration, next dispatch.OperatorState, from string) {
	old := s.e.operator.Load()
	if old != nil && next.StoreVersion <= old.StoreVersion {
		return
	}
	s.e.operator.Store(&next)
	s.behindSince, s.catchUps = 0, 0
	if old != nil && next.SameSettings(old) {
		return
	}
	for _, sched := range s.schedulers {
		sched.SetEvacuated(now, next.Evacuated)
	}
	s.e.deps.Log.Info().Str("event", "operator_state").Uint64("store_version", next.StoreVersion).Int64("config", next.Config.Version).
		Strs("evacuated", next.Evacuated).Int("routes", len(next.Config.Routes)).Str("from", from).Msg("operator's state in force")
	for _, p := range s.agents {
		s.sendOperator(p)
	}
}

// catchUp asks an entry that has a newer version of the operator's state for it, if
// the store has not delivered that in time: this host may be cut off from the store. A
// different one is asked each time, and each entry begins with another.
func (s *state) catchUp(now time.Duration) {
	var newer []*mesh.Peer
	for _, p := range s.peers {
		if p.LastHeartbeat.StoreVersion > s.storeVersion() && p.Hello.NewestKind >= wire.KindOperatorRequest {
			newer = append(newer, p)
		}
	}
	if len(newer) == 0 {
		s.behindSince, s.catchUps = 0, 0
		return
	}
	if s.behindSince == 0 {
		s.behindSince = now
	}
	wait := catchUpAfter
	if s.e.operator.Load() == nil {
		wait = 0 // nothing can be served before
	}
	if now-s.behindSince < wait+time.Duration(s.catchUps)*catchUpRetry {
		return
	}
	s.catchUps++
	from := slices.MaxFunc(newer, func(a, b *mesh.Peer) int {
		return s.compareForCatchUp(a.Hello.Name, b.Hello.Name)
	})
	s.e.deps.Metrics.Count("bergamotwing_operator_requests_total", "Requests for the operator's state to another entry.", 1)
	s.e.deps.Log.Info().Str("event", "operator_request").Uint64("store_version", s.storeVersion()).Uint64("newer", from.LastHeartbeat.StoreVersion).
		Str("from", from.Hello.Name).Msg("operator's state asked for, since the store has not delivered it")
	_ = from.Send(&wire.OperatorRequest{}) // another entry is asked if this is lost
}

func (s *state) compareForCatchUp(a, b string) int {
	key := s.e.self.Name + strconv.Itoa(s.catchUps)
	if dispatch.HomeRank(key, a) < dispatch.HomeRank(key, b) {
		return -1
	}
	return 1
}

// storeVersion returns the version of the operator's state in force; 0: none.
func (s *state) storeVersion() uint64 {
	if op := s.e.operator.Load(); op != nil {
		return op.StoreVersion
	}
	return 0
}

// sendOperatorIfOutdated sends the operator's state to a process whose heartbeat
// reports an older version: to agents, and to entries of builds that do not ask for it.
func (s *state) sendOperatorIfOutdated(p *mesh.Peer) {
	if p.Hello.Role == wire.RoleEntry && p.Hello.NewestKind >= wire.KindOperatorRequest {
		return
	}
	version := s.storeVersion()
	if p.LastHeartbeat.StoreVersion < version && p.SentStateVersion < version {
		s.sendOperator(p)
	}
}

// sendOperator sends the operator's state. Agents need the zones only.
func (s *state) sendOperator(p *mesh.Peer) {
	op := s.e.operator.Load()
	if op == nil {
		return
	}
	m := &wire.OperatorUpdate{State: *op}
	if p.Hello.Role == wire.RoleAgent {
		m.State.Config = dispatch.Config{Version: op.Config.Version}
	}
	p.SentStateVersion = op.StoreVersion
	_ = p.Send(m) // resent on the next link
}
