// Package coltsjsonc reads JSON with comments into Go structs and reports every
// problem with its line, what was expected, and a near miss for unknown names.
package coltsjsonc

// The standard decoder stops at the first error and knows no lines. People fix
// a settings file or a document faster when one run names all that is wrong, so
// the text's syntax tree is walked here beside the struct's type.

import (
	"bytes"
	"encoding"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/agext/levenshtein"
	"github.com/tailscale/hujson"
)

// Tag is the struct tag that names a field in the text.
const Tag = "json"

// maxDistance is how many letters a near miss may differ in.
const maxDistance = 4

// Problem is one thing that is wrong with a text.
type Problem struct {
	// Line counts from 1.
	Line int
	// Path leads to the value, as in "entry/caller-address".
	Path   string
	Reason string
}

// String returns line, path and reason.
func (p Problem) String() string {
	if p.Path == "" {
		return fmt.Sprintf("line %d: %s", p.Line, p.Reason)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Reason)
}

// Decode reads text into the struct that target points to. Fields that the text
// does not name keep their values. With a problem, target is partly filled and
// must not be used.
func Decode(text []byte, target any) []Problem {
	value, err := hujson.Parse(text)
	if err != nil {
		return []Problem{{Line: lineOfSyntaxError(text, err), Reason: "is not JSON with comments: " + err.Error()}}
	}
	d := &decoder{text: text}
	d.decode(value, reflect.ValueOf(target).Elem(), "")
	return d.problems
}

// LineOf returns the line on which the value at a path stands, or 0.
func LineOf(text []byte, path string) int {
	value, err := hujson.Parse(text)
	if err != nil {
		return 0
	}
	found := value.Find("/" + strings.TrimPrefix(path, "/"))
	if found == nil {
		return 0
	}
	return lineAt(text, found.StartOffset)
}

func lineOfSyntaxError(text []byte, err error) int {
	var line int
	_, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d", &line)
	if scanErr != nil {
		return lineAt(text, len(text))
	}
	return line
}

func lineAt(text []byte, offset int) int {
	return 1 + bytes.Count(text[:min(offset, len(text))], []byte("\n"))
}

type decoder struct {
	text     []byte
	problems []Problem
}

func (d *decoder) problem(v hujson.Value, path, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		Line:   lineAt(d.text, v.StartOffset),
		Path:   path,
		Reason: fmt.Sprintf(format, args...),
	})
}

// decode fills to from v, by the kind of to.
func (d *decoder) decode(v hujson.Value, to reflect.Value, path string) {
	if to.Type() == reflect.TypeFor[time.Duration]() {
		d.decodeDuration(v, to, path)
		return
	}
	if u, ok := to.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(v, u, path)
		return
	}
	switch to.Kind() {
	case reflect.Struct:
		d.decodeStruct(v, to, path)
	case reflect.Slice:
		d.decodeSlice(v, to, path)
	case reflect.Map:
		d.decodeMap(v, to, path)
	case reflect.String:
		if s, ok := d.stringOf(v, path, "a string"); ok {
			to.SetString(s)
		}
	case reflect.Bool:
		d.decodeBool(v, to, path)
	case reflect.Int, reflect.Int64:
		d.decodeInt(v, to, path)
	case reflect.Float64:
		d.decodeFloat(v, to, path)
	default:
		d.problem(v, path, "can't be set from a text")
	}
}

func (d *decoder) decodeStruct(v hujson.Value, to reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.problem(v, path, "is %s, expected an object", kindOf(v))
		return
	}
	fields := fieldsOf(to.Type())
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := literalString(member.Name)
		if seen[name] {
			d.problem(member.Name, join(path, name), "stands more than once")
			continue
		}
		seen[name] = true
		i, known := fields[name]
		if !known {
			d.problem(member.Name, join(path, name), "is unknown%s", Suggest(name, fieldNames(to.Type())))
			continue
		}
		d.decode(member.Value, to.Field(i), join(path, name))
	}
}

func (d *decoder) decodeSlice(v hujson.Value, to reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.problem(v, path, "is %s, expected a list", kindOf(v))
		return
	}
	list := reflect.MakeSlice(to.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		d.decode(element, list.Index(i), fmt.Sprintf("%s/%d", path, i))
	}
	to.Set(list)
}

func (d *decoder) decodeMap(v hujson.Value, to reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.problem(v, path, "is %s, expected an object", kindOf(v))
		return
	}
	m := reflect.MakeMapWithSize(to.Type(), len(object.Members))
	for _, member := range object.Members {
		name := literalString(member.Name)
		element := reflect.New(to.Type().Elem()).Elem()
		d.decode(member.Value, element, join(path, name))
		m.SetMapIndex(reflect.ValueOf(name).Convert(to.Type().Key()), element)
	}
	to.Set(m)
}

func (d *decoder) decodeDuration(v hujson.Value, to reflect.Value, path string) {
	s, ok := d.stringOf(v, path, `a duration such as "250ms" or "5s"`)
	if !ok {
		return
	}
	span, err := time.ParseDuration(s)
	if err != nil {
		d.problem(v, path, `is %q, expected a duration such as "250ms" or "5s"`, s)
		return
	}
	to.SetInt(int64(span))
}

func (d *decoder) decodeText(v hujson.Value, to encoding.TextUnmarshaler, path string) {
	expected := expectedText(to)
	s, ok := d.stringOf(v, path, expected)
	if !ok {
		return
	}
	if err := to.UnmarshalText([]byte(s)); err != nil {
		d.problem(v, path, "is %q, expected %s", s, expected)
	}
}

// expectedText says in words what a text type looks like.
func expectedText(to encoding.TextUnmarshaler) string {
	switch fmt.Sprintf("%T", to) {
	case "*netip.AddrPort":
		return `an address and port such as "127.0.0.1:8080"`
	case "*netip.Prefix":
		return `a network such as "10.0.0.0/8"`
	case "*coltsidentity.Digest":
		return "64 hexadecimal digits"
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", to), "*")
}

func (d *decoder) stringOf(v hujson.Value, path, expected string) (string, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.problem(v, path, "is %s, expected %s", kindOf(v), expected)
		return "", false
	}
	return literal.String(), true
}

func (d *decoder) decodeBool(v hujson.Value, to reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		d.problem(v, path, "is %s, expected true or false", kindOf(v))
		return
	}
	to.SetBool(literal.Bool())
}

func (d *decoder) decodeInt(v hujson.Value, to reflect.Value, path string) {
	var n int64
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		d.problem(v, path, "is %s, expected a whole number", kindOf(v))
		return
	}
	_, err := fmt.Sscanf(string(literal), "%d", &n)
	if err != nil || fmt.Sprint(n) != string(literal) {
		d.problem(v, path, "is %s, expected a whole number", literal)
		return
	}
	to.SetInt(n)
}

func (d *decoder) decodeFloat(v hujson.Value, to reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		d.problem(v, path, "is %s, expected a number", kindOf(v))
		return
	}
	to.SetFloat(literal.Float())
}

// kindOf says in words what a value is.
func kindOf(v hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 't', 'f':
		return "a truth value"
	}
	return "null"
}

func literalString(v hujson.Value) string {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "/" + name
}

// fieldsOf returns the index of each field by its name in the text.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get(Tag), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

func fieldNames(t reflect.Type) []string {
	fields := fieldsOf(t)
	names := make([]string, 0, len(fields))
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get(Tag), ",")
		if _, ok := fields[name]; ok {
			names = append(names, name)
		}
	}
	return names
}

// Suggest returns `; did you mean "x"?` for the known name that is nearest to an
// unknown one, or nothing if none is near.
func Suggest(name string, known []string) string {
	best := ""
	bestDistance := maxDistance + 1
	for _, k := range known {
		distance := levenshtein.Distance(name, k, nil)
		if distance < bestDistance {
			best, bestDistance = k, distance
		}
	}
	if best == "" || bestDistance >= len(name) {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}
