package coltssettings

// The list of settings is generated from the struct tags and the defaults, so that it
// contains exactly the settings that are read.

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsjsonc"
	"coltsfootstall/coltsrouting"
)

// Row describes one setting in the list.
type Row struct {
	// Name is the path of the setting, for example "entry/caller-address".
	Name string
	// Type is the type in words, for example "list of address".
	Type string
	// Unit is empty for settings without a unit.
	Unit    string
	Default string
	Usage   string
}

// Table returns a row for every setting, in the order of the struct fields.
func Table() []Row {
	return appendRows(nil, reflect.ValueOf(Default()), "")
}

// appendRows appends a row for each field of the struct v and of its settings groups.
// prefix is the path of v, with a trailing slash unless it is empty.
func appendRows(rows []Row, v reflect.Value, prefix string) []Row {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := prefix + field.Tag.Get(coltsjsonc.Tag)
		if isSettingsGroup(field.Type) {
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

// isSettingsGroup reports whether t is a struct that contains further settings.
func isSettingsGroup(t reflect.Type) bool {
	return t == reflect.TypeFor[Entry]() || t == reflect.TypeFor[Gateway]() || t == reflect.TypeFor[Control]()
}

// typeName returns the name of a setting's type for the list.
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

// defaultText returns a default value as shown in the list.
func defaultText(v reflect.Value) string {
	if v.Kind() == reflect.String && v.Len() == 0 {
		return `""`
	}
	return fmt.Sprint(v.Interface())
}

// InvalidError reports every problem in a settings file.
type InvalidError struct {
	File     string
	Problems []coltsjsonc.Problem
}

// Error returns the problems, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, e.File+": "+p.String())
	}
	return strings.Join(lines, "\n")
}

// Load reads a settings file. Settings that the file doesn't contain have their
// defaults. If the file is invalid, Load returns an InvalidError that lists every
// problem.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(file, text)
}

// Parse parses the content of a settings file as Load does. file is the name to use in
// errors.
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

// check returns the violations of the bounds given in tags and of the rules that tags
// can't express, such as those between settings.
func check(s Settings, text []byte) []coltsjsonc.Problem {
	c := &checker{text: text}
	c.checkBounds(reflect.ValueOf(s), "")
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
	if !slices.Contains(coltsbalance.LoadEstimates(), s.Gateway.LoadEstimate) {
		c.add("gateway/load-estimate", "is %q, expected one of %v%s", s.Gateway.LoadEstimate,
			coltsbalance.LoadEstimates(), coltsjsonc.Suggest(s.Gateway.LoadEstimate, coltsbalance.LoadEstimates()))
	}
	if !slices.Contains(coltsbalance.LoadReports(), s.Gateway.LoadReport) {
		c.add("gateway/load-report", "is %q, expected one of %v%s", s.Gateway.LoadReport,
			coltsbalance.LoadReports(), coltsjsonc.Suggest(s.Gateway.LoadReport, coltsbalance.LoadReports()))
	}
	if len(s.Gateway.Seeds) == 0 {
		c.add("gateway/seeds", "is empty, expected at least one address")
	}
	if len(s.Entry.ControlAddrs) == 0 {
		c.add("entry/control-addresses", "is empty, expected at least one address")
	}
	c.checkReplicas(s)
	if s.Control.DataFolder == "" {
		c.add("control/data-folder", "is empty, expected a path")
	}
	c.checkDistinct(map[string]string{
		"entry/caller-address":   s.Entry.CallerAddr.String(),
		"entry/upstream-address": s.Entry.UpstreamAddr.String(),
		"entry/peer-address":     s.Entry.PeerAddr.String(),
		"entry/operator-address": s.Entry.OperatorAddr.String(),
	})
	return c.problems
}

// checker collects the problems that check finds.
type checker struct {
	text     []byte
	problems []coltsjsonc.Problem
}

// add records a problem on the line that contains the setting at path, or on line 1 if
// the text doesn't contain it.
func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, coltsjsonc.Problem{
		Line:   max(1, coltsjsonc.LineOf(c.text, path)),
		Path:   path,
		Reason: fmt.Sprintf(format, args...),
	})
}

// checkBounds checks the fields that have the tag min.
func (c *checker) checkBounds(v reflect.Value, prefix string) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		path := prefix + field.Tag.Get(coltsjsonc.Tag)
		if isSettingsGroup(field.Type) {
			c.checkBounds(v.Field(i), path+"/")
			continue
		}
		minimum, bounded := field.Tag.Lookup("min")
		if bounded {
			c.checkMinimum(v.Field(i), path, minimum)
		}
	}
}

// checkMinimum checks that v is not less than minimum, which is a duration for
// durations and a number otherwise.
func (c *checker) checkMinimum(v reflect.Value, path, minimum string) {
	if below(v, minimum) {
		c.add(path, "is %v, expected %s or more", v.Interface(), minimum)
	}
}

// below reports whether v is less than the minimum given in a tag. It panics if the tag is
// invalid, which any test that loads settings detects.
func below(v reflect.Value, minimum string) bool {
	if v.Type() == reflect.TypeFor[time.Duration]() {
		bound, err := time.ParseDuration(minimum)
		if err != nil {
			panic(err)
		}
		return time.Duration(v.Int()) < bound
	}
	bound, err := strconv.ParseFloat(minimum, 64)
	if err != nil {
		panic(err)
	}
	if v.CanFloat() {
		return v.Float() < bound
	}
	return float64(v.Int()) < bound
}

// checkReplicas checks that each instance of the group is listed once and has an
// address.
func (c *checker) checkReplicas(s Settings) {
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

// checkDistinct checks that no two addresses are equal. Addresses with port 0, which
// stands for any free port, are ignored. The keys of addrs are paths of settings.
func (c *checker) checkDistinct(addrs map[string]string) {
	usedBy := map[string]string{}
	for _, path := range sortedKeys(addrs) {
		addr := addrs[path]
		if strings.HasSuffix(addr, ":0") {
			continue
		}
		if other, used := usedBy[addr]; used {
			c.add(path, "is %s, which %s uses already", addr, other)
		}
		usedBy[addr] = path
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
