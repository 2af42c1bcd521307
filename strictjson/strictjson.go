// Package strictjson decodes JSON with comments into structs and reports every
// problem with its line and key: unknown keys, keys set twice and values of the
// wrong type.
//
// It checks types only; ranges are checked by its callers, which find the line
// of a key in the Document.
package strictjson

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxBytes bounds a text.
const MaxBytes = 256 << 10

// maxDepth bounds how deep a text may nest, as counted by its open brackets.
const maxDepth = 100

// Problem is one fault of a text.
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

// Document is a decoded text.
type Document struct {
	places map[string]place
}

type place struct {
	line  int
	value string
}

// Decode decodes text into the struct that into points to. Keys that the text
// does not name keep their values. It returns all problems that it found.
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

// Problem returns a problem of a key with its line and its value as written.
// A key that the text does not name has the line of the nearest one around it.
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

// syntaxProblem takes the line out of the parser's message.
func syntaxProblem(err error) Problem {
	line, column := 1, 1
	text := err.Error()
	if n, _ := fmt.Sscanf(text, "hujson: line %d, column %d:", &line, &column); n == 2 {
		_, text, _ = strings.Cut(strings.TrimPrefix(text, "hujson: "), ": ")
	}
	return Problem{Line: line, Detail: fmt.Sprintf("column %d: %s", column, text)}
}

// tooDeep returns the line where brackets nest too deep, or 0. It counts
// brackets in strings and comments too, so it may only err on the strict side
// for texts that no one writes.
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
