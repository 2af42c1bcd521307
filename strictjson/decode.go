package strictjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// maxShownValue is how many bytes of a value a problem quotes at most.
const maxShownValue = 64

// decoder walks the parsed text and the destination type in parallel.
type decoder struct {
	text     []byte
	doc      *Document
	problems []Problem
}

func (d *decoder) decodeRoot(root hujson.Value, into any) {
	d.doc.places[""] = place{line: lineOf(d.text, root.StartOffset)}
	d.decode(root, reflect.ValueOf(into).Elem(), "")
}

// decode decodes v, which is at the path key, into dst.
func (d *decoder) decode(v hujson.Value, dst reflect.Value, key string) {
	d.record(v, key)
	if _, ok := dst.Addr().Interface().(json.Unmarshaler); ok {
		d.literal(v, dst, key)
		return
	}
	switch dst.Kind() {
	case reflect.Struct:
		d.object(v, dst, key)
	case reflect.Map:
		d.mapping(v, dst, key)
	case reflect.Slice:
		d.list(v, dst, key)
	case reflect.Pointer:
		elem := reflect.New(dst.Type().Elem())
		d.decode(v, elem.Elem(), key)
		dst.Set(elem)
	default:
		d.literal(v, dst, key)
	}
}

// record stores the line of a key and, for a single value, how it is written.
func (d *decoder) record(v hujson.Value, key string) {
	p := place{line: lineOf(d.text, v.StartOffset)}
	if lit, ok := v.Value.(hujson.Literal); ok {
		p.value = shorten(string(lit))
	}
	d.doc.places[key] = p
}

func (d *decoder) report(key, detail string) {
	d.problems = append(d.problems, d.doc.Problem(key, detail))
}

// reportMember reports a problem of a member without its value, which may be a
// secret under a misspelt key.
func (d *decoder) reportMember(v hujson.Value, key, detail string) {
	d.problems = append(d.problems, Problem{Line: lineOf(d.text, v.StartOffset), Key: key, Detail: detail})
}

func (d *decoder) object(v hujson.Value, dst reflect.Value, key string) {
	fields := fieldsOf(dst.Type())
	d.members(v, key, func(name, path string, value hujson.Value) {
		index, ok := fields[name]
		if !ok {
			d.reportMember(value, path, "unknown key")
			return
		}
		d.decode(value, dst.Field(index), path)
	})
}

func (d *decoder) mapping(v hujson.Value, dst reflect.Value, key string) {
	m := reflect.MakeMap(dst.Type())
	d.members(v, key, func(name, path string, value hujson.Value) {
		elem := reflect.New(dst.Type().Elem()).Elem()
		d.decode(value, elem, path)
		m.SetMapIndex(reflect.ValueOf(name), elem)
	})
	dst.Set(m)
}

// members calls each for every member of an object. It reports a name that occurs
// again and skips it.
func (d *decoder) members(v hujson.Value, key string, each func(name, path string, value hujson.Value)) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.report(key, "must be an object in braces")
		return
	}
	seen := make(map[string]bool, len(obj.Members))
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		path := join(key, name)
		if seen[name] {
			d.reportMember(m.Value, path, "the key is set twice")
			continue
		}
		seen[name] = true
		each(name, path, m.Value)
	}
}

func (d *decoder) list(v hujson.Value, dst reflect.Value, key string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.report(key, "must be a list in brackets")
		return
	}
	s := reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements))
	for i, elem := range arr.Elements {
		d.decode(elem, s.Index(i), key+"["+strconv.Itoa(i)+"]")
	}
	dst.Set(s)
}

func (d *decoder) literal(v hujson.Value, dst reflect.Value, key string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() == 'n' {
		d.report(key, "must be "+describe(dst))
		return
	}
	if err := json.Unmarshal(lit, dst.Addr().Interface()); err != nil {
		d.report(key, "must be "+describe(dst))
	}
}

// Describer is a type that describes its own values in problems.
type Describer interface {
	// Describe returns what a value looks like; it completes "must be ...".
	Describe() string
}

func describe(dst reflect.Value) string {
	if d, ok := dst.Interface().(Describer); ok {
		return d.Describe()
	}
	switch dst.Kind() {
	case reflect.String:
		return "text in quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		return "a whole number from 0 on"
	default:
		return "a whole number"
	}
}

// fieldsOf maps the JSON names of a struct's fields to their indices.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if name := FieldName(t.Field(i)); name != "" {
			fields[name] = i
		}
	}
	return fields
}

// FieldName returns the JSON name of a struct's field, or "" if it has none.
func FieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

func shorten(s string) string {
	if len(s) <= maxShownValue {
		return s
	}
	return fmt.Sprintf("%s... (%d bytes)", strings.ToValidUTF8(s[:maxShownValue], ""), len(s))
}
