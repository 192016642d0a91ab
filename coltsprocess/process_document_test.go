package coltsprocess

// The document's life by the operators' tool, against real processes.

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltscaller"
	"coltsfootstall/coltssystem"
)

// documentFile writes a changed document and returns its path.
func documentFile(t *testing.T, old, changed string) string {
	t.Helper()
	text := coltssystem.Document()
	assert.Assert(t, strings.Contains(text, old))
	path := filepath.Join(t.TempDir(), "document.jsonc")
	assert.NilError(t, os.WriteFile(path, []byte(strings.ReplaceAll(text, old, changed)), 0o600))
	return path
}

// assertRuns asserts that a command succeeds and prints a text.
func assertRuns(t *testing.T, key, want string, args ...string) {
	t.Helper()
	out, status := run(t, key, args...)
	assert.Equal(t, status, 0, out)
	assert.Assert(t, strings.Contains(out, want), out)
}

// assertFails asserts that a command fails and prints a text.
func assertFails(t *testing.T, key, want string, args ...string) {
	t.Helper()
	out, status := run(t, key, args...)
	assert.Assert(t, status != 0, out)
	assert.Assert(t, strings.Contains(out, want), out)
}

func TestDocumentLife(t *testing.T) {
	c := startCluster(t, 2, 1)
	at := "--control=" + c.controlAddr.String()
	const amina, berk = coltssystem.OperatorAmina, coltssystem.OperatorBerk
	dearer := documentFile(t, `"micros": 250000`, `"micros": 300000`)
	cheaper := documentFile(t, `"micros": 250000`, `"micros": 200000`)
	propose := func(id, file string) []string {
		return []string{"document", "propose", at, "--section=pricing", "--base=6", "--change=" + id, file}
	}

	t.Run("a plan says in words what would change", func(t *testing.T) {
		assertRuns(t, amina, "price of service press: 300000 micros a call  (was:", "document", "plan", at, dearer)
	})
	t.Run("a change without a key is denied", func(t *testing.T) {
		assertFails(t, "nobody", "has no valid key", propose("dearer", dearer)...)
	})
	t.Run("two changes are proposed on the same revision", func(t *testing.T) {
		assertRuns(t, amina, "proposed", propose("dearer", dearer)...)
		assertRuns(t, berk, "proposed", propose("cheaper", cheaper)...)
	})
	t.Run("an author can't review", func(t *testing.T) {
		assertFails(t, amina, "is its author", "document", "review", at, "dearer")
	})
	t.Run("an unreviewed change can't be accepted", func(t *testing.T) {
		assertFails(t, amina, "before it is reviewed", "document", "accept", at, "dearer")
	})
	t.Run("the first to be accepted wins", func(t *testing.T) {
		assertRuns(t, berk, "reviewed by berk", "document", "review", at, "dearer")
		assertRuns(t, amina, "reviewed by amina", "document", "review", at, "cheaper")
		assertRuns(t, amina, "as revision 7", "document", "accept", at, "dearer")
	})
	t.Run("the other is told what won", func(t *testing.T) {
		assertFails(t, berk, "change dearer replaced section pricing in revision 7", "document", "accept", at, "cheaper")
	})
	t.Run("a resend gets the first answer", func(t *testing.T) {
		assertRuns(t, amina, "as revision 7", "document", "accept", at, "dearer")
		assertRuns(t, amina, "as revision 7", propose("dearer", dearer)...)
	})
	t.Run("wait says when every instance has it", func(t *testing.T) {
		assertRuns(t, "", "in force on every live instance", "document", "wait", at, "--timeout=20s", "7")
	})
	t.Run("a bad section is refused with its place", func(t *testing.T) {
		bad := documentFile(t, `"micros": 250000`, `"micro": 250000`)
		assertFails(t, amina, `line 9: pricing/services/0/micro: is unknown; did you mean "micros"?`, propose("bad", bad)...)
	})
	t.Run("history lists every change", func(t *testing.T) {
		assertRuns(t, "", "stale; change dearer came first", "document", "history", at)
	})
	t.Run("status lists every instance", func(t *testing.T) {
		assertRuns(t, "", "entry-2", "status", at)
	})
}

func TestReports(t *testing.T) {
	c := startCluster(t, 2, 1)
	at := "--control=" + c.controlAddr.String()
	client := coltscaller.New(coltscaller.Config{Key: coltssystem.KeySeedPaper})
	for i := range 2 {
		r, err := client.Stream(c.callers(i), promptOf("report", 3))
		assertWhole(t, 3, r, err)
	}

	t.Run("burn adds up the entries", func(t *testing.T) {
		assertRuns(t, "", "objective first-token: first token within 460ms for 950 in 1000", "report", "burn", at)
		assertRuns(t, "", "0 of 2", "report", "burn", at)
		assertRuns(t, "", `"burn-rate": 0`, "report", "burn", "--json", at)
	})
	t.Run("spend tells computed from reused", func(t *testing.T) {
		assert.NilError(t, coltssystem.Await(conditionTimeout, "use is reported", func() bool {
			out, status := run(t, "", "report", "spend", "--json", at)
			return status == 0 && strings.Contains(out, `"requests": 2`)
		}))
		assertRuns(t, "", "REUSED %", "report", "spend", at)
	})
	t.Run("suspects are none", func(t *testing.T) {
		assertRuns(t, "", "", "suspects", at)
		assertFails(t, "", "is not a fingerprint", "suspects", "--release=x", at)
	})
	t.Run("settings and metrics are listed with their units", func(t *testing.T) {
		assertRuns(t, "", "entry/silence-timeout", "settings", "list")
		assertRuns(t, "", "answers-crossed", "metrics", "list")
	})
}

func TestSettingsErrors(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"an unknown setting is named with a near miss", "{\n\"entry\": {\n\"caler-address\": \"127.0.0.1:1\"}}",
			`settings.jsonc: line 3: entry/caler-address: is unknown; did you mean "caller-address"?`},
		{"a bad type is named", "{\"entry\": {\n\"max-attempts\": \"three\"}}",
			"line 2: entry/max-attempts: is a string, expected a whole number"},
		{"a bad address is named", "{\"entry\": {\"peer-address\": \"here\"}}",
			`entry/peer-address: is "here", expected an address and port such as "127.0.0.1:8080"`},
		{"a value out of bounds is named", "{\"control\": {\"snapshot-every\": 0}}",
			"control/snapshot-every: is 0, expected 1 or more"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			file := settingsFile(t, c.text)
			assertFails(t, "", c.want, "settings", "check", file)
			assertFails(t, "", c.want, "entry", "--settings", file)
		})
	}
	t.Run("every problem has a line", func(t *testing.T) {
		out, _ := run(t, "", "settings", "check", settingsFile(t, `{"instanc": "a", "entry": {"keep-cache": 1}}`))
		assert.Equal(t, strings.Count(out, "line 1"), 2, out)
	})
	t.Run("an unknown command is named with a near miss", func(t *testing.T) {
		assertFails(t, "", `did you mean "status"?`, "statsu")
	})
}
