package coltsgateway

// The few lines of HTTP that the instance writes itself, and what its errors mean.

import (
	"io"
	"net"
	"os"
	"strconv"
	"syscall"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// appendHead appends the first line of an answer.
func appendHead(dst []byte, status int) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, fasthttp.StatusMessage(status)...)
	return append(dst, "\r\n"...)
}

// appendLength ends a head whose body has a known length.
func appendLength(dst []byte, n int, closes bool) []byte {
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(n), 10)
	dst = append(dst, "\r\n"...)
	return appendConnection(dst, closes)
}

// appendConnection ends a head with what becomes of the connection.
func appendConnection(dst []byte, closes bool) []byte {
	if closes {
		dst = append(dst, "Connection: close\r\n"...)
	}
	return append(dst, "\r\n"...)
}

// appendChunk appends one chunk of a body.
func appendChunk(dst, data []byte) []byte {
	dst = strconv.AppendInt(dst, int64(len(data)), 16)
	dst = append(dst, "\r\n"...)
	dst = append(dst, data...)
	return append(dst, "\r\n"...)
}

// lastChunk ends a chunked body.
const lastChunk = "0\r\n\r\n"

// isTimeout says whether a read or write ended by its deadline.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout) ||
		errors.As(err, &netErr) && netErr.Timeout()
}

// isBroken says whether a connection ended.
func isBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
