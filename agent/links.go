package agent

import (
	"sync"

	"bergamotwing.example/wire"
)

// links knows the link to each run of an entry.
type links struct {
	mu    sync.RWMutex
	byRun map[entryRun]*session
}

func newLinks() *links { return &links{byRun: map[entryRun]*session{}} }

// add registers a session. It returns false if its run has another one.
func (l *links) add(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byRun[s.run] != nil {
		return false
	}
	l.byRun[s.run] = s
	return true
}

// remove ends what add registered.
func (l *links) remove(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byRun[s.run] == s {
		delete(l.byRun, s.run)
	}
}

func (l *links) get(run entryRun) *session {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.byRun[run]
}

func (l *links) all() []*session {
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := make([]*session, 0, len(l.byRun))
	for _, s := range l.byRun {
		out = append(out, s)
	}
	return out
}

// send queues m for a run. It is dropped if the run is not linked.
func (l *links) send(run entryRun, m wire.Message) {
	if s := l.get(run); s != nil {
		s.send(m)
	}
}
