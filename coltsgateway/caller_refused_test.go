package coltsgateway

// Guards against memory that is taken for free, or for taken, when connections are chosen to end.

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsbuffer"
)

func TestRefusedConnection(t *testing.T) {
	t.Run("a connection whose request was refused holds no body", func(t *testing.T) {
		g := startTestGateway(t, 96, Dialect{})
		nc, err := net.Dial("tcp", g.CallerAddr().String())
		assert.NilError(t, err)
		defer func() { _ = nc.Close() }()
		assert.NilError(t, nc.SetDeadline(time.Now().Add(5*time.Second)))
		_, err = io.WriteString(nc, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\nx")
		assert.NilError(t, err)
		_, err = http.ReadResponse(bufio.NewReader(nc), nil)
		assert.NilError(t, err)
		// The connection lingers so that the response is not overtaken by a reset.
		for _, c := range g.openConns.all() {
			assert.Equal(t, c.state.holder().Held, coltsbuffer.ConnectionBytes)
		}
		assert.Equal(t, g.buffers.Used(), g.openConns.count()*coltsbuffer.ConnectionBytes)
	})
}
