package coltslink

// Answers between the system's own processes, which speak HTTP/2: none that breaks its framing or has an invalid
// head counts as an answer.

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltswire/coltspb"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

// Frames of HTTP/2 and their flags, by RFC 9113, section 6.
const (
	frameData      = 0
	frameHeaders   = 1
	frameReset     = 3
	frameSettings  = 4
	flagEndStream  = 1
	flagAck        = 1
	flagEndHeaders = 4
	frameHeadBytes = 9
)

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload string) string {
	n := len(payload)
	head := []byte{byte(n >> 16), byte(n >> 8), byte(n), kind, flags}
	return string(binary.BigEndian.AppendUint32(head, stream)) + payload
}

// fields returns an encoded block of fields, each a name and a value. No text may be longer than 126 bytes.
func fields(pairs ...string) string {
	var b strings.Builder
	for i := 0; i < len(pairs); i += 2 {
		b.WriteByte(0) // a literal field that is not indexed
		for _, text := range pairs[i : i+2] {
			b.WriteByte(byte(len(text)))
			b.WriteString(text)
		}
	}
	return b.String()
}

// serveLink answers the first call on each connection with text and closes the connection after a while. text gets
// the number of the call's stream.
func serveLink(t *testing.T, text func(stream uint32) string) netip.AddrPort {
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
			go answerCall(nc, text)
		}
	}()
	return AddrOf(ln)
}

func answerCall(nc net.Conn, text func(stream uint32) string) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	if _, err := br.Discard(len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")); err != nil {
		return
	}
	for {
		head := make([]byte, frameHeadBytes)
		if _, err := io.ReadFull(br, head); err != nil {
			return
		}
		if _, err := br.Discard(int(head[0])<<16 | int(head[1])<<8 | int(head[2])); err != nil {
			return
		}
		if head[3] == frameHeaders {
			_, _ = io.WriteString(nc, text(binary.BigEndian.Uint32(head[5:])))
			time.Sleep(100 * time.Millisecond)
			return
		}
	}
}

// call sends a call to the process at an address.
func call(addr netip.AddrPort) (*coltspb.FleetReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return coltspbconnect.NewPeerClient(NewClient(Config{}), URL(addr)).Fleet(ctx, &coltspb.FleetRequest{})
}

func TestAnswers(t *testing.T) {
	const sound = "application/proto"
	settings := frame(frameSettings, 0, 0, "") + frame(frameSettings, flagAck, 0, "")
	answer := func(rest func(stream uint32) string, pairs ...string) func(stream uint32) string {
		return func(stream uint32) string {
			return settings + frame(frameHeaders, flagEndHeaders, stream, fields(pairs...)) + rest(stream)
		}
	}
	end := func(stream uint32) string { return frame(frameData, flagEndStream, stream, "") }
	t.Run("a sound answer is one", func(t *testing.T) {
		_, err := call(serveLink(t, answer(end, ":status", "200", "content-type", sound, "!#$%&'*+-.^_`|~", "")))
		assert.NilError(t, err)
	})
	for name, text := range map[string]func(stream uint32) string{
		"status 000":               answer(end, ":status", "000", "content-type", sound),
		"status 099":               answer(end, ":status", "099", "content-type", sound),
		"status 600":               answer(end, ":status", "600", "content-type", sound),
		"no status":                answer(end, "content-type", sound),
		"a status that is no code": answer(end, ":status", "2x0", "content-type", sound),
		"a blank in a name":        answer(end, ":status", "200", "content-type", sound, "x name", "v"),
		"a blank after a name":     answer(end, ":status", "200", "content-type", sound, "x-name ", "v"),
		"a control byte in a name": answer(end, ":status", "200", "content-type", sound, "x\x01name", "v"),
		"an upper case name":       answer(end, ":status", "200", "content-type", sound, "X-Name", "v"),
		"an invalid value":         answer(end, ":status", "200", "content-type", sound, "x-name", "a\x00b"),
		"an interim head with a blank": func(stream uint32) string {
			return answer(func(uint32) string { return "" }, ":status", "103", "x name", "v")(stream) +
				answer(end, ":status", "200", "content-type", sound)(stream)
		},
		"no end": answer(func(uint32) string { return "" }, ":status", "200", "content-type", sound),
		"a body shorter than its length": answer(func(stream uint32) string {
			return frame(frameData, flagEndStream, stream, "ab")
		}, ":status", "200", "content-type", sound, "content-length", "5"),
		"a reset": answer(func(stream uint32) string {
			return frame(frameData, 0, stream, "ab") + frame(frameReset, 0, stream, "\x00\x00\x00\x02")
		}, ":status", "200", "content-type", sound),
		"HTTP/1.1": func(uint32) string {
			return "HTTP/1.1 200 OK\r\nContent-Type: " + sound + "\r\nContent-Length: 0\r\n\r\n"
		},
		"HTTP/1.1 with status 000": func(uint32) string {
			return "HTTP/1.1 000 OK\r\nContent-Type: " + sound + "\r\nContent-Length: 0\r\n\r\n"
		},
	} {
		t.Run(name+" is no answer", func(t *testing.T) {
			t.Parallel()
			reply, err := call(serveLink(t, text))
			assert.Assert(t, err != nil, "%v", reply)
		})
	}
}
