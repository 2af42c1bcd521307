package command

import (
	"context"
	"fmt"
	"strings"

	"bergamotwing.example/client"
	"bergamotwing.example/client/api"
)

const (
	noteCheckHelp = `Checks the form of a release note without sending it.

Example:
$ bergamotwing note check note.jsonc`
	noteApplyHelp = `Applies a release note. Its id makes the command idempotent: after an
unknown outcome, apply the same file again.

Examples:
$ bergamotwing note apply note.jsonc --operators http://127.0.0.1:8081
$ bergamotwing note apply - < note.jsonc`
	noteShowHelp = `Shows a release note and where it is in force.

Example:
$ bergamotwing note show spring-12`
	noteListHelp = `Lists the release notes, newest first.

Examples:
$ bergamotwing note list
$ bergamotwing note list --json`
)

func noteCommands(out *output) []spec {
	return []spec{
		{name: "check", short: "Check a note's form", long: noteCheckHelp, run: &noteCheckCommand{out: out}},
		{name: "apply", short: "Apply a note", long: noteApplyHelp, run: &noteApplyCommand{out: out}},
		{name: "show", short: "Show a note", long: noteShowHelp, run: &noteShowCommand{out: out}},
		{name: "list", short: "List the notes", long: noteListHelp, run: &noteListCommand{out: out}},
	}
}

// noteFileArg is the argument of commands that read a note.
type noteFileArg struct {
	File string `positional-arg-name:"FILE" description:"the note, JSON with comments; - is standard input"`
}

type noteApplyCommand struct {
	out     *output
	Options operatorOptions
	Args    noteFileArg `positional-args:"yes" required:"yes"`
}

// Execute checks the note's form, applies it and prints where it is in force.
func (c *noteApplyCommand) Execute([]string) error {
	text, _, err := readNote(c.Args.File)
	if err != nil {
		return err
	}
	return c.Options.call(func(ctx context.Context, op *client.Operator) error {
		a, err := op.ApplyNote(ctx, text)
		return reportNoteAnswer(c.out, c.Options.JSON, a, err)
	})
}

type noteShowCommand struct {
	out     *output
	Options operatorOptions
	Args    struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints one note.
func (c *noteShowCommand) Execute([]string) error {
	return c.Options.call(func(ctx context.Context, op *client.Operator) error {
		v, err := op.Note(ctx, c.Args.ID)
		if err != nil {
			return err
		}
		if !c.Options.JSON {
			c.out.printf("version %d, in force at %s\n", v.Version, listOrNone(v.InForce))
			c.out.printf("missing at %s\n\n", listOrNone(v.Missing))
			return c.out.printJSON(v.Note)
		}
		return c.out.printJSON(v)
	})
}

type noteListCommand struct {
	out     *output
	Options operatorOptions
}

// Execute lists the notes.
func (c *noteListCommand) Execute([]string) error {
	return c.Options.call(func(ctx context.Context, op *client.Operator) error {
		notes, err := op.Notes(ctx)
		if err != nil {
			return err
		}
		if c.Options.JSON {
			return c.out.printJSON(notes)
		}
		t := newTable("VERSION", "ID", "BY", "TEXT", "NOTE")
		for _, v := range notes.Notes {
			t.add(v.Version, v.Note.ID, v.Note.By, v.Note.Text, missingNote(v))
		}
		return t.write(c.out.stdout)
	})
}

// missingNote returns the NOTE column of a release note: where it is not in force.
func missingNote(v api.NoteView) string {
	if len(v.Missing) == 0 {
		return ""
	}
	return fmt.Sprintf("missing at %d: %s", len(v.Missing), strings.Join(v.Missing, ", "))
}

func listOrNone(ids []string) string {
	if len(ids) == 0 {
		return "none"
	}
	return strings.Join(ids, ", ")
}
