package load

import (
	"encoding/json"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"bergamotwing.example/result"
)

// Report holds what was measured under a load.
type Report struct {
	Seed             uint64        `json:"seed"`
	Jobs             int           `json:"jobs"`
	Tasks            int           `json:"tasks"`
	SpanSeconds      float64       `json:"spanSeconds"`      // from the first arrival to the last answer
	OfferedLoad      float64       `json:"offeredLoad"`      // run times of all tasks / slots / time of arrivals
	VersusIdeal      Summary       `json:"versusIdeal"`      // response time / that of a central queue, the ideal
	MeanOverCentral  float64       `json:"meanOverCentral"`  // mean response time / mean of the ideal ones
	P99OverCentral   float64       `json:"p99OverCentral"`   // 99th percentile / that of the ideal ones
	VersusRun        Summary       `json:"versusRun"`        // response time / the longest run time of the job
	ResponseMS       Summary       `json:"responseMs"`       // of complete, correct answers
	GeneratorLateMS  Summary       `json:"generatorLateMs"`  // how late the generator submitted jobs
	Answers          Counters      `json:"answers"`          // by code
	NoAnswer         int           `json:"noAnswer"`         // submissions that failed without an answer
	WrongAnswers     int           `json:"wrongAnswers"`     // complete answers with a wrong result
	TasksPerSecond   float64       `json:"tasksPerSecond"`   // of complete, correct answers
	Messages         []KindCount   `json:"messages"`         // by kind
	WastedPerTask    float64       `json:"wastedPerTask"`    // messages
	Refused          Counters      `json:"refused"`          // by reason
	Retried          Counters      `json:"retried"`          // by reason
	Processes        []ProcessUse  `json:"processes"`        // those that answered at the end
	MissingProcesses []string      `json:"missingProcesses"` // those that did not
	Work             []WorkPoint   `json:"work"`
	Events           []EventReport `json:"events"`

	versusIdeal, versusRun *hdrhistogram.Histogram
}

// Summary holds the mean and percentiles of a measure.
type Summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// WorkPoint is the work done from the previous point to this one.
type WorkPoint struct {
	AtSeconds      float64  `json:"atSeconds"`
	TasksPerSecond Counters `json:"tasksPerSecond"` // by zone
}

// EventReport is a zone event with its answer.
type EventReport struct {
	ZoneEvent
	SentSeconds     float64 `json:"sentSeconds"`
	AnsweredSeconds float64 `json:"answeredSeconds"`
	Answer          string  `json:"answer"`
	Error           string  `json:"error,omitempty"`
}

// Histograms record integers; values are recorded in thousandths, so that ratios
// keep three decimals.
const (
	histogramUnit   = 1000
	histogramMax    = 1_000_000_000
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, v float64) {
	_ = h.RecordValue(min(histogramMax, max(1, int64(v*histogramUnit))))
}

func summary(h *hdrhistogram.Histogram) Summary {
	at := func(percentile float64) float64 { return float64(h.ValueAtQuantile(percentile)) / histogramUnit }
	return Summary{
		Count: h.TotalCount(),
		Mean:  h.Mean() / histogramUnit,
		P50:   at(50),
		P99:   at(99),
		P999:  at(99.9),
		Max:   float64(h.Max()) / histogramUnit,
	}
}

func newReport(r *runner, u usage, events []EventReport) *Report {
	report := &Report{
		Seed:             r.opts.Seed,
		Jobs:             len(r.arrivals),
		SpanSeconds:      u.span.Seconds(),
		Answers:          Counters{},
		MissingProcesses: u.missing,
		Work:             u.work,
		Events:           events,
		versusIdeal:      newHistogram(),
		versusRun:        newHistogram(),
	}
	report.addOutcomes(r)
	report.addUsage(u)
	return report
}

// addOutcomes adds the outcomes of the jobs. Only complete, correct answers count
// in the response times.
func (p *Report) addOutcomes(r *runner) {
	response, central, late := newHistogram(), newHistogram(), newHistogram()
	ideals := ideal(r.arrivals, r.opts.slots(), r.opts.Network)
	var run time.Duration
	completedTasks := 0
	for i, out := range r.outcomes {
		a := r.arrivals[i]
		p.Tasks += len(a.Tasks)
		run += a.totalRun()
		record(late, milliseconds(out.late))
		p.count(out)
		if out.failed || out.wrong || out.code != result.OK {
			continue
		}
		completedTasks += len(a.Tasks)
		record(response, milliseconds(out.response))
		record(central, milliseconds(ideals[i]))
		record(p.versusIdeal, ratio(out.response, ideals[i]))
		if longest := a.longestRun(); longest > 0 {
			record(p.versusRun, ratio(out.response, longest))
		}
	}
	p.OfferedLoad = run.Seconds() / float64(r.opts.totalSlots()) / r.arrivalSpan().Seconds()
	p.TasksPerSecond = float64(completedTasks) / p.SpanSeconds
	p.VersusIdeal, p.VersusRun = summary(p.versusIdeal), summary(p.versusRun)
	p.ResponseMS, p.GeneratorLateMS = summary(response), summary(late)
	if c := summary(central); c.Mean > 0 {
		p.MeanOverCentral, p.P99OverCentral = p.ResponseMS.Mean/c.Mean, p.ResponseMS.P99/c.P99
	}
}

func (p *Report) count(out outcome) {
	switch {
	case out.failed:
		p.NoAnswer++
	case out.wrong:
		p.WrongAnswers++
	}
	if !out.failed {
		p.Answers[out.code.String()]++
	}
}

// arrivalSpan returns the time over which jobs arrived: up to the last arrival
// if the number of jobs was the limit.
func (r *runner) arrivalSpan() time.Duration {
	if len(r.arrivals) < r.opts.Jobs {
		return r.opts.Duration
	}
	return r.arrivals[len(r.arrivals)-1].At
}

func (a Arrival) totalRun() time.Duration {
	var sum time.Duration
	for _, task := range a.Tasks {
		sum += task.Run
	}
	return sum
}

func (a Arrival) longestRun() time.Duration {
	var longest time.Duration
	for _, task := range a.Tasks {
		longest = max(longest, task.Run)
	}
	return longest
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func ratio(a, b time.Duration) float64 { return float64(a) / float64(b) }

// write writes the files that the options ask for.
func (p *Report) write(o Options) error {
	if o.ReportFile != "" {
		b, err := json.MarshalIndent(p, "", "  ")
		if err != nil {
			return eris.Wrap(err, "encode report")
		}
		if err := os.WriteFile(o.ReportFile, b, 0o600); err != nil {
			return eris.Wrap(err, "write report")
		}
	}
	if o.PictureFile != "" {
		return p.draw(o.PictureFile)
	}
	return nil
}
