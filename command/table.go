package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

const columnPadding = 2

// table prints rows in aligned columns; the first row is the header.
type table struct {
	rows [][]string
}

func newTable(head ...string) *table { return &table{rows: [][]string{head}} }

// add appends a row; cells are printed with fmt.Sprint.
func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.rows = append(t.rows, row)
}

func (t *table) write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	for _, row := range t.rows {
		_, _ = fmt.Fprintln(tw, strings.TrimRight(strings.Join(row, "\t"), "\t"))
	}
	return tw.Flush()
}

// printf writes to the command's standard output.
func (o *output) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(o.stdout, format, args...)
}

func (o *output) printJSON(v any) error {
	enc := json.NewEncoder(o.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// age formats milliseconds as a duration; a negative value means never.
func age(ms int64) string {
	if ms < 0 {
		return "never"
	}
	d := time.Duration(ms) * time.Millisecond
	if d < time.Second {
		return d.String()
	}
	return d.Round(100 * time.Millisecond).String()
}

func joined(notes []string) string { return strings.Join(notes, ", ") }

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}
