package trial

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"bergamotwing.example/client"
)

// Report is what happened in a trial.
type Report struct {
	Events     []string
	Rows       []Row
	Violations []string // empty when every answer was right
}

// Row sums up the jobs of one user that were submitted in one phase.
type Row struct {
	Phase, User string
	Jobs        int
	Complete    int
	NotRun      int
	Failed      int
	Unknown     int
	Median      Spread
	P99         Spread
}

// Spread compares a response time with the ideal, the run time of the job's
// longest task.
type Spread struct {
	Over  time.Duration // response time less the ideal
	Ratio float64       // response time over the ideal
}

const (
	maxFaultsShown = 20
	tablePadding   = 2
)

func (r *Report) event(format string, args ...any) {
	r.Events = append(r.Events, fmt.Sprintf(format, args...))
}

func (r *Report) fault(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// fill adds a row for each phase and user.
func (r *Report) fill(j *journal) {
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
	row.Median = Spread{Over: quantile(over, 50), Ratio: quantile(ratio, 50)}
	row.P99 = Spread{Over: quantile(over, 99), Ratio: quantile(ratio, 99)}
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

// Write prints the report for people.
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
	return r.writeFaults(w)
}

func (r *Report) writeFaults(w io.Writer) error {
	if len(r.Violations) == 0 {
		_, err := fmt.Fprintln(w, "no faults: every answer was right and no task started twice")
		return err
	}
	_, err := fmt.Fprintf(w, "%d faults\n", len(r.Violations))
	for _, f := range r.Violations[:min(len(r.Violations), maxFaultsShown)] {
		_, _ = fmt.Fprintln(w, "FAULT  "+f)
	}
	return err
}

// String prints the time over the ideal and the ratio to it.
func (s Spread) String() string {
	return fmt.Sprintf("+%.1f ms (%.2fx)", float64(s.Over)/float64(time.Millisecond), s.Ratio)
}
