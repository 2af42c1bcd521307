package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/result"
	"bergamotwing.example/wire"
)

// sendDelete has a client delete a job at an entry.
func (p *passing) sendDelete(e *Entry, id string) <-chan deleteResult {
	known := make(chan deleteResult, 1)
	e.receive(p.now, deleteJob{job: id, known: known})
	p.pass()
	return known
}

// wantDelete checks the answer to a DELETE.
func (p *passing) wantDelete(known <-chan deleteResult, want deleteResult) {
	p.t.Helper()
	if len(known) == 0 {
		p.t.Errorf("the DELETE is not answered, want %v", want)
	} else if got := <-known; got != want {
		p.t.Errorf("the DELETE is answered %v, want %v", got, want)
	}
}

// running returns a home with a running job that was submitted at its first entry.
func running(t *testing.T, entries int) (p *passing, run wire.OrderedRun, reply <-chan dispatch.Outcome) {
	t.Helper()
	p = newPassing(t, entries)
	reply = p.submit(p.entries[0], "j")
	p.pass()
	return p, p.ordered(), reply
}

// The platform takes a new connection of the same client to another entry.
func TestADeleteAtAnotherEntryThanTheSubmissionCancelsTheJob(t *testing.T) {
	for _, tc := range []struct {
		name string
		at   func(p *passing) *Entry
	}{
		{"at another entry", func(p *passing) *Entry { return p.entries[1] }},
		{"at the home", func(p *passing) *Entry { return p.home }},
		{"at an entry that has become the home", func(p *passing) *Entry {
			p.entries[1].state.home[dispatch.Shard{Service: "svc"}] = p.entries[1].self.Name
			return p.entries[1]
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, _, reply := running(t, 2)
			known := p.sendDelete(tc.at(p), "j")
			if len(sentOf[*wire.RunStop](p.toAgent)) != 1 {
				t.Error("the run is not stopped")
			}
			p.wantDelete(known, deleteCancelled)
			p.wantAnswer("the client", reply, result.Cancelled)
		})
	}
}

// A submission may be on its way at another entry when the job is deleted.
func TestAJobThatIsSubmittedAfterItsDeleteIsNotStarted(t *testing.T) {
	for _, tc := range []struct {
		name  string
		known bool // the job was submitted before
		at    func(p *passing) *Entry
	}{
		{"at the entry of the first submission", true, func(p *passing) *Entry { return p.entries[0] }},
		{"at the entry of the DELETE", true, func(p *passing) *Entry { return p.entries[1] }},
		{"at the home", true, func(p *passing) *Entry { return p.home }},
		{"on its way", false, func(p *passing) *Entry { return p.entries[0] }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPassing(t, 2)
			var run wire.OrderedRun
			if tc.known {
				p, run, _ = running(t, 2)
			}
			p.wantDelete(p.sendDelete(p.entries[1], "j"), resultOf(tc.known))
			if tc.known {
				p.end(run, dispatch.EndStopped)
			}
			reply := p.submit(tc.at(p), "j")
			p.pass()
			if n := len(p.toAgent.orders()); n > 0 {
				t.Errorf("%d orders", n)
			}
			p.wantAnswer("the client", reply, result.Cancelled)
		})
	}
}

// A link that is made anew has the entry submit its request again.
func TestARequestThatIsResumedAfterItsJobWasDeletedIsNotStarted(t *testing.T) {
	p, run, reply := running(t, 2)
	p.cut(p.entries[0])
	p.wantDelete(p.sendDelete(p.entries[1], "j"), deleteCancelled)
	p.end(run, dispatch.EndStopped)
	p.toAgent.messages = nil
	p.link(p.entries[0])
	if n := len(p.toAgent.orders()); n > 0 {
		t.Errorf("%d orders", n)
	}
	p.wantAnswer("the client", reply, result.Cancelled)
}

// Clients send a job again after a 502.
func TestADeletedJobIsNotAnsweredSoThatItComesAgain(t *testing.T) {
	w := httptest.NewRecorder()
	newEntry(t).answer(w, "j", testRoute, &dispatch.OperatorState{}, dispatch.Outcome{Code: result.Cancelled}, 0, 0)
	if w.Code != http.StatusOK || w.Body.String() != `{"State":"cancelled"}` {
		t.Errorf("answered %d %s", w.Code, w.Body)
	}
}

// An entry that is frozen does not answer.
func TestADeleteIsAnsweredInTimeWithoutTheOtherEntries(t *testing.T) {
	p, _, _ := running(t, 2)
	p.silent = []*Entry{p.home}
	known := p.sendDelete(p.entries[1], "j")
	began := p.now
	for len(known) == 0 && p.now < began+2*deleteTimeout {
		p.now += tickEvery
		p.entries[1].receive(p.now, control.Tick{})
	}
	if took := p.now - began; took > deleteTimeout+tickEvery {
		t.Errorf("answered after %v", took)
	}
	p.wantDelete(known, deleteUnanswered)
}

// A POST may arrive again for as long as the platform keeps the job's state: longer than
// its resends take.
func TestADeletedJobIsKeptForAsLongAsItsSubmissionMayArrive(t *testing.T) {
	for _, retention := range []time.Duration{0, 45 * time.Second} {
		e := newEntry(t)
		e.node.JobRetention = retention
		want := retention
		if retention == 0 {
			want = platform.DefaultJobRetention
		}
		s := e.state
		now := mesh.Now()
		s.deleteHere(now, &wire.JobDelete{Job: "first"})
		s.deleteHere(now+time.Second, &wire.JobDelete{Job: "first"})
		s.deleteHere(now+time.Second, &wire.JobDelete{Job: "second", Keep: 5 * time.Second}) // by another entry, whose client asked before
		if !s.wasDeleted(now+want+time.Second, "first") || s.wasDeleted(now+want+time.Second+1, "first") {
			t.Errorf("kept for %v: %v; for longer: %v", want, s.wasDeleted(now+want+time.Second, "first"), s.wasDeleted(now+want+time.Second+1, "first"))
		}
		if !s.wasDeleted(now+6*time.Second, "second") || s.wasDeleted(now+6*time.Second+1, "second") {
			t.Error("an id is not kept for as long as another entry keeps it")
		}
		s.expireDeletes(now + want + time.Second)
		if !s.wasDeleted(now+want, "first") {
			t.Error("an id is dropped at the time of its first DELETE, not its last")
		}
		s.expireDeletes(now + want + time.Second + 1)
		if n := len(s.deleted.until) + len(s.deleted.order); n > 0 {
			t.Errorf("%d ids kept after their time", n)
		}
	}
}

// The DELETE of an id that is dropped for lack of room may have been acknowledged.
func TestADeleteIsNotAcknowledgedOnceThereIsNoRoomForItsID(t *testing.T) {
	p := newPassing(t, 2)
	s := p.home.state
	for i := range maxDeleted {
		s.deleteHere(p.now, &wire.JobDelete{Job: fmt.Sprint(i)})
	}
	p.wantDelete(p.sendDelete(p.home, "0"), deleteNotOpen) // an id that is kept already
	known := p.sendDelete(p.entries[1], "j")
	for began := p.now; len(known) == 0 && p.now < began+2*deleteTimeout; {
		p.wait(passEvery)
		p.entries[1].receive(p.now, control.Tick{})
	}
	p.wantDelete(known, deleteUnanswered)
	p.wantDelete(p.sendDelete(p.home, "k"), deleteUnanswered)
	if n := len(s.deleted.until); n != maxDeleted || len(s.deleted.order) != maxDeleted || !s.wasDeleted(p.now, "0") || !s.wasDeleted(p.now, "1") {
		t.Errorf("%d ids kept, the first ones: %v, %v", n, s.wasDeleted(p.now, "0"), s.wasDeleted(p.now, "1"))
	}
	s.expireDeletes(p.now + time.Hour)
	p.wantDelete(p.sendDelete(p.home, "k"), deleteNotOpen)
}

// Each new link brings the ids that the other side keeps.
func TestIDsThatComeAgainTakeNoRoom(t *testing.T) {
	s := newEntry(t).state
	now := mesh.Now()
	for i := range 1000 {
		s.deleteHere(now+time.Duration(i), &wire.JobDelete{Job: "j", Keep: time.Minute})
	}
	if n := len(s.deleted.order); n != 1 {
		t.Errorf("%d entries for one id", n)
	}
}

// A link ends at a message of an unknown kind.
func TestAnEntryThatDoesNotKnowJobDeleteIsNotSentIt(t *testing.T) {
	for newest, want := range map[wire.Kind]int{wire.KindOperatorRequest: 0, wire.KindJobDelete: 1} {
		e := newEntry(t)
		now := mesh.Now()
		l, sent := recordedLink(other.Entry, wire.RoleEntry)
		l.Hello.NewestKind = newest
		e.receive(now, control.LinkUp{Link: l})
		known := make(chan deleteResult, 1)
		e.receive(now, deleteJob{job: "j", known: known})
		if n := len(sentOf[*wire.JobDelete](sent)); n != want || len(known) == want {
			t.Errorf("newest kind %d: sent %d, want %d; answered at once: %v", newest, n, want, len(known) == 1)
		}
	}
}

// An id alone may name a job of another route.
func TestADeleteWithoutARouteCancelsOnlyAJobSubmittedUnderItsPath(t *testing.T) {
	route := testRoute
	route.Host, route.Prefix = "jobs.example", "/q/"
	for _, tc := range []struct {
		host, path string
		want       bool
	}{
		{"jobs.example", "/q/j", true},
		{"JOBS.example", "/q/j", true},
		{"jobs.example", "/r/j", false},
		{"other.example", "/q/j", false},
	} {
		for at := range 3 { // the job's entry, another one, the home
			p := newPassing(t, 2)
			reply := make(chan dispatch.Outcome, 1)
			p.entries[0].receive(p.now, submit{job: job("j"), route: route, deadline: p.now + time.Minute, reply: reply})
			p.pass()
			p.ordered()
			known := make(chan deleteResult, 1)
			deleter := append(p.entries, p.home)[at]
			deleter.receive(p.now, deleteJob{job: "j", known: known, host: tc.host, path: tc.path})
			p.pass()
			p.wantDelete(known, resultOf(tc.want))
			if stopped := len(sentOf[*wire.RunStop](p.toAgent)) > 0; stopped != tc.want || len(reply) > 0 != tc.want {
				t.Errorf("%s%s: stopped %v, the client is answered: %v", tc.host, tc.path, stopped, len(reply) > 0)
			}
			for _, e := range []*Entry{deleter, p.home} {
				if e.state.wasDeleted(p.now, "j") != tc.want {
					t.Errorf("%s%s, entry %s: submissions are answered as deleted: %v", tc.host, tc.path, e.self.Name, !tc.want)
				}
			}
		}
	}
}

func resultOf(cancelled bool) deleteResult {
	if cancelled {
		return deleteCancelled
	}
	return deleteNotOpen
}

// The link to the home is made anew within the lease, and the job goes on until then.
func TestADeleteWhileALinkIsDownIsNotAnsweredAndCancelsTheJobOnTheNextLink(t *testing.T) {
	p := newPassing(t, 2)
	reply := p.submit(p.home, "j")
	p.pass()
	run := p.ordered()
	p.cut(p.entries[1])
	p.wantDelete(p.sendDelete(p.entries[1], "j"), deleteUnanswered)
	p.link(p.entries[1])
	p.wait(200 * time.Millisecond)
	p.end(run, dispatch.EndStopped)
	p.wait(200 * time.Millisecond)
	if n := len(p.toAgent.orders()); n > 0 || len(reply) == 0 {
		t.Errorf("%d orders after the DELETE; its client is answered: %v", n, len(reply) > 0)
	}
}

// A home that thaws drops the link on which it has not read the message.
func TestADeleteThatItsHomeHasNotReadCancelsTheJobOnTheNextLink(t *testing.T) {
	p := newPassing(t, 2)
	reply := p.submit(p.home, "j")
	p.pass()
	p.ordered()
	p.silent = append(p.silent, p.home)
	known := p.sendDelete(p.entries[1], "j")
	for began := p.now; len(known) == 0 && p.now < began+2*deleteTimeout; {
		p.now += tickEvery
		p.entries[1].receive(p.now, control.Tick{})
	}
	p.wantDelete(known, deleteUnanswered)
	p.silent = nil
	p.home.receive(p.now, control.Tick{})
	p.cut(p.entries[1])
	p.link(p.entries[1])
	p.wait(200 * time.Millisecond)
	if len(reply) == 0 || !p.home.state.wasDeleted(p.now, "j") {
		t.Errorf("its client is answered: %v", len(reply) > 0)
	}
}
