package coltscaller

// Answers of entries that are no HTTP/1.1.

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsresponse"
)

// serveAnswer answers each connection's first request with a text and returns its address.
func serveAnswer(t *testing.T, text string) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(nc, text)
			}
			_ = nc.Close()
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

func TestUnreadableAnswers(t *testing.T) {
	const body = "data: {\"choices\":[]}\n\ndata: [DONE]\n\n"
	for name, begin := range map[string]string{
		"status 000":        "HTTP/1.1 000 OK\r\n",
		"a blank in a name": "HTTP/1.1 200 OK\r\nX Name: v\r\n",
		"a bare line feed":  "HTTP/1.1 200 OK\n",
		"an interim head":   "HTTP/1.1 103 x\r\nX Name: v\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		t.Run(name+" is no answer to a prompt or a call", func(t *testing.T) {
			addr := serveAnswer(t, begin+"\r\n"+body)
			_, err := New(Config{}).Stream(addr, Prompt{})
			assert.Assert(t, coltsresponse.IsUnreadable(err), "%v", err)
			_, err = New(Config{}).Call(addr, Call{})
			assert.Assert(t, coltsresponse.IsUnreadable(err), "%v", err)
		})
	}
	t.Run("a sound answer is read", func(t *testing.T) {
		addr := serveAnswer(t, "HTTP/1.1 200\r\n\r\n"+body)
		reply, err := New(Config{}).Stream(addr, Prompt{})
		assert.NilError(t, err)
		assert.Assert(t, reply.Complete)
		call, err := New(Config{}).Call(addr, Call{})
		assert.NilError(t, err)
		assert.Equal(t, string(call.Body), body)
	})
}
