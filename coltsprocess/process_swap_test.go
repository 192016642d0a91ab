package coltsprocess

// A swap of weight versions by three reviewed changes, and orders of a deposed
// holder.

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltscaller"
	"coltsfootstall/coltssystem"
)

// changeSection takes a section of a changed document through all its steps.
func changeSection(t *testing.T, at, section, id, text string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "document.jsonc")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	assertRuns(t, coltssystem.OperatorAmina, "proposed", "document", "propose", at, "--section="+section, "--change="+id, file)
	assertRuns(t, coltssystem.OperatorBerk, "reviewed", "document", "review", at, id)
	assertRuns(t, coltssystem.OperatorAmina, "accepted", "document", "accept", at, id)
}

// models returns the document with other versions of its model.
func models(current, versions string) string {
	old := fmt.Sprintf(`"current": %q, "versions": [%q]`, coltssystem.ModelVersion, coltssystem.ModelVersion)
	return strings.Replace(coltssystem.Document(), old, fmt.Sprintf(`"current": %q, "versions": [%s]`, current, versions), 1)
}

func TestVersionSwap(t *testing.T) {
	c := startCluster(t, 2, 4, "--load-time", "100ms", "--checks-fencing")
	at := "--control=" + c.controlAddr.String()
	client := coltscaller.New(coltscaller.Config{Key: coltssystem.KeySeedPaper})
	ask := func(version string) coltscaller.Reply {
		p := promptOf("swap", 2)
		p.Model += version
		r, err := client.Stream(c.callers(0), p)
		assert.NilError(t, err)
		return r
	}
	serves := func(i int, version string) func() bool {
		return func() bool {
			text, status := get(t, c.runners[i].addr(t, "address"), "/standin/serving")
			return status == http.StatusOK && strings.Contains(text, version)
		}
	}

	t.Run("a new version is loaded everywhere beside the old one", func(t *testing.T) {
		changeSection(t, at, "models", "add-w2", models("w1", `"w1", "w2"`))
		for i := range c.runners {
			assert.NilError(t, coltssystem.Await(conditionTimeout, "w2 is loaded", serves(i, "w2")))
			assert.Assert(t, serves(i, "w1")())
		}
	})
	t.Run("callers who name no version get the current one, others theirs", func(t *testing.T) {
		assert.NilError(t, coltssystem.Await(conditionTimeout, "entries know of w2", func() bool { return ask("@w2").Whole }))
		changeSection(t, at, "models", "use-w2", models("w2", `"w1", "w2"`))
		assert.Assert(t, ask("").Whole)
		assert.Assert(t, ask("@w1").Whole)
	})
	t.Run("a version that is dropped is unloaded and refused", func(t *testing.T) {
		changeSection(t, at, "models", "drop-w1", models("w2", `"w2"`))
		for i := range c.runners {
			assert.NilError(t, coltssystem.Await(conditionTimeout, "w1 is gone", func() bool { return !serves(i, "w1")() }))
		}
		assert.NilError(t, coltssystem.Await(conditionTimeout, "w1 is refused", func() bool {
			return ask("@w1").Outcome == "not-run"
		}))
		assert.Assert(t, ask("").Whole)
	})
	t.Run("an order with an old fencing number is refused", func(t *testing.T) {
		addr := c.runners[0].addr(t, "address")
		resp, err := http.Post("http://"+addr.String()+"/colts/v1/order", "application/json",
			strings.NewReader(`{"kind": "unload", "model": "batch-writer", "version": "w2", "fence": 0}`))
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusConflict)
		assert.Assert(t, serves(0, "w2")())
	})
}
