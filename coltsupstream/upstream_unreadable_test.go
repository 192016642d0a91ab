package coltsupstream

// Answers that are no HTTP/1.1, for each kind of request, and answers to an upload that is not finished.

import (
	"bytes"
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsorder"
	"coltsfootstall/coltsresponse"
)

func TestUnreadableAnswers(t *testing.T) {
	var broken atomic.Int32
	client := New(Config{SilenceTimeout: silence, ProbeTimeout: silence, OnBrokenAnswer: func(_ netip.AddrPort, err error) {
		if coltsresponse.IsUnreadable(err) {
			broken.Add(1)
		}
	}})
	for name, begin := range map[string]string{
		"status 000":                  "HTTP/1.1 000 OK\r\n",
		"a blank in a name":           "HTTP/1.1 200 OK\r\nX Name: v\r\n",
		"a blank after a name":        "HTTP/1.1 200 OK\r\nX-Name : v\r\n",
		"a control byte in a name":    "HTTP/1.1 200 OK\r\nX\x01Name: v\r\n",
		"an interim head":             "HTTP/1.1 103 x\r\nX Name: v\r\n\r\nHTTP/1.1 200 OK\r\n",
		"an interim head of status 1": "HTTP/1.1 001 x\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		for framing, rest := range map[string]string{
			"with a length": "Content-Length: 2\r\n\r\n{}", "with chunks": "Transfer-Encoding: chunked\r\n\r\n" + chunk("{}") + "0\r\n\r\n", "ended by a close": "\r\n{}",
		} {
			answer := func(id string) string { return begin + coltscodec.HeaderRequest + ": " + id + "\r\n" + rest }
			addr := serveCut(t, answer, 1<<10, false)
			ctx := context.Background()
			requests := map[string]func(t *testing.T) error{
				"a request": func(*testing.T) error {
					if _, failure := client.Do(ctx, newRequest(addr)); failure != nil {
						return failure
					}
					return nil
				},
				"a stream": func(t *testing.T) error {
					if _, failure := client.Open(ctx, newRequest(addr)); failure != nil {
						assert.Equal(t, failure.Phase, coltsattempt.PhaseSent)
						assert.Assert(t, !failure.Crashed)
						return failure
					}
					return nil
				},
				"a lookup": func(*testing.T) error {
					_, err := client.Lookup(ctx, addr, nil, time.Now().Add(time.Second))
					return err
				},
				"an export": func(*testing.T) error {
					_, err := client.Export(ctx, addr, addr, nil, time.Now().Add(time.Second))
					return err
				},
				"an order": func(*testing.T) error {
					return client.Order(ctx, coltsorder.Order{Addr: addr, Deadline: time.Now().Add(time.Second)})
				},
				"a cancellation": func(*testing.T) error {
					return client.Cancel(ctx, addr, newRequest(addr).ID, time.Now().Add(time.Second))
				},
			}
			for kind, send := range requests {
				t.Run(name+" "+framing+" is no answer to "+kind, func(t *testing.T) {
					before, began := broken.Load(), time.Now()
					assert.ErrorContains(t, send(t), "can't be read")
					assert.Equal(t, broken.Load(), before+1)
					assert.Assert(t, time.Since(began) < silence, "%v", time.Since(began))
				})
			}
		}
	}
}

func TestResetUploads(t *testing.T) {
	client := New(Config{SilenceTimeout: time.Second, ProbeTimeout: silence})
	for name, rest := range map[string]string{
		"with a length": "Content-Length: 9\r\n\r\npart", "with chunks": "Transfer-Encoding: chunked\r\n\r\n" + chunk("part"), "ended by a close": "\r\npart",
	} {
		t.Run("a part of an answer "+name+" to an upload is no answer", func(t *testing.T) {
			// Only the head of the request is read, so its body is still being written when the reset comes.
			r := newRequest(serveCut(t, func(id string) string {
				return "HTTP/1.1 200 OK\r\n" + coltscodec.HeaderRequest + ": " + id + "\r\n" + rest
			}, 1<<10, true))
			r.Body = bytes.Repeat([]byte("a"), 24<<20)
			a, failure := client.Do(context.Background(), r)
			assert.Assert(t, failure != nil, "status %d, body %q", a.Status, a.Body)
			assert.Equal(t, failure.Phase, coltsattempt.PhaseSent)
		})
	}
}
