package command

import (
	"context"
	"errors"
	"io"
	"os"

	"bergamotwing.example/command/internal/hostedtrial"
	"bergamotwing.example/command/internal/trial"
)

const tryHelp = `Tries the whole path in one process over loopback: a platform stand-in, two
entries, agents and stand-in endpoints in six zones. Both users submit jobs
while a zone leaves and returns and an agent is killed. Prints what happened
with response times against the ideal, and exits 0 only if every answer was
right. Takes under 20 s.

With --hosted it tries the processes of the hosting platform instead: three
entries, four agents, and stand-ins of the store and the endpoints. A zone is
evacuated and taken back, an endpoint fails all its tasks and an entry stops.

Examples:
$ bergamotwing try
$ bergamotwing try --seed 7 --log try.log
$ bergamotwing try --hosted`

// errTrial is the error of a trial that found violations; the report lists them.
var errTrial = errors.New("the trial found faults")

type tryCommand struct {
	out  *output
	Seed uint64 `long:"seed" default:"1" description:"seed of arrivals and run times"`
	Log  string `long:"log" value-name:"FILE" description:"write the processes' logs to this file"`

	Hosted bool `long:"hosted" description:"try the processes of the hosting platform"`
}

// trialReport is the report of either trial.
type trialReport interface {
	Write(w io.Writer) error
}

// Execute runs the trial and prints its report.
func (c *tryCommand) Execute([]string) error {
	log, err := openLog(c.Log)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	ctx, stop := untilSignal()
	defer stop()
	report, violations, err := c.run(ctx, log)
	if err != nil {
		return err
	}
	if err := report.Write(c.out.stdout); err != nil {
		return err
	}
	if violations > 0 {
		return errTrial
	}
	return nil
}

// run runs the trial and returns its report and the number of violations.
func (c *tryCommand) run(ctx context.Context, log io.Writer) (trialReport, int, error) {
	if c.Hosted {
		report, err := hostedtrial.Run(ctx, hostedtrial.Config{Seed: c.Seed, Log: log, Progress: c.out.stderr})
		if err != nil {
			return nil, 0, err
		}
		return report, len(report.Violations), nil
	}
	report, err := trial.Run(ctx, trial.Config{Seed: c.Seed, Log: log, Progress: c.out.stderr})
	if err != nil {
		return nil, 0, err
	}
	return report, len(report.Violations), nil
}

type discardCloser struct{ io.Writer }

func (discardCloser) Close() error { return nil }

func openLog(file string) (io.WriteCloser, error) {
	if file == "" {
		return discardCloser{io.Discard}, nil
	}
	return os.Create(file) //nolint:gosec // the user names the file
}
