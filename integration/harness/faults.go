package harness

import (
	"net/http"
	"testing"

	"bergamotwing.example/standin"
)

// Isolate closes an entry's connections to the platform and its links to all other
// entries, and prevents new ones until Rejoin. Agents and callers still reach it.
func (d *Deployment) Isolate(entry *Entry) {
	entry.Store.Disconnect()
	d.DisconnectPeers(entry)
}

// Rejoin ends Isolate.
func (d *Deployment) Rejoin(entry *Entry) {
	entry.Store.Heal()
	d.HealPeers(entry)
}

// PartitionAgentsExceptFrom is like PartitionAgents, but leaves the links with one
// entry alone. HealAgents ends it.
func (d *Deployment) PartitionAgentsExceptFrom(entry *Entry, agents ...*Agent) {
	for _, e := range d.Entries {
		if e == entry {
			continue
		}
		for _, a := range agents {
			e.Links.DropDirection(ToTarget, a.ID)
			e.Links.DropDirection(FromTarget, a.ID)
		}
	}
}

// EndpointCounts returns all counters of an endpoint's stand-in.
func (s *Standin) EndpointCounts(t testing.TB) standin.EndpointCounts {
	t.Helper()
	var state standin.EndpointState
	if err := s.http.call(t.Context(), http.MethodGet, s.URL+pathControl, nil, &state); err != nil {
		t.Fatalf("counts of %s: %v", s.Name, err)
	}
	return state.Counts
}
