// Package coltsorganisation is the aggregate of an organisation's use of an entry. It
// limits concurrent requests and the token rate, and reports which organisations exceed
// their fair share.
package coltsorganisation

// Limits apply per organisation and not per API key, so that an organisation can't
// increase its share by creating more keys.

import (
	"fmt"
	"sync"
	"time"

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

// burstTolerance is how far an organisation may be ahead of its token rate: new
// requests are refused once its tokens take longer than this to be paid off at the rate.
const burstTolerance = 2 * time.Second

// LimitError is returned when an organisation has reached one of its limits.
type LimitError struct {
	Organisation coltsidentity.Organisation
	// Limit is the name of the limit in the document.
	Limit string
	// RetryAt is when a request can be admitted again; zero if that is not known.
	RetryAt time.Time
}

// Error returns a message with the organisation and the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("organisation %s is at its limit %s", e.Organisation, e.Limit)
}

// AdmissionController decides which requests are admitted. It tracks the usage of every
// organisation, sharded by ID, and is safe for concurrent use.
type AdmissionController struct {
	shards [coltsshard.Count]admissionShard
}

type admissionShard struct {
	mu    sync.Mutex
	usage map[coltsidentity.Organisation]*organisationUsage
}

// organisationUsage is the current usage of one organisation.
type organisationUsage struct {
	// inFlight is the number of in-flight requests.
	inFlight int
	// tokens is the number of prompt tokens of the in-flight requests.
	tokens int64
	// weight is the organisation's weight in the document at its last admission.
	weight int
	// theoreticalArrival is when all tokens charged so far are paid off at the
	// organisation's rate, as in the generic cell rate algorithm (GCRA).
	theoreticalArrival time.Time
}

// NewAdmissionController returns an admission controller without in-flight requests.
func NewAdmissionController() *AdmissionController {
	a := &AdmissionController{}
	for i := range a.shards {
		a.shards[i].usage = map[coltsidentity.Organisation]*organisationUsage{}
	}
	return a
}

// Admit admits a request and charges its prompt tokens, or returns a LimitError and
// changes nothing. For each admitted request, Release must be called exactly once.
func (a *AdmissionController) Admit(o coltsdocument.Organisation, tokens int64, now time.Time) error {
	s := &a.shards[coltsshard.Of(o.ID)]
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.getOrCreateLocked(o.ID)
	if o.MaxConcurrentRequests > 0 && u.inFlight >= o.MaxConcurrentRequests {
		return &LimitError{Organisation: o.ID, Limit: "concurrent"}
	}
	if o.TokensPerSecond > 0 && u.theoreticalArrival.After(now.Add(burstTolerance)) {
		return &LimitError{
			Organisation: o.ID, Limit: "tokens-per-second", RetryAt: u.theoreticalArrival.Add(-burstTolerance),
		}
	}
	u.inFlight++
	u.tokens += tokens
	u.weight = max(1, o.Weight)
	u.charge(o, tokens, now)
	return nil
}

// ExceedsFairShare reports whether the in-flight requests of an organisation have more
// prompt tokens than its fair share by weight among the organisations with in-flight
// requests. Callers use it so that an organisation within its share isn't refused
// because others exceed theirs.
func (a *AdmissionController) ExceedsFairShare(id coltsidentity.Organisation) bool {
	var tokens, weight int64
	for i := range a.shards {
		t, w := a.shards[i].totals()
		tokens += t
		weight += w
	}
	s := &a.shards[coltsshard.Of(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	u, known := s.usage[id]
	return known && u.tokens*weight > tokens*int64(u.weight)
}

// totals returns the sums of the tokens and of the weights of the organisations that
// have in-flight requests.
func (s *admissionShard) totals() (tokens, weight int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.usage {
		if u.inFlight > 0 {
			tokens += u.tokens
			weight += int64(u.weight)
		}
	}
	return tokens, weight
}

// Release records the end of a request. admittedTokens is the number that was passed to
// Admit. moreTokens is the number of tokens that were not known then, such as the
// generated ones; they are charged now.
func (a *AdmissionController) Release(o coltsdocument.Organisation, admittedTokens, moreTokens int64, now time.Time) {
	s := &a.shards[coltsshard.Of(o.ID)]
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.getOrCreateLocked(o.ID)
	u.inFlight--
	u.tokens -= admittedTokens
	u.charge(o, moreTokens, now)
	if u.inFlight == 0 && !u.theoreticalArrival.After(now) {
		delete(s.usage, o.ID)
	}
}

// InFlight returns the number of in-flight requests of an organisation.
func (a *AdmissionController) InFlight(id coltsidentity.Organisation) int {
	s := &a.shards[coltsshard.Of(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	u, known := s.usage[id]
	if !known {
		return 0
	}
	return u.inFlight
}

func (s *admissionShard) getOrCreateLocked(id coltsidentity.Organisation) *organisationUsage {
	u, known := s.usage[id]
	if !known {
		u = &organisationUsage{}
		s.usage[id] = u
	}
	return u
}

// charge moves theoreticalArrival by the time that tokens take at the organisation's
// rate. It does nothing if the organisation has no rate limit.
func (u *organisationUsage) charge(o coltsdocument.Organisation, tokens int64, now time.Time) {
	if o.TokensPerSecond <= 0 {
		return
	}
	if u.theoreticalArrival.Before(now) {
		u.theoreticalArrival = now
	}
	u.theoreticalArrival = u.theoreticalArrival.Add(
		time.Duration(tokens) * time.Second / time.Duration(o.TokensPerSecond))
}
