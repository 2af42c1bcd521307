package agent

import "bergamotwing.example/release"

// snapshot is the control state for goroutines that carry traffic. It is immutable
// once published.
type snapshot struct {
	state      *release.State
	registered bool
	leaving    bool
	inService  bool // the agent's zone, under state and all holds
}

// version returns the version in force, 0 for none.
func (s *snapshot) version() uint64 {
	if s.state == nil {
		return 0
	}
	return s.state.Version
}

// mayOffer reports whether slots may be offered.
func (s *snapshot) mayOffer() bool { return s.registered && s.inService && !s.leaving }
