package entry

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"time"

	"bergamotwing.example/client/api"
	"bergamotwing.example/ledger"
	"bergamotwing.example/release"
	"bergamotwing.example/result"
)

// submitHere opens or joins the job of a ticket that this incarnation issued and
// waits for the job's outcome. A refused submission consumes its ticket: once
// the caller has the answer that nothing ran, a delayed copy of the request must
// not run.
func (e *Entry) submitHere(ctx context.Context, t ledger.Ticket, text string, body []byte) api.Answer {
	now := time.Now()
	rec, isNew, err := e.ledger.Open(t, digest(body), now)
	if err != nil {
		return errorAnswer(text, err)
	}
	if isNew {
		e.openJobs.Add(1)
		if refusal := e.open(t, body, now); refusal != nil {
			e.metrics.Refused(refusal.Code)
			e.end(t.Seq, &ledger.Outcome{Code: refusal.Code, Detail: refusal.Detail})
		}
	}
	select {
	case <-rec.Done():
		return outcomeAnswer(text, rec.Outcome())
	case <-ctx.Done():
		return runningAnswer(text)
	}
}

// open checks a new submission and hands it to its service.
func (e *Entry) open(t ledger.Ticket, body []byte, now time.Time) *result.Error {
	if int(e.openJobs.Load()) > e.cfg.Limits.OpenJobs {
		return result.Errorf(result.TooManyOpenJobs, "at most %d jobs are open at once", e.cfg.Limits.OpenJobs)
	}
	var job api.Job
	if err := json.Unmarshal(body, &job); err != nil {
		return result.Errorf(result.BadRequest, "body: %v", err)
	}
	state := e.control.view().State
	if state == nil {
		return result.Errorf(result.NoVersion, "no configuration is known yet")
	}
	service, ok := state.Services[job.Service]
	if !ok {
		return result.Errorf(result.UnknownService, "service %q is not in force", job.Service)
	}
	if err := e.checkJob(job, service); err != nil {
		return err
	}
	weight, err := e.quotas.take(state, job.Team, len(job.Tasks), e.quotaParts(job.Service), now)
	if err != nil {
		return err
	}
	e.services.get(job.Service).submit(jobSpec(t, body, job, now), weight)
	return nil
}

// checkJob checks a submission against the limits.
func (e *Entry) checkJob(job api.Job, service release.Service) *result.Error {
	limits := e.cfg.Limits
	if len(job.Tasks) == 0 {
		return result.Errorf(result.BadRequest, "tasks: at least one is needed")
	}
	if n := limitOf(limits.Tasks, service.MaxTasks); len(job.Tasks) > n {
		return result.Errorf(result.TooManyTasks, "%d tasks, at most %d", len(job.Tasks), n)
	}
	if job.DeadlineMS < 1 || job.DeadlineMS > limits.MaxDeadline.D().Milliseconds() {
		return result.Errorf(result.BadDeadline, "deadlineMs must be 1 to %d", limits.MaxDeadline.D().Milliseconds())
	}
	maxPayload := limitOf(limits.PayloadBytes, service.MaxPayloadB)
	for i, t := range job.Tasks {
		if len(t.Payload) > maxPayload {
			return result.Errorf(result.PayloadTooLarge, "task %d has %d bytes, at most %d", i, len(t.Payload), maxPayload)
		}
		if t.MemoryMB < 0 || t.RunMS < 0 {
			return result.Errorf(result.BadRequest, "task %d: memoryMb and runMs are not negative", i)
		}
	}
	return nil
}

// limitOf returns the lower of two limits; service is 0 if the service has none.
func limitOf(own, service int) int {
	if service > 0 && service < own {
		return service
	}
	return own
}

func jobSpec(t ledger.Ticket, body []byte, job api.Job, now time.Time) ledger.JobSpec {
	spec := ledger.JobSpec{
		Ticket:   t,
		Digest:   digest(body),
		Service:  job.Service,
		Team:     job.Team,
		Received: now,
		Deadline: now.Add(time.Duration(job.DeadlineMS) * time.Millisecond),
		Tasks:    make([]ledger.TaskSpec, len(job.Tasks)),
	}
	for i, task := range job.Tasks {
		spec.Tasks[i] = ledger.TaskSpec{Payload: task.Payload, MemoryMB: task.MemoryMB, Idempotent: task.Idempotent}
	}
	return spec
}

// finish records the outcome of a job.
func (e *Entry) finish(j *ledger.Job) { e.end(j.Spec.Ticket.Seq, j.Outcome()) }

func (e *Entry) end(seq uint64, o *ledger.Outcome) {
	if !e.ledger.Finish(seq, o, time.Now()) {
		return
	}
	e.openJobs.Add(-1)
	if o.Code != result.OK {
		e.logOutcome(seq, o)
	}
}

// logOutcome logs a job that did not complete. It names the ticket in the form
// that endpoints see, not by its text: whoever has the text may fetch the answer.
func (e *Entry) logOutcome(seq uint64, o *ledger.Outcome) {
	e.log.Info().
		Str("ticket", fmt.Sprintf("%s/%x/%d", e.self.ID, uint64(e.self.Incarnation), seq)).
		Int("code", int(o.Code)).
		Stringer("name", o.Code).
		Str("detail", o.Detail).
		Int("started", o.Started).
		Msg("job did not complete")
}

func (e *Entry) showHere(t ledger.Ticket, text string) api.Answer {
	rec, used := e.ledger.Find(t.Seq)
	switch {
	case rec != nil && rec.Outcome() != nil:
		return outcomeAnswer(text, rec.Outcome())
	case rec != nil:
		return runningAnswer(text)
	case used:
		return errorAnswer(text, result.Errorf(result.OutcomeUnknown, "the answer is no longer kept"))
	default:
		// The answer does not name the ticket, which may still be submitted.
		return errorAnswer("", result.Errorf(result.NotFound, "no job was submitted under this ticket"))
	}
}

func (e *Entry) cancelHere(ctx context.Context, t ledger.Ticket, text string) api.Answer {
	rec := e.ledger.Withdraw(t, time.Now())
	if rec == nil {
		rec, _ = e.ledger.Find(t.Seq)
	}
	if rec == nil {
		return e.showHere(t, text)
	}
	e.services.each(func(s *service) { s.cancelTicket(t.Seq) })
	select {
	case <-rec.Done():
		return outcomeAnswer(text, rec.Outcome())
	case <-ctx.Done():
		return runningAnswer(text)
	}
}

func digest(body []byte) ledger.Digest {
	sum := sha256.Sum256(body)
	return ledger.Digest(sum[:16])
}
