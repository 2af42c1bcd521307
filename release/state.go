// Package release defines release notes and the configuration that results from
// them: services, availability zones, teams and settings, under a version that
// only increases.
//
// The package does no input or output: notestore reads and writes the platform's
// table.
package release

import (
	"slices"
	"time"
)

// State is the whole configuration of a deployment after its latest note.
type State struct {
	Version  uint64             `cbor:"1,keyasint" json:"version"`
	NoteID   string             `cbor:"2,keyasint" json:"noteId"`
	Services map[string]Service `cbor:"3,keyasint" json:"services"`
	Zones    map[string]Zone    `cbor:"4,keyasint" json:"zones"`
	Teams    map[string]Team    `cbor:"5,keyasint,omitempty" json:"teams,omitempty"`
	Settings Settings           `cbor:"6,keyasint" json:"settings"`
	// Recent holds the ids of the latest notes, newest last, so that a process
	// that missed a version can still tell that a note is in force.
	Recent []string `cbor:"7,keyasint,omitempty" json:"recent,omitempty"`
}

// RecentNotes is how many note ids State.Recent keeps.
const RecentNotes = 64

// HasNote reports whether a note is among the latest RecentNotes notes in force.
func (s *State) HasNote(id string) bool { return s != nil && slices.Contains(s.Recent, id) }

// Service is a back end that tasks are submitted to.
type Service struct {
	MaxTaskMS   int64 `cbor:"1,keyasint" json:"maxTaskMs"`   // longest run time of one task
	MaxTasks    int   `cbor:"2,keyasint" json:"maxTasks"`    // tasks of one job
	MaxPayloadB int   `cbor:"3,keyasint" json:"maxPayloadB"` // bytes of one task's payload
}

// Zone is an availability zone.
type Zone struct {
	InService bool `cbor:"1,keyasint" json:"inService"`
}

// Team is a customer's team with a quota. A deployment without teams accepts any
// team name.
type Team struct {
	TasksPerSecond float64 `cbor:"1,keyasint" json:"tasksPerSecond"` // 0 means no limit
	Burst          int     `cbor:"2,keyasint" json:"burst"`          // tasks
	Weight         int     `cbor:"3,keyasint" json:"weight"`         // share of the slots under contention, at least 1
}

// Settings are the deployment-wide settings that notes may change.
type Settings struct {
	EjectMaxPct    int `cbor:"1,keyasint" json:"ejectMaxPct"`    // largest share of a service's endpoints ejected at once
	RetryBudgetPct int `cbor:"2,keyasint" json:"retryBudgetPct"` // retried placements, as a share of first placements
}

// Hold takes a zone out of service at once, while the note that does so is not
// durable yet. The hold ends when the note with the same id is in force.
type Hold struct {
	Zone   string `cbor:"1,keyasint" json:"zone"`
	NoteID string `cbor:"2,keyasint" json:"noteId"`
}

// InService reports whether tasks may start in zone: the state has the zone, the
// zone is in service, and no hold applies to it.
func (s *State) InService(zone string, holds []Hold) bool {
	if s == nil || !s.Zones[zone].InService {
		return false
	}
	for _, h := range holds {
		if h.Zone == zone && !s.HasNote(h.NoteID) {
			return false
		}
	}
	return true
}

// Times that bound how long tasks may still start in a zone after a note has taken
// it out of service. An agent relies on a confirmation of the version for
// PermissionLifetime, measured on its own clock from a clock reading that it sent
// before the confirmed moment. Therefore no task starts later than
// PermissionLifetime after the note was accepted, which is half a second less than
// StopBound. An entry renews no permission if it last knew the version to be
// current more than ConfirmationLifetime ago.
const (
	ConfirmationLifetime = 1200 * time.Millisecond
	PermissionLifetime   = 2500 * time.Millisecond
	StopBound            = 3 * time.Second
)
