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
	Admission  *coltsorganisation.Admission
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
			"this request crashed each upstream that ran it; an operator can release %s", l.fingerprint).At(until)
	}
	refusal := admit(l.cfg.Admission, l.prompt.Organisation, l.prompt.Tokens(), now)
	l.admitted = refusal == nil
	return refusal
}

// admit takes a place for a request or says why there is none.
func admit(
	a *coltsorganisation.Admission, o coltsdocument.Organisation, tokens int64, now time.Time,
) *coltsattempt.RefusedError {
	err := a.Admit(o, tokens, now)
	var limit *coltsorganisation.LimitError
	if errors.As(err, &limit) {
		retryAt := limit.RetryAt
		if retryAt.IsZero() {
			retryAt = now.Add(busyRetryAfter)
		}
		return coltsattempt.NotRun(coltsattempt.ReasonOverLimit, "%s", limit.Error()).At(retryAt)
	}
	return nil
}

// lookup returns a question to the home store, if one is worth asking.
func (l *Life) lookup(now time.Time) (Lookup, bool) {
	if !l.cfg.KeepCache || len(l.pieces) == 0 {
		return Lookup{}, false
	}
	store, found := l.homeStore(now)
	if !found {
		return Lookup{}, false
	}
	if l.believedOf(store.Announcement.ID, now) == len(l.pieces) {
		return Lookup{}, false
	}
	return Lookup{
		Store:    store.Announcement.ID,
		Addr:     store.Announcement.Addr,
		Pieces:   l.pieces,
		AnswerBy: now.Add(lookupTimeout),
	}, true
}

// believedOf returns how many leading pieces an upstream is believed to hold.
func (l *Life) believedOf(id coltsidentity.Upstream, now time.Time) int {
	for _, h := range l.cfg.Directory.Locate(l.pieces, now) {
		if h.Upstream == id {
			return h.Pieces
		}
	}
	return 0
}

// homeStore returns the store that keeps the prompt's pieces, the same one in
// every entry.
func (l *Life) homeStore(now time.Time) (coltsfleet.Candidate, bool) {
	stores := l.cfg.Fleet.Stores(l.cfg.Document(), now)
	return coltsrouting.HomeOf(l.home, stores)
}

// Located takes in how many leading pieces the store holds. The action is a
// dispatch or a refusal.
func (l *Life) Located(pieces int, now time.Time) Action {
	l.storeHeld = min(pieces, len(l.pieces))
	return l.dispatch(now)
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

// overloaded refuses a request early that would wait too long for its turn, as not
// run, rather than let it time out. While the wait is not twice too long, only
// organisations that have more than their share under way are refused. What has
// been tried before is not refused for this reason.
func (l *Life) overloaded(choice coltsrouting.Choice, now time.Time) *coltsattempt.RefusedError {
	over := choice.Queue - l.cfg.MaxQueue
	if l.cfg.MaxQueue <= 0 || over <= 0 || l.attempts > 0 {
		return nil
	}
	if over < l.cfg.MaxQueue && !l.cfg.Admission.OverShare(l.prompt.Organisation.ID) {
		return nil
	}
	return coltsattempt.NotRun(coltsattempt.ReasonOverloaded,
		"the shortest queue takes %v", choice.Queue.Round(time.Millisecond)).At(now.Add(over))
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

// patience is how long the first token may take before it counts as overdue. A
// restore that stalls becomes a recompute on the runner itself, so there must be
// time for that, too: to begin anew elsewhere would be slower.
func (l *Life) patience() time.Duration {
	rate := float64(l.choice.Candidate.PrefillPerSecond)
	recompute := time.Duration(float64(l.prompt.Tokens()) / rate * float64(time.Second))
	whole := l.choice.Queue + recompute
	return max(overdueFloor, overdueFactor*l.choice.Expected, whole+whole/2)
}

// Overdue takes in that the attempt under way has given no first token by the time
// that its dispatch named. The action is another dispatch, for which the front end
// cancels the attempt; or there is none and the front end waits on. A second
// attempt is paid for like a retry, and the first is never charged.
func (l *Life) Overdue(now time.Time) (Action, bool) {
	if l.prefilled || l.delivered > 0 || l.attempts >= l.cfg.MaxAttempts {
		return Action{}, false
	}
	slow := l.upstream()
	l.tried = append(l.tried, slow)
	choice, found := l.choose(now)
	worthIt := found && choice.Expected < now.Sub(l.sentAt)
	if !worthIt || !l.cfg.Budget.Spend(l.prompt.Organisation.ID) {
		l.tried = l.tried[:len(l.tried)-1]
		return Action{}, false
	}
	l.endAttempt(coltsattempt.Failure{Phase: coltsattempt.PhaseSent}, now)
	l.outcome = coltsattempt.OutcomeOf(coltsattempt.Failure{Phase: coltsattempt.PhaseSent}, l.outcome)
	return l.dispatchTo(choice, now), true
}

func (l *Life) choose(now time.Time) (coltsrouting.Choice, bool) {
	serving := coltsfleet.Serving{Model: l.prompt.Model, Version: l.prompt.Version}
	candidates := l.cfg.Fleet.Runners(serving, l.cfg.Document(), now)
	home := l.home
	apart := l.cfg.Quarantine.Suspected(l.fingerprint, now)
	if apart {
		home = coltscache.Piece(l.fingerprint[:len(home)])
	}
	return l.cfg.Policy.Choose(coltsrouting.Work{
		Home:         home,
		Apart:        apart,
		PromptTokens: l.prompt.Tokens(),
		Holdings:     l.cfg.Directory.Locate(l.pieces, now),
		Sources:      l.sources(now),
		Tried:        l.tried,
	}, candidates, now)
}

// sources returns the stores that hold leading pieces.
func (l *Life) sources(now time.Time) []coltscache.Source {
	if !l.cfg.KeepCache || len(l.pieces) == 0 {
		return nil
	}
	home, found := l.homeStore(now)
	var sources []coltscache.Source
	for _, store := range l.cfg.Fleet.Stores(l.cfg.Document(), now) {
		held := l.believedOf(store.Announcement.ID, now)
		if found && store.Announcement.ID == home.Announcement.ID {
			held = max(held, l.storeHeld)
		}
		if held == 0 || store.Ejected {
			continue
		}
		sources = append(sources, coltscache.Source{
			Store:    store.Announcement.ID,
			Addr:     store.Announcement.Addr,
			Pieces:   held,
			Estimate: l.cfg.Links.Estimate(store.Announcement.ID),
		})
	}
	return sources
}

// noUpstream says why nobody can take the request.
func (l *Life) noUpstream(now time.Time) *coltsattempt.RefusedError {
	refusal := &coltsattempt.RefusedError{
		Outcome: l.outcome,
		Reason:  coltsattempt.ReasonNoUpstream,
		Detail:  "no upstream can take version " + string(l.prompt.Version) + " of " + string(l.prompt.Model),
	}
	return refusal.At(now.Add(busyRetryAfter))
}

func (l *Life) upstream() coltsidentity.Upstream {
	return l.choice.Candidate.Announcement.ID
}

// expectedCompute is how many tokens the attempt is expected to compute.
func (l *Life) expectedCompute() int64 {
	kept := int64(l.choice.Held+l.choice.Restore.Pieces) * coltscache.PieceTokens
	return max(1, l.prompt.Tokens()-kept)
}

// Taken takes in that the upstream has taken the request, with the tokens that it
// says were waiting before it.
func (l *Life) Taken(queued int64, now time.Time) {
	l.cfg.Fleet.Queued(l.upstream(), queued, now)
}

// Prefill is what an upstream says when its prefill has ended.
type Prefill struct {
	// PromptTokens are all tokens of the prompt, Cached those that were not
	// computed, Restored those of them that came from a store.
	PromptTokens int64
	Cached       int64
	Restored     int64
	// RestoreTook is how long the restore took; zero if there was none.
	RestoreTook time.Duration
}

// Prefilled takes in that the attempt's first token has come.
func (l *Life) Prefilled(p Prefill, now time.Time) {
	if l.prefilled {
		return
	}
	l.prefilled = true
	l.outcome = coltsattempt.OutcomeRan
	l.cfg.Fleet.FirstToken(l.upstream(), l.expectedCompute(), p.PromptTokens-p.Cached, l.sentAt, now)
	l.endRestore(int(p.Restored/coltscache.PieceTokens), p.RestoreTook)
	l.cfg.Directory.Record(l.pieces, l.upstream(), now)
	if l.delivered > 0 {
		return
	}
	l.tokens = coltsusage.Tokens{Computed: p.PromptTokens - p.Cached, Reused: p.Cached}
	if l.prompt.Stream {
		l.cfg.Observe(l.prompt, now.Sub(l.prompt.ArrivedAt), now)
	}
}

// endRestore learns from what a restore brought. Pieces that were expected and
// did not come are no longer believed to be in the store.
func (l *Life) endRestore(came int, took time.Duration) {
	plan := l.choice.Restore
	if plan.UpTo == 0 {
		return
	}
	if l.prefilled && came == 0 && plan.Pieces > 0 {
		l.cfg.Links.Stalled(plan.Store, plan.Pieces)
	} else {
		l.cfg.Links.End(plan.Store, plan.Pieces, came, took)
	}
	if l.prefilled && came < plan.Pieces {
		l.cfg.Directory.Remove(l.pieces[plan.From+came:], plan.Store)
		l.storeHeld = min(l.storeHeld, plan.From+came)
	}
}

// Progressed takes in that parts of the answer were passed on to the caller.
func (l *Life) Progressed(parts int64) {
	l.delivered += parts
}

// Finished takes in that the whole answer was passed on; generated is its length
// in tokens. The action is ActionDone.
func (l *Life) Finished(generated int64, now time.Time) Action {
	l.tokens.Generated = generated
	l.cfg.Quarantine.Cleared(l.fingerprint)
	l.cfg.Fleet.Succeeded(l.upstream())
	done := Done{Charge: l.charge(), Export: l.export(now)}
	l.leave(now)
	return Action{Kind: ActionDone, Done: done}
}

func (l *Life) charge() Charge {
	price := l.cfg.Document().ModelPrice(l.prompt.Model)
	prices := coltsusage.Prices{
		Computed:  price.ComputedMicros,
		Reused:    price.ReusedMicros,
		Generated: price.GeneratedMicros,
	}
	return Charge{
		Organisation: l.prompt.Organisation.ID,
		Model:        l.prompt.Model,
		Tokens:       l.tokens,
		Micros:       coltsusage.Cost(l.tokens, prices),
	}
}

// export says which pieces the home store lacks.
func (l *Life) export(now time.Time) Export {
	if !l.cfg.KeepCache || len(l.pieces) == 0 {
		return Export{}
	}
	store, found := l.homeStore(now)
	if !found || store.Draining || store.Ejected {
		return Export{}
	}
	held := max(l.storeHeld, l.believedOf(store.Announcement.ID, now))
	if held >= len(l.pieces) {
		return Export{}
	}
	// Restores have the link first: what is kept can wait for a later turn.
	lacking := len(l.pieces) - held
	if l.cfg.Links.Estimate(store.Announcement.ID)(lacking) > maxExportTime {
		return Export{}
	}
	l.cfg.Links.Begin(store.Announcement.ID, lacking)
	return Export{
		Runner:     l.upstream(),
		RunnerAddr: l.choice.Candidate.Announcement.Addr,
		Store:      store.Announcement.ID,
		StoreAddr:  store.Announcement.Addr,
		Pieces:     l.pieces[held:],
	}
}

// Exported takes in how many leading pieces of an export the store has taken, and
// when it was begun.
func (c *Coordinator) Exported(x Export, pieces int, begun, now time.Time) {
	pieces = min(pieces, len(x.Pieces))
	c.cfg.Links.End(x.Store, len(x.Pieces), pieces, now.Sub(begun))
	c.cfg.Directory.Record(x.Pieces[:pieces], x.Store, now)
}

// Failed takes in that the attempt under way ended without the whole answer. The
// action is another dispatch or a refusal.
func (l *Life) Failed(f coltsattempt.Failure, now time.Time) Action {
	l.endAttempt(f, now)
	history := coltsattempt.History{
		Attempts:    l.attempts,
		MaxAttempts: l.cfg.MaxAttempts,
		Deadline:    l.prompt.Deadline,
		Idempotent:  true,
	}
	l.outcome = coltsattempt.OutcomeOf(f, l.outcome)
	if coltsattempt.Judge(f, history, now) == coltsattempt.VerdictFail {
		return l.refuse(l.refusalOf(f, now), now)
	}
	if until := l.cfg.Quarantine.Blocked(l.fingerprint, now); !until.IsZero() {
		return l.refuse(l.refusalOf(f, now).At(until), now)
	}
	// An attempt that never left cost no upstream anything.
	if f.Phase != coltsattempt.PhaseUnsent && !l.cfg.Budget.Spend(l.prompt.Organisation.ID) {
		return l.refuse(l.refusalOf(f, now), now)
	}
	l.tried = append(l.tried, l.upstream())
	return l.dispatch(now)
}

// endAttempt settles the books of the attempt that failed.
func (l *Life) endAttempt(f coltsattempt.Failure, now time.Time) {
	if !l.prefilled {
		l.cfg.Fleet.Returned(l.upstream(), l.expectedCompute(), l.sentAt)
		l.endRestore(0, 0)
	}
	if f.Phase == coltsattempt.PhaseRefused {
		l.cfg.Fleet.Abandoned(l.upstream())
		return
	}
	l.cfg.Fleet.Failed(l.upstream(), isGone(f), now)
	if f.Crashed && f.Phase >= coltsattempt.PhaseSent {
		l.cfg.OnCrash(l.cfg.Quarantine.Crashed(l.fingerprint, l.upstream(), now))
	}
}

// isGone says whether a failure shows that the upstream is not there at all.
func isGone(f coltsattempt.Failure) bool {
	return f.Crashed || f.Phase == coltsattempt.PhaseUnsent
}

func (l *Life) refusalOf(f coltsattempt.Failure, now time.Time) *coltsattempt.RefusedError {
	reason := coltsattempt.ReasonUpstream
	switch {
	case l.delivered > 0:
		reason = coltsattempt.ReasonBroken
	case !now.Before(l.prompt.Deadline):
		reason = coltsattempt.ReasonDeadline
	case f.Phase == coltsattempt.PhaseRefused:
		reason = coltsattempt.ReasonOverloaded
	}
	refusal := &coltsattempt.RefusedError{Outcome: l.outcome, Reason: reason, Detail: f.Detail, RetryAt: f.RetryAt}
	if refusal.RetryAt.IsZero() && !f.Permanent {
		refusal.RetryAt = now.Add(busyRetryAfter)
	}
	return refusal
}

// CallerLeft takes in that the caller hung up. What ran until then is charged;
// the front end cancels the attempt.
func (l *Life) CallerLeft(now time.Time) Charge {
	if l.ended {
		return Charge{}
	}
	if l.attempts > 0 && !l.prefilled {
		l.cfg.Fleet.Returned(l.upstream(), l.expectedCompute(), l.sentAt)
		l.endRestore(0, 0)
	}
	if l.attempts > 0 {
		l.cfg.Fleet.Abandoned(l.upstream())
	}
	l.tokens.Generated = l.delivered
	charge := l.charge()
	l.leave(now)
	return charge
}

func (l *Life) refuse(refusal *coltsattempt.RefusedError, now time.Time) Action {
	l.leave(now)
	return Action{Kind: ActionRefuse, Refusal: refusal}
}

// leave gives back the organisation's place, once.
func (l *Life) leave(now time.Time) {
	if l.admitted {
		l.cfg.Admission.Leave(l.prompt.Organisation, l.prompt.Tokens(), l.tokens.Generated, now)
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
