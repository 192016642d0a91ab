// Package coltsjsonc decodes JSON with comments into Go structs. It reports every
// problem with its line and what was expected, and suggests similar names for unknown
// ones.
package coltsjsonc

// The decoder of encoding/json stops at the first error and reports no line numbers.
// A settings file or document can be fixed faster if one run reports every problem,
// so this decoder walks the syntax tree of the text together with the type of the
// target struct.

import (
	"bytes"
	"encoding"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/agext/levenshtein"
	"github.com/tailscale/hujson"
)

// Tag is the key of the struct tag that holds a field's name in the text.
const Tag = "json"

// maxSuggestionDistance is the largest Levenshtein distance between an unknown name and
// a name suggested for it.
const maxSuggestionDistance = 4

// Problem is one error in a text.
type Problem struct {
	// Line is the line number; the first line is 1.
	Line int
	// Path locates the value, for example "entry/caller-address". It is empty for the
	// whole text.
	Path   string
	Reason string
}

// String returns the line, the path and the reason.
func (p Problem) String() string {
	if p.Path == "" {
		return fmt.Sprintf("line %d: %s", p.Line, p.Reason)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Reason)
}

// Decode decodes text into the struct that target points to. Fields that don't occur
// in the text keep their values. If Decode returns any problems, target is only partly
// filled and must not be used.
func Decode(text []byte, target any) []Problem {
	value, err := hujson.Parse(text)
	if err != nil {
		return []Problem{{Line: lineOfSyntaxError(text, err), Reason: "is not JSON with comments: " + err.Error()}}
	}
	d := &decoder{text: text}
	d.decode(value, reflect.ValueOf(target).Elem(), "")
	return d.problems
}

// LineOf returns the line on which the value at path starts. It returns 0 if there is
// no such value or text is invalid.
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

// lineOfSyntaxError returns the line given in an error of hujson.Parse, or the last line
// if the error has none.
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

// addProblem records a problem on the line on which v starts.
func (d *decoder) addProblem(v hujson.Value, path, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		Line:   lineAt(d.text, v.StartOffset),
		Path:   path,
		Reason: fmt.Sprintf(format, args...),
	})
}

// decode sets dst to the value of v according to the type of dst.
func (d *decoder) decode(v hujson.Value, dst reflect.Value, path string) {
	if dst.Type() == reflect.TypeFor[time.Duration]() {
		d.decodeDuration(v, dst, path)
		return
	}
	if u, ok := dst.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(v, u, path)
		return
	}
	switch dst.Kind() {
	case reflect.Struct:
		d.decodeStruct(v, dst, path)
	case reflect.Slice:
		d.decodeSlice(v, dst, path)
	case reflect.Map:
		d.decodeMap(v, dst, path)
	case reflect.String:
		if s, ok := d.decodeString(v, path, "a string"); ok {
			dst.SetString(s)
		}
	case reflect.Bool:
		d.decodeBool(v, dst, path)
	case reflect.Int, reflect.Int64:
		d.decodeInt(v, dst, path)
	case reflect.Float64:
		d.decodeFloat(v, dst, path)
	default:
		d.addProblem(v, path, "has a type that can't be decoded")
	}
}

func (d *decoder) decodeStruct(v hujson.Value, dst reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addProblem(v, path, "is %s, expected an object", kindOf(v))
		return
	}
	fields := fieldsOf(dst.Type())
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := literalString(member.Name)
		if seen[name] {
			d.addProblem(member.Name, join(path, name), "stands more than once")
			continue
		}
		seen[name] = true
		i, known := fields[name]
		if !known {
			d.addProblem(member.Name, join(path, name), "is unknown%s", Suggest(name, fieldNames(dst.Type())))
			continue
		}
		d.decode(member.Value, dst.Field(i), join(path, name))
	}
}

func (d *decoder) decodeSlice(v hujson.Value, dst reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addProblem(v, path, "is %s, expected a list", kindOf(v))
		return
	}
	list := reflect.MakeSlice(dst.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		d.decode(element, list.Index(i), fmt.Sprintf("%s/%d", path, i))
	}
	dst.Set(list)
}

func (d *decoder) decodeMap(v hujson.Value, dst reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addProblem(v, path, "is %s, expected an object", kindOf(v))
		return
	}
	m := reflect.MakeMapWithSize(dst.Type(), len(object.Members))
	for _, member := range object.Members {
		name := literalString(member.Name)
		element := reflect.New(dst.Type().Elem()).Elem()
		d.decode(member.Value, element, join(path, name))
		m.SetMapIndex(reflect.ValueOf(name).Convert(dst.Type().Key()), element)
	}
	dst.Set(m)
}

func (d *decoder) decodeDuration(v hujson.Value, dst reflect.Value, path string) {
	s, ok := d.decodeString(v, path, `a duration such as "250ms" or "5s"`)
	if !ok {
		return
	}
	duration, err := parseDuration(s)
	if err != nil {
		d.addProblem(v, path, `is %q, expected a duration such as "250ms" or "5s"`, s)
		return
	}
	dst.SetInt(int64(duration))
}

// parseDuration parses a duration as time.ParseDuration does. Its number may also have an
// exponent, such as 1.5e+04ms.
func parseDuration(text string) (time.Duration, error) {
	unit := strings.TrimLeft(text, "+-.0123456789eE")
	number := strings.TrimSuffix(text, unit)
	if !strings.ContainsAny(number, "eE") {
		return time.ParseDuration(text)
	}
	f, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return 0, err
	}
	return time.ParseDuration(strconv.FormatFloat(f, 'f', -1, 64) + unit)
}

func (d *decoder) decodeText(v hujson.Value, dst encoding.TextUnmarshaler, path string) {
	expected := expectedText(dst)
	s, ok := d.decodeString(v, path, expected)
	if !ok {
		return
	}
	if err := dst.UnmarshalText([]byte(s)); err != nil {
		d.addProblem(v, path, "is %q, expected %s", s, expected)
	}
}

// expectedText describes the text form of a type for error messages.
func expectedText(dst encoding.TextUnmarshaler) string {
	switch fmt.Sprintf("%T", dst) {
	case "*netip.AddrPort":
		return `an address and port such as "127.0.0.1:8080"`
	case "*netip.Prefix":
		return `a network such as "10.0.0.0/8"`
	case "*coltsidentity.Digest":
		return "64 hexadecimal digits"
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", dst), "*")
}

func (d *decoder) decodeString(v hujson.Value, path, expected string) (string, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.addProblem(v, path, "is %s, expected %s", kindOf(v), expected)
		return "", false
	}
	return literal.String(), true
}

func (d *decoder) decodeBool(v hujson.Value, dst reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		d.addProblem(v, path, "is %s, expected true or false", kindOf(v))
		return
	}
	dst.SetBool(literal.Bool())
}

func (d *decoder) decodeInt(v hujson.Value, dst reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		d.addProblem(v, path, "is %s, expected a whole number", kindOf(v))
		return
	}
	n, ok := parseWhole(string(literal))
	if !ok {
		d.addProblem(v, path, "is %s, expected a whole number", literal)
		return
	}
	dst.SetInt(n)
}

// maxExactWhole is the largest number up to which every whole number is exact in a float64.
const maxExactWhole = 1 << 53

// parseWhole parses a JSON number that is whole by its value, such as 3, 3.0 or 3e2: some
// writers give every number a fraction or an exponent.
func parseWhole(text string) (int64, bool) {
	if n, err := strconv.ParseInt(text, 10, 64); err == nil {
		return n, true
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || f != math.Trunc(f) || math.Abs(f) > maxExactWhole {
		return 0, false
	}
	return int64(f), true
}

func (d *decoder) decodeFloat(v hujson.Value, dst reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		d.addProblem(v, path, "is %s, expected a number", kindOf(v))
		return
	}
	dst.SetFloat(literal.Float())
}

// kindOf describes the JSON type of a value for error messages.
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
		return "a boolean"
	}
	return "null"
}

// literalString returns the value of a string literal, or "" if v is not a literal.
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

// fieldsOf maps the names of t's fields in the text to their indexes.
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

// fieldNames returns the names of t's fields in the text, in the order of the fields.
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

// Suggest returns `; did you mean "x"?` for the known name that is most similar to
// name, or "" if none is similar enough.
func Suggest(name string, known []string) string {
	best := ""
	bestDistance := maxSuggestionDistance + 1
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
