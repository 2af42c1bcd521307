package command

import "github.com/jessevdk/go-flags"

// spec describes a command, or a group of commands when it has subcommands.
type spec struct {
	name        string
	short, long string
	run         flags.Commander
	sub         []spec
}

// group is a command that only has subcommands.
type group struct{}

func commands(out *output) []spec {
	return []spec{
		{name: "entry", short: "Run an entry", long: entryHelp, run: &entryCommand{out: out}},
		{name: "agent", short: "Run an agent beside an endpoint", long: agentHelp, run: &agentCommand{out: out}},
		{name: "hosted", short: "Run the processes of a deployment on the hosting platform", sub: hostedCommands(out)},
		{name: "try", short: "Try the whole path in one process", long: tryHelp, run: &tryCommand{out: out}},
		{name: "note", short: "Check, apply and show release notes", sub: noteCommands(out)},
		{name: "zone", short: "Take availability zones out of service and back", sub: zoneCommands(out)},
		{name: "status", short: "Show the deployment as an entry sees it", long: statusHelp, run: &statusCommand{out: out}},
		{name: "job", short: "Submit, show and cancel jobs", sub: jobCommands(out)},
		{name: "ticket", short: "Take tickets", long: ticketHelp, run: &ticketCommand{out: out}},
		{name: "load", short: "Put a deployment under load and measure it", long: loadHelp, run: &loadCommand{out: out}},
		{name: "codes", short: "Print the table of result codes", long: codesHelp, run: &codesCommand{out: out}},
		{name: "version", short: "Print the version", run: &versionCommand{out: out}},
		{name: "standin", short: "Run stand-ins for trials", sub: standinCommands(out)},
	}
}

func addCommands(parent *flags.Command, specs []spec) error {
	for _, s := range specs {
		var data any = &group{}
		if s.run != nil {
			data = s.run
		}
		long := s.long
		if long == "" {
			long = s.short + "."
		}
		cmd, err := parent.AddCommand(s.name, s.short, long, data)
		if err != nil {
			return err
		}
		if err := addCommands(cmd, s.sub); err != nil {
			return err
		}
	}
	return nil
}
