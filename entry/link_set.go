package entry

import "sync"

// linked is a link to an agent or an entry.
type linked interface {
	comparable
	name() string // id of the agent or entry
	close()       // closes the link
}

// linkSet holds the links in use, one for each id.
type linkSet[T linked] struct {
	mu   sync.RWMutex
	byID map[string]T
}

func newLinkSet[T linked]() *linkSet[T] { return &linkSet[T]{byID: map[string]T{}} }

// get returns the link to id, or nil.
func (s *linkSet[T]) get(id string) T {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byID[id]
}

// swap makes l the link in use for its id and returns the previous one, or nil.
func (s *linkSet[T]) swap(l T) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.byID[l.name()]
	s.byID[l.name()] = l
	return old
}

// remove drops l; it returns false if another link has taken its place.
func (s *linkSet[T]) remove(l T) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[l.name()] != l {
		return false
	}
	delete(s.byID, l.name())
	return true
}

func (s *linkSet[T]) list() []T {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]T, 0, len(s.byID))
	for _, l := range s.byID {
		out = append(out, l)
	}
	return out
}

// each calls f without the lock.
func (s *linkSet[T]) each(f func(T)) {
	for _, l := range s.list() {
		f(l)
	}
}

func (s *linkSet[T]) closeAll() { s.each(func(l T) { l.close() }) }
