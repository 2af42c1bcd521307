package telemetry

import (
	"context"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"bergamotwing.example/result"
)

// instruments holds the OpenTelemetry instruments and keeps their types out of the
// public type Metrics.
type instruments struct {
	meter    metric.Meter
	registry *prometheus.Registry

	refusedTotal  metric.Int64Counter
	retriedTotal  metric.Int64Counter
	sentTotal     metric.Int64Counter
	sentBytes     metric.Int64Counter
	receivedTotal metric.Int64Counter

	reasons *labelOptions[result.Code]
	kinds   *labelOptions[string]

	mu         sync.Mutex
	counters   map[string]metric.Int64Counter
	histograms map[string]metric.Float64Histogram
}

// NewMetrics returns the metrics of one process. One program can hold several,
// each with its own registry.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		collectors.NewGoCollector(),
	)
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, eris.Wrap(err, "metrics exporter")
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("bergamotwing")
	in := &instruments{
		meter:      meter,
		registry:   registry,
		reasons:    newLabelOptions("reason", result.Code.String),
		kinds:      newLabelOptions("kind", func(kind string) string { return kind }),
		counters:   map[string]metric.Int64Counter{},
		histograms: map[string]metric.Float64Histogram{},
	}
	for _, c := range []struct {
		to         *metric.Int64Counter
		name, help string
	}{
		{&in.refusedTotal, "bergamotwing_refused_total", "Refusals by reason."},
		{&in.retriedTotal, "bergamotwing_retried_total", "Tries made again by the reason of the failure before."},
		{&in.sentTotal, "bergamotwing_messages_sent_total", "Messages sent on links by kind."},
		{&in.sentBytes, "bergamotwing_messages_sent_bytes_total", "Bytes sent on links by kind."},
		{&in.receivedTotal, "bergamotwing_messages_received_total", "Messages received on links by kind."},
	} {
		counter, err := meter.Int64Counter(c.name, metric.WithDescription(c.help))
		if err != nil {
			return nil, eris.Wrapf(err, "counter %s", c.name)
		}
		*c.to = counter
	}
	return &Metrics{instruments: in}, nil
}

func (in *instruments) refused(c result.Code) {
	in.refusedTotal.Add(context.Background(), 1, in.reasons.get(c)...)
}

func (in *instruments) retried(c result.Code) {
	in.retriedTotal.Add(context.Background(), 1, in.reasons.get(c)...)
}

func (in *instruments) sent(kind string, bytes int) {
	options := in.kinds.get(kind)
	in.sentTotal.Add(context.Background(), 1, options...)
	in.sentBytes.Add(context.Background(), int64(bytes), options...)
}

func (in *instruments) received(kind string) {
	in.receivedTotal.Add(context.Background(), 1, in.kinds.get(kind)...)
}

func (in *instruments) gauge(name, help string, read func() float64) {
	_, _ = in.meter.Float64ObservableGauge(name, metric.WithDescription(help),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
}

func (in *instruments) count(name, help string, n int64) {
	in.mu.Lock()
	c, ok := in.counters[name]
	if !ok {
		c, _ = in.meter.Int64Counter(name, metric.WithDescription(help))
		in.counters[name] = c
	}
	in.mu.Unlock()
	c.Add(context.Background(), n)
}

func (in *instruments) observe(name, help string, seconds float64) {
	in.mu.Lock()
	h, ok := in.histograms[name]
	if !ok {
		h, _ = in.meter.Float64Histogram(name, metric.WithDescription(help), metric.WithExplicitBucketBoundaries(latencyBuckets...))
		in.histograms[name] = h
	}
	in.mu.Unlock()
	h.Record(context.Background(), seconds)
}

// latencyBuckets are upper bounds in seconds, from the time of a round trip to that
// of a client's deadline.
var latencyBuckets = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6}

func (in *instruments) handler() http.Handler {
	return promhttp.HandlerFor(in.registry, promhttp.HandlerOpts{})
}
