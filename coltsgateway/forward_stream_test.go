package coltsgateway

// Guards against events that are cut at another place because they arrive in parts, and against searching
// the beginning of a long event again with each read.

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// assertForwarded asserts what has been forwarded after each of some reads.
func assertForwarded(t *testing.T, reads []string, want ...string) {
	t.Helper()
	var s eventScan
	var buffer []byte
	for i, read := range reads {
		buffer = append(buffer, read...)
		end := s.endOfEvents(buffer)
		assert.Equal(t, string(buffer[:end]), want[i])
		buffer = buffer[end:]
		s.drop(end)
	}
}

func TestEventScan(t *testing.T) {
	t.Run("events that arrive at once", func(t *testing.T) {
		assertForwarded(t, []string{"a\n\nb\r\n\r\nc\r\rd\n"}, "a\n\nb\r\n\r\nc\r\r")
	})
	t.Run("an event in parts", func(t *testing.T) {
		assertForwarded(t, []string{"a", "\n", "\nb\n", "\n"}, "", "", "a\n\n", "b\n\n")
	})
	t.Run("a line end in parts", func(t *testing.T) {
		assertForwarded(t, []string{"a\r", "\nb\r", "\n", "\r\n"}, "", "", "", "a\r\nb\r\n\r\n")
	})
	t.Run("an event that ends with CR may be followed by the LF of its last line", func(t *testing.T) {
		assertForwarded(t, []string{"a\r\r", "\nb\r", "\r"}, "a\r\r", "\n", "b\r\r")
	})
	t.Run("each byte is searched once", func(t *testing.T) {
		var s eventScan
		long := []byte(strings.Repeat("a", 1<<10))
		for n := range len(long) {
			s.endOfEvents(long[:n])
			assert.Equal(t, s.searched, n)
		}
	})
}

// FuzzEventScan asserts that a text in parts has the same events as the whole text.
func FuzzEventScan(f *testing.F) {
	f.Add("a\n\nb\r\n\r\nc", 3)
	f.Fuzz(func(t *testing.T, text string, size int) {
		if strings.Contains(text, "\r") || size < 1 {
			return // whether an LF belongs to a CR before it depends on the parts
		}
		want := 0
		for event := range events([]byte(text)) {
			want += len(event)
		}
		var s eventScan
		got := 0
		for n := min(size, len(text)); ; n = min(n+size, len(text)) {
			end := s.endOfEvents([]byte(text[got:n]))
			s.drop(end)
			if got += end; n == len(text) {
				break
			}
		}
		assert.Equal(t, got, want)
	})
}
