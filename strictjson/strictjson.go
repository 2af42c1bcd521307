// Package strictjson decodes JSON with comments into structs and reports every
// problem with its line and key: unknown keys, keys set twice and values of the
// wrong type.
//
// It checks types only. Callers check ranges, and get the line of a key from the
// Document.
package strictjson

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxBytes is the largest size of a text.
const MaxBytes = 256 << 10

// maxDepth is the deepest nesting of a text, counted in open brackets.
const maxDepth = 100

// Problem is one thing that is wrong in a text.
type Problem struct {
	Line   int    // from 1
	Key    string // path such as limits.tasks or peers[2]; empty for the whole text
	Value  string // as written; empty if it was not a single value
	Detail string
}

// String returns the problem as one line without the line number.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.Key)
	if p.Value != "" {
		fmt.Fprintf(&b, " = %s", p.Value)
	}
	if b.Len() > 0 {
		b.WriteString(": ")
	}
	b.WriteString(p.Detail)
	return b.String()
}

// Document holds the lines and values of the keys of a decoded text.
type Document struct {
	places map[string]place // by key path; "" is the whole text
}

// place says where a key is set in the text and to what.
type place struct {
	line  int
	value string // as written; empty if it is not a single value
}

// Decode decodes text into the struct that into points to. Fields whose keys are
// not in the text keep their values. It returns all problems that it found.
func Decode(text []byte, into any) (*Document, []Problem) {
	doc := &Document{places: make(map[string]place)}
	if len(text) > MaxBytes {
		return doc, []Problem{{Line: 1, Detail: fmt.Sprintf("a text of %d bytes is over %d", len(text), MaxBytes)}}
	}
	if line := tooDeep(text); line > 0 {
		return doc, []Problem{{Line: line, Detail: fmt.Sprintf("nested deeper than %d", maxDepth)}}
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return doc, []Problem{syntaxProblem(err)}
	}
	d := decoder{text: text, doc: doc}
	d.decodeRoot(root, into)
	return doc, d.problems
}

// Problem returns a problem of a key with its line and its value as written. A key
// that is not in the text gets the line of the nearest key that encloses it.
func (d *Document) Problem(key, detail string) Problem {
	at, value := key, ""
	if p, ok := d.places[key]; ok {
		value = p.value
	}
	for {
		if p, ok := d.places[at]; ok {
			return Problem{Line: p.line, Key: key, Value: value, Detail: detail}
		}
		if at == "" {
			return Problem{Line: 1, Key: key, Detail: detail}
		}
		at = at[:max(strings.LastIndexAny(at, ".["), 0)]
	}
}

// syntaxProblem converts a parser's error, whose message contains the line.
func syntaxProblem(err error) Problem {
	line, column := 1, 1
	text := err.Error()
	if n, _ := fmt.Sscanf(text, "hujson: line %d, column %d:", &line, &column); n == 2 {
		_, text, _ = strings.Cut(strings.TrimPrefix(text, "hujson: "), ": ")
	}
	return Problem{Line: line, Detail: fmt.Sprintf("column %d: %s", column, text)}
}

// tooDeep returns the line where brackets nest deeper than maxDepth, or 0. It also
// counts brackets in strings and comments: many opening ones refuse a text that
// nests less deep, many closing ones let pass one that nests deeper. No one writes
// such texts.
func tooDeep(text []byte) int {
	depth := 0
	for i, c := range text {
		switch c {
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > maxDepth {
			return lineOf(text, i)
		}
	}
	return 0
}

func lineOf(text []byte, offset int) int {
	return 1 + bytes.Count(text[:min(offset, len(text))], []byte("\n"))
}
