package command

import (
	"github.com/rotisserie/eris"

	"bergamotwing.example/command/internal/signals"
	"bergamotwing.example/entry"
	"bergamotwing.example/settings"
	"bergamotwing.example/telemetry"
)

const entryHelp = `Runs an entry, which takes jobs from callers and hands their tasks to
agents. SIGTERM and SIGINT stop it after its open jobs are answered. Logs go
to standard error as JSON lines.

Examples:
$ bergamotwing entry --settings examples/bannerstroom/entry.jsonc
$ bergamotwing entry --settings entry.jsonc --check-settings`

type entryCommand struct {
	out     *output
	Options processOptions
}

// Execute runs the entry until a signal.
func (c *entryCommand) Execute([]string) error {
	s, err := settings.LoadEntry(c.Options.Settings)
	if err != nil {
		return err
	}
	if c.Options.Check {
		c.out.printf("%s: good settings for entry %s in zone %s\n", c.Options.Settings, s.ID, s.Zone)
		return nil
	}
	return c.run(s)
}

func (c *entryCommand) run(s settings.Entry) error {
	log := telemetry.NewLog(c.out.stderr, s.LogLevel, "entry", s.ID, s.Zone)
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return err
	}
	e, err := entry.New(s, entry.Deps{Log: log, Metrics: metrics, Table: connectPlatform(s.Platform)})
	if err != nil {
		return err
	}
	stopping, _ := signals.Watch(false, recordSignal(log, metrics))
	return eris.Wrap(e.Run(stopping), "entry")
}
