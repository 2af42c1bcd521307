package settings

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"

	"bergamotwing.example/result"
	"bergamotwing.example/strictjson"
)

// UnmarshalJSON reads a duration from text such as "250ms".
func (d *Duration) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return result.Errorf(result.BadSettings, "must be %s", d.Describe())
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return result.Errorf(result.BadSettings, "must be %s", d.Describe())
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON writes a duration as text.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Describe implements strictjson.Describer.
func (d Duration) Describe() string { return `a duration in quotes such as "250ms" or "2s"` }

// report collects the problems of one file, at most one for each key.
type report struct {
	doc      *strictjson.Document
	problems []strictjson.Problem
}

// fail adds a problem of a key, unless failed reports one already.
func (r *report) fail(key, format string, args ...any) {
	if !r.failed(key) {
		r.problems = append(r.problems, r.doc.Problem(key, fmt.Sprintf(format, args...)))
	}
}

// failed reports whether a key, a key that encloses it or a key inside it has a
// problem.
func (r *report) failed(key string) bool {
	return slices.ContainsFunc(r.problems, func(p strictjson.Problem) bool {
		return within(key, p.Key) || within(p.Key, key)
	})
}

// within reports whether key is outer or a key inside it.
func within(key, outer string) bool {
	rest, ok := strings.CutPrefix(key, outer)
	return ok && (rest == "" || outer == "" || rest[0] == '.' || rest[0] == '[')
}

// error returns all problems in the order of the file, one per line.
func (r *report) error(file string) error {
	if len(r.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(r.problems, func(a, b strictjson.Problem) int { return cmp.Compare(a.Line, b.Line) })
	lines := make([]string, len(r.problems))
	for i, p := range r.problems {
		lines[i] = fmt.Sprintf("%s:%d: %s", file, p.Line, hideSecret(p))
	}
	return result.Errorf(result.BadSettings, "%s", strings.Join(lines, "\n"))
}

// hideSecret removes the value from a problem if the key may hold a secret.
func hideSecret(p strictjson.Problem) strictjson.Problem {
	name := strings.ToLower(p.Key[strings.LastIndexByte(p.Key, '.')+1:])
	if strings.HasSuffix(name, "secret") || strings.HasSuffix(name, "token") {
		p.Value = ""
	}
	return p
}

// decode decodes text into the struct that into points to, which holds the defaults,
// and checks every key by its tag.
func decode(text []byte, into any) *report {
	doc, problems := strictjson.Decode(text, into)
	r := &report{doc: doc, problems: problems}
	var invalid validator.ValidationErrors
	if err := rules().Struct(into); errors.As(err, &invalid) {
		for _, f := range invalid {
			_, key, _ := strings.Cut(f.Namespace(), ".")
			r.fail(key, "%s", explain(f, into, key))
		}
	}
	return r
}
