package coltsjsonc

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type target struct {
	Name  string         `json:"name"`
	Count int            `json:"count"`
	On    bool           `json:"on"`
	Span  time.Duration  `json:"span"`
	Addr  netip.AddrPort `json:"address"`
	Parts []part         `json:"parts"`
}

type part struct {
	ID string `json:"id"`
}

// assertProblem asserts that a text has one problem, on a line, with a reason.
func assertProblem(t *testing.T, text string, line int, reason string) {
	t.Helper()
	var to target
	problems := Decode([]byte(text), &to)
	assert.Equal(t, len(problems), 1, "%v", problems)
	assert.Equal(t, problems[0].Line, line)
	assert.Assert(t, strings.Contains(problems[0].String(), reason), problems[0].String())
}

func TestDecode(t *testing.T) {
	t.Run("comments and commas after the last element are read over", func(t *testing.T) {
		var to target
		problems := Decode([]byte(`{
			// a comment
			"name": "a", "count": 3, "on": true, "span": "250ms",
			"address": "127.0.0.1:80", "parts": [{"id": "x"},], /* another */
		}`), &to)
		assert.Equal(t, len(problems), 0, "%v", problems)
		assert.DeepEqual(t, to.Parts, []part{{ID: "x"}})
		assert.Equal(t, to.Span, 250*time.Millisecond)
		assert.Equal(t, to.Addr, netip.MustParseAddrPort("127.0.0.1:80"))
	})
	for _, c := range []struct {
		name, text string
		line       int
		reason     string
	}{
		{"an unknown name", "{\n\"nam\": \"a\"}", 2, `nam: is unknown; did you mean "name"?`},
		{"an unknown name that is near to none", `{"zzzzzzzz": 1}`, 1, "is unknown"},
		{"a name that stands twice", "{\"on\": true,\n\"on\": false}", 2, "stands more than once"},
		{"a string for a number", "{\n\n\"count\": \"3\"}", 3, "is a string, expected a whole number"},
		{"a broken number", `{"count": 1.5}`, 1, "expected a whole number"},
		{"a number for a span", `{"span": 5}`, 1, `expected a duration such as`},
		{"a bad span", `{"span": "soon"}`, 1, `is "soon", expected a duration`},
		{"a bad address", `{"address": "here"}`, 1, "expected an address and port"},
		{"a problem inside a list", "{\"parts\": [\n{\"id\": 1}]}", 2, "parts/0/id: is a number, expected a string"},
		{"an object for a list", `{"parts": {}}`, 1, "is an object, expected a list"},
		{"a text that is cut off", "{\n\"name\": ", 2, "is not JSON with comments"},
	} {
		t.Run(c.name, func(t *testing.T) { assertProblem(t, c.text, c.line, c.reason) })
	}
	t.Run("every problem is named at once", func(t *testing.T) {
		var to target
		assert.Equal(t, len(Decode([]byte(`{"count": "x", "on": 1, "nam": 2}`), &to)), 3)
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(`{"name": "a", "parts": [{"id": 1}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		var to target
		for _, p := range Decode([]byte(text), &to) {
			assert.Assert(t, p.Line >= 1 && p.Line <= 1+strings.Count(text, "\n"))
		}
	})
}
