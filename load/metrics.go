package load

import (
	"context"
	"net/http"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"
)

// Names of the metrics that are read.
const (
	metricSent    = "bergamotwing_messages_sent_total"
	metricBytes   = "bergamotwing_messages_sent_bytes_total"
	metricRefused = "bergamotwing_refused_total"
	metricRetried = "bergamotwing_retried_total"
	metricCPU     = "process_cpu_seconds_total"
	metricRSS     = "process_resident_memory_bytes"
)

const (
	labelKind     = "kind"
	labelReason   = "reason"
	scrapeTimeout = 2 * time.Second
)

// Counters are counts by the value of one label.
type Counters map[string]float64

// Metrics are the metrics of one process at one time.
type Metrics struct {
	Sent       Counters // messages by kind
	Bytes      Counters // bytes of messages by kind
	Refused    Counters // by reason
	Retried    Counters // by reason
	CPUSeconds float64
	RSSBytes   float64
}

// Scrape reads a process's metrics.
func Scrape(ctx context.Context, url string) (Metrics, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Metrics{}, eris.Wrap(err, "request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Metrics{}, eris.Wrapf(err, "metrics at %s", url)
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return Metrics{}, eris.Wrapf(err, "metrics at %s", url)
	}
	return Metrics{
		Sent:       counters(families[metricSent], labelKind),
		Bytes:      counters(families[metricBytes], labelKind),
		Refused:    counters(families[metricRefused], labelReason),
		Retried:    counters(families[metricRetried], labelReason),
		CPUSeconds: counters(families[metricCPU], "").sum(),
		RSSBytes:   counters(families[metricRSS], "").sum(),
	}, nil
}

// counters sums the values of a family by the value of a label.
func counters(family *dto.MetricFamily, label string) Counters {
	out := Counters{}
	for _, m := range family.GetMetric() {
		out[labelValue(m, label)] += m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetUntyped().GetValue()
	}
	return out
}

func labelValue(m *dto.Metric, label string) string {
	for _, pair := range m.GetLabel() {
		if pair.GetName() == label {
			return pair.GetValue()
		}
	}
	return ""
}

func (c Counters) sum() float64 {
	var sum float64
	for _, n := range c {
		sum += n
	}
	return sum
}

// since returns the increase of the counts since before. The counts of a
// restarted process begin at 0.
func (c Counters) since(before Counters) Counters {
	out := Counters{}
	for label, n := range c {
		if d := increase(n, before[label]); d > 0 {
			out[label] = d
		}
	}
	return out
}

// since returns the increase of a process's metrics since before; RSSBytes is
// the current value.
func (m Metrics) since(before Metrics) Metrics {
	return Metrics{
		Sent:       m.Sent.since(before.Sent),
		Bytes:      m.Bytes.since(before.Bytes),
		Refused:    m.Refused.since(before.Refused),
		Retried:    m.Retried.since(before.Retried),
		CPUSeconds: increase(m.CPUSeconds, before.CPUSeconds),
		RSSBytes:   m.RSSBytes,
	}
}

func (c Counters) add(other Counters) {
	for label, n := range other {
		c[label] += n
	}
}

// increase returns the growth of a counter, which a restart resets to 0.
func increase(now, before float64) float64 {
	if now < before {
		return now
	}
	return now - before
}
