package coltsstructure

// Only the folder platform contains the names of the platform's wire protocol, so
// that supporting another platform means adding another folder.

import (
	"go/ast"
	"go/token"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// platformUsers lists the packages that may import the package platform, which
// translates the platform's protocol.
var platformUsers = []string{module + "coltscommand", module + "cmd/coltsfootstall", module + "platform"}

func TestPlatform(t *testing.T) {
	t.Run("only the command line imports platform", func(t *testing.T) {
		out, err := exec.Command("go", "list", "-f", "{{.ImportPath}} {{join .Imports \" \"}}", "../...").Output()
		assert.NilError(t, err)
		for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
			fields := strings.Fields(line)
			imports := slices.Contains(fields[1:], module+"platform")
			assert.Assert(t, !imports || slices.Contains(platformUsers, fields[0]), "%s imports platform", fields[0])
		}
	})
	names := wireNames(t)
	assert.Assert(t, len(names) > 30, "only %d names were found", len(names))
	for _, pkg := range ownPackages(t) {
		if pkg == "platform" {
			continue
		}
		t.Run(pkg+" contains no name from the platform's wire protocol", func(t *testing.T) {
			inspect(t, pkg, func(n ast.Node, position string) {
				literal, ok := n.(*ast.BasicLit)
				if !ok || literal.Kind != token.STRING {
					return
				}
				text, err := strconv.Unquote(literal.Value)
				assert.NilError(t, err)
				for _, name := range names {
					assert.Assert(t, text != name, "%s: %q", position, name)
				}
			})
		})
	}
}

// jsonTag matches the field name in a struct tag. Field names are checked only if
// they are composed of several words, because single words occur in every protocol.
var jsonTag = regexp.MustCompile(`json:"([a-zA-Z_]+)"`)

// wireNames returns the headers, paths and composed field names in the package platform.
func wireNames(t *testing.T) []string {
	t.Helper()
	var names []string
	inspect(t, "platform", func(n ast.Node, _ string) {
		literal, ok := n.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			return
		}
		text, err := strconv.Unquote(literal.Value)
		assert.NilError(t, err)
		if m := jsonTag.FindStringSubmatch(text); m != nil {
			text = m[1]
		}
		if isWireName(text) {
			names = append(names, text)
		}
	})
	return names
}

// isWireName reports whether a text is a header, a path or a field name composed of
// several words, such as camelCase or snake_case.
func isWireName(text string) bool {
	composed := regexp.MustCompile(`^[a-z]+([A-Z_][A-Za-z]*)+$`)
	return strings.HasPrefix(text, "X-") || strings.HasPrefix(text, "/v1/") || strings.HasPrefix(text, "Kv-") ||
		composed.MatchString(text)
}
