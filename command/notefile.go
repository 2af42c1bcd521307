package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/tailscale/hujson"

	"bergamotwing.example/release"
	"bergamotwing.example/result"
)

type noteCheckCommand struct {
	out  *output
	JSON bool        `long:"json" description:"print the note as plain JSON"`
	Args noteFileArg `positional-args:"yes" required:"yes"`
}

// Execute reads the note and prints how many things it adds, changes and withdraws.
func (c *noteCheckCommand) Execute([]string) error {
	_, note, err := readNote(c.Args.File)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.out.printJSON(note)
	}
	c.out.printf("note %s, written against version %d\n\n", note.ID, note.WrittenAgainst)
	t := newTable("", "ADDED", "CHANGED", "WITHDRAWN")
	t.add("services", len(note.Services.Add), len(note.Services.Change), len(note.Services.Withdraw))
	t.add("zones", len(note.Zones.Add), len(note.Zones.Change), len(note.Zones.Withdraw))
	t.add("teams", len(note.Teams.Add), len(note.Teams.Change), len(note.Teams.Withdraw))
	return t.write(c.out.stdout)
}

// readNote returns the text of a note and the decoded note. Errors have code
// NoteInvalid.
func readNote(file string) ([]byte, release.Note, error) {
	var note release.Note
	text, err := readFile(file)
	if err != nil {
		return nil, note, result.Errorf(result.NoteInvalid, "%v", err)
	}
	if err := decodeCommented(text, &note); err != nil {
		return nil, note, result.Errorf(result.NoteInvalid, "%s: %v", file, err)
	}
	if note.ID == "" {
		return nil, note, result.Errorf(result.NoteInvalid, "%s: the note has no id", file)
	}
	return text, note, nil
}

// decodeCommented decodes JSON with comments and refuses unknown keys. The
// error names the line.
func decodeCommented(text []byte, into any) error {
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		line := 1 + bytes.Count(plain[:dec.InputOffset()], []byte("\n"))
		return fmt.Errorf("line %d: %w", line, err)
	}
	return nil
}

// readFile reads a file, or standard input for "-".
func readFile(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file) //nolint:gosec // the operator names the file
}
