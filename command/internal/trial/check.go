package trial

import (
	"bytes"
	"context"
	"errors"

	"bergamotwing.example/client"
	"bergamotwing.example/release"
	"bergamotwing.example/result"
	"bergamotwing.example/standin"
)

// check compares all answers and starts with what was asked for.
func (t *trial) check(ctx context.Context) error {
	starts, err := t.cluster.starts(ctx)
	if err != nil {
		return err
	}
	for _, r := range t.journal.records {
		t.checkRecord(r, starts)
	}
	t.checkStarts(starts)
	t.report.fill(t.journal)
	return nil
}

func (t *trial) checkRecord(r *record, starts startsByTask) {
	if r.err == nil {
		t.checkAnswer(r, starts)
		return
	}
	if !t.excused(r, starts) {
		t.report.fault("%s, %s: %v", r.payloads[0].Echo, r.phase, r.err)
	}
}

// checkAnswer checks a complete answer byte for byte, and that each of its
// tasks was seen to start.
func (t *trial) checkAnswer(r *record, starts startsByTask) {
	for i, p := range r.payloads {
		if !bytes.Equal(r.answer.Results[i], standin.Answer(r.job.Tasks[i].Payload)) {
			t.report.fault("%s: wrong result", p.Echo)
		}
		if len(starts[p.Echo]) == 0 {
			t.report.fault("%s: answered, but no endpoint recorded its start", p.Echo)
		}
	}
}

// excused reports whether a job may have failed: it was open when the agent was
// stopped abruptly, and lost a task there.
func (t *trial) excused(r *record, starts startsByTask) bool {
	if !t.stopped.abrupt || r.started.Add(r.took).Before(t.stopped.at) {
		return false
	}
	var notRun *client.NotRunError
	if errors.As(r.err, &notRun) {
		return false
	}
	return errors.Is(r.err, &result.Error{Code: result.AgentLost}) || startedAt(r, starts, stoppedAgentID)
}

func startedAt(r *record, starts startsByTask, endpoint string) bool {
	for _, p := range r.payloads {
		for _, s := range starts[p.Echo] {
			if s.endpoint == endpoint {
				return true
			}
		}
	}
	return false
}

// checkStarts finds doubled starts and starts in the zone that was out.
func (t *trial) checkStarts(starts startsByTask) {
	late := t.outage.out.Add(release.StopBound)
	for echo, seen := range starts {
		if len(seen) > 1 {
			t.report.fault("%s: started %d times", echo, len(seen))
		}
		for _, s := range seen {
			if s.zone == outZone && s.at.After(late) && s.at.Before(t.outage.back) {
				t.report.fault("%s: started in %s %s after it was out", echo, outZone, s.at.Sub(t.outage.out))
			}
		}
	}
}
