// Package coltsresponse reads HTTP/1.1 responses. It alone decides whether bytes are a readable response.
//
// Responses of other processes may be forwarded, so they must mean the same to every parser on their way.
// HTTP libraries accept more than the grammar of RFC 9110 and RFC 9112: any three digits as a status, spaces
// in field names, line feeds without carriage returns. Heads are therefore checked before a library parses
// them, and bodies are read by the framing that the check has found.
package coltsresponse

import (
	"errors"
	"fmt"
)

// Part is the part of a response that can't be read.
type Part string

// The parts.
const (
	PartStatusLine Part = "status-line"
	PartField      Part = "field"
	PartFraming    Part = "framing"
	PartInterim    Part = "interim"
	PartChunk      Part = "chunk"
	PartTrailer    Part = "trailer"
	// PartLine is a line, or a head, that is longer than the buffer of its connection.
	PartLine Part = "line"
)

// UnreadableError reports bytes that are no HTTP/1.1 response, or one that can't be read without the risk that
// another parser reads it differently. The connection can't be used any more.
type UnreadableError struct {
	Part   Part
	Detail string
}

// Error returns the part and the detail.
func (e *UnreadableError) Error() string {
	return fmt.Sprintf("it is not HTTP/1.1: %s: %s", e.Part, e.Detail)
}

// IsUnreadable reports whether err is or wraps an UnreadableError.
func IsUnreadable(err error) bool {
	var unreadable *UnreadableError
	return errors.As(err, &unreadable)
}

// maxDetailBytes bounds the detail of an error, which quotes the response.
const maxDetailBytes = 160

// unreadable returns an UnreadableError whose detail is formatted as by fmt.Sprintf.
func unreadable(part Part, format string, args ...any) error {
	detail := fmt.Sprintf(format, args...)
	return &UnreadableError{Part: part, Detail: detail[:min(len(detail), maxDetailBytes)]}
}
