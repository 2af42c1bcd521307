package agent

import (
	"slices"

	"bergamotwing.example/release"
)

// holdSet keeps the holds that each run of an entry reports until it reports
// others. Those whose note is in force are told by release.State.InService.
type holdSet struct {
	bySource map[entryRun][]release.Hold
}

func newHoldSet() *holdSet { return &holdSet{bySource: map[entryRun][]release.Hold{}} }

// replace sets the holds that source reports.
func (h *holdSet) replace(source entryRun, holds []release.Hold) {
	if len(holds) == 0 {
		delete(h.bySource, source)
		return
	}
	h.bySource[source] = slices.Clone(holds)
}

// adopted ends the holds of sources that are no longer linked, when a note is
// in force: the store took it since, and the linked entries report the holds
// that are still open.
func (h *holdSet) adopted(linked func(entryRun) bool) {
	for source := range h.bySource {
		if !linked(source) {
			delete(h.bySource, source)
		}
	}
}

// all returns the holds that are reported.
func (h *holdSet) all() []release.Hold {
	var out []release.Hold
	for _, holds := range h.bySource {
		out = append(out, holds...)
	}
	return out
}
