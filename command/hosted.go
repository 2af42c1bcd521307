package command

import (
	"context"
	"runtime/debug"

	"github.com/rotisserie/eris"

	"bergamotwing.example/command/internal/signals"
	"bergamotwing.example/dispatch"
	hostedagent "bergamotwing.example/hosted/agent"
	"bergamotwing.example/hosted/control"
	hostedentry "bergamotwing.example/hosted/entry"
	"bergamotwing.example/platform"
)

const (
	hostedEntryHelp = `Runs an entry on the hosting platform. It learns its addresses from the
settings file that the platform writes. Logs go to standard output as JSON
lines. SIGTERM stops it after the open jobs are answered, SIGHUP has it read
its settings again. While it stops, only SIGINT ends it at once.

Example:
$ bergamotwing hosted entry --metrics-port 9464`
	hostedAgentHelp = `Runs an agent beside an endpoint on the hosting platform. Settings, logs and
signals are as for an entry.

Example:
$ bergamotwing hosted agent --metrics-port 9464`
)

// hostedGCPercent is the heap's growth between two collections. Memory costs
// more than processor time on the hosting platform.
const hostedGCPercent = 50

func hostedCommands(out *output) []spec {
	return []spec{
		{name: "entry", short: "Run an entry on the hosting platform", long: hostedEntryHelp, run: &hostedEntryCommand{hostedOptions: hostedOptions{out: out}}},
		{name: "agent", short: "Run an agent on the hosting platform", long: hostedAgentHelp, run: &hostedAgentCommand{hostedOptions{out: out}}},
		{name: "check", short: "Check a configuration before it is sent", long: hostedCheckHelp, run: &hostedCheckCommand{out: out}},
	}
}

type hostedOptions struct {
	out         *output
	MetricsPort int    `long:"metrics-port" value-name:"PORT" description:"serve metrics at this port; 0 serves none"`
	NodeFile    string `long:"node-file" value-name:"FILE" description:"settings file of the platform; otherwise as its environment variable says"`
}

type hostedEntryCommand struct {
	hostedOptions

	LinkListen     string `long:"link-listen" value-name:"IP:PORT" description:"accept links here, where a forwarder has the address that others dial"`
	ShardEndpoints int    `long:"shard-endpoints" value-name:"N" default:"0" description:"endpoints of a service on which one entry places tasks; 0 takes the built-in number"`
	Interference   string `long:"interference" value-name:"MODE" choice:"off" choice:"notice" choice:"keep-apart" default:"off" description:"tasks that slow each other down at one endpoint: off, notice (log which kinds do), keep-apart (and place them apart where there is room)"`
}

// Execute runs the entry until a signal.
func (c *hostedEntryCommand) Execute([]string) error {
	if c.ShardEndpoints < 0 {
		return usagef("--shard-endpoints %d is negative", c.ShardEndpoints)
	}
	return c.run("entry", func(node platform.Node, p *hostedProcess) runner {
		return hostedentry.New(node, hostedentry.Options{
			LinkListen: c.LinkListen, ShardEndpoints: c.ShardEndpoints, Interference: dispatch.InterferenceMode(c.Interference),
		}, control.Deps{Log: p.log, Metrics: p.metrics})
	})
}

type hostedAgentCommand struct{ hostedOptions }

// Execute runs the agent until a signal.
func (c *hostedAgentCommand) Execute([]string) error {
	return c.run("agent", func(node platform.Node, p *hostedProcess) runner {
		return hostedagent.New(node, control.Deps{Log: p.log, Metrics: p.metrics})
	})
}

// runner is a process of a hosted deployment.
type runner interface {
	Run(stopping context.Context) error
	Reload(node platform.Node)
}

func (o *hostedOptions) run(role string, build func(platform.Node, *hostedProcess) runner) error {
	file := o.NodeFile
	if file == "" {
		file = platform.NodeFile()
	}
	node, err := loadInitialSettings(file)
	if err != nil {
		return err
	}
	debug.SetGCPercent(hostedGCPercent)
	p, err := newHostedProcess(o.out, role, node)
	if err != nil {
		return err
	}
	defer p.flush()
	if err := p.serveMetrics(node.IP, o.MetricsPort); err != nil {
		return err
	}
	r := build(node, p)
	stopping, reload := signals.Watch(true, recordSignal(p.log, p.metrics))
	go p.reloadOnChange(stopping, reload, file, node, r)
	return eris.Wrap(r.Run(stopping), role)
}
