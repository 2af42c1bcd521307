package entry

import (
	"context"
	"crypto/subtle"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"bergamotwing.example/client/api"
	"bergamotwing.example/release"
	"bergamotwing.example/release/notestore"
	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

const (
	maxNoteBytes = 1 << 20
	ackTimeout   = time.Second // for a majority of the entries to acknowledge a note
	ackPoll      = 2 * time.Millisecond
)

// operatorRoutes serves operators.
func (e *Entry) operatorRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathNotes, e.applyNote)
	mux.HandleFunc("GET "+api.PathNotes, e.listNotes)
	mux.HandleFunc("GET "+api.PathNotes+"/{id}", e.showNote)
	mux.HandleFunc("GET "+api.PathZones, e.listZones)
	mux.HandleFunc("POST "+api.PathZones+"/{zone}/out", func(w http.ResponseWriter, r *http.Request) { e.setZone(w, r, false) })
	mux.HandleFunc("POST "+api.PathZones+"/{zone}/back", func(w http.ResponseWriter, r *http.Request) { e.setZone(w, r, true) })
	mux.HandleFunc("GET "+api.PathStatus, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.status()) })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		e.refuse(w, result.Errorf(result.NotFound, "no such path: %s %s", r.Method, r.URL.Path))
	})
	return e.withReadDeadline(e.authorize(mux))
}

// authorize checks the operator's bearer token in constant time.
func (e *Entry) authorize(next http.Handler) http.Handler {
	want := []byte(e.cfg.OperatorToken)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if len(want) > 0 && subtle.ConstantTimeCompare([]byte(got), want) != 1 {
			e.refuse(w, result.Errorf(result.Unauthorized, "the operator's token is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Entry) applyNote(w http.ResponseWriter, r *http.Request) {
	text, err := e.readBody(w, r, maxNoteBytes)
	if err != nil {
		e.refuse(w, err)
		return
	}
	note, err := release.ParseNote(text)
	if err != nil {
		e.answerNote(w, e.noteFailed(note.ID, err))
		return
	}
	state, err := e.notes.ApplyNote(r.Context(), note)
	if err != nil {
		e.answerNote(w, e.noteFailed(note.ID, err))
		return
	}
	e.answerNote(w, e.noteAccepted(r.Context(), note.ID, state))
}

// applyZone writes the note of a zone order. Open holds of the zone are older
// than an order to put the zone back, so their notes are written first.
func (e *Entry) applyZone(ctx context.Context, zone string, inService bool, id string) (release.State, error) {
	for _, h := range e.control.view().Holds {
		if !inService || h.Zone != zone {
			continue
		}
		if err := e.control.writeHold(ctx, h); err != nil {
			return release.State{}, err
		}
	}
	return e.notes.ApplyZone(ctx, zone, inService, id)
}

// noteAccepted puts a durable note in force and waits, for at most ackTimeout,
// until a majority of the entries, registered or linked, has it: from then on no
// majority reports the previous version, so without the store no entry can confirm
// that version for a later moment.
func (e *Entry) noteAccepted(ctx context.Context, id string, state release.State) api.NoteAnswer {
	e.log.Info().Str("note", id).Uint64("version", state.Version).Msg("note accepted")
	e.control.send(stateReceived{state: &state})
	code := result.OK
	if !e.await(ctx, func() bool { return e.control.view().version() >= state.Version && e.majorityHas(state.Version) }) {
		code = result.NoteUnconfirmed
	}
	a := e.noteAnswer(code, id)
	a.Version = max(a.Version, state.Version)
	return a
}

// await polls until done returns true, for at most ackTimeout.
func (e *Entry) await(ctx context.Context, done func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	for !done() {
		if !pause(ctx, ackPoll) {
			return done()
		}
	}
	return true
}

// majorityHas reports whether a majority of the entries, registered or linked,
// has at least the version.
func (e *Entry) majorityHas(version uint64) bool {
	members := e.withLinked(e.control.view().Members)
	have := 0
	for _, id := range members {
		p := e.peers.get(id)
		if id == e.self.ID || p != nil && (p.acked.Load() >= version || p.report.Load().version >= version) {
			have++
		}
	}
	return have >= len(members)/2+1
}

func (e *Entry) noteFailed(id string, err error) api.NoteAnswer {
	var coded *result.Error
	if !errors.As(err, &coded) {
		coded = result.Errorf(result.StoreUnavailable, "%v", err)
	}
	a := api.NoteAnswer{Code: coded.Code, Name: coded.Code.String(), Detail: coded.Detail, NoteID: id, Version: e.control.view().version()}
	var conflict *notestore.ConflictError
	if errors.As(err, &conflict) {
		a.ConflictsAt, a.Version = conflict.NoteID, max(a.Version, conflict.Current)
	}
	return a
}

func (e *Entry) noteAnswer(code result.Code, id string) api.NoteAnswer {
	v := e.control.view()
	a := api.NoteAnswer{Code: code, Name: code.String(), NoteID: id, Version: v.version()}
	a.InForce, a.Missing = e.rollout(v.version())
	return a
}

func (e *Entry) answerNote(w http.ResponseWriter, a api.NoteAnswer) {
	if a.Code != result.OK {
		e.metrics.Refused(a.Code)
	}
	writeJSON(w, result.Lookup(a.Code).HTTPStatus, a)
}

// rollout returns the processes that have a version in force and those that do
// not, as far as this entry knows.
func (e *Entry) rollout(version uint64) (inForce, missing []string) {
	v := e.control.view()
	add := func(name string, has bool) {
		if has {
			inForce = append(inForce, name)
		} else {
			missing = append(missing, name)
		}
	}
	add("entry "+e.self.ID, v.version() >= version)
	for _, known := range v.Peers {
		p := e.peers.get(known.ID)
		add("entry "+known.ID, p != nil && (p.acked.Load() >= version || p.report.Load().version >= version))
	}
	for _, a := range e.agents.list() {
		add("agent "+a.id, a.version.Load() >= version)
	}
	slices.Sort(inForce)
	slices.Sort(missing)
	return inForce, missing
}

func (e *Entry) listNotes(w http.ResponseWriter, r *http.Request) {
	records, err := e.notes.List(r.Context())
	if err != nil {
		e.answerNote(w, e.noteFailed("", err))
		return
	}
	slices.SortFunc(records, func(a, b release.NoteRecord) int { return int(b.Version) - int(a.Version) }) //nolint:gosec // small numbers
	out := api.Notes{}
	for _, rec := range records {
		out.Notes = append(out.Notes, e.noteView(rec))
	}
	writeJSON(w, http.StatusOK, out)
}

func (e *Entry) noteView(rec release.NoteRecord) api.NoteView {
	view := api.NoteView{Note: rec.Note, Version: rec.Version}
	view.InForce, view.Missing = e.rollout(rec.Version)
	return view
}

func (e *Entry) showNote(w http.ResponseWriter, r *http.Request) {
	rec, err := e.notes.Get(r.Context(), r.PathValue("id"))
	if err != nil {
		e.answerNote(w, e.noteFailed(r.PathValue("id"), err))
		return
	}
	writeJSON(w, http.StatusOK, e.noteView(rec))
}

// sortedPeers returns the peers sorted by id.
func sortedPeers(peers []wire.Peer) []wire.Peer {
	out := slices.Clone(peers)
	slices.SortFunc(out, func(a, b wire.Peer) int { return strings.Compare(a.ID, b.ID) })
	return out
}
