package agent

import (
	"sync"

	"bergamotwing.example/wire"
)

// links holds the session with each linked entry incarnation.
type links struct {
	mu      sync.RWMutex
	byEntry map[entryIncarnation]*session
}

func newLinks() *links { return &links{byEntry: map[entryIncarnation]*session{}} }

// add registers a session. It returns false if the entry already has one.
func (l *links) add(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byEntry[s.entry] != nil {
		return false
	}
	l.byEntry[s.entry] = s
	return true
}

// remove removes a session that add registered.
func (l *links) remove(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byEntry[s.entry] == s {
		delete(l.byEntry, s.entry)
	}
}

func (l *links) get(entry entryIncarnation) *session {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.byEntry[entry]
}

func (l *links) all() []*session {
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := make([]*session, 0, len(l.byEntry))
	for _, s := range l.byEntry {
		out = append(out, s)
	}
	return out
}

// send queues m for an entry. m is dropped if the entry is not linked.
func (l *links) send(entry entryIncarnation, m wire.Message) {
	if s := l.get(entry); s != nil {
		s.send(m)
	}
}
