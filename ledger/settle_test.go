package ledger

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/result"
)

const issued = int64(1_000_000)

func held(index int, body string) StartedReport {
	return StartedReport{Index: index, Finished: true, Held: true, Body: []byte(body)}
}

func answered(id string, started ...StartedReport) AgentEvidence {
	return AgentEvidence{ID: id, Answered: true, Started: started}
}

func replaced(id string, at int64, clean bool) AgentEvidence {
	a := answered(id)
	a.Replaced = []ReplacedIncarnation{{At: at, Clean: clean}}
	return a
}

func TestSettle(t *testing.T) {
	failed := StartedReport{Index: 1, Finished: true, Held: true, Code: result.TaskFailed}
	dropped := StartedReport{Index: 1, Finished: true}
	running := StartedReport{Index: 1}
	other := held(0, "x")
	other.Digest = Digest{9}
	margin := seconds(ClockMargin)
	tests := []struct {
		name    string
		agents  []AgentEvidence
		change  func(*Evidence)
		code    result.Code
		detail  string
		results []string
	}{
		{name: "no agent at all", code: result.SettledNotRun},
		{name: "nothing started", agents: []AgentEvidence{answered("a1"), answered("a2")}, code: result.SettledNotRun},
		{name: "nothing started, submission not known", agents: []AgentEvidence{answered("a1")}, change: withoutSubmission, code: result.SettledNotRun},
		{name: "fence not durable", agents: []AgentEvidence{answered("a1")}, change: func(e *Evidence) { e.Fenced = false }, code: result.OutcomeUnknown, detail: "store"},
		{name: "agents not listed", change: func(e *Evidence) { e.Listed = false }, code: result.OutcomeUnknown, detail: "store"},
		{name: "agent does not answer", agents: []AgentEvidence{answered("a1"), {ID: "a2"}}, code: result.OutcomeUnknown, detail: "agent a2"},
		{name: "agent stopped cleanly before the issue", agents: []AgentEvidence{{ID: "a1", CleanStopAt: issued - margin - 1}}, code: result.SettledNotRun},
		{name: "agent stopped cleanly within the clock margin", agents: []AgentEvidence{{ID: "a1", CleanStopAt: issued - margin}}, code: result.OutcomeUnknown, detail: "agent a1"},
		{name: "unclean replacement before the issue", agents: []AgentEvidence{replaced("a1", issued-margin-1, false)}, code: result.SettledNotRun},
		{name: "unclean replacement within the clock margin", agents: []AgentEvidence{replaced("a1", issued-margin, false)}, code: result.OutcomeUnknown, detail: "agent a1"},
		{name: "clean replacement may have run tasks", agents: []AgentEvidence{replaced("a1", issued, true)}, code: result.OutcomeUnknown, detail: "agent a1"},
		{name: "records too old", change: func(e *Evidence) { e.Now = issued + seconds(StartRecordRetention) }, code: result.OutcomeUnknown, detail: "older"},
		{name: "complete in task order", agents: []AgentEvidence{answered("a1", held(1, "b")), answered("a2", held(0, "a"))}, code: result.OK, results: []string{"a", "b"}},
		{name: "complete though an agent and the store do not answer", agents: []AgentEvidence{answered("a1", held(1, "b"), held(0, "a")), {ID: "a2"}}, change: func(e *Evidence) { e.Fenced = false }, code: result.OK, results: []string{"a", "b"}},
		{name: "reports without an acknowledged fence prove nothing", agents: []AgentEvidence{{ID: "a1", Started: []StartedReport{held(0, "a"), held(1, "b")}}}, code: result.OutcomeUnknown, detail: "agent a1"},
		{name: "task still running", agents: []AgentEvidence{answered("a1", held(0, "a"), running)}, code: result.OutcomeUnknown, detail: "1 tasks are still running"},
		{name: "task running, another never started", agents: []AgentEvidence{answered("a1", running)}, code: result.SettledFailed, detail: "task 0"},
		{name: "task never started", agents: []AgentEvidence{answered("a1", held(0, "a"))}, code: result.SettledFailed, detail: "task 1"},
		{name: "task never started, an incarnation replaced cleanly", agents: []AgentEvidence{answered("a1", held(0, "a")), replaced("a2", issued, true)}, code: result.SettledFailed, detail: "task 1"},
		{name: "result no longer held", agents: []AgentEvidence{answered("a1", held(0, "a"), dropped)}, code: result.OutcomeUnknown, detail: "no longer held"},
		{name: "task failed", agents: []AgentEvidence{answered("a1", held(0, "a"), failed)}, code: result.SettledFailed, detail: "task_failed"},
		{name: "task failed, an agent does not answer", agents: []AgentEvidence{answered("a1", held(0, "a"), failed), {ID: "a2"}}, code: result.OutcomeUnknown, detail: "agent a2"},
		{name: "task reported twice", agents: []AgentEvidence{answered("a1", held(0, "a"), held(1, "b")), answered("a2", held(0, "c"))}, code: result.SettledFailed, detail: "two agents"},
		{name: "more tasks than submitted", agents: []AgentEvidence{answered("a1", held(0, "a"), held(1, "b"), held(2, "c"))}, code: result.SettledFailed, detail: "more tasks"},
		{name: "other body", agents: []AgentEvidence{answered("a1", other)}, code: result.TicketReused},
		{name: "other body, an agent does not answer", agents: []AgentEvidence{answered("a1", other), {ID: "a2"}}, code: result.TicketReused},
		{name: "all held, submission not known", agents: []AgentEvidence{answered("a1", held(0, "a"), held(1, "b"))}, change: withoutSubmission, code: result.OutcomeUnknown, detail: "number of tasks"},
		{name: "gap, submission not known", agents: []AgentEvidence{answered("a1", held(1, "b"))}, change: withoutSubmission, code: result.SettledFailed, detail: "task 0"},
		{name: "bodies disagree, submission not known", agents: []AgentEvidence{answered("a1", other, held(1, "b"))}, change: withoutSubmission, code: result.SettledFailed, detail: "different bodies"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := Evidence{Submission: &Submission{Tasks: 2}, Issued: issued, Now: issued + 5, Fenced: true, Listed: true, Agents: tt.agents}
			if tt.change != nil {
				tt.change(&e)
			}
			v := Settle(e)
			if v.Code != tt.code || !strings.Contains(v.Detail, tt.detail) {
				t.Errorf("got %s %q, want %s with %q", v.Code, v.Detail, tt.code, tt.detail)
			}
			if diff := cmp.Diff(tt.results, texts(v.Results)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func withoutSubmission(e *Evidence) { e.Submission = nil }

func texts(results [][]byte) []string {
	if results == nil {
		return nil
	}
	out := make([]string, len(results))
	for i, r := range results {
		out[i] = string(r)
	}
	return out
}
