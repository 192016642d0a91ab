package coltsprocess

// Changing the configuration document with the operators' command-line tool, and
// the tool's reports and errors, with real processes.

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltscaller"
	"coltsfootstall/coltssystem"
)

// documentFile writes the document with old replaced by changed and returns its path.
func documentFile(t *testing.T, old, changed string) string {
	t.Helper()
	document := coltssystem.Document()
	assert.Assert(t, strings.Contains(document, old))
	path := filepath.Join(t.TempDir(), "document.jsonc")
	assert.NilError(t, os.WriteFile(path, []byte(strings.ReplaceAll(document, old, changed)), 0o600))
	return path
}

// assertSucceeds asserts that a command run with this operator key succeeds and
// that its output contains want.
func assertSucceeds(t *testing.T, key, want string, args ...string) {
	t.Helper()
	out, status := runCommand(t, key, args...)
	assert.Equal(t, status, 0, out)
	assert.Assert(t, strings.Contains(out, want), out)
}

// assertFails asserts that a command run with this operator key fails and that its
// output contains want.
func assertFails(t *testing.T, key, want string, args ...string) {
	t.Helper()
	out, status := runCommand(t, key, args...)
	assert.Assert(t, status != 0, out)
	assert.Assert(t, strings.Contains(out, want), out)
}

func TestDocumentLife(t *testing.T) {
	c := startCluster(t, 2, 1)
	controlFlag := "--control=" + c.controlAddr.String()
	const amina, berk = coltssystem.OperatorKeyAmina, coltssystem.OperatorKeyBerk
	dearer := documentFile(t, `"micros": 250000`, `"micros": 300000`)
	cheaper := documentFile(t, `"micros": 250000`, `"micros": 200000`)
	propose := func(id, file string) []string {
		return []string{"document", "propose", controlFlag, "--section=pricing", "--base=6", "--change=" + id, file}
	}

	t.Run("a plan describes what would change", func(t *testing.T) {
		assertSucceeds(t, amina, "price of service press: 300000 micros a call  (was:",
			"document", "plan", controlFlag, dearer)
	})
	t.Run("a change without a key is denied", func(t *testing.T) {
		assertFails(t, "nobody", "has no valid key", propose("dearer", dearer)...)
	})
	t.Run("two changes are proposed against the same revision", func(t *testing.T) {
		assertSucceeds(t, amina, "proposed", propose("dearer", dearer)...)
		assertSucceeds(t, berk, "proposed", propose("cheaper", cheaper)...)
	})
	t.Run("an author can't review", func(t *testing.T) {
		assertFails(t, amina, "is its author", "document", "review", controlFlag, "dearer")
	})
	t.Run("an unreviewed change can't be accepted", func(t *testing.T) {
		assertFails(t, amina, "before it is reviewed", "document", "accept", controlFlag, "dearer")
	})
	t.Run("the change that is accepted first takes effect", func(t *testing.T) {
		assertSucceeds(t, berk, "reviewed by berk", "document", "review", controlFlag, "dearer")
		assertSucceeds(t, amina, "reviewed by amina", "document", "review", controlFlag, "cheaper")
		assertSucceeds(t, amina, "as revision 7", "document", "accept", controlFlag, "dearer")
	})
	t.Run("accepting the other change names the one that replaced its section", func(t *testing.T) {
		assertFails(t, berk, "change dearer replaced section pricing in revision 7",
			"document", "accept", controlFlag, "cheaper")
	})
	t.Run("a repeated command returns the first answer", func(t *testing.T) {
		assertSucceeds(t, amina, "as revision 7", "document", "accept", controlFlag, "dearer")
		assertSucceeds(t, amina, "as revision 7", propose("dearer", dearer)...)
	})
	t.Run("wait returns when the revision is in force on every instance", func(t *testing.T) {
		assertSucceeds(t, "", "in force on every live instance",
			"document", "wait", controlFlag, "--timeout=20s", "7")
	})
	t.Run("an invalid section is rejected with line and path", func(t *testing.T) {
		bad := documentFile(t, `"micros": 250000`, `"micro": 250000`)
		assertFails(t, amina, `line 9: pricing/services/0/micro: is unknown; did you mean "micros"?`,
			propose("bad", bad)...)
	})
	t.Run("history lists every change", func(t *testing.T) {
		assertSucceeds(t, "", "stale; change dearer came first", "document", "history", controlFlag)
	})
	t.Run("status lists every instance", func(t *testing.T) {
		assertSucceeds(t, "", "entry-2", "status", controlFlag)
	})
}

func TestReports(t *testing.T) {
	c := startCluster(t, 2, 1)
	controlFlag := "--control=" + c.controlAddr.String()
	client := coltscaller.New(coltscaller.Config{Key: coltssystem.KeySeedPaper})
	for i := range 2 {
		r, err := client.Stream(c.callerAddr(i), newPrompt("report", 3))
		assertComplete(t, 3, r, err)
	}

	t.Run("burn sums over the entries", func(t *testing.T) {
		assertSucceeds(t, "", "objective first-token: first token within 460ms for 950 in 1000",
			"report", "burn", controlFlag)
		assertSucceeds(t, "", "0 of 2", "report", "burn", controlFlag)
		assertSucceeds(t, "", `"burn-rate": 0`, "report", "burn", "--json", controlFlag)
	})
	t.Run("spend distinguishes computed and reused tokens", func(t *testing.T) {
		assert.NilError(t, coltssystem.Await(conditionTimeout, "usage is reported", func() bool {
			out, status := runCommand(t, "", "report", "spend", "--json", controlFlag)
			return status == 0 && strings.Contains(out, `"requests": 2`)
		}))
		assertSucceeds(t, "", "REUSED %", "report", "spend", controlFlag)
	})
	t.Run("there are no suspects", func(t *testing.T) {
		assertSucceeds(t, "", "", "suspects", controlFlag)
		assertFails(t, "", "is not a fingerprint", "suspects", "--release=x", controlFlag)
	})
	t.Run("settings and metrics are listed with their units", func(t *testing.T) {
		assertSucceeds(t, "", "entry/silence-timeout", "settings", "list")
		assertSucceeds(t, "", "answers-crossed", "metrics", "list")
	})
}

func TestSettingsErrors(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"an unknown setting is reported with a similar name",
			"{\n\"entry\": {\n\"caler-address\": \"127.0.0.1:1\"}}",
			`settings.jsonc: line 3: entry/caler-address: is unknown; did you mean "caller-address"?`},
		{"a wrong type is reported", "{\"entry\": {\n\"max-attempts\": \"three\"}}",
			"line 2: entry/max-attempts: is a string, expected a whole number"},
		{"an invalid address is reported", "{\"entry\": {\"peer-address\": \"here\"}}",
			`entry/peer-address: is "here", expected an address and port such as "127.0.0.1:8080"`},
		{"a value out of bounds is reported", "{\"control\": {\"snapshot-every\": 0}}",
			"control/snapshot-every: is 0, expected 1 or more"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			file := settingsFile(t, c.text)
			assertFails(t, "", c.want, "settings", "check", file)
			assertFails(t, "", c.want, "entry", "--settings", file)
		})
	}
	t.Run("every problem is reported with its line", func(t *testing.T) {
		out, _ := runCommand(t, "", "settings", "check",
			settingsFile(t, `{"instanc": "a", "entry": {"keep-cache": 1}}`))
		assert.Equal(t, strings.Count(out, "line 1"), 2, out)
	})
	t.Run("an unknown command is reported with a similar name", func(t *testing.T) {
		assertFails(t, "", `did you mean "status"?`, "statsu")
	})
}
