package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/platform/fake"
	"bergamotwing.example/result"
	"bergamotwing.example/telemetry"
	"bergamotwing.example/wire"
)

// An entry that is cut off from the others is registered all the same, and may have the job.
func TestADeleteIsAcknowledgedOnlyIfEveryRegisteredEntryAnswers(t *testing.T) {
	member := mesh.MemberRow{Member: wire.Member{Name: "far", Addr: "10.0.0.9:7720"}}
	for _, tc := range []struct {
		name string
		do   func(s *state, now time.Duration)
		want deleteResult
	}{
		{"without a link", func(*state, time.Duration) {}, deleteUnanswered},
		{"its address refuses", func(s *state, now time.Duration) { s.refused(now, member.Addr, now) }, deleteCancelled},
		{"its address refused long before", func(s *state, now time.Duration) { s.refused(now-refusedFor-1, member.Addr, now-refusedFor-1) }, deleteUnanswered},
		{"another address refuses", func(s *state, now time.Duration) { s.refused(now, "10.0.0.8:7720", now) }, deleteUnanswered},
		{"its row was removed", func(s *state, now time.Duration) { s.setMembers(now, nil) }, deleteCancelled},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, _, reply := running(t, 2)
			s := p.entries[1].state
			s.setMembers(p.now, []mesh.MemberRow{member})
			tc.do(s, p.now)
			p.wantDelete(p.sendDelete(p.entries[1], "j"), tc.want)
			p.wantAnswer("the client", reply, result.Cancelled) // the cancel takes effect all the same
		})
	}
}

// An entry without any link may not say that there is no such job.
func TestADeleteAtAnEntryWithoutLinksIsNotAnsweredThatThereIsNoJob(t *testing.T) {
	p, _, reply := running(t, 2)
	p.cut(p.entries[1])
	p.wait(time.Second) // its lease is over
	p.entries[1].state.setMembers(p.now, []mesh.MemberRow{{Member: wire.Member{Name: "home", Addr: "10.0.0.9:7720"}}})
	p.wantDelete(p.sendDelete(p.entries[1], "j"), deleteUnanswered)
	if len(reply) > 0 {
		t.Error("the job was cancelled")
	}
}

// All of them have to answer, not only the one that had the job.
func TestADeleteWaitsForEntriesThatDidNotHaveTheJob(t *testing.T) {
	e := newEntry(t)
	now := mesh.Now()
	links := map[string]*mesh.Link{}
	for _, name := range []string{"a", "b"} {
		links[name], _ = recordedLink(name, wire.RoleEntry)
		e.receive(now, control.LinkUp{Link: links[name]})
	}
	known := make(chan deleteResult, 1)
	e.receive(now, deleteJob{job: "j", known: known})
	e.receive(now, control.Received{Link: links["a"], Message: &wire.JobDeleted{Number: 1, Cancelled: true}})
	if len(known) > 0 {
		t.Fatal("answered before the other entry has")
	}
	e.receive(now, control.Received{Link: links["b"], Message: &wire.JobDeleted{Number: 1}})
	if len(known) == 0 || <-known != deleteCancelled {
		t.Error("not answered as cancelled once both have answered")
	}
}

// storeWrite is a write of cancelled jobs.
type storeWrite struct{ set, remove []string }

// withStore returns an entry whose writes of cancelled jobs the test answers.
func withStore(t *testing.T) (e *Entry, writes *[]storeWrite) {
	t.Helper()
	e = newTestState(t).e
	writes = &[]storeWrite{}
	e.state.storeCancels = func(set, remove []string) { *writes = append(*writes, storeWrite{set, remove}) }
	return e, writes
}

// Entries that restart together know only what the store has.
func TestADeleteIsAcknowledgedOnceTheStoreHasItsRow(t *testing.T) {
	for name, tc := range map[string]struct {
		err  error
		want deleteResult
	}{
		"taken":      {nil, deleteNotOpen},
		"refused":    {platform.ErrNotDone, deleteNotStored},
		"unanswered": {errors.New("connection lost"), deleteNotStored},
	} {
		e, writes := withStore(t)
		now := mesh.Now()
		known := make(chan deleteResult, 1)
		e.receive(now, deleteJob{job: "j", known: known})
		if len(known) > 0 || len(*writes) != 1 || !slices.Equal((*writes)[0].set, []string{"j"}) {
			t.Fatalf("%s: answered %v before the store has, writes %v", name, len(known) > 0, *writes)
		}
		e.receive(now, cancelsWritten{set: []string{"j"}, err: tc.err})
		if len(known) == 0 || <-known != tc.want {
			t.Errorf("%s: not answered, or otherwise than %v", name, tc.want)
		}
		if !e.state.wasDeleted(now, "j") {
			t.Errorf("%s: the cancel does not hold in memory", name)
		}
		for at := now + tickEvery; at < now+time.Second; at += tickEvery { // a pause would have the registered entries read first
			e.receive(at, control.Tick{})
		}
		again := make(chan deleteResult, 1)
		e.receive(now+time.Second, deleteJob{job: "j", known: again})
		if stored := tc.err == nil; len(*writes) != map[bool]int{true: 1, false: 2}[stored] || (len(again) == 1) != stored {
			t.Errorf("%s: repeated: %d writes, answered at once %v", name, len(*writes), len(again) == 1)
		}
	}
}

func TestADeleteThatTheStoreDoesNotAnswerIsAnsweredInTime(t *testing.T) {
	e, _ := withStore(t)
	began := mesh.Now()
	known := make(chan deleteResult, 1)
	e.receive(began, deleteJob{job: "j", known: known})
	now := began
	for ; len(known) == 0 && now < began+2*deleteTimeout; now += tickEvery {
		e.state.expireDeletes(now)
	}
	if len(known) == 0 || <-known != deleteNotStored || now-began > deleteTimeout+2*tickEvery {
		t.Errorf("not answered, or after %v", now-began)
	}
}

// The store counts calls and limits their number; a row is some bytes.
func TestDeletesThatWaitShareAWrite(t *testing.T) {
	e, writes := withStore(t)
	s := e.state
	now := mesh.Now()
	known := make([]chan deleteResult, 0, maxCancelsWaiting+platform.MaxRowsPerWrite)
	for i := range maxCancelsWaiting + platform.MaxRowsPerWrite {
		known = append(known, make(chan deleteResult, 1))
		s.deleteJob(now, deleteJob{job: fmt.Sprint(i), known: known[i]})
	}
	full := 0
	for _, k := range known {
		if len(k) > 0 && <-k == deleteNotStored {
			full++
		}
	}
	if len(*writes) != 1 || full != platform.MaxRowsPerWrite-1 { // the first one is being written
		t.Fatalf("%d writes before the first is answered, %d DELETEs refused for lack of room", len(*writes), full)
	}
	began := now
	for now < began+deleteTimeout {
		last := (*writes)[len(*writes)-1]
		if n := len(last.set); n > platform.MaxRowsPerWrite {
			t.Fatalf("%d rows in a write", n)
		}
		if s.cancels.busy {
			s.cancelsWritten(now, cancelsWritten{set: last.set, remove: last.remove})
		}
		now += tickEvery
		s.writeCancels(now)
	}
	if n := len(*writes); n > int(deleteTimeout/cancelWritePause)+1 {
		t.Errorf("%d writes in %v", n, deleteTimeout)
	}
	acknowledged := 0
	for _, k := range known {
		if len(k) > 0 && <-k == deleteNotOpen {
			acknowledged++
		}
	}
	if acknowledged < maxCancelsWaiting-2*platform.MaxRowsPerWrite {
		t.Errorf("%d of %d DELETEs are acknowledged within %v", acknowledged, maxCancelsWaiting, deleteTimeout)
	}
}

// Nothing in the store expires on its own.
func TestRowsOfCancelledJobsAreRemovedByTheirWriter(t *testing.T) {
	const keep = time.Minute
	w := &cancelWrites{}
	now := time.Hour
	write := func(err error, jobs ...string) {
		for _, job := range jobs {
			w.wants(now, keep, job)
		}
		set, remove := w.next(now)
		w.done(now, keep, set, remove, err)
		now += storePause
	}
	idle := func(until time.Duration) (removed []string) {
		for ; now < until; now += time.Second {
			set, remove := w.next(now)
			if len(set) > 0 {
				t.Errorf("%v is written", set)
			}
			if len(remove) > 0 {
				w.done(now, keep, nil, remove, nil)
			}
			removed = append(removed, remove...)
		}
		return removed
	}
	write(nil, "stored", "again")
	write(errors.New("no answer"), "unanswered")
	write(platform.ErrNotDone, "refused")
	if _, remove := w.next(now); len(remove) > 0 {
		t.Errorf("%v removed early", remove)
	}
	began := now
	if removed := idle(began + keep - cancelRemovePause); len(removed) > 0 {
		t.Errorf("%v removed early", removed)
	}
	write(nil, "again") // deleted again
	removed := idle(began + keep + cancelRemovePause)
	slices.Sort(removed)
	if !slices.Equal(removed, []string{"stored", "unanswered"}) {
		t.Errorf("removed %v", removed)
	}
	if removed := idle(now + 2*keep); !slices.Equal(removed, []string{"again"}) {
		t.Errorf("removed %v, want the job that was deleted again", removed)
	}
	if n := len(w.rows.until) + len(w.rows.order) + len(w.unsure.order) + len(w.expired); n > 0 {
		t.Errorf("%d entries left", n)
	}
}

func TestRemovalsAreFewAndRideAlong(t *testing.T) {
	const keep = time.Minute
	w := &cancelWrites{}
	now := time.Hour
	for i := range 50 { // one DELETE a second
		w.wants(now, keep, fmt.Sprint("old", i))
		set, remove := w.next(now)
		w.done(now, keep, set, remove, nil)
		now += time.Second
	}
	calls := 0
	for end := now + 2*keep; now < end; now += tickEvery {
		if set, remove := w.next(now); len(set)+len(remove) > 0 {
			calls++
			w.done(now, keep, set, remove, nil)
		}
	}
	if n := int(50*time.Second/cancelRemovePause) + 2; calls > n {
		t.Errorf("%d writes to remove 50 rows, want at most %d", calls, n)
	}
	w.rows.add("ripe", now)
	now++
	w.removed = now
	w.wants(now, keep, "new")
	if set, remove := w.next(now); !slices.Equal(set, []string{"new"}) || !slices.Equal(remove, []string{"ripe"}) {
		t.Errorf("set %v, remove %v", set, remove)
	}
}

// startWithStore returns an entry whose store is a stand-in, and passes on what it is sent.
func startWithStore(t *testing.T, name string) (e *Entry, store *fake.Store) {
	t.Helper()
	store = fake.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return entryAt(t, name, server), store
}

func entryAt(t *testing.T, name string, store *httptest.Server) *Entry {
	t.Helper()
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	node := platform.Node{Name: name, IP: "127.0.0.1", LinkPort: 7720, StoreAddr: strings.TrimPrefix(store.URL, "http://")}
	e := New(node, Options{}, control.Deps{Log: zerolog.Nop(), Metrics: metrics})
	e.ctx = t.Context()
	e.actor.Start(e.receive)
	t.Cleanup(e.actor.Shutdown)
	return e
}

func deleteAt(t *testing.T, e *Entry, job string) deleteResult {
	t.Helper()
	known := make(chan deleteResult, 1)
	e.actor.Send(deleteJob{job: job, known: known})
	e.actor.Send(control.Tick{})
	select {
	case found := <-known:
		return found
	case <-time.After(10 * deleteTimeout):
		t.Fatal("the DELETE is not answered")
		return 0
	}
}

const cancelledJob = "00112233aabbccdd"

// submitted returns how a submission at an entry is answered within a moment; 0: it goes on.
func submittedAt(t *testing.T, e *Entry, job string) result.Code {
	t.Helper()
	reply, handled := make(chan dispatch.Outcome, 1), make(chan int, 1)
	e.actor.Send(submit{job: dispatch.Job{ID: job, Steps: []dispatch.Step{{Count: 1}}}, route: testRoute, deadline: mesh.Now() + time.Minute, reply: reply})
	e.actor.Send(askWaiting{testRoute, handled})
	<-handled
	select {
	case out := <-reply:
		return out.Code
	default:
		return 0
	}
}

// All entries may be killed at once.
func TestAnEntryLearnsOfAcknowledgedCancelsFromTheStore(t *testing.T) {
	store := fake.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	first := entryAt(t, "first", server)
	if got := deleteAt(t, first, cancelledJob); got != deleteNotOpen {
		t.Fatalf("the DELETE is answered %v", got)
	}
	store.PutBytes(platform.CancelledTable, "odd", []byte("odd"))
	for _, name := range []string{"first", "second"} {
		next := entryAt(t, name, server)
		if next.cancelsKnown.Load() {
			t.Fatal("takes jobs before it has read the table")
		}
		if !next.readCancels(t.Context(), next.cancelDoubts.Load()) {
			t.Fatal("the table is not read")
		}
		if got := submittedAt(t, next, cancelledJob); got != result.Cancelled || !next.cancelsKnown.Load() {
			t.Errorf("%s: the job is answered %v; takes jobs: %v", name, got, next.cancelsKnown.Load())
		}
	}
}

// An answer may be lost after the write has taken effect.
func TestACancelThatTheStoreDoesNotConfirmIsNotAcknowledged(t *testing.T) {
	e, store := startWithStore(t, "e")
	for _, tc := range []struct {
		fault fake.StoreFault
		rows  int
	}{
		{fake.StoreBusy, 0},
		{fake.StoreLimited, 0},
		{fake.StoreSilent, 0},
		{fake.StoreLosesWrite, 1},
		{fake.StoreHealthy, 1},
	} {
		store.SetFault(func(string) fake.StoreFault { return tc.fault })
		want := deleteNotStored
		if tc.fault == fake.StoreHealthy {
			want = deleteNotOpen
		}
		if got := deleteAt(t, e, cancelledJob); got != want {
			t.Errorf("fault %v: answered %v, want %v", tc.fault, got, want)
		}
		if n := len(store.Keys(platform.CancelledTable)); n != tc.rows {
			t.Errorf("fault %v: %d rows, want %d", tc.fault, n, tc.rows)
		}
		if got := submittedAt(t, e, cancelledJob); got != result.Cancelled {
			t.Errorf("fault %v: the job is answered %v", tc.fault, got)
		}
	}
}

func TestRowsOfCancelledJobsAreKeptByTheStoresClock(t *testing.T) {
	const retention = 2 * time.Minute
	now := time.Hour
	row := func(job, entry string, age time.Duration) platform.Row {
		return platform.CancelledRow(platform.CancelledJob{Job: job, Entry: entry, At: now - age})
	}
	read := platform.Rows{Now: now, Rows: []platform.Row{
		row("0000000000000001", "e", time.Minute),
		row("0000000000000002", "other", 0),
		row("0000000000000003", "other", -time.Minute), // the estimate of its writer was ahead
		row("0000000000000004", "e", retention+time.Second),
		row("0000000000000005", "other", retention+time.Second),
		row("0000000000000006", "other", staleCancels*retention+time.Second),
		{Key: "odd"},
	}}
	jobs, old, odd := cancelsOf(read, "e", retention)
	want := []keptCancel{
		{"0000000000000001", time.Minute, true},
		{"0000000000000002", retention, false},
		{"0000000000000003", retention, false},
	}
	if !slices.Equal(jobs, want) {
		t.Errorf("kept %+v, want %+v", jobs, want)
	}
	if len(old) != 2 || old[0].Key != "0000000000000004/e" || old[1].Key != "0000000000000006/other" {
		t.Errorf("to remove: %+v", old)
	}
	if len(odd) != 1 {
		t.Errorf("odd rows: %+v", odd)
	}
}

// A row may be written again between the read and the removal.
func TestARowThatWasWrittenAgainIsNotRemovedAtAStart(t *testing.T) {
	e, store := startWithStore(t, "e")
	rows := make([]platform.Row, 0, 2*platform.MaxRowsPerWrite)
	for i := range cap(rows) {
		rows = append(rows, platform.CancelledRow(platform.CancelledJob{Job: fmt.Sprintf("%016x", i), Entry: "e"}))
		store.PutBytes(platform.CancelledTable, rows[i].Key, rows[i].Value)
	}
	read, err := e.store.Get(t.Context(), platform.CancelledTable)
	if err != nil {
		t.Fatal(err)
	}
	last := read.Rows[len(read.Rows)-1]
	store.PutBytes(platform.CancelledTable, last.Key, last.Value)
	e.removeCancels(read.Rows)
	if keys := store.Keys(platform.CancelledTable); len(keys) == 0 || len(keys) > platform.MaxRowsPerWrite/2 || !slices.Contains(keys, last.Key) {
		t.Errorf("%d rows left, the one that was written again: %v", len(keys), slices.Contains(keys, last.Key))
	}
}

// Without the cancelled jobs an entry would start one whose POST comes again.
func TestAnEntryTakesNoJobsBeforeItKnowsTheCancelledOnes(t *testing.T) {
	e, _ := startWithStore(t, "e")
	e.operator.Store(&dispatch.OperatorState{Config: dispatch.Config{Version: 1, Routes: []dispatch.Route{{Prefix: "/"}}}})
	for _, method := range []string{http.MethodPost, http.MethodDelete, http.MethodGet} {
		w := httptest.NewRecorder()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		e.serveClient(w, httptest.NewRequestWithContext(ctx, method, "/"+cancelledJob, strings.NewReader("{}")))
		cancel()
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
			t.Errorf("%s is answered %d", method, w.Code)
		}
	}
	if e.state.isReady() {
		t.Error("ready")
	}
}

// The store may serve no entry that starts.
func TestAnEntryLearnsOfCancelsFromALinkedOneThatKnowsThem(t *testing.T) {
	p := newPassing(t, 2)
	first, late := p.entries[0], p.entries[1]
	p.wantDelete(p.sendDelete(first, "j"), deleteNotOpen)
	for _, known := range []bool{false, true} {
		p.cut(late)
		late.state.deleted = deletedJobs{} // it was started anew
		late.cancelsKnown.Store(false)
		p.home.cancelsKnown.Store(known)
		p.link(late)
		p.wait(passEvery)
		if got := late.cancelsKnown.Load(); got != known || !late.state.wasDeleted(p.now, "j") {
			t.Errorf("linked to one that knows: %v; knows %v, the id %v", known, got, late.state.wasDeleted(p.now, "j"))
		}
	}
}

func TestAnEntryPassesOnCancelsThatItLearnsOfWhileItIsLinked(t *testing.T) {
	p := newPassing(t, 2)
	for _, e := range append(p.entries, p.home) {
		e.cancelsKnown.Store(false)
	}
	p.entries[0].receive(p.now, cancelsRead{jobs: []keptCancel{{job: "j", keep: time.Minute}}})
	p.pass()
	for _, e := range append(p.entries, p.home) {
		if !e.cancelsKnown.Load() || !e.state.wasDeleted(p.now, "j") {
			t.Errorf("%s: knows %v, the id %v", e.self.Name, e.cancelsKnown.Load(), e.state.wasDeleted(p.now, "j"))
		}
	}
}

// Others may have removed its row meanwhile, and acknowledged DELETEs without it.
func TestAnEntryThatHasPausedForLongTakesNoJobsBeforeItKnowsTheCancelledOnes(t *testing.T) {
	for pause, want := range map[time.Duration]bool{removeAfter/2 - 1: true, removeAfter / 2: false} {
		e, _ := withStore(t)
		now := mesh.Now()
		e.receive(now, askWaiting{testRoute, make(chan int, 1)})
		doubts := e.cancelDoubts.Load()
		e.receive(now+pause, askWaiting{testRoute, make(chan int, 1)})
		if reads := e.cancelDoubts.Load() != doubts; e.cancelsKnown.Load() != want || reads == want {
			t.Errorf("after %v: takes jobs %v, reads the table %v", pause, e.cancelsKnown.Load(), reads)
		}
	}
}
