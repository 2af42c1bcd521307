package telemetry

import (
	"maps"
	"sync"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// labelOptions caches the options that set each value of one label, so that
// counting allocates nothing after the first use of a value.
type labelOptions[V comparable] struct {
	key  string
	text func(V) string

	cache atomic.Pointer[map[V][]metric.AddOption] // the map is replaced, never changed
	mu    sync.Mutex                               // held to replace cache
}

func newLabelOptions[V comparable](key string, text func(V) string) *labelOptions[V] {
	l := &labelOptions[V]{key: key, text: text}
	l.cache.Store(&map[V][]metric.AddOption{})
	return l
}

func (l *labelOptions[V]) get(value V) []metric.AddOption {
	if options, ok := (*l.cache.Load())[value]; ok {
		return options
	}
	return l.add(value)
}

func (l *labelOptions[V]) add(value V) []metric.AddOption {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := maps.Clone(*l.cache.Load())
	options := []metric.AddOption{
		metric.WithAttributeSet(attribute.NewSet(attribute.String(l.key, l.text(value)))),
	}
	next[value] = options
	l.cache.Store(&next)
	return options
}
