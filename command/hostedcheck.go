package command

import (
	"time"

	"bergamotwing.example/platform"
	"bergamotwing.example/platform/configcheck"
	"bergamotwing.example/result"
)

const hostedCheckHelp = `Checks a configuration in the hosting platform's format without sending
it: errors, entries that can never match, limits that contradict each other,
and what differs from the configuration in force. Nothing is written. Exit
code 6 if there is an error.

Examples:
$ bergamotwing hosted check config.json
$ bergamotwing hosted check config.json --in-force old.json --json
$ bergamotwing hosted check - --store 10.0.0.9:8169 < config.json`

type hostedCheckCommand struct {
	out     *output
	InForce string        `long:"in-force" value-name:"FILE" description:"the configuration in force"`
	Store   string        `long:"store" value-name:"HOST:PORT" description:"read the configuration in force from the platform's store"`
	Timeout time.Duration `long:"timeout" default:"15s" description:"give up reading the store after this time"`
	JSON    bool          `long:"json" description:"print JSON"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"the configuration; - is standard input"`
	} `positional-args:"yes" required:"yes"`
}

// configReport is what the command prints as JSON.
type configReport struct {
	Findings []configcheck.Finding `json:"findings"`
	// Compared is the version in force; null: the configuration was not compared.
	Compared *int64               `json:"compared"`
	Changes  []configcheck.Change `json:"changes"`
}

// Execute prints what is found in the configuration.
func (c *hostedCheckCommand) Execute([]string) error {
	text, err := readFile(c.Args.File)
	if err != nil {
		return result.Errorf(result.BadSettings, "%v", err)
	}
	inForce, err := c.readInForce()
	if err != nil {
		return err
	}
	report := configReport{Findings: []configcheck.Finding{}, Changes: []configcheck.Change{}}
	if inForce != nil {
		version, err := configcheck.Version(inForce)
		if err != nil {
			return result.Errorf(result.BadSettings, "in force: %v", err)
		}
		report.Compared = &version
		if changes, err := configcheck.Diff(inForce, text); err == nil { // otherwise the check says what is wrong
			report.Changes = append(report.Changes, changes...)
		}
	}
	report.Findings = append(report.Findings, configcheck.Check(text, report.Compared)...)
	if err := c.print(report); err != nil {
		return err
	}
	errors := 0
	for _, f := range report.Findings {
		if f.Level == configcheck.Error {
			errors++
		}
	}
	if errors > 0 {
		return result.Errorf(result.BadSettings, "%s is not to be sent, errors: %d", c.Args.File, errors)
	}
	return nil
}

// readInForce returns the configuration in force, or nil if the command names none or the
// store has none.
func (c *hostedCheckCommand) readInForce() ([]byte, error) {
	switch {
	case c.InForce != "" && c.Store != "":
		return nil, usagef("give --in-force or --store, not both")
	case c.InForce != "":
		text, err := readFile(c.InForce)
		if err != nil {
			return nil, result.Errorf(result.BadSettings, "%v", err)
		}
		return text, nil
	case c.Store != "":
		if err := platform.CheckAddr(c.Store); err != nil {
			return nil, usagef("--store %s: %v", c.Store, err)
		}
		ctx, cancel := within(c.Timeout)
		defer cancel()
		text, _, err := platform.NewStore(c.Store).ReadConfig(ctx)
		return text, err
	}
	return nil, nil
}

func (c *hostedCheckCommand) print(report configReport) error {
	if c.JSON {
		return c.out.printJSON(report)
	}
	for _, f := range report.Findings {
		c.out.printf("%s:%d: %v\n", c.Args.File, f.Line, f)
	}
	switch {
	case report.Compared == nil:
		c.out.printf("not compared: no configuration in force is known\n")
	case len(report.Changes) == 0:
		c.out.printf("no difference from version %d\n", *report.Compared)
	default:
		c.out.printf("differences from version %d:\n", *report.Compared)
		for _, change := range report.Changes {
			c.out.printf("  %v\n", change)
		}
	}
	return nil
}
