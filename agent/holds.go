package agent

import (
	"slices"

	"bergamotwing.example/release"
)

// holdSet keeps the holds that each run of an entry reports, until it reports
// others or the note with a hold's id is in force.
type holdSet struct {
	bySource map[entryRun][]release.Hold
	ended    map[string]bool // note ids
}

func newHoldSet() *holdSet {
	return &holdSet{bySource: map[entryRun][]release.Hold{}, ended: map[string]bool{}}
}

// replace sets the holds that source reports.
func (h *holdSet) replace(source entryRun, holds []release.Hold) {
	if len(holds) == 0 {
		delete(h.bySource, source)
		return
	}
	h.bySource[source] = slices.Clone(holds)
}

// adopted ends the holds of the note that is now in force. Holds of sources
// that are no longer linked end too: the store took a note since, and the
// linked entries report the holds that are still open.
func (h *holdSet) adopted(noteID string, linked func(entryRun) bool) {
	h.ended[noteID] = true
	for source := range h.bySource {
		if !linked(source) {
			delete(h.bySource, source)
		}
	}
}

// all returns the holds in force.
func (h *holdSet) all() []release.Hold {
	var out []release.Hold
	for _, holds := range h.bySource {
		for _, hold := range holds {
			if !h.ended[hold.NoteID] {
				out = append(out, hold)
			}
		}
	}
	return out
}
