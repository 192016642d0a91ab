// Package coltsstructure holds the tests that keep the shape of the code.
package coltsstructure

// Decisions must stay apart from encodings, clocks and input or output, or a
// second front end could not use them and no failure could be replayed.

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const module = "coltsfootstall/"

// decisionPackages are those that decide.
var decisionPackages = []string{
	"coltsattempt", "coltsbalance", "coltsbooking", "coltscache", "coltsdocument", "coltsfleet", "coltsforward",
	"coltsidentity", "coltsmembership", "coltsobjective", "coltsorder", "coltsorganisation", "coltsregistry",
	"coltsreplica", "coltsrequest", "coltsroute", "coltsrouting", "coltsshard", "coltsstate", "coltsstore",
	"coltsusage", "coltsweights",
}

// adapterImports are what only adapters may depend on.
var adapterImports = []string{
	"github.com/valyala/fasthttp", "connectrpc.com/connect", "google.golang.org/protobuf",
	"encoding/json", "net/http", "github.com/sirupsen/logrus", "github.com/tailscale/hujson",
	"github.com/valyala/fastjson", "github.com/alitto/pond", "expvar", "log",
}

// impureCalls are calls that read a clock, wait, or do input or output.
var impureCalls = []string{
	"time.Now", "time.Since", "time.Until", "time.Sleep", "time.After", "time.NewTimer", "time.NewTicker",
	"net.Dial", "net.Listen", "os.Open", "os.ReadFile", "os.WriteFile",
}

func TestDecisionPackages(t *testing.T) {
	for _, name := range decisionPackages {
		t.Run(name+" depends on no adapter's library", func(t *testing.T) {
			assertDependsOnNone(t, name, adapterImports)
		})
		t.Run(name+" reads no clock and does no input or output", func(t *testing.T) {
			assertCallsNone(t, name, impureCalls)
		})
		t.Run(name+" starts no goroutine", func(t *testing.T) {
			assertNoGoroutine(t, name)
		})
	}
}

func TestSignatures(t *testing.T) {
	for _, name := range ownPackages(t) {
		t.Run(name+" takes addresses and times by their types", func(t *testing.T) {
			assertTypedParameters(t, name)
		})
		t.Run(name+" declares no interface for behaviour that varies", func(t *testing.T) {
			assertNoInterface(t, name)
		})
	}
}

// assertDependsOnNone asserts that a package depends on none of some packages.
func assertDependsOnNone(t *testing.T, name string, forbidden []string) {
	t.Helper()
	out, err := exec.Command("go", "list", "-deps", module+name).Output()
	assert.NilError(t, err)
	for _, dep := range strings.Fields(string(out)) {
		for _, f := range forbidden {
			assert.Assert(t, dep != f && !strings.HasPrefix(dep, f+"/"), "%s depends on %s", name, dep)
		}
	}
}

// assertCallsNone asserts that a package calls none of some functions.
func assertCallsNone(t *testing.T, name string, forbidden []string) {
	t.Helper()
	inspect(t, name, func(n ast.Node, at string) {
		call, ok := n.(*ast.SelectorExpr)
		if !ok {
			return
		}
		from, ok := call.X.(*ast.Ident)
		if !ok {
			return
		}
		called := from.Name + "." + call.Sel.Name
		assert.Assert(t, !slices.Contains(forbidden, called), "%s: %s", at, called)
	})
}

// assertNoGoroutine asserts that a package starts no goroutine.
func assertNoGoroutine(t *testing.T, name string) {
	t.Helper()
	inspect(t, name, func(n ast.Node, at string) {
		_, isGo := n.(*ast.GoStmt)
		assert.Assert(t, !isGo, "%s: starts a goroutine", at)
	})
}

// assertTypedParameters asserts that no parameter that is named as an address is
// a text, and none that is named as a time is a number.
func assertTypedParameters(t *testing.T, name string) {
	t.Helper()
	inspect(t, name, func(n ast.Node, at string) {
		fn, ok := n.(*ast.FuncType)
		if !ok {
			return
		}
		for _, p := range fn.Params.List {
			kind, ok := p.Type.(*ast.Ident)
			if !ok || !slices.Contains([]string{"string", "int", "int64", "float64"}, kind.Name) {
				continue
			}
			for _, id := range p.Names {
				assert.Assert(t, !isAddressOrTime(id.Name), "%s: parameter %s is a %s", at, id.Name, kind.Name)
			}
		}
	})
}

func isAddressOrTime(name string) bool {
	name = strings.ToLower(name)
	for _, word := range []string{"addr", "deadline", "timeout", "duration"} {
		if strings.HasSuffix(name, word) {
			return true
		}
	}
	return slices.Contains([]string{"now", "ip", "host"}, name)
}

// assertNoInterface asserts that a package declares no interface with methods.
func assertNoInterface(t *testing.T, name string) {
	t.Helper()
	inspect(t, name, func(n ast.Node, at string) {
		spec, ok := n.(*ast.TypeSpec)
		if !ok {
			return
		}
		_, isInterface := spec.Type.(*ast.InterfaceType)
		assert.Assert(t, !isInterface, "%s: type %s is an interface", at, spec.Name.Name)
	})
}

// inspect visits every node of a package's code, tests apart.
func inspect(t *testing.T, name string, visit func(n ast.Node, at string)) {
	t.Helper()
	files, err := filepath.Glob("../" + name + "/*.go")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0, "%s has no files", name)
	set := token.NewFileSet()
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		tree, err := parser.ParseFile(set, file, nil, parser.SkipObjectResolution)
		assert.NilError(t, err)
		ast.Inspect(tree, func(n ast.Node) bool {
			if n != nil {
				visit(n, set.Position(n.Pos()).String())
			}
			return true
		})
	}
}

// ownPackages lists the packages of the module that hold code of our own.
func ownPackages(t *testing.T) []string {
	t.Helper()
	dirs, err := filepath.Glob("../colts*")
	assert.NilError(t, err)
	names := []string{"platform"}
	for _, dir := range dirs {
		if name := filepath.Base(dir); name != "coltsstructure" {
			names = append(names, name)
		}
	}
	return names
}
