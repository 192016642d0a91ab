package coltswarmup

// What a gateway holds for one process. A permit for a later time replaces the earlier one rather than
// adding to it, so that a gateway without requests collects none.

import "time"

// Permits holds a gateway's permits for one process. The zero value holds none. It is not safe for
// concurrent use; its owner's lock guards it.
type Permits struct {
	left  int
	until time.Time
}

// Replace replaces the permits with those that control has dealt.
func (p *Permits) Replace(permit Permit) { p.left, p.until = permit.Requests, permit.Until }

// Available reports whether there is a permit.
func (p *Permits) Available(now time.Time) bool { return p.left > 0 && now.Before(p.until) }

// Take takes a permit and returns until when its request may be sent. It returns the zero time if there
// is none.
func (p *Permits) Take(now time.Time) time.Time {
	if !p.Available(now) {
		return time.Time{}
	}
	p.left--
	return p.until
}
