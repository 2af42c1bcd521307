package integration

import (
	"fmt"
	"testing"

	"bergamotwing.example/client/api"
	"bergamotwing.example/integration/harness"
	"bergamotwing.example/release"
	"bergamotwing.example/result"
)

// teamNote returns a note that adds a team.
func teamNote(id string, against uint64) release.Note {
	team := release.Team{TasksPerSecond: 1000, Burst: 100, Weight: 1}
	return release.Note{
		ID:             id,
		WrittenAgainst: against,
		Teams:          release.TeamDelta{Add: map[string]release.Team{"team-" + id: team}},
	}
}

func post(t *testing.T, d *harness.Deployment, e *harness.Entry, note release.Note) api.NoteAnswer {
	t.Helper()
	answer, err := d.Operator.Note(t.Context(), e.OperatorURL, note)
	if err != nil {
		t.Fatalf("note %s: %v", note.ID, err)
	}
	return answer
}

func wantNote(t *testing.T, answer api.NoteAnswer, code result.Code, version uint64) {
	t.Helper()
	if answer.Code != code || answer.Version != version {
		t.Errorf("note %s: %s (%s) at version %d, want %s at version %d",
			answer.NoteID, answer.Name, answer.Detail, answer.Version, code, version)
	}
}

// waitVersion waits until exactly version is in force at every process.
func waitVersion(t *testing.T, d *harness.Deployment, version uint64) {
	t.Helper()
	d.WaitReady(t, version)
	for _, e := range d.Entries {
		if v := d.Version(t.Context(), e); v != version {
			t.Errorf("%s has version %d in force, want %d", e.ID, v, version)
		}
	}
}

func TestNoteAnswerLostAfterWrite(t *testing.T) {
	d := deploy(t, harness.Options{})
	note := teamNote("lost", 1)
	d.Platform.Control(t, harness.PlatformFaults{LoseAnswers: true})
	first := post(t, d, d.Entries[0], note)
	if first.Code != result.OK && first.Code != result.StoreUnavailable {
		t.Errorf("with the answer lost: %s (%s)", first.Name, first.Detail)
	}
	d.Platform.Control(t, harness.PlatformFaults{})
	for _, e := range d.Entries {
		wantNote(t, post(t, d, e, note), result.OK, 2)
	}
	waitVersion(t, d, 2)
	other := teamNote("other", 1)
	other.ID = note.ID
	wantNote(t, post(t, d, d.Entries[1], other), result.NoteReused, 2)
}

func TestTwoOperatorsRace(t *testing.T) {
	d := deploy(t, harness.Options{})
	const races = 5
	for i := range races {
		against := uint64(i + 1)
		answers := make(chan api.NoteAnswer, 2)
		for n, e := range d.Entries[:2] {
			note := teamNote(fmt.Sprintf("race%d-operator%d", i, n), against)
			go func() {
				answer, err := d.Operator.Note(t.Context(), e.OperatorURL, note)
				if err != nil {
					answer = api.NoteAnswer{NoteID: note.ID, Code: result.BadRequest, Detail: err.Error()}
				}
				answers <- answer
			}()
		}
		won, lost := <-answers, <-answers
		if won.Code != result.OK {
			won, lost = lost, won
		}
		wantNote(t, won, result.OK, against+1)
		wantNote(t, lost, result.NoteConflict, against+1)
		if lost.ConflictsAt != won.NoteID {
			t.Errorf("the conflict names %q, want %q", lost.ConflictsAt, won.NoteID)
		}
		waitVersion(t, d, against+1)
	}
}

func TestEveryProcessRestartedVersionsNeverGoDown(t *testing.T) {
	d := deploy(t, harness.Options{})
	version := uint64(1)
	for _, e := range d.Entries {
		wantNote(t, post(t, d, e, teamNote(e.ID, version)), result.OK, version+1)
		version++
		e.Restart(t)
		waitVersion(t, d, version)
	}
	for _, a := range d.Agents {
		a.Restart(t)
		waitVersion(t, d, version)
	}
	for _, e := range d.Entries {
		e.Kill()
	}
	for _, e := range d.Entries {
		e.Start(t)
	}
	waitVersion(t, d, version)
	wantNote(t, post(t, d, d.Entries[0], teamNote("stale", 1)), result.NoteConflict, version)
	wantNote(t, post(t, d, d.Entries[1], teamNote("last", version)), result.OK, version+1)
	waitVersion(t, d, version+1)
}
