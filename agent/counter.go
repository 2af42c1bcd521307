package agent

import (
	"bergamotwing.example/telemetry"
	"bergamotwing.example/wire"
)

// messageCounter counts the messages of links.
type messageCounter struct{ metrics *telemetry.Metrics }

// Sent counts a message sent.
func (c messageCounter) Sent(kind wire.Kind, bytes int) { c.metrics.Sent(kind.String(), bytes) }

// Received counts a message received.
func (c messageCounter) Received(kind wire.Kind) { c.metrics.Received(kind.String()) }

// registerGauges registers the gauges of the agent's state.
func (a *Agent) registerGauges() {
	a.metrics.Gauge("bergamotwing_config_version", "Configuration version in force.",
		func() float64 { return float64(a.snapshot().version()) })
	a.metrics.Gauge("bergamotwing_permission_age_seconds", "Age of the newest vouch.",
		func() float64 { return a.permission.age(a.clock.now()).Seconds() })
	a.metrics.Gauge("bergamotwing_free_slots", "Slots on which no task runs.",
		func() float64 { return float64(a.slots.idle()) })
	a.metrics.Gauge("bergamotwing_running_tasks", "Tasks that run now.",
		func() float64 { n, _ := a.running.count(); return float64(n) })
	a.metrics.Gauge("bergamotwing_start_records", "Starts on record.",
		func() float64 { return float64(a.records.size()) })
	a.metrics.Gauge("bergamotwing_links", "Entries linked.",
		func() float64 { return float64(len(a.links.all())) })
}
