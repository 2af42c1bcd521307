// Package command holds the commands of the one binary: the processes of a
// deployment and the tools of its operators and callers, one file a command.
package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"bergamotwing.example/client"
)

const longHelp = `Bergamotwing dispatches sub-second tasks to endpoints in several
availability zones.

Exit codes:
0  done
1  failed, or the job failed and some of its tasks may have run
2  wrong use of the command line
3  not run: nothing was done and nothing will be
4  outcome unknown: send the same ticket or note id again
5  conflict: another note came first, or an id was used before
6  a settings file, note file or job file is wrong
7  accepted, but not confirmed everywhere yet

Docs: README.md, docs/DESIGN.md, docs/CODES.md, docs/GLOSSARY.md`

// output is where a command writes.
type output struct {
	stdout, stderr io.Writer
}

// Run runs the command line in args, without the program's name, and returns
// the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	out := &output{stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser("bergamotwing", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longHelp
	if err := addCommands(parser.Command, commands(out)); err != nil {
		return out.report(err)
	}
	rest, err := parser.ParseArgs(args)
	if err == nil && len(rest) > 0 {
		err = usagef("unexpected argument %q", rest[0])
	}
	return out.report(err)
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
