// Package coltsorganisation is the aggregate of an organisation's use of an
// entry: how much it has under way and how fast it may spend tokens.
package coltsorganisation

// Limits are kept per organisation and not per key, so that an organisation
// can't widen its share by making more keys.

import (
	"fmt"
	"sync"
	"time"

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

// burst is how far ahead of its rate an organisation may run.
const burst = 2 * time.Second

// LimitError reports that an organisation is at one of its limits.
type LimitError struct {
	Organisation coltsidentity.Organisation
	// Limit names the limit as the document does.
	Limit string
	// RetryAt is when there will be room again; zero if that is not known.
	RetryAt time.Time
}

// Error names the organisation and the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("organisation %s is at its limit %s", e.Organisation, e.Limit)
}

// AdmissionController holds the use of every organisation, in shards.
type AdmissionController struct {
	shards [coltsshard.Count]admissionShard
}

type admissionShard struct {
	mu  sync.Mutex
	use map[coltsidentity.Organisation]*use
}

// use is what one organisation has under way.
type use struct {
	underWay int
	// tokens are the prompt tokens of what is under way, and weight is the
	// organisation's as the document had it then.
	tokens int64
	weight int
	// paidUntil is when the tokens taken so far are paid off at the rate.
	paidUntil time.Time
}

// NewAdmission returns an admission in which nothing is under way.
func NewAdmission() *AdmissionController {
	a := &AdmissionController{}
	for i := range a.shards {
		a.shards[i].use = map[coltsidentity.Organisation]*use{}
	}
	return a
}

// Admit takes a place and tokens for a request, or returns a LimitError and
// takes nothing. Whoever is admitted must call Leave once.
func (a *AdmissionController) Admit(o coltsdocument.Organisation, tokens int64, now time.Time) error {
	s := &a.shards[coltsshard.Of(o.ID)]
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.get(o.ID)
	if o.Concurrent > 0 && u.underWay >= o.Concurrent {
		return &LimitError{Organisation: o.ID, Limit: "concurrent"}
	}
	if o.TokensPerSecond > 0 && u.paidUntil.After(now.Add(burst)) {
		return &LimitError{Organisation: o.ID, Limit: "tokens-per-second", RetryAt: u.paidUntil.Add(-burst)}
	}
	u.underWay++
	u.tokens += tokens
	u.weight = max(1, o.Weight)
	u.take(o, tokens, now)
	return nil
}

// OverShare says whether an organisation has more under way than its weight gives
// it among those that have anything under way. Who is within its share is not
// refused because others ask for more than theirs.
func (a *AdmissionController) OverShare(id coltsidentity.Organisation) bool {
	var tokens, weight int64
	for i := range a.shards {
		t, w := a.shards[i].sums()
		tokens += t
		weight += w
	}
	s := &a.shards[coltsshard.Of(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	u, known := s.use[id]
	return known && u.tokens*weight > tokens*int64(u.weight)
}

// sums returns the tokens under way and the weights of those that have any.
func (s *admissionShard) sums() (tokens, weight int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.use {
		if u.underWay > 0 {
			tokens += u.tokens
			weight += int64(u.weight)
		}
	}
	return tokens, weight
}

// Release gives the place back of a request that was admitted with some tokens, and
// takes the tokens that were not known then.
func (a *AdmissionController) Release(o coltsdocument.Organisation, admitted, moreTokens int64, now time.Time) {
	s := &a.shards[coltsshard.Of(o.ID)]
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.get(o.ID)
	u.underWay--
	u.tokens -= admitted
	u.take(o, moreTokens, now)
	if u.underWay == 0 && !u.paidUntil.After(now) {
		delete(s.use, o.ID)
	}
}

// UnderWay returns the number of an organisation's requests under way.
func (a *AdmissionController) UnderWay(id coltsidentity.Organisation) int {
	s := &a.shards[coltsshard.Of(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	u, known := s.use[id]
	if !known {
		return 0
	}
	return u.underWay
}

func (s *admissionShard) get(id coltsidentity.Organisation) *use {
	u, known := s.use[id]
	if !known {
		u = &use{}
		s.use[id] = u
	}
	return u
}

// take moves the time at which the organisation has paid off its tokens.
func (u *use) take(o coltsdocument.Organisation, tokens int64, now time.Time) {
	if o.TokensPerSecond <= 0 {
		return
	}
	if u.paidUntil.Before(now) {
		u.paidUntil = now
	}
	u.paidUntil = u.paidUntil.Add(time.Duration(tokens) * time.Second / time.Duration(o.TokensPerSecond))
}
