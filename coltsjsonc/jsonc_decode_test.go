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

// assertProblem asserts that Decode reports exactly one problem for text, on the given
// line, and that the problem's string contains reason.
func assertProblem(t *testing.T, text string, line int, reason string) {
	t.Helper()
	var got target
	problems := Decode([]byte(text), &got)
	assert.Equal(t, len(problems), 1, "%v", problems)
	assert.Equal(t, problems[0].Line, line)
	assert.Assert(t, strings.Contains(problems[0].String(), reason), problems[0].String())
}

func TestDecode(t *testing.T) {
	t.Run("comments and trailing commas are ignored", func(t *testing.T) {
		var got target
		problems := Decode([]byte(`{
			// a comment
			"name": "a", "count": 3, "on": true, "span": "250ms",
			"address": "127.0.0.1:80", "parts": [{"id": "x"},], /* another */
		}`), &got)
		assert.Equal(t, len(problems), 0, "%v", problems)
		assert.DeepEqual(t, got.Parts, []part{{ID: "x"}})
		assert.Equal(t, got.Span, 250*time.Millisecond)
		assert.Equal(t, got.Addr, netip.MustParseAddrPort("127.0.0.1:80"))
	})
	for _, c := range []struct {
		name, text string
		line       int
		reason     string
	}{
		{"an unknown name", "{\n\"nam\": \"a\"}", 2, `nam: is unknown; did you mean "name"?`},
		{"an unknown name that is similar to no known one", `{"zzzzzzzz": 1}`, 1, "is unknown"},
		{"a duplicate name", "{\"on\": true,\n\"on\": false}", 2, "stands more than once"},
		{"a string instead of a number", "{\n\n\"count\": \"3\"}", 3, "is a string, expected a whole number"},
		{"a fraction instead of a whole number", `{"count": 1.5}`, 1, "expected a whole number"},
		{"a whole number that is too large", `{"count": 1e300}`, 1, "expected a whole number"},
		{"a duration whose number is not one", `{"span": "e5ms"}`, 1, "expected a duration such as"},
		{"a duration that is too long", `{"span": "1e300s"}`, 1, "expected a duration such as"},
		{"a number instead of a duration", `{"span": 5}`, 1, `expected a duration such as`},
		{"an invalid duration", `{"span": "soon"}`, 1, `is "soon", expected a duration`},
		{"an invalid address", `{"address": "here"}`, 1, "expected an address and port"},
		{"a problem inside a list", "{\"parts\": [\n{\"id\": 1}]}", 2, "parts/0/id: is a number, expected a string"},
		{"an object instead of a list", `{"parts": {}}`, 1, "is an object, expected a list"},
		{"a truncated text", "{\n\"name\": ", 2, "is not JSON with comments"},
	} {
		t.Run(c.name, func(t *testing.T) { assertProblem(t, c.text, c.line, c.reason) })
	}
	for text, want := range map[string]int{"3": 3, "3.0": 3, "3e2": 300, "1.5E+1": 15, "0": 0, "-0.0": 0, "-7": -7} {
		t.Run("the whole number "+text, func(t *testing.T) {
			var got target
			problems := Decode([]byte(`{"count": `+text+`}`), &got)
			assert.Equal(t, len(problems), 0, "%v", problems)
			assert.Equal(t, got.Count, want)
		})
	}
	for text, want := range map[string]time.Duration{
		"6000ms": 6 * time.Second, "6000.0ms": 6 * time.Second, "6e3ms": 6 * time.Second, "1.5E+00s": 1500 * time.Millisecond,
		"0s": 0, "0e0s": 0, "62.5ms": 62500 * time.Microsecond,
	} {
		t.Run("the duration "+text, func(t *testing.T) {
			var got target
			problems := Decode([]byte(`{"span": "`+text+`"}`), &got)
			assert.Equal(t, len(problems), 0, "%v", problems)
			assert.Equal(t, got.Span, want)
		})
	}
	t.Run("all problems are reported by one call", func(t *testing.T) {
		var got target
		assert.Equal(t, len(Decode([]byte(`{"count": "x", "on": 1, "nam": 2}`), &got)), 3)
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(`{"name": "a", "parts": [{"id": 1}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		var got target
		for _, p := range Decode([]byte(text), &got) {
			assert.Assert(t, p.Line >= 1 && p.Line <= 1+strings.Count(text, "\n"))
		}
	})
}
