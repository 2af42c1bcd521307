package trial

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"bergamotwing.example/client"
	"bergamotwing.example/client/api"
	"bergamotwing.example/result"
	"bergamotwing.example/standin"
)

// base is the time at which the jobs of these tests were submitted.
var base = time.UnixMilli(1_000_000)

func validRecord(echo string) *record {
	p := payload{RunMS: 50, Echo: echo}
	return &record{
		user: users[0], phase: "steady load", payloads: []payload{p}, started: base, took: 60 * time.Millisecond,
		ideal: 50 * time.Millisecond, job: api.Job{Tasks: []api.Task{{Payload: p.encode()}}},
		answer: &api.Answer{Results: [][]byte{standin.Answer(p.encode())}},
	}
}

func startAt(endpoint, zone string, at time.Time) endpointStart {
	return endpointStart{endpoint: endpoint, zone: zone, at: at}
}

// violationsOf checks one record and the starts, with the zone out from base+10s to base+20s.
func violationsOf(r *record, starts startsByTask, stopped stoppedAgent) string {
	t := &trial{report: &Report{}, stopped: stopped, outage: outage{out: base.Add(10 * time.Second), back: base.Add(20 * time.Second)}}
	t.checkRecord(r, starts)
	t.checkStarts(starts)
	return strings.Join(t.report.Violations, "; ")
}

func TestWrongAnswersAndStartsAreFound(t *testing.T) {
	wrong := validRecord("a")
	wrong.answer.Results[0] = []byte("another task's result")
	for _, c := range []struct {
		name   string
		record *record
		starts startsByTask
		want   string
	}{
		{"right", validRecord("a"), startsByTask{"a": {startAt("e", "gwent", base)}}, ""},
		{"wrong bytes", wrong, startsByTask{"a": {startAt("e", "gwent", base)}}, "wrong result"},
		{"never started", validRecord("a"), startsByTask{}, "no endpoint recorded"},
		{"doubled", validRecord("a"), startsByTask{"a": {startAt("e", "gwent", base), startAt("f", "powys", base)}}, "started 2 times"},
		{"just out", validRecord("a"), startsByTask{"a": {startAt("e", outZone, base.Add(12*time.Second))}}, ""},
		{"out too long", validRecord("a"), startsByTask{"a": {startAt("e", outZone, base.Add(14*time.Second))}}, "after it was out"},
		{"back", validRecord("a"), startsByTask{"a": {startAt("e", outZone, base.Add(21*time.Second))}}, ""},
	} {
		got := violationsOf(c.record, c.starts, stoppedAgent{})
		if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: violations %q, want %q", c.name, got, c.want)
		}
	}
}

func TestOnlyJobsLostWithTheStoppedAgentMayFail(t *testing.T) {
	failed := &client.FailedError{Err: &result.Error{Code: result.TaskFailed}}
	lost := &client.FailedError{Err: &result.Error{Code: result.AgentLost}}
	unknown := &client.UnknownError{Err: &result.Error{Code: result.OutcomeUnknown}}
	notRun := &client.NotRunError{Err: &result.Error{Code: result.Overloaded}}
	there := startsByTask{"a": {startAt(stoppedAgentID, "kortrijk-zuid", base)}}
	elsewhere := startsByTask{"a": {startAt("e", "gwent", base)}}
	abrupt := stoppedAgent{at: base.Add(10 * time.Millisecond), abrupt: true}
	for _, c := range []struct {
		name    string
		err     error
		starts  startsByTask
		stopped stoppedAgent
		allowed bool
	}{
		{"task there", lost, there, abrupt, true},
		{"grant lost", lost, startsByTask{}, abrupt, true},
		{"answer lost", unknown, there, abrupt, true},
		{"another failure there", failed, there, abrupt, false},
		{"task elsewhere", failed, elsewhere, abrupt, false},
		{"refused", notRun, there, abrupt, false},
		{"graceful stop", lost, there, stoppedAgent{at: abrupt.at}, false},
		{"answered before", lost, there, stoppedAgent{at: base.Add(time.Second), abrupt: true}, false},
	} {
		r := validRecord("a")
		r.answer, r.err = nil, c.err
		if violations := violationsOf(r, c.starts, c.stopped); (violations == "") != c.allowed {
			t.Errorf("%s: violations %q", c.name, violations)
		}
	}
}

func TestReportComparesResponsesWithTheIdeal(t *testing.T) {
	j := &journal{}
	j.enter("steady load")
	j.add(validRecord("a"))
	report := &Report{}
	report.addRows(j)
	if got := report.Rows[0]; got.Complete != 1 || got.Median.Over != 10*time.Millisecond || got.Median.Ratio != 1.2 {
		t.Errorf("row %+v", got)
	}
	report.violation("a: started 2 times")
	var text bytes.Buffer
	if err := report.Write(&text); err != nil || !strings.Contains(text.String(), "+10.0 ms (1.20x)") || !strings.Contains(text.String(), "FAULT  a: started") {
		t.Errorf("error %v, report:\n%s", err, text.String())
	}
}

func TestLoadIsRepeatable(t *testing.T) {
	first := newRecord(users[0], 1, rand.New(rand.NewPCG(3, 0)), "")
	second := newRecord(users[0], 1, rand.New(rand.NewPCG(3, 0)), "")
	if string(first.job.Tasks[0].Payload) != string(second.job.Tasks[0].Payload) || len(first.payloads) != len(second.payloads) {
		t.Errorf("%+v and %+v", first.payloads, second.payloads)
	}
}
