package command

import (
	"time"

	"bergamotwing.example/load"
)

const loadHelp = `Puts a deployment under load and prints what it measured. Progress goes to
standard error, the report to standard output as JSON.

Example:
$ bergamotwing load --entries http://127.0.0.1:8080 --service postlink`

type loadCommand struct {
	out           *output
	Entries       []string      `long:"entries" value-name:"URL" env:"BERGAMOTWING_ENTRIES" env-delim:"," description:"callers' base URL of an entry; may be given several times"`
	TokenFile     string        `long:"token-file" value-name:"FILE" env:"BERGAMOTWING_TOKEN_FILE" description:"file with the caller's token"`
	Service       string        `long:"service" required:"yes" description:"service to submit to"`
	Duration      time.Duration `long:"duration" default:"10s" description:"how long to submit"`
	JobsPerSecond float64       `long:"jobs-per-second" default:"50" description:"arrival rate"`
	TasksPerJob   int           `long:"tasks-per-job" default:"4" description:"tasks of one job"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of arrivals and sizes"`
}

// Execute runs the load and prints the report.
func (c *loadCommand) Execute([]string) error {
	entries := nonEmpty(c.Entries)
	if len(entries) == 0 {
		return usagef("no entry: give --entries URL or set BERGAMOTWING_ENTRIES")
	}
	token, err := readToken(c.TokenFile)
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	report, err := load.Run(ctx, load.Options{
		Entries: entries, Token: token, Service: c.Service, Duration: c.Duration,
		JobsPerSecond: c.JobsPerSecond, TasksPerJob: c.TasksPerJob, Seed: c.Seed,
	}, c.out.stderr)
	if err != nil {
		return err
	}
	return c.out.printJSON(report)
}
