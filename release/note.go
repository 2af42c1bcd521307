package release

// Note is a release note: it adds, changes and withdraws parts of the configuration.
type Note struct {
	ID             string       `json:"id" cbor:"1,keyasint"`
	WrittenAgainst uint64       `json:"writtenAgainst" cbor:"2,keyasint"` // version in force when it was written
	By             string       `json:"by,omitempty" cbor:"3,keyasint,omitempty"`
	Text           string       `json:"text,omitempty" cbor:"4,keyasint,omitempty"`
	Services       ServiceDelta `json:"services,omitzero" cbor:"5,keyasint"`
	Zones          ZoneDelta    `json:"zones,omitzero" cbor:"6,keyasint"`
	Teams          TeamDelta    `json:"teams,omitzero" cbor:"7,keyasint"`
	Settings       *Settings    `json:"settings,omitempty" cbor:"8,keyasint,omitempty"` // replaces all settings; nil keeps them
}

// ServiceDelta adds, changes and withdraws services by name.
type ServiceDelta struct {
	Add      map[string]Service `json:"add,omitempty"`
	Change   map[string]Service `json:"change,omitempty"`
	Withdraw []string           `json:"withdraw,omitempty"`
}

// ZoneDelta adds, changes and withdraws availability zones by name.
type ZoneDelta struct {
	Add      map[string]Zone `json:"add,omitempty"`
	Change   map[string]Zone `json:"change,omitempty"`
	Withdraw []string        `json:"withdraw,omitempty"`
}

// TeamDelta adds, changes and withdraws teams by name.
type TeamDelta struct {
	Add      map[string]Team `json:"add,omitempty"`
	Change   map[string]Team `json:"change,omitempty"`
	Withdraw []string        `json:"withdraw,omitempty"`
}

// NoteRecord is a note's row in the table.
type NoteRecord struct {
	Note    Note   `json:"note"`
	Version uint64 `json:"version"` // the state's version after the note
	At      int64  `json:"at"`      // Unix seconds
}
