package coltsgateway

// Writing of HTTP/1.1 response heads and chunks, and classification of connection errors.

import (
	"io"
	"net"
	"os"
	"strconv"
	"syscall"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// appendStatusLine appends the status line of a response.
func appendStatusLine(dst []byte, status int) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, fasthttp.StatusMessage(status)...)
	return append(dst, "\r\n"...)
}

// finishHeadWithLength appends the Content-Length header and ends the head.
func finishHeadWithLength(dst []byte, n int, closeConn bool) []byte {
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(n), 10)
	dst = append(dst, "\r\n"...)
	return finishHead(dst, closeConn)
}

// finishHead appends the Connection header if closeConn is set, and ends the head.
func finishHead(dst []byte, closeConn bool) []byte {
	if closeConn {
		dst = append(dst, "Connection: close\r\n"...)
	}
	return append(dst, "\r\n"...)
}

// appendChunk appends one chunk of a chunked body.
func appendChunk(dst, data []byte) []byte {
	dst = strconv.AppendInt(dst, int64(len(data)), 16)
	dst = append(dst, "\r\n"...)
	dst = append(dst, data...)
	return append(dst, "\r\n"...)
}

// lastChunk is the final chunk of a chunked body.
const lastChunk = "0\r\n\r\n"

// isTimeout reports whether a read or write passed its deadline.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout) ||
		errors.As(err, &netErr) && netErr.Timeout()
}

// isDisconnect reports whether the connection was closed or reset.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
