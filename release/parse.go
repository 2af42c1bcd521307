package release

import (
	"fmt"
	"strings"

	"bergamotwing.example/result"
	"bergamotwing.example/strictjson"
)

// ParseNote reads a note from JSON with comments and checks everything that
// does not depend on the configuration in force. Errors have code NoteInvalid
// and state the line, the key and the allowed range for every problem.
func ParseNote(text []byte) (Note, error) {
	var n Note
	doc, problems := strictjson.Decode(text, &n)
	if len(problems) == 0 {
		for _, p := range n.problems() {
			problems = append(problems, doc.Problem(p.key, p.detail))
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
