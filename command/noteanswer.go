package command

import (
	"strings"

	"bergamotwing.example/client/api"
	"bergamotwing.example/result"
)

// reportNoteAnswer prints the answer to a note. An accepted note that is not
// durable yet, or that a majority of the entries has not acknowledged yet, returns
// an error, which sets the exit code.
func reportNoteAnswer(out *output, asJSON bool, a *api.NoteAnswer, err error) error {
	if a == nil {
		return err
	}
	if asJSON {
		if jsonErr := out.printJSON(a); jsonErr != nil {
			return jsonErr
		}
	} else {
		writeNoteAnswer(out, a)
	}
	if err == nil && a.Code != result.OK {
		return &result.Error{Code: a.Code, Detail: result.Lookup(a.Code).Sentence}
	}
	return err
}

func writeNoteAnswer(out *output, a *api.NoteAnswer) {
	out.printf("note %s: %s, version %d\n", a.NoteID, a.Code, a.Version)
	if a.Detail != "" {
		out.printf("%s\n", a.Detail)
	}
	if a.ConflictsAt != "" {
		out.printf("note %s came first: read it with 'bergamotwing note show %s'\n", a.ConflictsAt, a.ConflictsAt)
	}
	if len(a.InForce) > 0 {
		out.printf("in force at  %s\n", strings.Join(a.InForce, ", "))
	}
	if len(a.Missing) > 0 {
		out.printf("MISSING at   %s\n", strings.Join(a.Missing, ", "))
	}
}
