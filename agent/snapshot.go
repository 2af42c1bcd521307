package agent

import "bergamotwing.example/release"

// snapshot is the control state as traffic sees it. It is never changed once
// published.
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

// usable reports whether slots may be offered.
func (s *snapshot) usable() bool { return s.registered && s.inService && !s.leaving }
