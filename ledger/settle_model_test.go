package ledger

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"bergamotwing.example/result"
)

// modelIncarnation is the truth about one incarnation of an agent; times are true
// seconds.
type modelIncarnation struct {
	start, end int64 // end is when it stopped or was replaced; 0 while it is the current one
	clean      bool  // stopped with no task running
	frozen     bool  // replaced while its process was suspended; the process continues later
	started    []StartedReport
}

// modelWorld is the truth behind one settlement.
type modelWorld struct {
	tasks   int
	digest  Digest
	agents  [][]modelIncarnation // per agent, oldest incarnation first
	reached []bool               // the newest incarnation answers the fence
	starts  int
}

func drawWorld(t *rapid.T) modelWorld {
	w := modelWorld{tasks: rapid.IntRange(1, 4).Draw(t, "tasks"), digest: drawDigest(t)}
	for range rapid.IntRange(0, 3).Draw(t, "agents") {
		w.agents = append(w.agents, drawIncarnations(t))
		w.reached = append(w.reached, rapid.Bool().Draw(t, "reached"))
	}
	for i := range w.tasks {
		w.drawStart(t, i)
	}
	return w
}

func drawDigest(t *rapid.T) Digest {
	return Digest{rapid.SampledFrom([]byte{1, 1, 1, 2}).Draw(t, "digest")}
}

func drawIncarnations(t *rapid.T) []modelIncarnation {
	n := rapid.IntRange(1, 3).Draw(t, "runs")
	incarnations := make([]modelIncarnation, 0, n)
	at := issued - rapid.Int64Range(0, 100).Draw(t, "boot")
	for range n {
		end := at + rapid.Int64Range(1, 80).Draw(t, "life")
		clean := rapid.Bool().Draw(t, "clean")
		incarnations = append(incarnations, modelIncarnation{start: at, end: end, clean: clean, frozen: !clean && rapid.Bool().Draw(t, "frozen")})
		at = end + rapid.Int64Range(0, 20).Draw(t, "pause")
	}
	last := &incarnations[len(incarnations)-1]
	if !last.clean || rapid.Bool().Draw(t, "alive") {
		last.end, last.clean, last.frozen = 0, false, false
	}
	return incarnations
}

// drawStart lets task i start at most once, in an incarnation that lives after the
// issue.
func (w *modelWorld) drawStart(t *rapid.T, i int) {
	var candidates []*modelIncarnation
	for _, agent := range w.agents {
		for j := range agent {
			if agent[j].end == 0 || agent[j].end > issued {
				candidates = append(candidates, &agent[j])
			}
		}
	}
	if len(candidates) == 0 || rapid.IntRange(0, 3).Draw(t, "start") == 0 {
		return
	}
	chosen := rapid.SampledFrom(candidates).Draw(t, "run")
	s := StartedReport{Index: i, Digest: w.digest}
	s.Finished = chosen.clean || rapid.IntRange(0, 4).Draw(t, "finished") > 0
	s.Held = s.Finished && rapid.IntRange(0, 4).Draw(t, "held") > 0
	if s.Held {
		s.Body = fmt.Appendf(nil, "result %d", i)
	}
	s.Code = rapid.SampledFrom([]result.Code{result.OK, result.OK, result.OK, result.TaskFailed}).Draw(t, "code")
	chosen.started = append(chosen.started, s)
	w.starts++
}

// evidence returns what the table and the agents report about the world, with
// every clock off by up to half of ClockMargin.
func (w *modelWorld) evidence(t *rapid.T) []AgentEvidence {
	out := make([]AgentEvidence, 0, len(w.agents))
	half := seconds(ClockMargin) / 2
	for i, incarnations := range w.agents {
		skew := rapid.Int64Range(-half, half).Draw(t, "skew")
		a := AgentEvidence{ID: fmt.Sprintf("a%d", i), Incarnation: uint64(len(incarnations))}
		for j, earlier := range incarnations[:len(incarnations)-1] {
			a.Replaced = append(a.Replaced, ReplacedIncarnation{Incarnation: uint64(j + 1), At: incarnations[j+1].start + skew, Clean: earlier.clean})
		}
		last := incarnations[len(incarnations)-1]
		if last.end != 0 {
			a.CleanStopAt = last.end + skew
		} else if w.reached[i] {
			a.Answered, a.Started = true, last.started
		}
		out = append(out, a)
	}
	return out
}

// mayStartMore reports whether an incarnation that may hold a grant has not
// received the fence.
func (w *modelWorld) mayStartMore() bool {
	for i, incarnations := range w.agents {
		for _, inc := range incarnations {
			if inc.frozen && inc.end > issued || inc.end == 0 && !w.reached[i] {
				return true
			}
		}
	}
	return false
}

// canComplete reports whether the results of all tasks are held, or will be, by
// live incarnations.
func (w *modelWorld) canComplete() bool {
	n := 0
	for _, incarnations := range w.agents {
		last := incarnations[len(incarnations)-1]
		for _, s := range last.started {
			if last.end == 0 && (!s.Finished || s.hasResult()) {
				n++
			}
		}
	}
	return n == w.tasks
}

// mayHaveCompleted reports whether the issuer may have answered with all results,
// or still may: no report that is held rules that out.
func (w *modelWorld) mayHaveCompleted() bool {
	n := 0
	for _, incarnations := range w.agents {
		last := incarnations[len(incarnations)-1]
		for _, s := range last.started {
			if last.end == 0 && (!s.Finished || !s.Held || s.Code == result.OK) {
				n++
			}
		}
	}
	return n == w.tasks
}

func (w *modelWorld) check(t *rapid.T, e Evidence, v Settlement) {
	final := e.Fenced && e.Listed && !w.mayStartMore()
	switch v.Code {
	case result.SettledNotRun:
		if w.starts > 0 || !final {
			t.Fatalf("not run, but %d tasks started, final %v", w.starts, final)
		}
	case result.SettledFailed:
		if w.starts == 0 || !final || w.mayHaveCompleted() {
			t.Fatalf("failed, but %d tasks started, final %v", w.starts, final)
		}
	case result.TicketReused:
		if e.Submission.Digest == w.digest {
			t.Fatal("reused, but the body is the same")
		}
	case result.OK:
		w.checkComplete(t, e, v)
	case result.OutcomeUnknown:
		if v.Detail == "" {
			t.Fatal("unknown for no reason")
		}
	default:
		t.Fatalf("unexpected code %s", v.Code)
	}
}

func (w *modelWorld) checkComplete(t *rapid.T, e Evidence, v Settlement) {
	if w.starts != w.tasks || !w.canComplete() || e.Submission.Digest != w.digest {
		t.Fatal("complete, but the truth is not")
	}
	for i, body := range v.Results {
		if string(body) != fmt.Sprintf("result %d", i) {
			t.Fatalf("result %d is %q", i, body)
		}
	}
}

func TestSettleNeverContradictsTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		e := Evidence{
			Issued: issued,
			Now:    issued + rapid.Int64Range(0, 900).Draw(t, "age"),
			Fenced: rapid.IntRange(0, 5).Draw(t, "fenced") > 0,
			Listed: rapid.IntRange(0, 5).Draw(t, "listed") > 0,
			Agents: w.evidence(t),
		}
		if rapid.IntRange(0, 3).Draw(t, "submitted") > 0 {
			e.Submission = &Submission{Tasks: w.tasks, Digest: drawDigest(t)}
		}
		w.check(t, e, Settle(e))
	})
}

func TestSettleDecidesWhenAllIsKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		for i, incarnations := range w.agents {
			w.agents[i], w.reached[i] = []modelIncarnation{{started: incarnations[len(incarnations)-1].started}}, true
		}
		e := Evidence{Submission: &Submission{Tasks: w.tasks, Digest: w.digest}, Issued: issued, Now: issued, Fenced: true, Listed: true, Agents: w.evidence(t)}
		v := Settle(e)
		open := w.mayHaveCompleted() && v.Code != result.OK
		if (v.Code == result.OutcomeUnknown) != open {
			t.Fatalf("got %s %q, outcome open %v", v.Code, v.Detail, open)
		}
	})
}
