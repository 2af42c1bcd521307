package trial

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"bergamotwing.example/client"
)

// Report holds the events, response times and violations of a trial.
type Report struct {
	Events     []string
	Rows       []Row
	Violations []string // empty when every answer was right and no start broke a guarantee
}

// Row sums up the jobs of one user that were submitted in one phase.
type Row struct {
	Phase, User string
	Jobs        int
	Complete    int
	NotRun      int
	Failed      int
	Unknown     int
	Median      Overhead
	P99         Overhead
}

// Overhead compares a response time with the ideal response time, which is the
// run time of the job's longest task.
type Overhead struct {
	Over  time.Duration // response time minus the ideal
	Ratio float64       // response time over the ideal
}

const (
	maxViolationsShown = 20
	tablePadding       = 2
)

func (r *Report) event(format string, args ...any) {
	r.Events = append(r.Events, fmt.Sprintf(format, args...))
}

func (r *Report) violation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// addRows adds a row for each phase and user.
func (r *Report) addRows(j *journal) {
	for _, phase := range j.order {
		for _, u := range users {
			r.Rows = append(r.Rows, newRow(phase, u.name, j.records))
		}
	}
}

func newRow(phase, userName string, records []*record) Row {
	row := Row{Phase: phase, User: userName}
	var over []time.Duration
	var ratio []float64
	for _, rec := range records {
		if rec.phase != phase || rec.user.name != userName {
			continue
		}
		row.count(rec.err)
		if rec.err == nil {
			over = append(over, rec.took-rec.ideal)
			ratio = append(ratio, float64(rec.took)/float64(rec.ideal))
		}
	}
	row.Median = Overhead{Over: quantile(over, 50), Ratio: quantile(ratio, 50)}
	row.P99 = Overhead{Over: quantile(over, 99), Ratio: quantile(ratio, 99)}
	return row
}

func (row *Row) count(err error) {
	row.Jobs++
	switch err.(type) { //nolint:errorlint // the client returns these types unwrapped
	case nil:
		row.Complete++
	case *client.NotRunError:
		row.NotRun++
	case *client.FailedError:
		row.Failed++
	default:
		row.Unknown++
	}
}

// quantile returns the value below which pct percent of values lie, or zero.
func quantile[T time.Duration | float64](values []T, pct int) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)*pct/100]
}

// Write prints the report as a table and lines of text.
func (r *Report) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	_, _ = fmt.Fprintln(tw, "PHASE\tUSER\tJOBS\tCOMPLETE\tNOT RUN\tFAILED\tUNKNOWN\tMEDIAN OVER IDEAL\tP99 OVER IDEAL")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", row.Phase, row.User, row.Jobs,
			row.Complete, row.NotRun, row.Failed, row.Unknown, row.Median, row.P99)
	}
	_ = tw.Flush()
	for _, e := range r.Events {
		_, _ = fmt.Fprintln(w, e)
	}
	return r.writeViolations(w)
}

func (r *Report) writeViolations(w io.Writer) error {
	if len(r.Violations) == 0 {
		_, err := fmt.Fprintln(w, "no faults: every answer was right and no task started twice")
		return err
	}
	_, err := fmt.Fprintf(w, "%d faults\n", len(r.Violations))
	for _, f := range r.Violations[:min(len(r.Violations), maxViolationsShown)] {
		_, _ = fmt.Fprintln(w, "FAULT  "+f)
	}
	return err
}

// String formats the time above the ideal and the ratio to the ideal.
func (s Overhead) String() string {
	return fmt.Sprintf("+%.1f ms (%.2fx)", float64(s.Over)/float64(time.Millisecond), s.Ratio)
}
