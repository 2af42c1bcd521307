// Package telemetry sets up a process's structured log and its OpenTelemetry
// metrics, read through a Prometheus endpoint.
//
// The shared metrics are declared here once, so that their names are the same in
// every process; the callers decide when to count.
package telemetry

import (
	"io"
	"net/http"

	"github.com/rs/zerolog"

	"bergamotwing.example/result"
)

// NewLog returns a logger that writes JSON lines with the process's role, id and zone.
func NewLog(w io.Writer, level, role, id, zone string) zerolog.Logger {
	lvl, err := zerolog.ParseLevel(level)
	if err != nil {
		lvl = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(lvl).With().Timestamp().Str("process", role).Str("id", id).Str("zone", zone).Logger()
}

// Metrics holds a process's instruments. All methods are safe for concurrent use.
type Metrics struct {
	*instruments
}

// Refused counts a refusal by its reason.
func (m *Metrics) Refused(c result.Code) { m.refused(c) }

// Retried counts a retried placement or call by the reason of the failure before it.
func (m *Metrics) Retried(c result.Code) { m.retried(c) }

// Sent counts a message sent on a link, by kind name.
func (m *Metrics) Sent(kind string, bytes int) { m.sent(kind, bytes) }

// Received counts a message received on a link, by kind name.
func (m *Metrics) Received(kind string) { m.received(kind) }

// Gauge registers a gauge. read is called whenever the metrics are read.
func (m *Metrics) Gauge(name, help string, read func() float64) { m.gauge(name, help, read) }

// Count adds n to the counter called name, which is created at its first use.
func (m *Metrics) Count(name, help string, n int64) { m.count(name, help, n) }

// Observe records a time in seconds in the histogram called name, which is created
// at its first use.
func (m *Metrics) Observe(name, help string, seconds float64) { m.observe(name, help, seconds) }

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler() }
