package command

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"

	"bergamotwing.example/command/internal/signals"
	"bergamotwing.example/dispatch"
	hostedagent "bergamotwing.example/hosted/agent"
	"bergamotwing.example/hosted/connlimit"
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
	MetricsPort int           `long:"metrics-port" value-name:"PORT" description:"serve metrics at this port; 0 serves none"`
	HeldMB      int           `long:"held-mb" value-name:"MB" default:"0" description:"memory that requests and jobs of clients may hold until they are answered; 0: a sixth of the machine's"`
	BodyTime    time.Duration `long:"body-time" value-name:"DURATION" default:"0" description:"for a client to send a request's body; 0: 10s"`
	NodeFile    string        `long:"node-file" value-name:"FILE" description:"settings file of the platform; otherwise as its environment variable says"`
}

type hostedEntryCommand struct {
	hostedOptions

	LinkListen        string `long:"link-listen" value-name:"IP:PORT" description:"accept links here, where a forwarder has the address that others dial"`
	ClientConnections int    `long:"client-connections" value-name:"N" default:"0" description:"connections of clients; 0: as the machine's memory and descriptors allow"`
	MaxLinks          int    `long:"links" value-name:"N" default:"0" description:"links that other processes open; 0: a quarter of the machine's descriptors"`
	ShardEndpoints    int    `long:"shard-endpoints" value-name:"N" default:"0" description:"endpoints of a service on which one entry places tasks; 0 takes the built-in number"`
	Interference      string `long:"interference" value-name:"MODE" choice:"off" choice:"notice" choice:"keep-apart" default:"off" description:"tasks that slow each other down at one endpoint: off, notice (log which kinds do), keep-apart (and place them apart where there is room)"`
}

// Execute runs the entry until a signal.
func (c *hostedEntryCommand) Execute([]string) error {
	if c.ShardEndpoints < 0 {
		return usagef("--shard-endpoints %d is negative", c.ShardEndpoints)
	}
	if c.ClientConnections < 0 {
		return usagef("--client-connections %d is negative", c.ClientConnections)
	}
	if c.MaxLinks < 0 {
		return usagef("--links %d is negative", c.MaxLinks)
	}
	return c.run("entry", connlimit.Options{Clients: c.ClientConnections, Links: c.MaxLinks}, func(node platform.Node, p *hostedProcess) runner {
		return hostedentry.New(node, hostedentry.Options{
			LinkListen: c.LinkListen, ShardEndpoints: c.ShardEndpoints, Interference: dispatch.InterferenceMode(c.Interference),
		}, p.deps())
	})
}

type hostedAgentCommand struct{ hostedOptions }

// Execute runs the agent until a signal.
func (c *hostedAgentCommand) Execute([]string) error {
	return c.run("agent", connlimit.Options{}, func(node platform.Node, p *hostedProcess) runner {
		return hostedagent.New(node, p.deps())
	})
}

// runner is a process of a hosted deployment.
type runner interface {
	Run(stopping context.Context) error
	Reload(node platform.Node)
}

func (o *hostedOptions) run(role string, bounds connlimit.Options, build func(platform.Node, *hostedProcess) runner) error {
	if o.HeldMB < 0 {
		return usagef("--held-mb %d is negative", o.HeldMB)
	}
	if o.BodyTime < 0 {
		return usagef("--body-time %v is negative", o.BodyTime)
	}
	bounds.HeldBytes, bounds.BodyTime = int64(o.HeldMB)<<20, o.BodyTime
	file := o.NodeFile
	if file == "" {
		file = platform.NodeFile()
	}
	node, err := loadInitialSettings(file)
	if err != nil {
		return err
	}
	debug.SetGCPercent(hostedGCPercent)
	if node.MemoryMB > 0 {
		debug.SetMemoryLimit(connlimit.MemoryLimit(node.MemoryMB))
	}
	p, err := newHostedProcess(o.out, role, node, bounds)
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
