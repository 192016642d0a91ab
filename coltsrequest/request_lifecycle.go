package coltsrequest

// Lifecycle is the aggregate of one prompt request. It is used only by the goroutine
// that serves the caller, and so needs no lock; the aggregates in Config have
// their own.

import (
	"errors"
	"time"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltscache"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsorganisation"
	"coltsfootstall/coltsrouting"
	"coltsfootstall/coltsusage"
)

const (
	// lookupTimeout limits a lookup at a cache store; recomputing a piece takes several
	// times as long.
	lookupTimeout = 25 * time.Millisecond
	// maxExportTime is the longest estimated duration of an export that is still
	// started.
	maxExportTime = time.Second
	// minOverdueDelay is the shortest delay after which a first token is overdue,
	// so that short delays don't cause a second attempt.
	minOverdueDelay = 400 * time.Millisecond
	// overdueFactor is the multiple of the expected time to first token that has to
	// pass before a first token is overdue.
	overdueFactor = 3
	// busyRetryAfter is the retry delay for callers whose request is refused because
	// of a temporary condition, such as a lack of free upstreams.
	busyRetryAfter = time.Second
)

// Config holds the settings of a Coordinator and the aggregates that requests
// share.
type Config struct {
	// Document returns the current configuration document.
	Document   func() coltsdocument.Document
	Admission  *coltsorganisation.AdmissionController
	Fleet      *coltsfleet.Fleet
	Directory  *coltscache.Directory
	Links      *coltscache.Links
	Budget     *coltsattempt.RetryBudget
	Quarantine *coltsattempt.Quarantine
	Policy     *coltsrouting.Policy
	// MaxAttempts is the maximum number of attempts per request, the first one
	// included.
	MaxAttempts int
	// MaxQueueWait is the longest expected queue wait of a request; requests that would
	// wait longer are refused early. Zero means no limit.
	MaxQueueWait time.Duration
	// KeepCache enables the export and restore of pieces.
	KeepCache bool
	// ObserveFirstToken is called with the time to first token of each streamed request. It
	// may be nil.
	ObserveFirstToken func(p Prompt, firstToken time.Duration, now time.Time)
	// OnSuspect is called for each request whose upstream crashed, whose trial begins or that has
	// succeeded after crashes, so that other entries can be informed. It may be nil.
	OnSuspect func(coltsattempt.Suspect)
}

// Coordinator starts the state machines of requests. It is safe for concurrent use.
type Coordinator struct {
	cfg Config
}

// NewCoordinator returns a coordinator with the given settings.
func NewCoordinator(cfg Config) *Coordinator {
	if cfg.ObserveFirstToken == nil {
		cfg.ObserveFirstToken = func(Prompt, time.Duration, time.Time) {}
	}
	if cfg.OnSuspect == nil {
		cfg.OnSuspect = func(coltsattempt.Suspect) {}
	}
	return &Coordinator{cfg: cfg}
}

// Lifecycle is the state machine of one prompt request, from arrival to end. It is not
// safe for concurrent use.
type Lifecycle struct {
	cfg    Config
	prompt Prompt
	// home is the key of the prompt's home store and home runner.
	home coltscache.Piece
	// pieces are the hashes of the prompt's whole pieces.
	pieces      []coltscache.Piece
	fingerprint coltsidentity.Digest
	// admitted is true while Admission counts the request as in flight.
	admitted bool
	// ended is true once the request has been answered, refused or abandoned.
	ended bool

	attempts int
	// tried lists the upstreams of earlier attempts.
	tried []coltsidentity.Upstream
	// choice, sentAt and prefilled belong to the current attempt; prefilled is true
	// once its first token has arrived.
	choice    coltsrouting.Choice
	sentAt    time.Time
	prefilled bool
	// storeHeld is the number of leading pieces that the home store reported to
	// hold, less those that it then failed to restore.
	storeHeld int

	// tokens are the tokens to charge; the prompt tokens are those of the last
	// prefill before any part of the answer was delivered.
	tokens coltsusage.Tokens
	// deliveredParts is the number of answer parts delivered to the caller.
	deliveredParts int64
	// outcome reports whether the request may have run in any attempt so far.
	outcome coltsattempt.Outcome
}

// Begin admits a request and returns its state machine and first action: a lookup, a
// dispatch or a refusal.
func (c *Coordinator) Begin(p Prompt, now time.Time) (*Lifecycle, Action) {
	l := &Lifecycle{cfg: c.cfg, prompt: p, outcome: coltsattempt.OutcomeNotRun}
	if refusal := l.resolveVersion(); refusal != nil {
		return l, l.refuse(refusal, now)
	}
	l.home = coltscache.HomeKey(l.prompt.seed(), p.Text)
	l.pieces = coltscache.Chain(l.prompt.seed(), p.Text)
	l.fingerprint = l.prompt.fingerprint(l.home, l.pieces)
	if refusal := l.admit(now); refusal != nil {
		return l, l.refuse(refusal, now)
	}
	l.cfg.Budget.Earn(p.Organisation.ID)
	if lookup, useful := l.lookup(now); useful {
		return l, Action{Kind: ActionLookup, Lookup: lookup}
	}
	return l, l.dispatch(now)
}

// resolveVersion sets the weight version for all attempts, so that a change of the
// model's current version during the request can't mix two versions in one answer.
// It refuses unknown models and versions that the organisation may not use.
func (l *Lifecycle) resolveVersion() *coltsattempt.RefusedError {
	model, known := l.cfg.Document().FindModel(l.prompt.Model)
	if !known {
		return coltsattempt.NotRun(coltsattempt.ReasonUnknownModel, "there is no model %q", l.prompt.Model)
	}
	if l.prompt.Version == "" {
		l.prompt.Version = model.Current
	}
	if !l.prompt.Organisation.MayUse(model.ID, l.prompt.Version) {
		return coltsattempt.NotRun(coltsattempt.ReasonNotAllowed,
			"organisation %s may not use version %s of %s", l.prompt.Organisation.ID, l.prompt.Version, model.ID)
	}
	return nil
}

// quarantineRefusal returns the refusal of a request that has crashed too many upstreams; nil if it may run, if
// only as the trial of all requests like it.
func (l *Lifecycle) quarantineRefusal(now time.Time) *coltsattempt.RefusedError {
	q := l.cfg.Quarantine
	until := q.BlockedUntil(l.fingerprint, now)
	if until.IsZero() && q.NeedsTrial(l.fingerprint, now) {
		suspect, granted := q.ClaimTrial(l.fingerprint, l.prompt.Deadline, now)
		if granted {
			l.cfg.OnSuspect(suspect)
			return nil
		}
		until = suspect.TrialUntil
	}
	if until.IsZero() {
		return nil
	}
	return coltsattempt.NotRun(coltsattempt.ReasonQuarantined,
		"this request crashed each upstream that ran it; an operator can release %s", l.fingerprint).WithRetryAt(until)
}

// admit refuses quarantined requests and applies the organisation's limits.
func (l *Lifecycle) admit(now time.Time) *coltsattempt.RefusedError {
	if refusal := l.quarantineRefusal(now); refusal != nil {
		return refusal
	}
	refusal := admit(l.cfg.Admission, l.prompt.Organisation, l.prompt.Tokens(), now)
	l.admitted = refusal == nil
	return refusal
}

// admit counts a request and its tokens towards the organisation's limits, or returns
// a refusal if a limit is exceeded.
func admit(
	a *coltsorganisation.AdmissionController, o coltsdocument.Organisation, tokens int64, now time.Time,
) *coltsattempt.RefusedError {
	err := a.Admit(o, tokens, now)
	var limitErr *coltsorganisation.LimitError
	if errors.As(err, &limitErr) {
		retryAt := limitErr.RetryAt
		if retryAt.IsZero() {
			retryAt = now.Add(busyRetryAfter)
		}
		return coltsattempt.NotRun(coltsattempt.ReasonOverLimit, "%s", limitErr.Error()).WithRetryAt(retryAt)
	}
	return nil
}

// dispatch chooses an upstream and returns a dispatch to it, or a refusal.
func (l *Lifecycle) dispatch(now time.Time) Action {
	choice, found := l.choose(now)
	if !found {
		return l.refuse(l.noUpstreamRefusal(now), now)
	}
	if refusal := l.overloadRefusal(choice, now); refusal != nil {
		return l.refuse(refusal, now)
	}
	return l.dispatchTo(choice, now)
}

// dispatchTo starts a new attempt on the chosen upstream.
func (l *Lifecycle) dispatchTo(choice coltsrouting.Choice, now time.Time) Action {
	l.attempts++
	l.choice = choice
	l.sentAt = now
	l.prefilled = false
	l.cfg.Fleet.RecordDispatch(l.upstream(), l.expectedComputeTokens(), now)
	if choice.Restore.Pieces > 0 {
		l.cfg.Links.Begin(choice.Restore.Store, choice.Restore.Pieces)
	}
	return Action{Kind: ActionDispatch, Dispatch: Dispatch{
		Attempt:   l.attempts,
		Upstream:  l.upstream(),
		Addr:      choice.Candidate.Announcement.Addr,
		Pieces:    l.pieces,
		Restore:   choice.Restore,
		ResumeAt:  l.deliveredParts,
		OverdueAt: now.Add(l.overdueDelay()),
		Deadline:  l.prompt.Deadline,
	}}
}

// upstream returns the upstream of the current attempt.
func (l *Lifecycle) upstream() coltsidentity.Upstream {
	return l.choice.Candidate.Announcement.ID
}

// expectedComputeTokens returns how many prompt tokens the current attempt is
// expected to compute, at least 1.
func (l *Lifecycle) expectedComputeTokens() int64 {
	reused := int64(l.choice.HeldPieces+l.choice.Restore.Pieces) * coltscache.PieceTokens
	return max(1, l.prompt.Tokens()-reused)
}

func (l *Lifecycle) refuse(refusal *coltsattempt.RefusedError, now time.Time) Action {
	l.release(now)
	return Action{Kind: ActionRefuse, Refusal: refusal}
}

// release tells Admission that the request has ended, and marks it as ended. Further
// calls have no effect.
func (l *Lifecycle) release(now time.Time) {
	if l.admitted {
		l.cfg.Admission.Release(l.prompt.Organisation, l.prompt.Tokens(), l.tokens.Generated, now)
	}
	l.admitted = false
	l.ended = true
}

// Version returns the weight version on which the request runs.
func (l *Lifecycle) Version() coltsidentity.Version {
	return l.prompt.Version
}

// Delivered returns the number of answer parts delivered to the caller.
func (l *Lifecycle) Delivered() int64 {
	return l.deliveredParts
}
