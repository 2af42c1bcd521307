package telemetry

import (
	"maps"
	"sync"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// labelOptions keeps the options that count under each value of one label, so
// that counting allocates nothing after the first use of a value.
type labelOptions[V comparable] struct {
	key  string
	text func(V) string

	known atomic.Pointer[map[V][]metric.AddOption] // replaced, never changed
	mu    sync.Mutex                               // taken to replace known
}

func newLabelOptions[V comparable](key string, text func(V) string) *labelOptions[V] {
	l := &labelOptions[V]{key: key, text: text}
	l.known.Store(&map[V][]metric.AddOption{})
	return l
}

func (l *labelOptions[V]) of(value V) []metric.AddOption {
	if options, ok := (*l.known.Load())[value]; ok {
		return options
	}
	return l.add(value)
}

func (l *labelOptions[V]) add(value V) []metric.AddOption {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := maps.Clone(*l.known.Load())
	options := []metric.AddOption{
		metric.WithAttributeSet(attribute.NewSet(attribute.String(l.key, l.text(value)))),
	}
	next[value] = options
	l.known.Store(&next)
	return options
}
