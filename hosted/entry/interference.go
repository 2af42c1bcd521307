package entry

import (
	"sync/atomic"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/telemetry"
)

// interferenceMetrics shows what the schedulers of an entry do about tasks that slow each
// other down.
type interferenceMetrics struct {
	pairs   atomic.Int64 // read by the metrics listener
	counted dispatch.InterferenceStats
}

func (m *interferenceMetrics) register(metrics *telemetry.Metrics) {
	metrics.Gauge("bergamotwing_interfering_pairs", "Ordered pairs of kinds of tasks of which one slows the other at the same endpoint.",
		func() float64 { return float64(m.pairs.Load()) })
}

// update counts what has changed since the last update.
func (m *interferenceMetrics) update(s *state) {
	var all dispatch.InterferenceStats
	for _, sched := range s.schedulers {
		all = all.Add(sched.InterferenceStats())
	}
	if all == m.counted {
		return
	}
	m.pairs.Store(int64(all.Pairs))
	s.e.deps.Metrics.Count("bergamotwing_interference_apart_total", "Runs of interfering kinds ordered where none of the other kind ran.", all.Apart-m.counted.Apart)
	s.e.deps.Metrics.Count("bergamotwing_interference_beside_total", "Runs of interfering kinds ordered beside one of the other kind.", all.Beside-m.counted.Beside)
	m.counted = all
}
