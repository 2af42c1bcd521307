package ledger

import (
	"fmt"

	"bergamotwing.example/result"
)

// reports are the started tasks of one ticket, gathered from all agents.
type reports struct {
	byIndex   map[int]StartedReport
	duplicate int // an index reported twice, or noDuplicate
	digests   map[Digest]struct{}
}

const noDuplicate = -1

func collectReports(agents []AgentEvidence) reports {
	r := reports{
		byIndex:   map[int]StartedReport{},
		duplicate: noDuplicate,
		digests:   map[Digest]struct{}{},
	}
	for _, a := range agents {
		if !a.Answered {
			continue
		}
		for _, s := range a.Started {
			r.add(s)
		}
	}
	return r
}

func (r *reports) add(s StartedReport) {
	if _, ok := r.byIndex[s.Index]; ok {
		r.duplicate = s.Index
	}
	r.byIndex[s.Index] = s
	r.digests[s.Digest] = struct{}{}
}

func (r *reports) digestOtherThan(d Digest) bool {
	for other := range r.digests {
		if other != d {
			return true
		}
	}
	return false
}

// consistent reports whether the reports can belong to one job whose tasks
// started once each, with tasks 0 to len(byIndex)-1 among them.
func (r *reports) consistent() bool {
	if r.duplicate != noDuplicate || len(r.digests) > 1 {
		return false
	}
	return r.firstMissing() == len(r.byIndex)
}

// firstMissing returns the lowest index that no agent reports.
func (r *reports) firstMissing() int {
	i := 0
	for {
		if _, ok := r.byIndex[i]; !ok {
			return i
		}
		i++
	}
}

// complete reports whether the reports hold the result of every task of s.
func (r *reports) complete(s *Submission) bool {
	if s == nil || s.Tasks < 1 || len(r.byIndex) != s.Tasks || !r.consistent() {
		return false
	}
	for _, report := range r.byIndex {
		if !report.hasResult() {
			return false
		}
	}
	return true
}

func (s StartedReport) hasResult() bool { return s.Finished && s.Held && s.Code == result.OK }

func (r *reports) results() [][]byte {
	out := make([][]byte, len(r.byIndex))
	for i, report := range r.byIndex {
		out[i] = report.Body
	}
	return out
}

// pending returns what a complete answer still waits for; it is empty if there
// will never be a complete answer.
func (r *reports) pending(s *Submission) string {
	if !r.consistent() || (s != nil && len(r.byIndex) != s.Tasks) {
		return ""
	}
	running, dropped := 0, 0
	for _, report := range r.byIndex {
		switch {
		case report.Finished && report.Held && report.Code != result.OK:
			return ""
		case !report.Finished:
			running++
		case !report.Held:
			dropped++
		}
	}
	if running > 0 {
		return fmt.Sprintf("%d tasks are still running", running)
	}
	if dropped > 0 {
		return fmt.Sprintf("%d results are no longer held; the issuer may have answered with them", dropped)
	}
	return "the number of tasks is not known; submit the job again under its ticket"
}

// failure returns why there will never be a complete answer.
func (r *reports) failure(s *Submission) string {
	if r.duplicate != noDuplicate {
		return fmt.Sprintf("task %d is reported by two agents", r.duplicate)
	}
	if len(r.digests) > 1 {
		return "the agents report jobs with different bodies"
	}
	if i := r.firstMissing(); i < len(r.byIndex) || (s != nil && i < s.Tasks) {
		return fmt.Sprintf("task %d never started or its record is gone", i)
	}
	for i := range len(r.byIndex) {
		report := r.byIndex[i]
		if report.Finished && report.Code != result.OK {
			return fmt.Sprintf("task %d ended with %s", i, report.Code)
		}
	}
	return "the agents report more tasks than the job has"
}
