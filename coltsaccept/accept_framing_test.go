package coltsaccept

// Guards against requests whose end is found elsewhere than by fasthttp: lines of the heads behind them would
// not be counted, and a crowd could exhaust the memory with them.

import (
	"bufio"
	"errors"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// assertSecondHeadCounted asserts that too many lines in the head behind a request are noticed, unless the
// request itself is refused, and that fasthttp accepts the request and finds that head.
func assertSecondHeadCounted(t *testing.T, first, second string) {
	t.Helper()
	br := bufio.NewReader(strings.NewReader(first + second + "\r\n"))
	var req fasthttp.Request
	assert.NilError(t, req.Read(br))
	assert.NilError(t, req.Read(br))
	f := framing{}
	err := f.scan([]byte(first + second + repeatedLines(maxLines)))
	assert.Assert(t, errors.Is(err, errTooManyLines) || errors.Is(err, errLongLength), "got %v", err)
}

func TestSecondHead(t *testing.T) {
	const hexMethod = "FFFFFFFFFFFFFF / HTTP/1.1\r\nHost: a\r\n"
	for name, first := range map[string]string{
		"the transfer encoding identity":         postOfTest + "Transfer-Encoding: identity\r\n\r\n",
		"the same behind many spaces":            postOfTest + "Transfer-Encoding:" + strings.Repeat(" ", 40) + "identity\r\n\r\n",
		"the same on two lines":                  postOfTest + "Transfer-Encoding:\r\n identity\r\n\r\n",
		"a length on two lines":                  postOfTest + "Content-Length:\r\n 36\r\n\r\n" + "P / HTTP/1.1\r\nContent-Length: 9999\r\n\r\n",
		"a method that is the name of a framing": "Transfer-Encoding / HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		t.Run("a head after "+name, func(t *testing.T) { assertSecondHeadCounted(t, first, hexMethod) })
	}
}
