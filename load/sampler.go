package load

import (
	"context"
	"time"

	"bergamotwing.example/wire"
)

// sampleInterval is the time between two samples of the work done.
const sampleInterval = 500 * time.Millisecond

// sampler reads the metrics of the processes before, during and after a load.
type sampler struct {
	sources []Source
	start   time.Time
	before  []Metrics
	work    []WorkPoint
}

// usage holds what the processes sent and consumed during a load.
type usage struct {
	span     time.Duration
	increase []Metrics // of each source; RSSBytes is the last reading
	sources  []Source
	missing  []string // sources that did not answer at the end
	work     []WorkPoint
}

func newSampler(sources []Source) *sampler { return &sampler{sources: sources} }

// begin reads all sources and fails if one does not answer.
func (s *sampler) begin(ctx context.Context) error {
	for _, source := range s.sources {
		m, err := Scrape(ctx, source.URL)
		if err != nil {
			return err
		}
		s.before = append(s.before, m)
	}
	return nil
}

// run samples the work done until ctx ends. For a process that does not answer
// the last reading stays the base of its next increase.
func (s *sampler) run(ctx context.Context) {
	last := make([]float64, len(s.sources))
	for i := range last {
		last[i] = s.before[i].Sent[wire.KindResult.String()]
	}
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	at := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Since(s.start)
			s.work = append(s.work, s.point(ctx, last, at, now))
			at = now
		}
	}
}

// point returns the work done from at to now, and updates the last readings.
func (s *sampler) point(ctx context.Context, last []float64, at, now time.Duration) WorkPoint {
	point := WorkPoint{AtSeconds: now.Seconds(), TasksPerSecond: Counters{}}
	for i, source := range s.sources {
		if source.Endpoint {
			point.TasksPerSecond[source.Zone] += s.results(ctx, source, &last[i]) / (now - at).Seconds()
		}
	}
	return point
}

// results returns how many results a process has sent since the last reading, 0
// if it does not answer.
func (s *sampler) results(ctx context.Context, source Source, last *float64) float64 {
	m, err := Scrape(ctx, source.URL)
	if err != nil {
		return 0
	}
	now := m.Sent[wire.KindResult.String()]
	n := increase(now, *last)
	*last = now
	return n
}

// end reads all sources again and returns their usage since begin.
func (s *sampler) end(ctx context.Context) usage {
	u := usage{span: time.Since(s.start), sources: s.sources, work: s.work}
	for i, source := range s.sources {
		m, err := Scrape(ctx, source.URL)
		if err != nil {
			u.missing = append(u.missing, source.Name)
		}
		u.increase = append(u.increase, m.since(s.before[i]))
	}
	return u
}
