package command

import (
	"strings"
	"time"

	"bergamotwing.example/load"
	"bergamotwing.example/standin"
)

const loadHelp = `Puts a deployment with stand-in endpoints under an open-loop load and prints
what it measured. Progress goes to standard error, the report to standard
output as JSON.

Examples:
$ bergamotwing load --entries http://127.0.0.1:8080 --service postlink --slots 80
$ bergamotwing load --entries http://127.0.0.1:8080 --service postlink --slots 80 \
    --utilization 0.95 --duration 1m --picture load.png
$ bergamotwing load ... --metrics entry=http://127.0.0.1:9100/metrics \
    --metrics gent-noord/agent-1=http://127.0.0.1:7001/metrics
$ bergamotwing load ... --operators http://127.0.0.1:8090 \
    --zone-out gent-noord@20s --zone-back gent-noord@40s`

type loadCommand struct {
	out           *output
	Entries       []string      `long:"entries" value-name:"URL" env:"BERGAMOTWING_ENTRIES" env-delim:"," description:"callers' base URL of an entry; may be given several times"`
	Operators     string        `long:"operators" value-name:"URL" env:"BERGAMOTWING_OPERATORS" description:"operators' base URL of an entry, for --zone-out and --zone-back"`
	TokenFile     string        `long:"token-file" value-name:"FILE" env:"BERGAMOTWING_TOKEN_FILE" description:"file with the operator's token"`
	Service       string        `long:"service" required:"yes" description:"service to submit to"`
	Teams         []string      `long:"team" description:"team to submit for; may be given several times"`
	Slots         int           `long:"slots" required:"yes" description:"slots of the service in the whole deployment"`
	Utilization   float64       `long:"utilization" default:"0.8" description:"share of the slots that the tasks keep busy"`
	Duration      time.Duration `long:"duration" default:"10s" description:"how long jobs arrive"`
	Jobs          int           `long:"jobs" default:"100000" description:"most jobs that arrive"`
	MeanTasks     float64       `long:"mean-tasks" default:"8" description:"mean number of tasks of a job"`
	MaxTasks      int           `long:"max-tasks" default:"670" description:"most tasks of a job"`
	MinRun        time.Duration `long:"min-run" default:"50ms" description:"shortest run time"`
	MaxRun        time.Duration `long:"max-run" default:"1s" description:"longest run time of most tasks"`
	LongShare     float64       `long:"long-share" default:"0.03" description:"share of tasks of 2 s to 5 s"`
	DeclaredWrong float64       `long:"declared-wrong" default:"1" description:"factor by which declared run times are off"`
	Callers       int           `long:"callers" default:"20" description:"callers with connections of their own"`
	Deadline      time.Duration `long:"deadline" default:"1m" description:"deadline of a job"`
	Network       time.Duration `long:"network" default:"0s" description:"network allowance in the ideal response"`
	Metrics       []string      `long:"metrics" value-name:"[ZONE/]NAME=URL" description:"process whose metrics are read; with a zone it is an agent, whose results are the zone's work done; may be given several times"`
	ZoneOut       []string      `long:"zone-out" value-name:"ZONE@TIME" description:"take a zone out of service at a time"`
	ZoneBack      []string      `long:"zone-back" value-name:"ZONE@TIME" description:"take a zone back at a time"`
	Report        string        `long:"report" value-name:"FILE" description:"write the report to this file too"`
	Picture       string        `long:"picture" value-name:"FILE" description:"write a picture (PNG) to this file"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of arrivals, sizes and run times"`
}

// Execute runs the load and prints the report.
func (c *loadCommand) Execute([]string) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	report, err := load.Run(ctx, options, c.out.stderr)
	if err != nil {
		return err
	}
	return c.out.printJSON(report)
}

func (c *loadCommand) options() (load.Options, error) {
	if len(c.Entries) == 0 {
		return load.Options{}, usagef("no entry: give --entries URL or set BERGAMOTWING_ENTRIES")
	}
	token, err := readToken(c.TokenFile)
	if err != nil {
		return load.Options{}, err
	}
	events, err := c.zoneEvents()
	if err != nil {
		return load.Options{}, err
	}
	sources, err := c.sources()
	if err != nil {
		return load.Options{}, err
	}
	runTimes := load.DefaultRunTimes()
	runTimes.Min, runTimes.Max, runTimes.LongShare = c.MinRun, c.MaxRun, c.LongShare
	return load.Options{
		Seed:           c.Seed,
		Jobs:           c.Jobs,
		Duration:       c.Duration,
		Utilization:    c.Utilization,
		Sizes:          load.Sizes{Mean: c.MeanTasks, Max: c.MaxTasks},
		RunTimes:       runTimes,
		DeclaredFactor: c.DeclaredWrong,
		Mix:            c.mix(),
		Callers:        c.Callers,
		Entries:        c.Entries,
		Deadline:       c.Deadline,
		Network:        c.Network,
		ZoneEvents:     events,
		Operators:      c.Operators,
		OperatorToken:  token,
		Sources:        sources,
		Expected:       standin.Answer,
		ReportFile:     c.Report,
		PictureFile:    c.Picture,
	}, nil
}

// mix spreads the jobs evenly over the teams.
func (c *loadCommand) mix() []load.Share {
	if len(c.Teams) == 0 {
		return []load.Share{{Service: c.Service, Weight: 1, Slots: c.Slots}}
	}
	out := make([]load.Share, len(c.Teams))
	for i, team := range c.Teams {
		out[i] = load.Share{Service: c.Service, Team: team, Weight: 1, Slots: c.Slots}
	}
	return out
}

func (c *loadCommand) zoneEvents() ([]load.ZoneEvent, error) {
	var out []load.ZoneEvent
	for _, list := range []struct {
		texts []string
		out   bool
	}{{c.ZoneOut, true}, {c.ZoneBack, false}} {
		for _, text := range list.texts {
			zone, at, ok := strings.Cut(text, "@")
			d, err := time.ParseDuration(at)
			if !ok || err != nil {
				return nil, usagef("%q is not of the form ZONE@TIME, such as gent-noord@20s", text)
			}
			out = append(out, load.ZoneEvent{At: d, Zone: zone, Out: list.out})
		}
	}
	return out, nil
}

func (c *loadCommand) sources() ([]load.Source, error) {
	var out []load.Source
	for _, text := range c.Metrics {
		name, url, ok := strings.Cut(text, "=")
		if !ok {
			return nil, usagef("%q is not of the form NAME=URL or ZONE/NAME=URL", text)
		}
		source := load.Source{Name: name, URL: url}
		if zone, agent, inZone := strings.Cut(name, "/"); inZone {
			source.Name, source.Zone, source.Endpoint = agent, zone, true
		}
		out = append(out, source)
	}
	return out, nil
}
