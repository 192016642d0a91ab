package coltspool

// Idle connections are closed when they can't be used any more, when descriptors run out, and at the end.

import (
	"slices"
	"time"
)

// sweepIfDue closes the idle connections that can't be used any more, once in sweepPeriod. Those to an
// upstream that has left would otherwise stay open, as nobody asks for that address again.
func (p *Pool) sweepIfDue() {
	now, due := p.cfg.Now(), p.nextSweepAt.Load()
	next := now.Add(sweepPeriod)
	if now.Before(*due) || !p.nextSweepAt.CompareAndSwap(due, &next) {
		return
	}
	go func() {
		for i := range p.shards {
			for _, c := range p.shards[i].removeOver(now) {
				p.Drop(c)
			}
		}
	}()
}

// removeOver removes and returns the connections that can't be used any more.
func (s *poolShard) removeOver(now time.Time) []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var over []*Conn
	for addr, idle := range s.idle {
		kept := slices.DeleteFunc(idle, func(c *Conn) bool {
			if !c.isOver(now) {
				return false
			}
			over = append(over, c)
			return true
		})
		s.idle[addr] = kept
		if len(kept) == 0 {
			delete(s.idle, addr)
		}
	}
	return over
}

// closeLongestIdle closes the connection that has been idle longest and reports whether there was one.
func (p *Pool) closeLongestIdle() bool {
	var longest *Conn
	var longestSince time.Time
	for i := range p.shards {
		c, since := p.shards[i].longestIdle()
		if c != nil && (longest == nil || since.Before(longestSince)) {
			longest, longestSince = c, since
		}
	}
	if longest == nil || !p.shard(longest.Addr).remove(longest) {
		return false
	}
	p.Drop(longest)
	return true
}

// longestIdle returns the connection that has been idle longest, nil if there is none, and since when.
func (s *poolShard) longestIdle() (*Conn, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest *Conn
	var longestSince time.Time
	for _, idle := range s.idle {
		if len(idle) > 0 && (longest == nil || idle[0].idleSince.Before(longestSince)) {
			longest, longestSince = idle[0], idle[0].idleSince
		}
	}
	return longest, longestSince
}

// remove removes an idle connection and reports whether it was still idle.
func (s *poolShard) remove(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.idle[c.Addr], c)
	if i < 0 {
		return false
	}
	s.idle[c.Addr] = slices.Delete(s.idle[c.Addr], i, i+1)
	return true
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	for i := range p.shards {
		for _, c := range p.shards[i].removeAll() {
			p.Drop(c)
		}
	}
}

func (s *poolShard) removeAll() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*Conn
	for addr, idle := range s.idle {
		all = append(all, idle...)
		delete(s.idle, addr)
	}
	return all
}
