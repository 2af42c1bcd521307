// Package command holds the commands of the one binary: the processes of a
// deployment and the tools of its operators and callers, one file per command.
package command

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/jessevdk/go-flags"

	"bergamotwing.example/client"
	"bergamotwing.example/command/internal/signals"
)

const (
	helpHead = "Bergamotwing dispatches sub-second tasks to endpoints in several\navailability zones.\n\nExit codes:\n"
	helpFoot = "\nDocs: README.md, docs/DESIGN.md, docs/CODES.md, docs/GLOSSARY.md"
)

// output is where a command writes.
type output struct {
	stdout, stderr io.Writer
}

// Run runs the command line in args, without the program's name, and returns
// the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	out := &output{stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser("bergamotwing", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longHelp()
	parser.CommandHandler = execute
	if err := addCommands(parser.Command, commands(out)); err != nil {
		return out.report(err)
	}
	rest, err := parser.ParseArgs(args)
	if err == nil && len(rest) > 0 {
		err = usagef("unexpected argument %q", rest[0])
	}
	return out.report(err)
}

// server is a command that serves until a signal and handles signals itself.
type server interface {
	flags.Commander
	handlesSignals()
}

// execute runs a command. Commands that are not servers get the default effects
// of signals.
func execute(command flags.Commander, args []string) error {
	if _, ok := command.(server); !ok {
		signals.Default()
	}
	if command == nil {
		return nil
	}
	return command.Execute(args)
}

func longHelp() string {
	var text strings.Builder
	text.WriteString(helpHead)
	for code, meaning := range exitMeanings {
		_, _ = fmt.Fprintf(&text, "%d  %s\n", code, meaning)
	}
	return text.String() + helpFoot
}

// report prints an error and returns its exit code.
func (o *output) report(err error) int {
	var parse *flags.Error
	if errors.As(err, &parse) && parse.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(o.stdout, parse.Message)
		return ExitOK
	}
	code := exitCode(err)
	if err == nil {
		return code
	}
	_, _ = fmt.Fprintln(o.stderr, "bergamotwing:", err)
	var unknown *client.UnknownError
	if errors.As(err, &unknown) && unknown.Ticket != "" {
		_, _ = fmt.Fprintln(o.stderr, "Submit the same job again with --ticket", unknown.Ticket)
	}
	if code == ExitUsage {
		_, _ = fmt.Fprintln(o.stderr, "Try: bergamotwing --help, or bergamotwing COMMAND --help")
	}
	return code
}
