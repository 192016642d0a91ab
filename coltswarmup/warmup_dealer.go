// Package coltswarmup limits the requests that a cold process gets from all gateways together.
//
// A process that has just started is slow and crashes at a rate of requests that it bears when it
// is warm. The leader of control deals permits for single requests, and a gateway sends nothing to
// a process that it knows to be cold without one.
package coltswarmup

// The permits for one process are dealt at least Span divided by its limit apart. No half-open interval
// of the length of Span then contains more permits than the limit, and all requests that arrive within
// one second were dealt within one such interval. Spacing them also spreads them over the gateways and
// over time: dealt all at once, most would expire before their gateways have a request for them.
//
// The state is kept by upstream ID rather than by process, so that a restart under the same ID gets no second
// allowance: a request with a permit for the earlier process may still reach the later one.

import (
	"sync"
	"sync/atomic"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltsshard"
)

const (
	// Validity is how long a permit is valid, from when its gateway asked. It covers three polls.
	Validity = 300 * time.Millisecond
	// transitAllowance is the longest time between the last check of a permit and the arrival of its
	// request at the upstream.
	transitAllowance = 200 * time.Millisecond
	// Span is the time between the first and the last permit that may arrive within the same second.
	Span = time.Second + Validity + transitAllowance
	// liveFor is how long a gateway counts as asking after a poll. It spans several polls.
	liveFor = 500 * time.Millisecond
)

// Cold is a cold process and the number of requests that may reach it in any second.
type Cold struct {
	Process coltsregistry.Process
	Limit   int
}

// Lease is the time in which this instance alone leads.
type Lease struct {
	Since time.Time
	Until time.Time
}

// Dealer deals permits, in shards by upstream. It is safe for concurrent use.
type Dealer struct {
	shards [coltsshard.Count]dealerShard
	turns  turns
	// first is where in the list of cold processes the next deal begins.
	first atomic.Uint64
}

type dealerShard struct {
	mu sync.Mutex
	// nextAt holds when the next permit for an upstream may be dealt.
	nextAt map[coltsidentity.Upstream]time.Time
}

// NewDealer returns a dealer that has dealt nothing.
func NewDealer() *Dealer {
	d := &Dealer{turns: turns{gateways: map[coltsidentity.Instance]turn{}}}
	for i := range d.shards {
		d.shards[i].nextAt = map[coltsidentity.Upstream]time.Time{}
	}
	return d
}

// Limit returns the number of requests that a process may get in a second: rate times excess plus slack,
// rounded down.
func Limit(rate, excess, slack float64) int { return int(rate*excess + slack) }

// Deal returns the processes for which a gateway that asks at now gets a permit for one request each. It
// gets at most an even share of the cold processes. A new leader deals nothing for a span, because it
// does not know what its predecessor has dealt.
func (d *Dealer) Deal(gateway coltsidentity.Instance, cold []Cold, lease Lease, now time.Time) []coltsregistry.Process {
	share := d.turns.ask(gateway, len(cold), now)
	if share == 0 || now.Before(lease.Since.Add(Span)) || !now.Before(lease.Until) {
		return nil
	}
	var dealt []coltsregistry.Process
	first := int(d.first.Add(1) % uint64(len(cold)))
	for i := range cold {
		c := cold[(first+i)%len(cold)]
		if len(dealt) < share && d.take(c, now) {
			dealt = append(dealt, c.Process)
		}
	}
	if len(dealt) > 0 {
		d.turns.drew(gateway)
	}
	return dealt
}

// take takes a permit for a process, and reports whether one was due.
func (d *Dealer) take(c Cold, now time.Time) bool {
	if c.Limit <= 0 {
		return false
	}
	s := &d.shards[coltsshard.Of(c.Process.ID)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.nextAt[c.Process.ID]) {
		return false
	}
	limit := time.Duration(c.Limit)
	s.nextAt[c.Process.ID] = now.Add((Span + limit - 1) / limit)
	return true
}

// Sweep forgets the upstreams for which a permit is due anyway and the gateways that no longer ask.
func (d *Dealer) Sweep(now time.Time) {
	d.turns.sweep(now)
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		for id, at := range s.nextAt {
			if !now.Before(at) {
				delete(s.nextAt, id)
			}
		}
		s.mu.Unlock()
	}
}

// turns lets gateways draw in turn: one that has drawn draws again only after all others that ask have
// drawn. It is one shard, because each turn depends on all gateways.
type turns struct {
	mu       sync.Mutex
	gateways map[coltsidentity.Instance]turn
}

type turn struct {
	liveUntil time.Time
	drawn     bool
}

// ask records that a gateway asks, and returns how many of n permits it may draw now.
func (t *turns) ask(gateway coltsidentity.Instance, n int, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.gateways[gateway]
	own.liveUntil = now.Add(liveFor)
	t.gateways[gateway] = own
	if n == 0 {
		return 0
	}
	waiting := 0
	for id, other := range t.gateways {
		if now.After(other.liveUntil) {
			delete(t.gateways, id)
		} else if !other.drawn {
			waiting++
		}
	}
	if own.drawn && waiting > 0 {
		return 0
	}
	if waiting == 0 {
		for id, other := range t.gateways {
			other.drawn = false
			t.gateways[id] = other
		}
	}
	return (n + len(t.gateways) - 1) / len(t.gateways)
}

// sweep forgets the gateways that no longer ask. ask does so only while an upstream is cold.
func (t *turns) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, g := range t.gateways {
		if now.After(g.liveUntil) {
			delete(t.gateways, id)
		}
	}
}

func (t *turns) drew(gateway coltsidentity.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.gateways[gateway]
	own.drawn = true
	t.gateways[gateway] = own
}

// Permit allows requests to a cold process until a time.
type Permit struct {
	Process  coltsregistry.Process
	Requests int
	Until    time.Time
}
