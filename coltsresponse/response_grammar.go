package coltsresponse

// The grammar of the lines of a response, from RFC 9112, sections 4, 5 and 7.1, and RFC 9110, section 5. Each
// check also takes a line whose end has not arrived, so that a response is given up at its first wrong byte.

import (
	"bytes"
	"regexp"
	"strings"
)

const (
	// statusForm is the start of a status line; # stands for a digit. Every 1.x has the syntax of 1.1.
	statusForm = "HTTP/1.# ###"
	// minorAt and statusAt are the indexes of the minor version and of the status in a status line.
	minorAt  = len("HTTP/1.")
	statusAt = len("HTTP/1.# ")
	// minClass and maxClass are the first digits of the lowest and the highest status.
	minClass = '1'
	maxClass = '5'
	// maxChunkDigits is the longest length of a chunk that can't overflow.
	maxChunkDigits = 15
)

// chunkExtensions matches the extensions of a chunk.
var chunkExtensions = func() *regexp.Regexp {
	const (
		token  = "[!#$%&'*+.^_`|~0-9A-Za-z-]+"
		quoted = `"(?:[^"\\\x00-\x08\x0a-\x1f\x7f]|\\[^\x00-\x08\x0a-\x1f\x7f])*"`
	)
	return regexp.MustCompile("^(?:[ \t]*;[ \t]*" + token + "(?:[ \t]*=[ \t]*(?:" + token + "|" + quoted + "))?)*$")
}()

// checkStatusLine checks a status line. The space before an empty reason phrase may be missing, which RFC 9112
// lets recipients accept.
func checkStatusLine(line []byte, complete bool) error {
	for i, c := range line {
		ok := isText(c)
		switch {
		case i == len(statusForm):
			ok = c == ' '
		case i < len(statusForm) && statusForm[i] == '#':
			ok = isDigit(c)
		case i < len(statusForm):
			ok = c == statusForm[i]
		}
		if !ok {
			return unreadable(PartStatusLine, "unexpected %q at position %d of %q", c, i, line)
		}
	}
	if len(line) > statusAt && (line[statusAt] < minClass || line[statusAt] > maxClass) {
		return unreadable(PartStatusLine, "the status of %q is not in 100 to 599", line)
	}
	if complete && len(line) < len(statusForm) {
		return unreadable(PartStatusLine, "%q ends before its status", line)
	}
	return nil
}

// checkFieldOf returns the check of the lines of a head or a trailer, of which the last one is empty.
func checkFieldOf(part Part) func(line []byte, complete bool) error {
	return func(line []byte, complete bool) error {
		if complete && len(line) == 0 {
			return nil
		}
		return checkFieldLine(part, line, complete)
	}
}

// checkFieldLine checks the line of a field. The grammar has neither a space before the colon nor a line that
// continues the one before; parsers that accept these differ on what they mean.
func checkFieldLine(part Part, line []byte, complete bool) error {
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	for _, c := range name {
		if !isTokenByte(c) {
			return unreadable(part, "%q in the name of %q", c, line)
		}
	}
	for _, c := range value {
		if !isText(c) {
			return unreadable(part, "%q in the value of %q", c, line)
		}
	}
	if hasColon && len(name) == 0 || complete && !hasColon {
		return unreadable(part, "%q has no name, or no colon", line)
	}
	return nil
}

// checkChunkLine checks the line before the data of a chunk.
func checkChunkLine(line []byte, complete bool) error {
	digits := countHexDigits(line)
	if digits > maxChunkDigits || digits == 0 && (complete || len(line) > 0) {
		return unreadable(PartChunk, "%q does not begin with a length", line)
	}
	extensions := line[digits:]
	if complete && len(extensions) > 0 && !chunkExtensions.Match(extensions) {
		return unreadable(PartChunk, "%q has something else than extensions behind its length", line)
	}
	return checkText(PartChunk, extensions)
}

// checkText checks that a text has no control bytes.
func checkText(part Part, text []byte) error {
	for _, c := range text {
		if !isText(c) {
			return unreadable(part, "%q in %q", c, text)
		}
	}
	return nil
}

func countHexDigits(line []byte) int {
	for i, c := range line {
		if !isDigit(c) && (c|0x20 < 'a' || c|0x20 > 'f') {
			return i
		}
	}
	return len(line)
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isText reports whether a byte may stand in a reason phrase, a field's value or a quoted string: a tab, a
// space, or a visible or high byte.
func isText(c byte) bool { return c == '\t' || c >= ' ' && c != 0x7f }

// isTokenByte reports whether a byte may stand in a field's name.
func isTokenByte(c byte) bool {
	return isDigit(c) || c|0x20 >= 'a' && c|0x20 <= 'z' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
