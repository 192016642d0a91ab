package coltssettings

// The list is made from the struct's tags and the defaults, so that it can't
// name a setting that is not read or miss one that is.

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsjsonc"
	"coltsfootstall/coltsrouting"
)

// Row is one setting as it is listed.
type Row struct {
	// Name leads to the setting, as in "entry/caller-address".
	Name    string
	Type    string
	Unit    string
	Default string
	Usage   string
}

// Table lists every setting in the order of the structs.
func Table() []Row {
	return appendRows(nil, reflect.ValueOf(Default()), "")
}

func appendRows(rows []Row, v reflect.Value, prefix string) []Row {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := prefix + field.Tag.Get(coltsjsonc.Tag)
		if isGroup(field.Type) {
			rows = appendRows(rows, v.Field(i), name+"/")
			continue
		}
		rows = append(rows, Row{
			Name:    name,
			Type:    typeName(field.Type),
			Unit:    field.Tag.Get("unit"),
			Default: defaultText(v.Field(i)),
			Usage:   field.Tag.Get("usage"),
		})
	}
	return rows
}

// isGroup says whether a field holds further settings.
func isGroup(t reflect.Type) bool {
	return t == reflect.TypeFor[Entry]() || t == reflect.TypeFor[Gateway]() || t == reflect.TypeFor[Control]()
}

func typeName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Duration]():
		return "duration"
	case t.Kind() == reflect.Slice:
		return "list of " + typeName(t.Elem())
	case t == reflect.TypeFor[Replica]():
		return "instance, address and joins"
	case t.Kind() == reflect.Struct:
		return "address"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Int:
		return "whole number"
	case t.Kind() == reflect.Float64:
		return "number"
	}
	return t.Kind().String()
}

func defaultText(v reflect.Value) string {
	if v.Kind() == reflect.String && v.Len() == 0 {
		return `""`
	}
	return fmt.Sprint(v.Interface())
}

// InvalidError reports everything that is wrong with a settings file.
type InvalidError struct {
	File     string
	Problems []coltsjsonc.Problem
}

// Error lists the problems, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, e.File+": "+p.String())
	}
	return strings.Join(lines, "\n")
}

// Load reads a settings file over the defaults. It returns an InvalidError that
// names every problem.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(file, text)
}

// Parse reads a settings text; file is its name in errors.
func Parse(file string, text []byte) (Settings, error) {
	s := Default()
	problems := coltsjsonc.Decode(text, &s)
	if len(problems) == 0 {
		problems = check(s, text)
	}
	if len(problems) > 0 {
		return Settings{}, &InvalidError{File: file, Problems: problems}
	}
	return s, nil
}

// check applies the bounds of the tags and the rules between settings.
func check(s Settings, text []byte) []coltsjsonc.Problem {
	c := &checker{text: text}
	c.bounds(reflect.ValueOf(s), "")
	if s.Instance == "" {
		c.add("instance", "is empty, expected a name")
	}
	if s.DataCentre == "" {
		c.add("data-centre", "is empty, expected a name")
	}
	if levels := []string{"debug", "info", "warning", "error"}; !slices.Contains(levels, s.LogLevel) {
		c.add("log-level", "is %q, expected one of %v", s.LogLevel, levels)
	}
	if !slices.Contains(coltsrouting.Names(), s.Entry.RoutingPolicy) {
		c.add("entry/routing-policy", "is %q, expected one of %v%s", s.Entry.RoutingPolicy,
			coltsrouting.Names(), coltsjsonc.Suggest(s.Entry.RoutingPolicy, coltsrouting.Names()))
	}
	if !slices.Contains(coltsbalance.Policies(), s.Gateway.RoutingPolicy) {
		c.add("gateway/routing-policy", "is %q, expected one of %v%s", s.Gateway.RoutingPolicy,
			coltsbalance.Policies(), coltsjsonc.Suggest(s.Gateway.RoutingPolicy, coltsbalance.Policies()))
	}
	if len(s.Gateway.Seeds) == 0 {
		c.add("gateway/seeds", "is empty, expected at least one address")
	}
	if len(s.Entry.Controls) == 0 {
		c.add("entry/control-addresses", "is empty, expected at least one address")
	}
	c.replicas(s)
	if s.Control.DataFolder == "" {
		c.add("control/data-folder", "is empty, expected a path")
	}
	c.differ(map[string]string{
		"entry/caller-address":   s.Entry.CallerAddr.String(),
		"entry/upstream-address": s.Entry.UpstreamAddr.String(),
		"entry/peer-address":     s.Entry.PeerAddr.String(),
		"entry/operator-address": s.Entry.OperatorAddr.String(),
	})
	return c.problems
}

type checker struct {
	text     []byte
	problems []coltsjsonc.Problem
}

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, coltsjsonc.Problem{
		Line:   max(1, coltsjsonc.LineOf(c.text, path)),
		Path:   path,
		Reason: fmt.Sprintf(format, args...),
	})
}

// bounds checks the fields that have a least value.
func (c *checker) bounds(v reflect.Value, prefix string) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		path := prefix + field.Tag.Get(coltsjsonc.Tag)
		if isGroup(field.Type) {
			c.bounds(v.Field(i), path+"/")
			continue
		}
		least, bounded := field.Tag.Lookup("min")
		if bounded {
			c.atLeast(v.Field(i), path, least)
		}
	}
}

func (c *checker) atLeast(v reflect.Value, path, least string) {
	var bound int64
	if v.Type() == reflect.TypeFor[time.Duration]() {
		span, err := time.ParseDuration(least)
		if err != nil {
			panic(err) // a mistake in a tag, found by any test that loads settings
		}
		bound = int64(span)
	} else if _, err := fmt.Sscan(least, &bound); err != nil {
		panic(err) // likewise
	}
	if v.Int() < bound {
		c.add(path, "is %v, expected %s or more", v.Interface(), least)
	}
}

// replicas checks that each instance of the group stands once and has an address.
func (c *checker) replicas(s Settings) {
	seen := map[string]bool{}
	for i, r := range s.Control.Replicas {
		path := fmt.Sprintf("control/replicas/%d", i)
		if r.Instance == "" || seen[r.Instance] {
			c.add(path, "names instance %q, expected a name that stands once", r.Instance)
		}
		if !r.Addr.IsValid() {
			c.add(path, "has no address")
		}
		seen[r.Instance] = true
	}
}

// differ checks that no two addresses are the same, unless their port is 0.
func (c *checker) differ(addrs map[string]string) {
	taken := map[string]string{}
	for _, path := range sortedKeys(addrs) {
		addr := addrs[path]
		if strings.HasSuffix(addr, ":0") {
			continue
		}
		if other, used := taken[addr]; used {
			c.add(path, "is %s, which %s uses already", addr, other)
		}
		taken[addr] = path
	}
}

func sortedKeys(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
