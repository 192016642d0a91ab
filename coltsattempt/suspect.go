package coltsattempt

// A crash says little about a request, because every request that was running on the upstream is
// charged with it, and one that is asked often runs on many upstreams at a time. So what counts is how
// many crashes a request has had one after the other, without a success anywhere in between.

import (
	"slices"
	"time"

	"coltsfootstall/coltsidentity"
)

const (
	// sameCause is the time within which crashes of several upstreams count as one, unless the request was
	// sent again in between: a loss of power takes many upstreams at once.
	sameCause = 100 * time.Millisecond
	// reportSlack is how much earlier than the crash before a run may seem to have begun and still count: the
	// reports of two instances are not delayed by the same time.
	reportSlack = 50 * time.Millisecond
	// maxSuspectCrashes is the greatest number of crashes that are kept of one request.
	maxSuspectCrashes = 32
)

// Crash is the crash of an upstream while it ran a request.
type Crash struct {
	Upstream coltsidentity.Upstream
	// SentAt is when the request was sent to the upstream, At when the upstream crashed. Releases
	// that don't report these times leave them zero.
	SentAt time.Time
	At     time.Time
	// Repeated is set if the request was sent after the crash before, by the clock of the instance that recorded
	// both. Times in reports are shifted by the reports' delays.
	Repeated bool
}

// Suspect is a request that was running on one or more upstreams when they crashed.
type Suspect struct {
	Fingerprint coltsidentity.Digest
	// Upstreams lists the upstreams that crashed since the request last succeeded, without duplicates.
	Upstreams []coltsidentity.Upstream
	// Crashes are their crashes by time. Releases that report Upstreams only leave it empty.
	Crashes []Crash
	// SucceededAt is when the request last succeeded; zero if that is not known.
	SucceededAt time.Time
	// TrialUntil is when the newest trial ends, FailedTrials the number of trials that ended with a crash
	// since the last success.
	TrialUntil   time.Time
	FailedTrials int
	// ExpiresAt is when the suspect expires and its crashes stop counting.
	ExpiresAt time.Time
}

// crashes returns the crashes of all upstreams, those without a known time first.
func (s Suspect) crashes() []Crash {
	var all []Crash
	for _, u := range s.Upstreams {
		if !slices.ContainsFunc(s.Crashes, func(c Crash) bool { return c.Upstream == u }) {
			all = append(all, Crash{Upstream: u})
		}
	}
	return append(all, s.Crashes...)
}

// setCrashes replaces the crashes. It keeps the newest ones if there are too many.
func (s *Suspect) setCrashes(crashes []Crash) {
	slices.SortStableFunc(crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	s.Crashes = crashes[max(0, len(crashes)-maxSuspectCrashes):]
	s.Upstreams = make([]coltsidentity.Upstream, len(s.Crashes))
	for i, c := range s.Crashes {
		s.Upstreams[i] = c.Upstream
	}
}

// addCrash adds a crash and reports whether it was new: not followed by a success, and the first
// of its upstream.
func (s *Suspect) addCrash(c Crash) bool {
	if !s.SucceededAt.IsZero() && !c.At.After(s.SucceededAt) || slices.Contains(s.Upstreams, c.Upstream) {
		return false
	}
	s.setCrashes(append(slices.Clone(s.Crashes), c))
	return true
}

// dropCrashes removes crashes and reports whether there were any.
func (s *Suspect) dropCrashes(drop func(Crash) bool) bool {
	kept := slices.DeleteFunc(slices.Clone(s.Crashes), drop)
	if len(kept) == len(s.Crashes) {
		return false
	}
	s.setCrashes(kept)
	return true
}

// succeed records a success, which takes back the crashes until then, and reports whether there were any.
func (s *Suspect) succeed(at time.Time) bool {
	if !at.After(s.SucceededAt) {
		return false
	}
	s.SucceededAt = at
	dropped := s.dropCrashes(func(c Crash) bool { return !c.At.After(at) })
	if len(s.Crashes) == 0 {
		s.TrialUntil, s.FailedTrials = time.Time{}, 0
	}
	return dropped
}

// incidents returns the number of crashes that count separately. A run that began before the previous crash and
// crashed together with it says no more than that one.
func (s Suspect) incidents() int {
	n := 0
	var last time.Time
	for _, c := range s.Crashes {
		if n == 0 || c.Repeated || !c.SentAt.Before(last.Add(-reportSlack)) || c.At.Sub(last) >= sameCause {
			n++
			last = c.At
		}
	}
	return n
}
