package coltssystem

// Answers of upstreams that are no HTTP/1.1, at the entry: prompts, calls, and health answers.

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltscaller"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
)

// damage is what the connections of a system's entries make of the status lines of answers.
type damage struct {
	// statusLine replaces each status line of success; nil for not. only is the one upstream whose answers are
	// damaged, the zero address for all.
	statusLine atomic.Pointer[string]
	only       atomic.Pointer[netip.AddrPort]
}

const soundStatusLine = "HTTP/1.1 200 OK\r\n"

func (d *damage) set(statusLine string, only netip.AddrPort) {
	d.only.Store(&only)
	d.statusLine.Store(&statusLine)
}

func (d *damage) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	nc, err := dialer.DialContext(ctx, "tcp", addr.String())
	return &damagedConn{Conn: nc, damage: d, addr: addr}, err
}

// damagedConn is a connection to an upstream.
type damagedConn struct {
	net.Conn
	damage *damage
	addr   netip.AddrPort
}

// Read reads from the upstream. The stand-ins write a head at once, so a status line is in one read.
func (c *damagedConn) Read(p []byte) (int, error) {
	statusLine := c.damage.statusLine.Load()
	if statusLine == nil || c.damage.only.Load().IsValid() && c.addr != *c.damage.only.Load() {
		return c.Conn.Read(p)
	}
	n, err := c.Conn.Read(p[:len(p)/2])
	text := bytes.ReplaceAll(p[:n], []byte(soundStatusLine), []byte(*statusLine))
	return copy(p, text), err
}

func TestUnreadableAnswers(t *testing.T) {
	for name, statusLine := range map[string]string{
		"status 000":                      "HTTP/1.1 000 OK\r\n",
		"status 600":                      "HTTP/1.1 600 OK\r\n",
		"a blank in a name":               soundStatusLine + "X Name: v\r\n",
		"a blank after a name":            soundStatusLine + "X-Name : v\r\n",
		"a blank in the length's name":    soundStatusLine + "Content-Length : 3\r\n",
		"a control byte in a name":        soundStatusLine + "X\x01Name: v\r\n",
		"a bare line feed":                "HTTP/1.1 200 OK\n",
		"an interim head of status 000":   "HTTP/1.1 000 x\r\n\r\n" + soundStatusLine,
		"an interim head with a blank":    "HTTP/1.1 103 x\r\nX Name: v\r\n\r\n" + soundStatusLine,
		"a switch of protocols before it": "HTTP/1.1 101 x\r\n\r\n" + soundStatusLine,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var d damage
			var log syncBuffer
			s := startSystem(t, func(c *Config) {
				c.Entries, c.Stores, c.Dial = 1, 0, d.dial
				c.Log = coltslog.New(coltslog.Config{Output: &log, Level: "info"})
			})
			client, addr := newSeedPaperClient(), s.Entries[0].CallerAddr()
			t.Run("a call gets a true refusal at once and runs once", func(t *testing.T) {
				d.set(statusLine, netip.AddrPort{})
				began := time.Now()
				r, err := client.Call(addr, coltscaller.Call{Service: ServiceName, IdempotencyKey: name})
				assert.NilError(t, err)
				assert.Equal(t, r.Outcome, "unknown", "status %d, body %q", r.Status, r.Body)
				assert.Assert(t, time.Since(began) < time.Second, "%v", time.Since(began))
				assert.Equal(t, s.runCount(name), 1)
			})
			t.Run("a prompt comes whole from another runner", func(t *testing.T) {
				d.set(statusLine, s.Runners[0].Addr())
				for i := range 6 {
					p := newPrompt(fmt.Sprint(name, i), 0)
					r, err := client.Stream(addr, p)
					assertComplete(t, p, r, err)
				}
			})
			t.Run("an idle connection with such a health answer is not used", func(t *testing.T) {
				d.set(soundStatusLine, netip.AddrPort{})
				r, err := client.Call(addr, coltscaller.Call{Service: ServiceName, IdempotencyKey: name + "first"})
				assert.NilError(t, err)
				assert.Equal(t, r.Outcome, "ran")
				before := s.sumMetric(coltsmetric.SilentConnections)
				d.set(statusLine, netip.AddrPort{})
				_, err = client.Call(addr, coltscaller.Call{Service: ServiceName, IdempotencyKey: name + "second"})
				assert.NilError(t, err)
				assert.Assert(t, s.sumMetric(coltsmetric.SilentConnections) > before)
			})
			t.Run("a counter and log lines name the cause", func(t *testing.T) {
				n := s.sumMetric(coltsmetric.UnreadableAnswers)
				assert.Assert(t, n >= 3, "%d", n)
				assert.Assert(t, strings.Count(log.String(), "it is not HTTP/1.1") >= 3, log.String())
			})
		})
	}
}

// syncBuffer holds the lines of a log.
type syncBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}
