package command

import (
	"github.com/rotisserie/eris"

	"bergamotwing.example/agent"
	"bergamotwing.example/command/internal/signals"
	"bergamotwing.example/settings"
	"bergamotwing.example/telemetry"
)

const agentHelp = `Runs an agent, which starts tasks at the endpoint beside it. SIGTERM and
SIGINT stop it after its running tasks are answered. Logs go to standard
error as JSON lines.

Examples:
$ bergamotwing agent --settings examples/bannerstroom/agent.jsonc
$ bergamotwing agent --settings agent.jsonc --check-settings`

type agentCommand struct {
	out     *output
	Options processOptions
}

// Execute runs the agent until a signal.
func (c *agentCommand) Execute([]string) error {
	s, err := settings.LoadAgent(c.Options.Settings)
	if err != nil {
		return err
	}
	if c.Options.Check {
		c.out.printf("%s: good settings for agent %s in zone %s\n", c.Options.Settings, s.ID, s.Zone)
		return nil
	}
	return c.run(s)
}

func (c *agentCommand) run(s settings.Agent) error {
	log := telemetry.NewLog(c.out.stderr, s.LogLevel, "agent", s.ID, s.Zone)
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return err
	}
	a, err := agent.New(s, agent.Deps{Log: log, Metrics: metrics, Table: connectPlatform(s.Platform)})
	if err != nil {
		return err
	}
	stopping, _ := signals.Watch(false, recordSignal(log, metrics))
	return eris.Wrap(a.Run(stopping), "agent")
}
