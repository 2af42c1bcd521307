package agent

import (
	"slices"

	"bergamotwing.example/release"
)

// holdSet keeps the holds that each entry incarnation reports, until it reports
// others. release.State.InService ignores the holds whose note is in force.
type holdSet struct {
	bySource map[entryIncarnation][]release.Hold
}

func newHoldSet() *holdSet { return &holdSet{bySource: map[entryIncarnation][]release.Hold{}} }

// replace sets the holds that source reports.
func (h *holdSet) replace(source entryIncarnation, holds []release.Hold) {
	if len(holds) == 0 {
		delete(h.bySource, source)
		return
	}
	h.bySource[source] = slices.Clone(holds)
}

// dropUnlinked ends the holds of sources that are no longer linked. It is called
// when a note comes into force: by then the store has accepted the note, and the
// linked entries report the holds that are still open.
func (h *holdSet) dropUnlinked(linked func(entryIncarnation) bool) {
	for source := range h.bySource {
		if !linked(source) {
			delete(h.bySource, source)
		}
	}
}

// all returns the reported holds.
func (h *holdSet) all() []release.Hold {
	var out []release.Hold
	for _, holds := range h.bySource {
		out = append(out, holds...)
	}
	return out
}
