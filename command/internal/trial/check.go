package trial

import (
	"bytes"
	"context"
	"errors"
	"time"

	"bergamotwing.example/client"
	"bergamotwing.example/release"
	"bergamotwing.example/result"
	"bergamotwing.example/standin"
)

// check compares all answers and recorded starts with the submitted jobs.
func (t *trial) check(ctx context.Context) error {
	starts, err := t.cluster.starts(ctx)
	if err != nil {
		return err
	}
	for _, r := range t.journal.records {
		t.checkRecord(r, starts)
	}
	t.report.event("%d jobs lost a task at agent %s and were answered so", t.lostJobs, stoppedAgentID)
	t.checkStarts(starts)
	t.reportClients()
	t.report.addRows(t.journal)
	return nil
}

func (t *trial) checkRecord(r *record, starts startsByTask) {
	if r.err == nil {
		t.checkAnswer(r, starts)
		return
	}
	if t.failureAllowed(r) {
		t.lostJobs++
		return
	}
	t.report.violation("%s, %s: %v", r.payloads[0].Echo, r.phase, r.err)
}

// checkAnswer checks a complete answer byte for byte, and that an endpoint
// recorded the start of each of its tasks.
func (t *trial) checkAnswer(r *record, starts startsByTask) {
	for i, p := range r.payloads {
		if !bytes.Equal(r.answer.Results[i], standin.Answer(r.job.Tasks[i].Payload)) {
			t.report.violation("%s: wrong result", p.Echo)
		}
		if len(starts[p.Echo]) == 0 {
			t.report.violation("%s: answered, but no endpoint recorded its start", p.Echo)
		}
	}
}

// failureAllowed reports whether a job may have failed: the agent was killed, the
// job had no answer before that, and its error is AgentLost or OutcomeUnknown and
// does not say that nothing ran. Which agent was lost is not checked, and jobs
// submitted after the kill are allowed too.
func (t *trial) failureAllowed(r *record) bool {
	if !t.stopped.abrupt || r.started.Add(r.took).Before(t.stopped.at) {
		return false
	}
	var notRun *client.NotRunError
	if errors.As(r.err, &notRun) {
		return false
	}
	return errors.Is(r.err, &result.Error{Code: result.AgentLost}) ||
		errors.Is(r.err, &result.Error{Code: result.OutcomeUnknown})
}

// checkStarts reports tasks that started more than once, and tasks that started in
// the zone out of service later than release.StopBound after the command was
// answered.
func (t *trial) checkStarts(starts startsByTask) {
	late := t.outage.out.Add(release.StopBound)
	during, last := 0, time.Duration(0)
	for echo, list := range starts {
		if len(list) > 1 {
			t.report.violation("%s: started %d times", echo, len(list))
		}
		for _, s := range list {
			if s.zone != outZone || s.at.Before(t.outage.out) || !s.at.Before(t.outage.back) {
				continue
			}
			during++
			last = max(last, s.at.Sub(t.outage.out))
			if s.at.After(late) {
				t.report.violation("%s: started in %s %s after it was out", echo, outZone, s.at.Sub(t.outage.out))
			}
		}
	}
	t.report.event("%d tasks started in %s after it was answered as out, the last after %s", during, outZone, last.Round(time.Millisecond))
}

// reportClients adds the retries of the users' clients to the report.
func (t *trial) reportClients() {
	for i, c := range t.clients {
		s := c.Stats()
		t.report.event("client of %s: %d jobs, tries made again by reason %v", users[i].name, s.FirstTries, s.Retries)
	}
}
