package coltsattempt

// A quarantined request does not run, so nothing can clear it. Once in a while one of the
// instances sends it to one upstream as a trial: a success clears it everywhere, a crash quarantines it
// for longer.

import (
	"time"

	"coltsfootstall/coltsidentity"
)

const (
	// firstBlock is the time from the crash that quarantines a request to the first trial. Most upstreams
	// that crashed have returned by then.
	firstBlock = 10 * time.Second
	// blockGrowth is the factor by which each trial that crashes an upstream extends that time, up to maxBlock.
	blockGrowth = 4
	maxBlock    = 30 * time.Minute
	// maxTrial is the longest time that others wait for the outcome of a trial.
	maxTrial = 30 * time.Second
	// claimSlack is how long before its own time the leader grants a trial. It hears of crashes later than
	// the instance that claims it, and takes them to be as much later.
	claimSlack = time.Second
)

// blockAfter returns the time from the last crash to the next trial after a number of failed ones.
func blockAfter(failedTrials int) time.Duration {
	block := firstBlock
	for range failedTrials {
		block = min(block*blockGrowth, maxBlock)
	}
	return block
}

// BlockedUntil returns the time until which a request is refused; zero if it may run, if only as a trial.
func (q *Quarantine) BlockedUntil(f coltsidentity.Digest, now time.Time) time.Time {
	suspect, quarantined := q.quarantined(f, now)
	if !quarantined {
		return time.Time{}
	}
	until := suspect.Crashes[len(suspect.Crashes)-1].At.Add(blockAfter(suspect.FailedTrials))
	if suspect.TrialUntil.After(until) {
		until = suspect.TrialUntil
	}
	if !now.Before(until) {
		return time.Time{}
	}
	return until
}

// NeedsTrial reports whether a request that is not blocked may run only as a trial.
func (q *Quarantine) NeedsTrial(f coltsidentity.Digest, now time.Time) bool {
	_, quarantined := q.quarantined(f, now)
	return quarantined
}

// quarantined returns what is known of a request and whether it has crashed enough upstreams to be refused.
func (q *Quarantine) quarantined(f coltsidentity.Digest, now time.Time) (Suspect, bool) {
	s := q.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	suspect := s.suspects[f].suspect
	return suspect, now.Before(suspect.ExpiresAt) && suspect.incidents() >= q.cfg.Crashes
}

// ClaimTrial claims the trial of a request, which ends at a deadline at the latest. It returns what is then known
// of the request, and whether the trial was granted: to one caller until it has ended.
func (q *Quarantine) ClaimTrial(f coltsidentity.Digest, deadline, now time.Time) (Suspect, bool) {
	granted := q.NeedsTrial(f, now) && q.BlockedUntil(f, now.Add(claimSlack)).IsZero()
	s := q.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.suspects[f]
	// Another caller may have claimed it since.
	if granted = granted && !now.Before(r.suspect.TrialUntil); granted {
		r.suspect.TrialUntil = now.Add(min(maxTrial, deadline.Sub(now)))
		r.trialAt = now
		s.suspects[f] = r
	}
	return r.suspect, granted
}

// BeginTrial records that this instance runs the trial that another has granted.
func (q *Quarantine) BeginTrial(f coltsidentity.Digest, now time.Time) {
	s := q.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, known := s.suspects[f]; known {
		r.trialAt = now
		s.suspects[f] = r
	}
}
