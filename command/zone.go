package command

import (
	"context"

	"bergamotwing.example/client"
	"bergamotwing.example/client/api"
)

const (
	zoneOutHelp = `Takes an availability zone out of service. No task starts there after
three seconds. A command whose answer is lost is sent again under one note
id; with --note you choose it, to be able to repeat the command yourself.

Examples:
$ bergamotwing zone out gent-noord --operators http://127.0.0.1:8081
$ bergamotwing zone out gent-noord --note gent-storm-1`
	zoneBackHelp = `Brings an availability zone back into service.

Examples:
$ bergamotwing zone back gent-noord
$ bergamotwing zone back gent-noord --note gent-storm-2`
	zoneListHelp = `Lists the availability zones.

Examples:
$ bergamotwing zone list
$ bergamotwing zone list --json`
)

func zoneCommands(out *output) []spec {
	return []spec{
		{name: "out", short: "Take a zone out of service", long: zoneOutHelp, run: &zoneCommand{out: out}},
		{name: "back", short: "Bring a zone back into service", long: zoneBackHelp, run: &zoneCommand{out: out, back: true}},
		{name: "list", short: "List the zones", long: zoneListHelp, run: &zoneListCommand{out: out}},
	}
}

type zoneCommand struct {
	out     *output
	back    bool
	Options operatorOptions
	Note    string `long:"note" value-name:"ID" description:"id of the note that the command writes"`
	Args    struct {
		Zone string `positional-arg-name:"ZONE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute takes the zone out of service or brings it back, and prints where the
// change is in force.
func (c *zoneCommand) Execute([]string) error {
	return c.Options.call(func(ctx context.Context, op *client.Operator) error {
		change := op.ZoneOut
		if c.back {
			change = op.ZoneBack
		}
		a, err := change(ctx, c.Args.Zone, c.Note)
		return reportNoteAnswer(c.out, c.Options.JSON, a, err)
	})
}

type zoneListCommand struct {
	out     *output
	Options operatorOptions
}

// Execute lists the zones.
func (c *zoneListCommand) Execute([]string) error {
	return c.Options.call(c.list)
}

func (c *zoneListCommand) list(ctx context.Context, op *client.Operator) error {
	zones, err := op.Zones(ctx)
	if err != nil {
		return err
	}
	if c.Options.JSON {
		return c.out.printJSON(zones)
	}
	c.out.printf("version %d\n\n", zones.Version)
	t := newTable("ZONE", "IN SERVICE", "AGENTS", "SLOTS", "NOTE")
	for _, z := range zones.Zones {
		t.add(z.Zone, yesNo(z.InService && !z.Held), z.Agents, z.Slots, zoneNote(z))
	}
	return t.write(c.out.stdout)
}

// zoneNote returns the NOTE column of a zone.
func zoneNote(z api.ZoneView) string {
	switch {
	case z.Held:
		return "held: the order is not durable yet"
	case !z.InService:
		return "out of service"
	case z.Agents == 0:
		return "no agents"
	}
	return ""
}
