package ledger

import (
	"fmt"
	"time"

	"bergamotwing.example/result"
)

const (
	// ClockMargin is the largest difference assumed between the clocks of two hosts.
	ClockMargin = 60 * time.Second

	// StartRecordRetention is how long an agent keeps the record of a task it
	// started, counted from the start (startRetention in package agent). It covers a
	// ticket's lifetime and the longest deadline.
	StartRecordRetention = 30 * time.Minute
)

// Submission is what the request of the caller states about the job.
type Submission struct {
	Tasks  int
	Digest Digest
}

// Evidence is all that an entry knows when it settles a ticket that it did not
// issue. Times are Unix seconds.
type Evidence struct {
	Submission *Submission // nil if the caller asked only for the answer
	Issued     int64       // when the ticket was issued
	Now        int64
	Fenced     bool // the fence row is durable
	Listed     bool // Agents is the complete list in the table, read after the fence was written
	Agents     []AgentEvidence
}

// AgentEvidence is an agent's row in the table and its answer to the fence.
type AgentEvidence struct {
	ID          string
	Incarnation uint64
	CleanStopAt int64 // when it stopped with no task running; 0 while it may run
	Replaced    []ReplacedIncarnation
	Answered    bool // this incarnation has acknowledged the fence
	Started     []StartedReport
}

// ReplacedIncarnation is an earlier incarnation of an agent.
type ReplacedIncarnation struct {
	Incarnation uint64
	At          int64 // when the next incarnation registered
	Clean       bool  // it stopped with no task running
}

// StartedReport is an agent's report on one task that it started.
type StartedReport struct {
	Index    int
	Finished bool
	Held     bool // the agent still has Code and Body
	Code     result.Code
	Body     []byte
	Digest   Digest // of the job that the task belongs to
}

// Settlement is what Settle decided about a ticket. Code is SettledNotRun, OK,
// SettledFailed, TicketReused or OutcomeUnknown; only OutcomeUnknown may change
// when the ticket is settled again.
type Settlement struct {
	Code    result.Code
	Detail  string
	Started int      // distinct tasks reported as started
	Tasks   int      // 0 when the submission is not known
	Results [][]byte // in task order, only with OK
	// Pending reports that a complete answer is not ruled out: tasks still run,
	// results are no longer held, or the number of tasks is not known.
	Pending bool
}

// Settle decides the outcome of a ticket whose issuer does not answer. It decides
// that nothing ran, or that the job is complete, only if the evidence proves it.
func Settle(e Evidence) Settlement {
	r := collectReports(e.Agents)
	v := Settlement{Started: len(r.byIndex)}
	if e.Submission != nil {
		v.Tasks = e.Submission.Tasks
	}
	switch {
	case e.Submission != nil && r.digestOtherThan(e.Submission.Digest):
		return v.with(result.TicketReused, "the ticket was used for a job with another body")
	case r.complete(e.Submission):
		v.Results = r.results()
		return v.with(result.OK, "")
	}
	if detail := e.unprovedStops(); detail != "" {
		return v.with(result.OutcomeUnknown, detail)
	}
	if len(r.byIndex) == 0 {
		return e.settleNoneReported(v)
	}
	if detail := r.pending(e.Submission); detail != "" {
		v.Pending = true
		return v.with(result.OutcomeUnknown, detail)
	}
	return v.with(result.SettledFailed, r.failure(e.Submission))
}

func (v Settlement) with(c result.Code, detail string) Settlement {
	v.Code, v.Detail = c, detail
	return v
}

// settleNoneReported settles a ticket for which every incarnation that could still
// start tasks has acknowledged the fence, and none reports a start.
func (e Evidence) settleNoneReported(v Settlement) Settlement {
	if detail := e.lostRecords(); detail != "" {
		return v.with(result.OutcomeUnknown, detail)
	}
	return v.with(result.SettledNotRun, "")
}

// unprovedStops returns why tasks of the ticket may still start, or run without
// being reported; it is empty if that is ruled out.
func (e Evidence) unprovedStops() string {
	if !e.Fenced {
		return "the store has not confirmed the fence"
	}
	if !e.Listed {
		return "the store has not listed the agents"
	}
	for _, a := range e.Agents {
		if !a.Answered && a.CleanStopAt == 0 {
			return fmt.Sprintf("agent %s does not answer", a.ID)
		}
		for _, earlier := range a.Replaced {
			if !earlier.Clean && e.mayFollowIssue(earlier.At) {
				return fmt.Sprintf("agent %s was replaced after the ticket was issued, without a clean stop", a.ID)
			}
		}
	}
	return ""
}

// lostRecords returns why a task may have run and ended without a record; it is
// empty if that is ruled out.
func (e Evidence) lostRecords() string {
	if e.Now-e.Issued > seconds(StartRecordRetention-ClockMargin) {
		return "the ticket is older than the agents' records"
	}
	for _, a := range e.Agents {
		if !a.Answered && e.mayFollowIssue(a.CleanStopAt) {
			return fmt.Sprintf("agent %s stopped after the ticket was issued, its records are gone", a.ID)
		}
		for _, earlier := range a.Replaced {
			if e.mayFollowIssue(earlier.At) {
				return fmt.Sprintf("agent %s was replaced after the ticket was issued, its records are gone", a.ID)
			}
		}
	}
	return ""
}

// mayFollowIssue reports whether at, read on another host's clock, may be later
// than the ticket's issue.
func (e Evidence) mayFollowIssue(at int64) bool {
	return at >= e.Issued-seconds(ClockMargin)
}

func seconds(d time.Duration) int64 { return int64(d / time.Second) }
