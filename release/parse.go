package release

import (
	"fmt"
	"strings"

	"bergamotwing.example/result"
	"bergamotwing.example/strictjson"
)

// ParseNote reads a note from JSON with comments and checks everything that
// does not depend on the configuration in force. Errors have code NoteInvalid
// and name line, key and the allowed range of every fault.
func ParseNote(text []byte) (Note, error) {
	var n Note
	doc, problems := strictjson.Decode(text, &n)
	if len(problems) == 0 {
		for _, f := range n.faults() {
			problems = append(problems, doc.Problem(f.key, f.detail))
		}
	}
	if len(problems) == 0 {
		return n, nil
	}
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = fmt.Sprintf("line %d: %s", p.Line, p)
	}
	return Note{}, result.Errorf(result.NoteInvalid, "%s", strings.Join(lines, "; "))
}
