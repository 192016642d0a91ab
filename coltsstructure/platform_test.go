package coltsstructure

// The platform's names stand in one folder, so that another platform is another folder.

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

// platformUsers are the packages that may use the platform's translation.
var platformUsers = []string{module + "coltscommand", module + "cmd/coltsfootstall", module + "platform"}

func TestPlatform(t *testing.T) {
	t.Run("only the command line uses it", func(t *testing.T) {
		out, err := exec.Command("go", "list", "-f", "{{.ImportPath}} {{join .Imports \" \"}}", "../...").Output()
		assert.NilError(t, err)
		for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
			fields := strings.Fields(line)
			uses := slices.Contains(fields[1:], module+"platform")
			assert.Assert(t, !uses || slices.Contains(platformUsers, fields[0]), "%s imports platform", fields[0])
		}
	})
	names := wireNames(t)
	assert.Assert(t, len(names) > 30, "only %d names were found", len(names))
	for _, pkg := range ownPackages(t) {
		if pkg == "platform" {
			continue
		}
		t.Run(pkg+" has none of its wire's names", func(t *testing.T) {
			inspect(t, pkg, func(n ast.Node, at string) {
				literal, is := n.(*ast.BasicLit)
				if !is || literal.Kind != token.STRING {
					return
				}
				text, err := strconv.Unquote(literal.Value)
				assert.NilError(t, err)
				for _, name := range names {
					assert.Assert(t, text != name, "%s: %q", at, name)
				}
			})
		})
	}
}

// wireTag matches the name in a struct's tag; plain words are common to every wire.
var wireTag = regexp.MustCompile(`json:"([a-zA-Z_]+)"`)

// wireNames returns the headers, paths and composed field names that platform/ decodes.
func wireNames(t *testing.T) []string {
	t.Helper()
	var names []string
	inspect(t, "platform", func(n ast.Node, _ string) {
		literal, is := n.(*ast.BasicLit)
		if !is || literal.Kind != token.STRING {
			return
		}
		text, err := strconv.Unquote(literal.Value)
		assert.NilError(t, err)
		if m := wireTag.FindStringSubmatch(text); m != nil {
			text = m[1]
		}
		if isWireName(text) {
			names = append(names, text)
		}
	})
	return names
}

// isWireName says whether a text is a header, a path or a composed field name.
func isWireName(text string) bool {
	composed := regexp.MustCompile(`^[a-z]+([A-Z_][A-Za-z]*)+$`)
	return strings.HasPrefix(text, "X-") || strings.HasPrefix(text, "/v1/") || strings.HasPrefix(text, "Kv-") ||
		composed.MatchString(text)
}
