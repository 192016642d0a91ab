package coltsprocess

// Replacing a model's weights version by three reviewed changes, and rejecting
// orders with an outdated fencing number.

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

// changeSection proposes, reviews and accepts a change of one document section.
func changeSection(t *testing.T, controlFlag, section, id, document string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "document.jsonc")
	assert.NilError(t, os.WriteFile(file, []byte(document), 0o600))
	assertSucceeds(t, coltssystem.OperatorKeyAmina, "proposed",
		"document", "propose", controlFlag, "--section="+section, "--change="+id, file)
	assertSucceeds(t, coltssystem.OperatorKeyBerk, "reviewed", "document", "review", controlFlag, id)
	assertSucceeds(t, coltssystem.OperatorKeyAmina, "accepted", "document", "accept", controlFlag, id)
}

// documentWithVersions returns the document with another current version and other
// versions of its model. versions is a list of quoted names.
func documentWithVersions(current, versions string) string {
	original := fmt.Sprintf(`"current": %q, "versions": [%q]`, coltssystem.ModelVersion, coltssystem.ModelVersion)
	return strings.Replace(coltssystem.Document(), original,
		fmt.Sprintf(`"current": %q, "versions": [%s]`, current, versions), 1)
}

func TestVersionSwap(t *testing.T) {
	c := startCluster(t, 2, 4, "--load-time", "100ms", "--checks-fencing")
	controlFlag := "--control=" + c.controlAddr.String()
	client := coltscaller.New(coltscaller.Config{Key: coltssystem.KeySeedPaper})
	complete := func(version string) coltscaller.Reply {
		p := newPrompt("swap", 2)
		p.Model += version
		r, err := client.Stream(c.callerAddr(0), p)
		assert.NilError(t, err)
		return r
	}
	isServing := func(i int, version string) func() bool {
		return func() bool {
			body, status := httpGet(t, c.runners[i].awaitAddr(t, "address"), "/standin/serving")
			return status == http.StatusOK && strings.Contains(body, version)
		}
	}

	t.Run("every runner loads a new version beside the old one", func(t *testing.T) {
		changeSection(t, controlFlag, "models", "add-w2", documentWithVersions("w1", `"w1", "w2"`))
		for i := range c.runners {
			assert.NilError(t, coltssystem.Await(conditionTimeout, "w2 is loaded", isServing(i, "w2")))
			assert.Assert(t, isServing(i, "w1")())
		}
	})
	t.Run("requests get the version they name, or else the current one", func(t *testing.T) {
		assert.NilError(t, coltssystem.Await(conditionTimeout, "the entry routes to w2", func() bool {
			return complete("@w2").Complete
		}))
		changeSection(t, controlFlag, "models", "use-w2", documentWithVersions("w2", `"w1", "w2"`))
		assert.Assert(t, complete("").Complete)
		assert.Assert(t, complete("@w1").Complete)
	})
	t.Run("a removed version is unloaded and refused", func(t *testing.T) {
		changeSection(t, controlFlag, "models", "drop-w1", documentWithVersions("w2", `"w2"`))
		for i := range c.runners {
			assert.NilError(t, coltssystem.Await(conditionTimeout, "w1 is unloaded", func() bool {
				return !isServing(i, "w1")()
			}))
		}
		assert.NilError(t, coltssystem.Await(conditionTimeout, "w1 is refused", func() bool {
			return complete("@w1").Outcome == "not-run"
		}))
		assert.Assert(t, complete("").Complete)
	})
	t.Run("an order with an old fencing number is refused", func(t *testing.T) {
		addr := c.runners[0].awaitAddr(t, "address")
		resp, err := http.Post("http://"+addr.String()+"/colts/v1/order", "application/json",
			strings.NewReader(`{"kind": "unload", "model": "batch-writer", "version": "w2", "fence": 0}`))
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusConflict)
		assert.Assert(t, isServing(0, "w2")())
	})
}
