package agent

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/wire"
)

const (
	operatorWaitMax = time.Second            // longest wait for a change on behalf of an entry
	watchSlack      = 500 * time.Millisecond // added to the wait of a call that waits for changes
	// operatorBytesMax bounds the rows of an answer: agents share their links with heartbeats.
	operatorBytesMax = 4 << 20
)

// readOperator reads the operator's rows for an entry that the store does not serve.
func (s *state) readOperator(p *mesh.Peer, m *wire.OperatorRead) {
	name := p.Hello.Name
	if s.operatorReads[name] {
		s.a.deps.Metrics.Count("bergamotwing_operator_reads_refused_total", "Reads for an entry that were refused since one for it was open.", 1)
		_ = p.Send(&wire.OperatorRows{After: m.After, Failed: true}) // the entry asks another agent if this is lost
		return
	}
	s.operatorReads[name] = true
	s.a.deps.Metrics.Count("bergamotwing_operator_reads_total", "Reads of the operator's rows for an entry.", 1)
	link, request := p.Link, *m
	go func() { s.a.actor.Send(operatorRowsRead{link, s.a.readOperatorRows(request)}) }()
}

func (s *state) operatorRowsRead(m operatorRowsRead) {
	name := m.link.Hello.Name
	delete(s.operatorReads, name)
	if p := s.peers[name]; p != nil && p.Link == m.link {
		_ = p.Send(m.rows) // the entry asks another agent if this is lost
	}
}

func (a *Agent) readOperatorRows(m wire.OperatorRead) *wire.OperatorRows {
	answer := &wire.OperatorRows{After: m.After, Cancelled: m.Cancelled}
	var read platform.Rows
	var whole bool
	var err error
	if m.Cancelled {
		read, err = a.cancelledJobs()
		whole, answer.Now = true, read.Now
	} else {
		read, whole, err = a.operatorChanges(m.After, min(max(m.Wait, 0), operatorWaitMax))
	}
	if err == nil {
		answer.Rows, err = storeRows(read.Rows)
	}
	if err != nil {
		a.deps.Metrics.Count("bergamotwing_operator_reads_failed_total", "Reads of the operator's rows for an entry that failed.", 1)
		a.deps.Log.Warn().Str("event", "operator_read_failed").Err(err).Msg("operator's rows not read for an entry")
		answer.Failed = true
		return answer
	}
	answer.Version, answer.Whole = read.Version, whole
	return answer
}

// operatorChanges returns the changes of the operator's rows after a version, or all rows
// if whole: if the changes are no longer kept, or one of them cannot be read.
func (a *Agent) operatorChanges(after uint64, wait time.Duration) (read platform.Rows, whole bool, err error) {
	if after > 0 {
		ctx, cancel := context.WithTimeout(a.ctx, wait+watchSlack)
		defer cancel()
		read, err = a.store.Watch(ctx, platform.OperatorTable, after, wait)
		odd := len(read.Odd) > 0 || slices.ContainsFunc(read.Rows, func(r platform.Row) bool { return r.Err != nil })
		if err == nil && !odd || err != nil && !errors.Is(err, platform.ErrHistoryLost) {
			return read, false, err
		}
	}
	ctx, cancel := context.WithTimeout(a.ctx, storeTimeout)
	defer cancel()
	read, err = a.store.Get(ctx, platform.OperatorTable)
	a.odd.Report(read.Odd...)
	return read, true, err
}

// cancelledJobs returns the table of cancelled jobs.
func (a *Agent) cancelledJobs() (platform.Rows, error) {
	ctx, cancel := context.WithTimeout(a.ctx, storeTimeout)
	defer cancel()
	read, err := a.store.Get(ctx, platform.CancelledTable)
	a.odd.Report(read.Odd...)
	return read, eris.Wrap(err, "read cancelled jobs")
}

// storeRows returns the newest of the rows for each key, in their order.
func storeRows(rows []platform.Row) ([]wire.StoreRow, error) {
	newest := map[string]int{}
	for i, r := range rows {
		newest[r.Key] = i
	}
	var out []wire.StoreRow
	size := 0
	for i, r := range rows {
		if r.Part != "" || newest[r.Key] != i {
			continue
		}
		size += len(r.Key) + len(r.Value)
		out = append(out, wire.StoreRow{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed})
	}
	if size > operatorBytesMax {
		return nil, eris.Errorf("operator's rows have %d bytes", size)
	}
	return out, nil
}
