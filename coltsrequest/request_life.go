package coltsrequest

// A life is the aggregate of one request. It is used by one goroutine, the one
// that serves the caller, and so needs no lock; the aggregates that it consults
// have their own.

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
	// lookupTimeout bounds the question to a store; recomputing a piece takes
	// several times as long.
	lookupTimeout = 25 * time.Millisecond
	// maxExportTime is the longest time that an export may be expected to take.
	maxExportTime = time.Second
	// overdueFloor and overdueFactor say when a first token is overdue: after some
	// multiple of the time that was expected, but not for a trifle.
	overdueFloor  = 400 * time.Millisecond
	overdueFactor = 3
	// busyRetryAfter is what a caller is told when no upstream can take work.
	busyRetryAfter = time.Second
)

// Config holds the aggregates that lives consult.
type Config struct {
	// Document returns the document in force.
	Document   func() coltsdocument.Document
	Admission  *coltsorganisation.AdmissionController
	Fleet      *coltsfleet.Fleet
	Directory  *coltscache.Directory
	Links      *coltscache.Links
	Budget     *coltsattempt.Budget
	Quarantine *coltsattempt.Quarantine
	Policy     *coltsrouting.Policy
	// MaxAttempts bounds the attempts at one request.
	MaxAttempts int
	// MaxQueue is the longest wait for a turn that is expected of a request; longer
	// ones are refused early. 0 for no bound.
	MaxQueue time.Duration
	// KeepCache says whether pieces are exported and restored at all.
	KeepCache bool
	// Observe is told the time to first token of each streamed request; nil for
	// nobody.
	Observe func(p Prompt, firstToken time.Duration, now time.Time)
	// OnCrash is told of each request whose upstream crashed, so that other
	// entries can be told; nil for nobody.
	OnCrash func(coltsattempt.Suspect)
}

// Coordinator begins lives. It may be used by many goroutines.
type Coordinator struct {
	cfg Config
}

// NewCoordinator returns a coordinator over the given aggregates.
func NewCoordinator(cfg Config) *Coordinator {
	if cfg.Observe == nil {
		cfg.Observe = func(Prompt, time.Duration, time.Time) {}
	}
	if cfg.OnCrash == nil {
		cfg.OnCrash = func(coltsattempt.Suspect) {}
	}
	return &Coordinator{cfg: cfg}
}

// Life is one request from its arrival to its end.
type Life struct {
	cfg         Config
	prompt      Prompt
	home        coltscache.Piece
	pieces      []coltscache.Piece
	fingerprint coltsidentity.Digest
	admitted    bool
	ended       bool

	attempts int
	tried    []coltsidentity.Upstream
	// choice and sentAt are of the attempt under way; prefilled says that it
	// has given its first token.
	choice    coltsrouting.Choice
	sentAt    time.Time
	prefilled bool
	// storeHeld is how many leading pieces the home store said it holds.
	storeHeld int

	// tokens are charged; prompt tokens are those of the first prefill.
	tokens    coltsusage.Tokens
	delivered int64
	outcome   coltsattempt.Outcome
}

// Begin starts a request's life. The action is a lookup, a dispatch or a refusal.
func (c *Coordinator) Begin(p Prompt, now time.Time) (*Life, Action) {
	l := &Life{cfg: c.cfg, prompt: p, outcome: coltsattempt.OutcomeNotRun}
	if refusal := l.resolveVersion(); refusal != nil {
		return l, l.refuse(refusal, now)
	}
	l.home = coltscache.Home(l.prompt.seed(), p.Text)
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

// resolveVersion fixes the version for the whole life, so that a swap of
// weights that happens meanwhile can't mix two versions in one answer.
func (l *Life) resolveVersion() *coltsattempt.RefusedError {
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

// admit applies quarantine and limits.
func (l *Life) admit(now time.Time) *coltsattempt.RefusedError {
	if until := l.cfg.Quarantine.Blocked(l.fingerprint, now); !until.IsZero() {
		return coltsattempt.NotRun(coltsattempt.ReasonQuarantined,
			"this request crashed each upstream that ran it; an operator can release %s", l.fingerprint).WithRetryAt(until)
	}
	refusal := admit(l.cfg.Admission, l.prompt.Organisation, l.prompt.Tokens(), now)
	l.admitted = refusal == nil
	return refusal
}

// admit takes a place for a request or says why there is none.
func admit(
	a *coltsorganisation.AdmissionController, o coltsdocument.Organisation, tokens int64, now time.Time,
) *coltsattempt.RefusedError {
	err := a.Admit(o, tokens, now)
	var limit *coltsorganisation.LimitError
	if errors.As(err, &limit) {
		retryAt := limit.RetryAt
		if retryAt.IsZero() {
			retryAt = now.Add(busyRetryAfter)
		}
		return coltsattempt.NotRun(coltsattempt.ReasonOverLimit, "%s", limit.Error()).WithRetryAt(retryAt)
	}
	return nil
}

// dispatch chooses an upstream and sends the request to it.
func (l *Life) dispatch(now time.Time) Action {
	choice, found := l.choose(now)
	if !found {
		return l.refuse(l.noUpstream(now), now)
	}
	if refusal := l.overloaded(choice, now); refusal != nil {
		return l.refuse(refusal, now)
	}
	return l.dispatchTo(choice, now)
}

// dispatchTo sends the request to a chosen upstream.
func (l *Life) dispatchTo(choice coltsrouting.Choice, now time.Time) Action {
	l.attempts++
	l.choice = choice
	l.sentAt = now
	l.prefilled = false
	l.cfg.Fleet.Dispatched(l.upstream(), l.expectedCompute(), now)
	if choice.Restore.Pieces > 0 {
		l.cfg.Links.Begin(choice.Restore.Store, choice.Restore.Pieces)
	}
	return Action{Kind: ActionDispatch, Dispatch: Dispatch{
		Attempt:   l.attempts,
		Upstream:  l.upstream(),
		Addr:      choice.Candidate.Announcement.Addr,
		Pieces:    l.pieces,
		Restore:   choice.Restore,
		ResumeAt:  l.delivered,
		OverdueAt: now.Add(l.patience()),
		Deadline:  l.prompt.Deadline,
	}}
}

func (l *Life) upstream() coltsidentity.Upstream {
	return l.choice.Candidate.Announcement.ID
}

// expectedCompute is how many tokens the attempt is expected to compute.
func (l *Life) expectedCompute() int64 {
	kept := int64(l.choice.HeldPieces+l.choice.Restore.Pieces) * coltscache.PieceTokens
	return max(1, l.prompt.Tokens()-kept)
}

func (l *Life) refuse(refusal *coltsattempt.RefusedError, now time.Time) Action {
	l.leave(now)
	return Action{Kind: ActionRefuse, Refusal: refusal}
}

// leave gives back the organisation's place, once.
func (l *Life) leave(now time.Time) {
	if l.admitted {
		l.cfg.Admission.Release(l.prompt.Organisation, l.prompt.Tokens(), l.tokens.Generated, now)
	}
	l.admitted = false
	l.ended = true
}

// Version returns the weight version that the request runs on.
func (l *Life) Version() coltsidentity.Version {
	return l.prompt.Version
}

// Delivered returns how many parts of the answer were passed on.
func (l *Life) Delivered() int64 {
	return l.delivered
}
