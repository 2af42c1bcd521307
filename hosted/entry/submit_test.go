package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bergamotwing.example/dispatch"
	"bergamotwing.example/drain/draintest"
	"bergamotwing.example/hosted/control"
	"bergamotwing.example/hosted/mesh"
	"bergamotwing.example/platform"
	"bergamotwing.example/result"
	"bergamotwing.example/telemetry"
	"bergamotwing.example/wire"
)

var (
	other     = dispatch.Owner{Entry: "other", Incarnation: 1}
	testRoute = dispatch.Route{Name: "r", Service: "svc", MaxAttempts: 3, Stretch: 3, TargetLatency: time.Minute}
)

// newEntry returns an entry whose messages the test passes to receive.
func newEntry(t *testing.T) *Entry {
	t.Helper()
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	return New(platform.Node{Name: "e"}, Options{}, control.Deps{Log: zerolog.Nop(), Metrics: metrics})
}

// linkOther links an entry to another one that knows kinds of messages up to newest,
// and returns the link and what the other entry receives from then on.
func linkOther(t *testing.T, e *Entry, newest wire.Kind) (*mesh.Link, <-chan wire.Message) {
	t.Helper()
	obs := wire.Count(e.deps.Metrics)
	links := make(chan *wire.Link, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l, err := wire.Accept(w, r, obs)
		if err != nil {
			t.Error(err)
			return
		}
		links <- l
		_ = l.Serve(t.Context(), func(wire.Message) {})
	}))
	t.Cleanup(server.Close)
	far, err := wire.Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), "/", "", nil, obs)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(far.Close)
	received := make(chan wire.Message, 16)
	go func() { _ = far.Serve(t.Context(), func(m wire.Message) { received <- m }) }()
	hello := wire.NodeHello{Name: other.Entry, Incarnation: wire.Incarnation(other.Incarnation), Role: wire.RoleEntry, NewestKind: newest}
	l := &mesh.Link{Conn: <-links, Hello: hello}
	e.receive(mesh.Now(), control.LinkUp{Link: l})
	return l, received
}

// next returns the next message of a type.
func next[M wire.Message](t *testing.T, received <-chan wire.Message) M {
	t.Helper()
	for timeout := time.After(draintest.Timeout); ; {
		select {
		case m := <-received:
			if m, ok := m.(M); ok {
				return m
			}
		case <-timeout:
			t.Fatalf("no %T", *new(M))
		}
	}
}

func job(id string) dispatch.Job {
	return dispatch.Job{ID: id, Steps: []dispatch.Step{{Count: 1, Need: dispatch.Resources{CPUMilli: 1000}, Estimate: time.Second}}}
}

// A submission may wait in a partition or at a frozen home for longer than its entry
// counts as alive, and be answered to its client in the meantime.
func TestASubmissionThatComesTooLateIsRefusedUnlessItsBuildSendsNoEcho(t *testing.T) {
	for _, tc := range []struct {
		name    string
		age     time.Duration // of the echo; 0: none
		refused bool
	}{
		{"in time", 200 * time.Millisecond, false},
		{"late", 400 * time.Millisecond, true},
		{"without an echo", 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newEntry(t)
			l, received := linkOther(t, e, wire.NewestKind)
			now := mesh.Now()
			m := &wire.JobSubmit{Job: job("j"), Route: testRoute, Wait: time.Minute}
			if tc.age > 0 {
				m.Echo = now - tc.age
			}
			e.receive(now, control.Received{Link: l, Message: m})
			if open := e.state.openJobs(); (open == 0) != tc.refused {
				t.Errorf("%d open jobs", open)
			}
			if !tc.refused {
				return
			}
			next[*wire.NodeHeartbeat](t, received) // of the new link
			if b := next[*wire.NodeHeartbeat](t, received); b.Clock != now {
				t.Errorf("the entry is given a reading of %v before, want that of the refusal", now-b.Clock)
			}
			if end := next[*wire.JobEnd](t, received); end.Outcome.Code != result.StartTooLate {
				t.Errorf("outcome %v", end.Outcome.Code)
			}
		})
	}
}

// A request is submitted again with a newer echo after a refusal, and on each new link.
// Only what an earlier link has carried may have run.
func TestARequestIsSubmittedWithTheNewestEchoOfItsHome(t *testing.T) {
	e := newEntry(t)
	l, received := linkOther(t, e, wire.NewestKind)
	request := &request{submit: submit{job: job("j"), route: testRoute, reply: make(chan dispatch.Outcome, 1)}, home: other}
	e.state.requests["j"] = request
	beat := func(clock time.Duration) {
		e.receive(mesh.Now(), control.Received{Link: l, Message: &wire.NodeHeartbeat{Clock: clock}})
	}
	want := func(echo time.Duration, mayHaveRun bool) {
		t.Helper()
		if m := next[*wire.JobSubmit](t, received); m.Echo != echo || m.MayHaveRun != mayHaveRun {
			t.Errorf("submitted with echo %d, may have run %v, want %d and %v", m.Echo, m.MayHaveRun, echo, mayHaveRun)
		}
	}
	refuse := func() {
		e.receive(mesh.Now(), control.Received{Link: l, Message: &wire.JobEnd{Job: "j", Outcome: dispatch.Outcome{Code: result.StartTooLate}}})
	}
	beat(1)
	want(1, false)
	beat(2)
	refuse()
	want(2, false)
	e.receive(mesh.Now(), control.LinkDown{Link: l})
	l, received = linkOther(t, e, wire.NewestKind)
	beat(3)
	want(3, true)
	beat(4)
	refuse()
	want(4, true)
	if len(request.reply) > 0 {
		t.Error("the client is answered")
	}
}

func TestAnEntryThatDoesNotKnowJobsOpenIsNotSentIt(t *testing.T) {
	for newest, want := range map[wire.Kind]bool{0: false, wire.KindJobsOpen: true} {
		e := newEntry(t)
		l, received := linkOther(t, e, newest)
		e.state.requests["j"] = &request{submit: submit{job: job("j"), route: testRoute}, home: other}
		e.receive(mesh.Now(), control.Received{Link: l, Message: &wire.NodeHeartbeat{Clock: 1}})
		next[*wire.JobSubmit](t, received)
		_ = l.Send(&wire.JobCancel{Job: "last"})
		for sent := false; ; {
			m := next[wire.Message](t, received)
			if open, ok := m.(*wire.JobsOpen); ok {
				sent = len(open.Jobs) == 1 && open.Jobs[0] == "j"
			}
			if _, last := m.(*wire.JobCancel); last {
				if sent != want {
					t.Errorf("newest kind %d: sent %v, want %v", newest, sent, want)
				}
				break
			}
		}
	}
}

// The home may go on with the job for as long as the entry counts as alive there.
func TestAJobSentAgainWhileTheLinkToItsHomeIsDownStartsNowhereElse(t *testing.T) {
	e := newEntry(t)
	now := mesh.Now()
	first, second := make(chan dispatch.Outcome, 1), make(chan dispatch.Outcome, 1)
	e.state.lost[other.Entry] = lostEntry{owner: other, until: now + e.state.timing.EntryLease}
	e.state.requests["j"] = &request{submit: submit{job: job("j"), route: testRoute, reply: first}, home: other}
	e.receive(now, submit{job: job("j"), route: testRoute, deadline: now + time.Minute, reply: second})
	if open := e.state.openJobs(); open != 1 {
		t.Errorf("%d open jobs and requests, want the request", open)
	}
	e.state.entryLost(now, other, "link not made anew in time")
	for _, reply := range []chan dispatch.Outcome{first, second} {
		if len(reply) == 0 {
			t.Error("a client is not answered")
		} else if out := <-reply; out.Code != result.OutcomeUnknown {
			t.Errorf("answered %v", out.Code)
		}
	}
}

// A process that was suspended may handle a new link before a tick.
func TestALinkMadeAnewAfterTheLeaseDoesNotRenewIt(t *testing.T) {
	e := newEntry(t)
	l, _ := linkOther(t, e, wire.NewestKind)
	e.receive(mesh.Now(), control.Received{Link: l, Message: &wire.JobSubmit{Job: job("j"), Route: testRoute, Wait: time.Minute}})
	e.state.checkPeers(mesh.Now())
	if open := e.state.openJobs(); open != 1 {
		t.Fatalf("%d open jobs", open)
	}
	time.Sleep(e.state.timing.EntryLease + 2*tickEvery)
	linkOther(t, e, wire.NewestKind)
	if open := e.state.openJobs(); open != 0 {
		t.Errorf("%d open jobs of an entry that was lost before it was linked again", open)
	}
}

// A link that is made anew shows that some process listens, not that the other entry's
// control state goes on: only an echo renews its lease.
func TestLinksThatAreResetBeforeAnEchoDoNotRenewALease(t *testing.T) {
	e := newEntry(t)
	now := mesh.Now()
	beat := func(at time.Duration) *mesh.Link {
		l, _ := recordedLink(other.Entry, wire.RoleEntry)
		e.receive(at, control.LinkUp{Link: l})
		return l
	}
	l := beat(now)
	e.receive(now, control.Received{Link: l, Message: &wire.NodeHeartbeat{Clock: 1, Echo: now, StoreVersion: 1}})
	e.receive(now, control.Received{Link: l, Message: &wire.JobSubmit{Job: job("j"), Route: testRoute, Wait: time.Minute}})
	e.state.checkPeers(now) // the lease counts from here on
	const pause = 60 * time.Millisecond
	for at := now + pause; at < now+e.state.timing.EntryLease+4*pause; at += pause {
		e.receive(at, control.LinkDown{Link: l})
		l = beat(at)
		e.state.checkPeers(at)
	}
	if open := e.state.openJobs(); open != 0 {
		t.Errorf("%d open jobs of an entry that has echoed nothing for longer than its lease", open)
	}
}

// twoShards returns an entry that knows a service of two shards, whose homes it is not, and
// its link to the entry that holds both.
func twoShards(t *testing.T, now time.Duration) (*Entry, *mesh.Link, *sentTo) {
	t.Helper()
	e := newEntry(t)
	e.state.shardCounts = shardCounts{"svc": 2}
	l, sent := recordedLink(other.Entry, wire.RoleEntry)
	e.receive(now, control.LinkUp{Link: l})
	e.receive(now, control.Received{Link: l, Message: &wire.NodeHeartbeat{Clock: 1, Echo: now, StoreVersion: 1}})
	for i := range 2 {
		e.state.home[dispatch.Shard{Service: "svc", Index: i}] = other.Entry
	}
	return e, l, sent
}

// Bursts and lost endpoints fill one shard before another. A job that one shard has
// refused has not run, and is not refused to its client while another shard has room.
func TestAJobThatOneShardRefusesGoesToTheNext(t *testing.T) {
	overloaded := dispatch.Outcome{Code: result.Overloaded, RetryAfter: 3 * time.Second}
	neverFits := dispatch.Outcome{Code: result.NeverFits}
	for _, tc := range []struct {
		name          string
		first, second dispatch.Outcome
		want          result.Code
	}{
		{"served there", overloaded, dispatch.Outcome{Code: result.OK}, result.OK},
		{"refused by both", overloaded, overloaded, result.Overloaded},
		{"too large for the second", overloaded, neverFits, result.Overloaded},
		{"too large for the first", neverFits, overloaded, result.Overloaded},
		{"too large for both", neverFits, neverFits, result.NeverFits},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := mesh.Now()
			e, l, sent := twoShards(t, now)
			reply := make(chan dispatch.Outcome, 1)
			e.receive(now, submit{job: job("j"), route: testRoute, deadline: now + time.Minute, reply: reply})
			for _, out := range []dispatch.Outcome{tc.first, tc.second} {
				if len(reply) > 0 {
					t.Fatal("answered before the second shard was tried")
				}
				submits := sentOf[*wire.JobSubmit](sent)
				last := submits[len(submits)-1]
				e.receive(now, control.Received{Link: l, Message: &wire.JobEnd{Job: "j", Outcome: out, Shard: last.Shard + 1}})
			}
			submits := sentOf[*wire.JobSubmit](sent)
			if len(submits) != 2 || submits[0].Shard == submits[1].Shard || submits[1].MayHaveRun {
				t.Errorf("submitted %+v, want to both shards, as not run", submits)
			}
			if out := <-reply; out.Code != tc.want {
				t.Errorf("answered %v, want %v", out.Code, tc.want)
			}
		})
	}
}

// A client that sends its job again causes a second submission, which the first shard
// refuses again after the next one has accepted the job. To answer "not run" by that
// would be false.
func TestALateRefusalOfAnEarlierShardIsNoAnswer(t *testing.T) {
	now := mesh.Now()
	e, l, sent := twoShards(t, now)
	reply := make(chan dispatch.Outcome, 1)
	e.receive(now, submit{job: job("j"), route: testRoute, deadline: now + time.Minute, reply: reply})
	first := sentOf[*wire.JobSubmit](sent)[0].Shard
	refusal := &wire.JobEnd{Job: "j", Outcome: dispatch.Outcome{Code: result.Overloaded}, Shard: first + 1}
	for range 2 {
		e.receive(now, control.Received{Link: l, Message: refusal})
	}
	if len(reply) > 0 {
		t.Errorf("answered %v by a shard that the job has left", (<-reply).Code)
	}
}

// One entry may hold both shards. What one of them has answered is no answer of the other.
func TestAHomeOfTwoShardsAnswersForEach(t *testing.T) {
	e := newEntry(t)
	now := mesh.Now()
	l, sent := recordedLink(other.Entry, wire.RoleEntry)
	e.receive(now, control.LinkUp{Link: l})
	e.receive(now, control.Received{Link: l, Message: &wire.NodeHeartbeat{Clock: 1, Echo: now, StoreVersion: 1}})
	late := now + time.Second // after the time in which a new scheduler admits jobs without endpoints
	for shard := range 2 {
		e.state.scheduler(dispatch.Shard{Service: "svc", Index: shard})
	}
	for shard := range 2 {
		e.receive(late, control.Received{Link: l, Message: &wire.JobSubmit{Job: job("j"), Route: testRoute, Wait: time.Minute, Shard: shard}})
	}
	ends := sentOf[*wire.JobEnd](sent)
	if len(ends) != 2 || ends[0].Shard != 1 || ends[1].Shard != 2 || ends[1].Outcome.Code != result.Overloaded {
		t.Errorf("answers %+v, want one of each shard", ends)
	}
}

// A burst fills one shard before another.
func TestAJobIsSubmittedToAShardWhereNoJobWaits(t *testing.T) {
	const jobs = 8
	for busy := range 2 {
		h := newTwoHomes(t)
		h.fill(h.homes[busy])
		h.wait(2 * passEvery)
		for n := range jobs {
			h.submit(h.first, fmt.Sprint(n))
		}
		for n := range jobs {
			id := fmt.Sprint(n)
			for shard, p := range h.homes {
				if has := p.home.state.scheduler(dispatch.Shard{Service: "svc", Index: shard}).Has(id); has == (shard == busy) {
					t.Errorf("jobs wait at shard %d; job %s at shard %d: %v", busy, id, shard, has)
				}
			}
		}
	}
}

// The next shard may be held by the same entry, which must not leave the job to its next tick.
func TestAJobThatGoesToAShardOfTheSameHomeIsOrderedAtOnce(t *testing.T) {
	for range 20 { // schedulers are visited in any order
		e := newEntry(t)
		now := mesh.Now()
		e.state.shardCounts = shardCounts{"svc": 2}
		for shard := range 2 {
			e.state.home[dispatch.Shard{Service: "svc", Index: shard}] = e.self.Name
			e.state.scheduler(dispatch.Shard{Service: "svc", Index: shard})
		}
		id := "j"
		full := dispatch.ShardIndex(id, 2)
		agent := 0
		for dispatch.ShardIndex(fmt.Sprintf("endpoint of %d", agent), 2) == full {
			agent++
		}
		late := now + time.Second // after the time in which a new scheduler admits jobs without endpoints
		_, sent := linkAgentTo(e, late, fmt.Sprint(agent))
		late += 3 * tickEvery // nothing is placed right after a pause between two checks of leases
		e.receive(late, submit{job: job(id), route: testRoute, deadline: late + time.Minute, reply: make(chan dispatch.Outcome, 1)})
		if orders := sent.orders(); len(orders) != 1 {
			t.Fatalf("%d orders, want one at once", len(orders))
		}
	}
}
