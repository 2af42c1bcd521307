package integration

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

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

// settingsNote returns a note that changes a setting that tests do not rely on.
func settingsNote(id string, against uint64) release.Note {
	retries := 20 + int(against%2+1) //nolint:gosec // small
	return release.Note{ID: id, WrittenAgainst: against, Settings: &release.Settings{EjectMaxPct: 50, RetryBudgetPct: retries}}
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

// wantInForce waits until version is in force at the entries and all agents
// report it to them, at most for stopBound.
func wantInForce(t *testing.T, d *harness.Deployment, version uint64, entries []*harness.Entry) {
	t.Helper()
	for _, e := range entries {
		harness.Eventually(t, stopBound, fmt.Sprintf("version %d is in force at %s and its agents", version, e.ID), func() bool {
			status, err := d.Operator.Status(t.Context(), e.OperatorURL)
			return err == nil && status.Version == version && len(status.Agents) == len(d.Agents) && agentsHaveVersion(status, version)
		})
	}
}

func agentsHaveVersion(s api.Status, version uint64) bool {
	for _, a := range s.Agents {
		if a.Version != version {
			return false
		}
	}
	return true
}

// wantReached waits until version or a later one is in force at every process, at
// most for stopBound.
func wantReached(t *testing.T, d *harness.Deployment, version uint64) {
	t.Helper()
	for _, e := range d.Entries {
		harness.Eventually(t, stopBound, fmt.Sprintf("version %d has reached %s and its agents", version, e.ID), func() bool {
			status, err := d.Operator.Status(t.Context(), e.OperatorURL)
			reached := err == nil && status.Version >= version && len(status.Agents) == len(d.Agents)
			for _, a := range status.Agents {
				reached = reached && a.Version >= version
			}
			return reached
		})
	}
}

func TestNoteAnswerLostAfterWrite(t *testing.T) {
	d := deploy(t, harness.Options{})
	note := teamNote("lost", 1)
	d.Platform.SetFaults(t, harness.PlatformFaults{LoseAnswers: true})
	first := post(t, d, d.Entries[0], note)
	if first.Code != result.OK && first.Code != result.StoreUnavailable {
		t.Errorf("with the answer lost: %s (%s)", first.Name, first.Detail)
	}
	d.Platform.SetFaults(t, harness.PlatformFaults{})
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

// TestConflictTellsTheVersionInForce posts the second of two conflicting notes to
// an entry that has not received the first one from its peers.
func TestConflictTellsTheVersionInForce(t *testing.T) {
	const notes = 5
	d := deploy(t, harness.Options{})
	unlinked := d.Entries[2]
	d.DisconnectPeers(unlinked)
	for version := uint64(1); version <= notes; version++ {
		first := teamNote(fmt.Sprintf("first%d", version), version)
		wantNote(t, post(t, d, d.Entries[0], first), result.OK, version+1)
		second := post(t, d, unlinked, teamNote(fmt.Sprintf("second%d", version), version))
		wantNote(t, second, result.NoteConflict, version+1)
		if second.ConflictsAt != first.ID {
			t.Errorf("the conflict names %q, want %q", second.ConflictsAt, first.ID)
		}
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

func TestFiftyNotesInARowAreInForceInTheirOrder(t *testing.T) {
	const notes = 50
	d := deploy(t, harness.Options{})
	watch := watchVersions(t, d)
	for i := range notes {
		version := uint64(i + 1)
		e := d.Entries[i%len(d.Entries)]
		wantNote(t, post(t, d, e, teamNote(fmt.Sprintf("note%d", i), version)), result.OK, version+1)
	}
	wantInForce(t, d, notes+1, d.Entries)
	watch.stop()
	wantStored(t, d, notes+1)
}

func TestNotesAreAcceptedOnceByASlowStoreThatConflicts(t *testing.T) {
	for name, faults := range map[string]harness.PlatformFaults{
		"slow":              {DelayMS: slowStoreDelay.Milliseconds()},
		"conflicts":         {ConflictEvery: 2},
		"loses answers":     {LoseAnswers: true},
		"all of these":      {DelayMS: 100, ConflictEvery: 3, LoseAnswers: true},
		"slow and conflict": {DelayMS: slowStoreDelay.Milliseconds(), ConflictEvery: 3},
	} {
		t.Run(name, func(t *testing.T) {
			const notes = 6
			d := deploy(t, harness.Options{})
			watch := watchVersions(t, d)
			d.Platform.SetFaults(t, faults)
			for i := range notes {
				version := uint64(i + 1)
				note := teamNote(fmt.Sprintf("note%d", i), version)
				wantNote(t, postUntilDecided(t, d, i, note), result.OK, version+1)
			}
			d.Platform.SetFaults(t, harness.PlatformFaults{})
			wantInForce(t, d, notes+1, d.Entries)
			watch.stop()
			wantStored(t, d, notes+1)
		})
	}
}

// postUntilDecided posts a note through one entry after the other until an answer
// states whether the note was accepted.
func postUntilDecided(t *testing.T, d *harness.Deployment, first int, note release.Note) api.NoteAnswer {
	t.Helper()
	var answer api.NoteAnswer
	n := first
	harness.Eventually(t, answerLimit, note.ID+" is decided", func() bool {
		var err error
		answer, err = d.Operator.Note(t.Context(), d.Entries[n%len(d.Entries)].OperatorURL, note)
		n++
		return err == nil && answer.Code != result.StoreUnavailable && answer.Code != result.NoteUnconfirmed
	})
	return answer
}

// wantStored fails the test unless the store has exactly one note for each
// version up to the given one.
func wantStored(t *testing.T, d *harness.Deployment, version uint64) {
	t.Helper()
	notes, err := d.Operator.Notes(t.Context(), d.Entries[0].OperatorURL)
	if err != nil {
		t.Fatal(err)
	}
	if uint64(len(notes.Notes)) != version {
		t.Errorf("%d notes are stored, want %d", len(notes.Notes), version)
	}
	for i, n := range notes.Notes {
		if want := version - uint64(i); n.Version != want {
			t.Errorf("note %s has version %d, want %d", n.Note.ID, n.Version, want)
		}
	}
}

// versionWatch polls the versions in force until it is stopped.
type versionWatch struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// watchVersions fails the test if the entries report that the version of a process
// has decreased. A process that has just started has no version.
func watchVersions(t *testing.T, d *harness.Deployment) *versionWatch {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	w := &versionWatch{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		highest := map[string]uint64{}
		for ctx.Err() == nil {
			for _, e := range d.Entries {
				if status, err := d.Operator.Status(ctx, e.OperatorURL); err == nil {
					checkVersions(t, highest, status)
				}
			}
			harness.Poll(50*time.Millisecond, func() bool { return ctx.Err() != nil })
		}
	}()
	t.Cleanup(w.stop)
	return w
}

func (w *versionWatch) stop() {
	w.cancel()
	<-w.done
}

// checkVersions fails the test if a version that s reports is below the highest
// one that was reported before.
func checkVersions(t *testing.T, highest map[string]uint64, s api.Status) {
	t.Helper()
	seen := map[string]uint64{s.Entry: s.Version}
	for _, a := range s.Agents {
		seen[s.Entry+" of "+a.ID] = a.Version
	}
	for name, version := range seen {
		if version > 0 && version < highest[name] {
			t.Errorf("%s went from version %d to %d", name, highest[name], version)
		}
		highest[name] = max(highest[name], version)
	}
}

// noteStream posts release notes one after the other until it is stopped.
type noteStream struct {
	cancel   context.CancelFunc
	done     chan struct{}
	accepted atomic.Uint64 // version of the latest accepted note
	refused  []string      // ids of refused notes
}

// streamNotes posts notes through all entries in turn. A note whose outcome is
// unknown is posted again under the same id until it is decided.
func streamNotes(t *testing.T, d *harness.Deployment) *noteStream {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := &noteStream{cancel: cancel, done: make(chan struct{})}
	s.accepted.Store(1)
	go func() {
		defer close(s.done)
		for n := 0; ctx.Err() == nil; n++ {
			s.post(t, d, n)
		}
	}()
	t.Cleanup(s.stop)
	return s
}

// post posts one note against the latest version, then another one against the
// same version, which must be refused since that version is no longer current.
func (s *noteStream) post(t *testing.T, d *harness.Deployment, n int) {
	version := s.accepted.Load()
	answer := s.decide(t, d, n, teamNote(fmt.Sprintf("stream%d", n), version))
	if answer.Code != result.OK && answer.Code != result.NoteUnconfirmed {
		t.Errorf("%s against version %d: %s (%s)", answer.NoteID, version, answer.Name, answer.Detail)
	}
	s.accepted.Store(version + 1)
	stale := s.decide(t, d, n, teamNote(fmt.Sprintf("stale%d", n), version))
	if stale.Code != result.NoteConflict || stale.ConflictsAt != answer.NoteID {
		t.Errorf("%s against version %d: %s (%s)", stale.NoteID, version, stale.Name, stale.Detail)
	}
	s.refused = append(s.refused, stale.NoteID)
}

func (s *noteStream) decide(t *testing.T, d *harness.Deployment, first int, note release.Note) api.NoteAnswer {
	var answer api.NoteAnswer
	n := first
	decided := harness.Poll(answerLimit, func() bool {
		var err error
		answer, err = d.Operator.Note(t.Context(), d.Entries[n%len(d.Entries)].OperatorURL, note)
		n++
		return err == nil && answer.Code != result.StoreUnavailable
	})
	if !decided {
		t.Errorf("%s is not decided: %s (%s)", note.ID, answer.Name, answer.Detail)
	}
	return answer
}

func (s *noteStream) stop() {
	s.cancel()
	<-s.done
}

func TestNotesAppliedWhileEveryProcessIsRestartedInTurn(t *testing.T) {
	d := deploy(t, harness.Options{})
	watch := watchVersions(t, d)
	stream := streamNotes(t, d)
	for _, e := range d.Entries {
		e.Restart(t)
		wantReached(t, d, stream.accepted.Load())
	}
	for _, a := range d.Agents {
		a.Restart(t)
		wantReached(t, d, stream.accepted.Load())
	}
	stream.stop()
	version := stream.accepted.Load()
	wantInForce(t, d, version, d.Entries)
	watch.stop()
	wantStored(t, d, version)
	wantNotStored(t, d, stream.refused)
}

func wantNotStored(t *testing.T, d *harness.Deployment, refused []string) {
	t.Helper()
	notes, err := d.Operator.Notes(t.Context(), d.Entries[0].OperatorURL)
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range notes.Notes {
		if slices.Contains(refused, n.Note.ID) {
			t.Errorf("%s was refused and is stored as version %d", n.Note.ID, n.Version)
		}
	}
}
