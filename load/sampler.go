package load

import (
	"context"
	"time"

	"bergamotwing.example/wire"
)

// sampleInterval is the time between two readings of the work done.
const sampleInterval = 500 * time.Millisecond

// sampler reads the metrics of the processes before, during and after a load.
type sampler struct {
	sources []Source
	start   time.Time
	before  []Metrics
	work    []WorkPoint
}

// usage is what the processes used up over a load.
type usage struct {
	span    time.Duration
	grown   []Metrics // of each source; RSSBytes is the last reading
	sources []Source
	missing []string // sources that did not answer at the end
	work    []WorkPoint
}

func newSampler(sources []Source) *sampler { return &sampler{sources: sources} }

// begin reads all sources, which must answer.
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

// run samples the work done until ctx ends. A process that does not answer
// keeps its last reading.
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

// point reads the work done from at to now.
func (s *sampler) point(ctx context.Context, last []float64, at, now time.Duration) WorkPoint {
	point := WorkPoint{AtSeconds: now.Seconds(), TasksPerSecond: Counters{}}
	for i, source := range s.sources {
		if source.Endpoint {
			point.TasksPerSecond[source.Zone] += s.results(ctx, source, &last[i]) / (now - at).Seconds()
		}
	}
	return point
}

// results returns how many results a process has sent since the last reading.
func (s *sampler) results(ctx context.Context, source Source, last *float64) float64 {
	m, err := Scrape(ctx, source.URL)
	if err != nil {
		return 0
	}
	now := m.Sent[wire.KindResult.String()]
	n := grown(now, *last)
	*last = now
	return n
}

// end reads all sources again and returns what they used up.
func (s *sampler) end(ctx context.Context) usage {
	u := usage{span: time.Since(s.start), sources: s.sources, work: s.work}
	for i, source := range s.sources {
		m, err := Scrape(ctx, source.URL)
		if err != nil {
			u.missing = append(u.missing, source.Name)
		}
		u.grown = append(u.grown, m.since(s.before[i]))
	}
	return u
}
