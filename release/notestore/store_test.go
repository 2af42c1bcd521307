package notestore_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/release"
	"bergamotwing.example/release/notestore"
	"bergamotwing.example/result"
	"bergamotwing.example/standin"
	"bergamotwing.example/tablestore"
)

// deployment returns a store that holds version 1 with the zones gwent and powys in service.
func deployment(t *testing.T) (*standin.Platform, notestore.Store) {
	t.Helper()
	p := standin.NewPlatform()
	srv := httptest.NewServer(p)
	t.Cleanup(srv.Close)
	s := notestore.Store{
		Table: tablestore.NewClient(tablestore.ClientConfig{URL: srv.URL}),
		Now:   func() time.Time { return time.Unix(7, 0) },
	}
	in := release.Zone{InService: true}
	first := release.Note{ID: "first", Zones: release.ZoneDelta{Add: map[string]release.Zone{"gwent": in, "powys": in}}}
	if _, err := s.ApplyNote(t.Context(), first); err != nil {
		t.Fatal(err)
	}
	return p, s
}

func teamNote(id string, against uint64) release.Note {
	return release.Note{
		ID: id, WrittenAgainst: against,
		Teams: release.TeamDelta{Add: map[string]release.Team{id: {Weight: 1}}},
	}
}

func hasCode(err error, c result.Code) bool { return errors.Is(err, &result.Error{Code: c}) }

func TestDeploymentWithoutNotesIsAtVersionZero(t *testing.T) {
	srv := httptest.NewServer(standin.NewPlatform())
	defer srv.Close()
	s := notestore.Store{Table: tablestore.NewClient(tablestore.ClientConfig{URL: srv.URL})}
	state, err := s.Load(t.Context())
	if diff := cmp.Diff(release.State{}, state); diff != "" || err != nil {
		t.Error(diff, err)
	}
	if _, err := s.Get(t.Context(), "none"); !hasCode(err, result.NotFound) {
		t.Error(err)
	}
}

func TestAcceptedNoteIsInTheListAndTheState(t *testing.T) {
	_, s := deployment(t)
	state, err := s.ApplyNote(t.Context(), teamNote("crew", 1))
	if err != nil {
		t.Fatal(err)
	}
	loaded, err := s.Load(t.Context())
	if diff := cmp.Diff(state, loaded); diff != "" || err != nil || state.Version != 2 {
		t.Error(diff, err)
	}
	rec, err := s.Get(t.Context(), "crew")
	if diff := cmp.Diff(release.NoteRecord{Note: teamNote("crew", 1), Version: 2, At: 7}, rec); diff != "" || err != nil {
		t.Error(diff, err)
	}
	records, err := s.List(t.Context())
	if err != nil || len(records) != 2 || records[0].Note.ID != "crew" {
		t.Errorf("%+v %v", records, err)
	}
}

func TestLostAnswerIsResolvedByReadingAgain(t *testing.T) {
	p, s := deployment(t)
	p.SetFaults(standin.Faults{LoseAnswers: true})
	state, err := s.ApplyNote(t.Context(), teamNote("crew", 1))
	if err != nil || state.Version != 2 {
		t.Errorf("%+v %v", state, err)
	}
	if state, err = s.ApplyZone(t.Context(), "gwent", false, "out"); err != nil || state.Version != 3 {
		t.Errorf("%+v %v", state, err)
	}
}

func TestRepeatedNoteReturnsItsOwnVersionAlsoAfterLaterNotes(t *testing.T) {
	_, s := deployment(t)
	want, err := s.ApplyNote(t.Context(), teamNote("crew", 1))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.ApplyZone(t.Context(), "gwent", true, "still-in"); err != nil {
		t.Fatal(err)
	}
	got, err := s.ApplyNote(t.Context(), teamNote("crew", 1))
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Error(diff, err)
	}
	other := teamNote("crew", 1)
	other.Text = "other"
	if _, err := s.ApplyNote(t.Context(), other); !hasCode(err, result.NoteReused) {
		t.Errorf("other content: %v", err)
	}
	if _, err := s.ApplyZone(t.Context(), "gwent", false, "still-in"); !hasCode(err, result.NoteReused) {
		t.Errorf("other zone state: %v", err)
	}
}

func TestConflictNamesTheNoteThatCameFirst(t *testing.T) {
	_, s := deployment(t)
	for v, id := range []string{"second", "third"} {
		if _, err := s.ApplyNote(t.Context(), teamNote(id, uint64(v)+1)); err != nil {
			t.Fatal(err)
		}
	}
	_, err := s.ApplyNote(t.Context(), teamNote("late", 1))
	var conflict *notestore.ConflictError
	if !errors.As(err, &conflict) || conflict.NoteID != "second" || conflict.Version != 2 || conflict.Current != 3 || !hasCode(err, result.NoteConflict) {
		t.Errorf("%v", err)
	}
}

func TestStoreThatIsDownIsReportedAsUnavailable(t *testing.T) {
	p, s := deployment(t)
	p.SetFaults(standin.Faults{Down: true})
	if _, err := s.Load(t.Context()); !hasCode(err, result.StoreUnavailable) {
		t.Errorf("Load: %v", err)
	}
	if _, err := s.ApplyNote(t.Context(), teamNote("crew", 1)); !hasCode(err, result.StoreUnavailable) {
		t.Errorf("ApplyNote: %v", err)
	}
	if _, err := s.ApplyZone(t.Context(), "gwent", false, "out"); !hasCode(err, result.StoreUnavailable) {
		t.Errorf("ApplyZone: %v", err)
	}
}

// racing commits another writer's note just before a transaction.
type racing struct {
	tablestore.Table
	before []func(context.Context)
}

func (r *racing) Commit(ctx context.Context, ops ...tablestore.Op) error {
	if len(r.before) > 0 {
		race := r.before[0]
		r.before = r.before[1:]
		race(ctx)
	}
	return r.Table.Commit(ctx, ops...)
}

func TestZoneNoteConflictsOnlyWithANoteOfTheSameZone(t *testing.T) {
	_, s := deployment(t)
	apply := func(n release.Note) func(context.Context) {
		return func(ctx context.Context) {
			if _, err := s.ApplyNote(ctx, n); err != nil {
				t.Error(err)
			}
		}
	}
	raced := s
	raced.Table = &racing{Table: s.Table, before: []func(context.Context){apply(teamNote("crew", 1))}}
	state, err := raced.ApplyZone(t.Context(), "gwent", false, "out")
	if err != nil || state.Version != 3 || state.Zones["gwent"].InService {
		t.Errorf("%+v %v", state, err)
	}
	withdraw := release.Note{ID: "gone", WrittenAgainst: 3, Zones: release.ZoneDelta{Withdraw: []string{"gwent"}}}
	raced.Table = &racing{Table: s.Table, before: []func(context.Context){apply(withdraw)}}
	_, err = raced.ApplyZone(t.Context(), "gwent", true, "back")
	var conflict *notestore.ConflictError
	if !errors.As(err, &conflict) || conflict.NoteID != "gone" {
		t.Errorf("%v", err)
	}
}

func TestRacingWritersWithLostAnswersAcceptEachNoteOnce(t *testing.T) {
	p, s := deployment(t)
	p.SetFaults(standin.Faults{LoseAnswers: true, ConflictEvery: 3})
	const writers = 6
	accepted := make([]uint64, writers)
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() { accepted[w] = addUntilAccepted(t, s, fmt.Sprintf("team-%d", w)) })
	}
	wg.Wait()
	state, err := s.Load(t.Context())
	if err != nil || state.Version != writers+1 || len(state.Teams) != writers {
		t.Fatalf("%+v %v", state, err)
	}
	for w, version := range accepted {
		rec, err := s.Get(t.Context(), fmt.Sprintf("team-%d", w))
		if err != nil || rec.Version != version {
			t.Errorf("writer %d got version %d, but the record is %+v %v", w, version, rec, err)
		}
	}
}

// addUntilAccepted writes the note against each new version until it is accepted,
// as an operator would.
func addUntilAccepted(t *testing.T, s notestore.Store, id string) uint64 {
	for {
		current, err := s.Load(t.Context())
		if err != nil {
			t.Error(err)
			return 0
		}
		state, err := s.ApplyNote(t.Context(), teamNote(id, current.Version))
		if err == nil {
			return state.Version
		}
		if !hasCode(err, result.NoteConflict) && !hasCode(err, result.StoreUnavailable) {
			t.Error(err)
			return 0
		}
	}
}
