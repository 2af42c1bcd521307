package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"slices"
	"strings"

	"bergamotwing.example/client/api"
	"bergamotwing.example/release"
	"bergamotwing.example/result"
)

// setZone takes a zone out of service or puts it back. Taking a zone out works
// without the store too: the zone is held out of service at once and the note is
// written later.
func (e *Entry) setZone(w http.ResponseWriter, r *http.Request, inService bool) {
	if _, err := e.readBody(w, r, maxIgnoredBytes); err != nil {
		e.refuse(w, err)
		return
	}
	zone := r.PathValue("zone")
	id := r.URL.Query().Get("note")
	if id == "" {
		id = newNoteID(zone, inService)
	}
	state, err := e.applyZone(r.Context(), zone, inService, id)
	if err == nil {
		e.answerNote(w, e.noteAccepted(r.Context(), id, state))
		return
	}
	if inService || !errors.Is(err, result.Errorf(result.StoreUnavailable, "")) {
		e.answerNote(w, e.noteFailed(id, err))
		return
	}
	e.answerNote(w, e.hold(r.Context(), zone, id))
}

func newNoteID(zone string, inService bool) string {
	var b [6]byte
	_, _ = rand.Read(b[:])
	if inService {
		return zone + "-back-" + hex.EncodeToString(b[:])
	}
	return zone + "-out-" + hex.EncodeToString(b[:])
}

// hold takes a zone out of service while the store is down.
func (e *Entry) hold(ctx context.Context, zone, id string) api.NoteAnswer {
	v := e.control.view()
	if v.State == nil || v.State.Zones[zone] == (release.Zone{}) && !hasZone(v.State, zone) {
		return e.noteFailed(id, result.Errorf(result.NoteInvalid, "zone %q is not in force", zone))
	}
	h := release.Hold{Zone: zone, NoteID: id}
	e.control.send(holdAdded{holds: []release.Hold{h}})
	if !e.await(ctx, func() bool { return slices.Contains(e.control.view().Holds, h) }) {
		return e.noteFailed(id, result.Errorf(result.StoreUnavailable, "the store is down and a note with id %q came before", id))
	}
	a := e.noteAnswer(result.HeldNotDurable, id)
	a.Detail = "out of service wherever this entry reaches; written as a note when the store is back"
	return a
}

func hasZone(s *release.State, zone string) bool {
	_, ok := s.Zones[zone]
	return ok
}

func (e *Entry) listZones(w http.ResponseWriter, _ *http.Request) {
	v := e.control.view()
	out := api.Zones{Version: v.version()}
	if v.State != nil {
		for name, z := range v.State.Zones {
			out.Zones = append(out.Zones, e.zoneView(v, name, z))
		}
	}
	slices.SortFunc(out.Zones, func(a, b api.ZoneView) int { return strings.Compare(a.Zone, b.Zone) })
	writeJSON(w, http.StatusOK, out)
}

func (e *Entry) zoneView(v *view, name string, z release.Zone) api.ZoneView {
	view := api.ZoneView{
		Zone: name, InService: z.InService,
		Held: slices.ContainsFunc(v.Holds, func(h release.Hold) bool { return h.Zone == name }),
	}
	for _, a := range e.agents.list() {
		if a.zone == name {
			view.Agents++
			view.Slots += a.slots
		}
	}
	return view
}
