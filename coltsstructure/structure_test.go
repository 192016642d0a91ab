// Package coltsstructure contains the tests that enforce the structure of the code.
package coltsstructure

// Packages that make decisions must not depend on encodings, clocks or I/O.
// Otherwise another front end could not reuse them, and failures could not be
// replayed.

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

// module is the module's path with a slash, the prefix of its import paths.
const module = "coltsfootstall/"

// decisionPackages lists the packages that make decisions.
var decisionPackages = []string{
	"coltsattempt", "coltsbalance", "coltsbooking", "coltsbuffer", "coltscache", "coltsdocument", "coltsevacuation", "coltsfleet", "coltsforward",
	"coltsidentity", "coltsmembership", "coltsobjective", "coltsorder", "coltsorganisation", "coltsregistry",
	"coltsreplica", "coltsrequest", "coltsroute", "coltsrouting", "coltsshard", "coltsstate", "coltsstore",
	"coltsusage", "coltswarmup", "coltsweights",
}

// adapterImports lists the packages that only adapters may depend on: libraries for
// transport, encoding, logging and concurrency.
var adapterImports = []string{
	"github.com/valyala/fasthttp", "connectrpc.com/connect", "google.golang.org/protobuf",
	"encoding/json", "net/http", "github.com/sirupsen/logrus", "github.com/tailscale/hujson",
	"github.com/valyala/fastjson", "github.com/alitto/pond", "expvar", "log",
}

// impureCalls lists functions that read the clock, wait or perform I/O.
var impureCalls = []string{
	"time.Now", "time.Since", "time.Until", "time.Sleep", "time.After", "time.NewTimer", "time.NewTicker",
	"net.Dial", "net.Listen", "os.Open", "os.ReadFile", "os.WriteFile",
}

func TestDecisionPackages(t *testing.T) {
	for _, name := range decisionPackages {
		t.Run(name+" depends on no library for adapters", func(t *testing.T) {
			assertDependsOnNone(t, name, adapterImports)
		})
		t.Run(name+" reads no clock and performs no I/O", func(t *testing.T) {
			assertCallsNone(t, name, impureCalls)
		})
		t.Run(name+" starts no goroutine", func(t *testing.T) {
			assertNoGoroutine(t, name)
		})
	}
}

func TestSignatures(t *testing.T) {
	for _, name := range ownPackages(t) {
		t.Run(name+" takes addresses and times as netip and time types", func(t *testing.T) {
			assertTypedParameters(t, name)
		})
		t.Run(name+" declares no interface", func(t *testing.T) {
			assertNoInterface(t, name)
		})
	}
}

// assertDependsOnNone asserts that a package depends on none of the forbidden
// packages, neither directly nor indirectly.
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

// assertCallsNone asserts that a package refers to none of the forbidden functions.
func assertCallsNone(t *testing.T, name string, forbidden []string) {
	t.Helper()
	inspect(t, name, func(n ast.Node, position string) {
		selector, ok := n.(*ast.SelectorExpr)
		if !ok {
			return
		}
		qualifier, ok := selector.X.(*ast.Ident)
		if !ok {
			return
		}
		function := qualifier.Name + "." + selector.Sel.Name
		assert.Assert(t, !slices.Contains(forbidden, function), "%s: %s", position, function)
	})
}

// assertNoGoroutine asserts that a package starts no goroutine.
func assertNoGoroutine(t *testing.T, name string) {
	t.Helper()
	inspect(t, name, func(n ast.Node, position string) {
		_, isGo := n.(*ast.GoStmt)
		assert.Assert(t, !isGo, "%s: starts a goroutine", position)
	})
}

// assertTypedParameters asserts that no parameter with the name of an address or a
// time is a string or a number.
func assertTypedParameters(t *testing.T, name string) {
	t.Helper()
	inspect(t, name, func(n ast.Node, position string) {
		fn, ok := n.(*ast.FuncType)
		if !ok {
			return
		}
		for _, p := range fn.Params.List {
			paramType, ok := p.Type.(*ast.Ident)
			if !ok || !slices.Contains([]string{"string", "int", "int64", "float64"}, paramType.Name) {
				continue
			}
			for _, id := range p.Names {
				assert.Assert(t, !isAddressOrTime(id.Name), "%s: parameter %s is a %s", position, id.Name, paramType.Name)
			}
		}
	})
}

// isAddressOrTime reports whether a parameter name denotes an address or a time.
func isAddressOrTime(name string) bool {
	name = strings.ToLower(name)
	for _, suffix := range []string{"addr", "deadline", "timeout", "duration"} {
		if strings.HasSuffix(name, suffix) {
			return true
		}
	}
	return slices.Contains([]string{"now", "ip", "host"}, name)
}

// assertNoInterface asserts that a package declares no interface type. Behaviour that
// varies uses concrete types with function fields.
func assertNoInterface(t *testing.T, name string) {
	t.Helper()
	inspect(t, name, func(n ast.Node, position string) {
		spec, ok := n.(*ast.TypeSpec)
		if !ok {
			return
		}
		_, isInterface := spec.Type.(*ast.InterfaceType)
		assert.Assert(t, !isInterface, "%s: type %s is an interface", position, spec.Name.Name)
	})
}

// inspect calls visit with every syntax node of a package, except its tests, and with
// the node's position.
func inspect(t *testing.T, name string, visit func(n ast.Node, position string)) {
	t.Helper()
	files, err := filepath.Glob("../" + name + "/*.go")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0, "%s has no files", name)
	fileSet := token.NewFileSet()
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		tree, err := parser.ParseFile(fileSet, file, nil, parser.SkipObjectResolution)
		assert.NilError(t, err)
		ast.Inspect(tree, func(n ast.Node) bool {
			if n != nil {
				visit(n, fileSet.Position(n.Pos()).String())
			}
			return true
		})
	}
}

// ownPackages returns the names of platform and of all top-level packages with the
// prefix colts, without this package.
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
