package coltsrequest

// A call to a plain service that may not be repeated is granted by the ledger
// before its first byte leaves, and settled after its answer came. Between the
// two, another attempt is made only if it is certain that no byte left.

import (
	"crypto/sha256"
	"encoding/binary"
	"net/netip"
	"time"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbooking"
	"coltsfootstall/coltscache"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsrouting"
)

// statusOK and statusEnd bound the statuses that say that a call was done.
const (
	statusOK  = 200
	statusEnd = 300
)

// Call is a caller's request to a plain service.
type Call struct {
	ID           coltsidentity.Request
	Organisation coltsdocument.Organisation
	Service      coltsidentity.Service
	Method       string
	Path         string
	ContentType  string
	Body         []byte
	// Key is the caller's idempotency key; empty if it sent none.
	Key coltsidentity.IdempotencyKey
	// Repeatable says that making the call twice does no harm.
	Repeatable bool
	Deadline   time.Time
}

// Digest names the call's content, so that a key can't stand for two calls.
func (c Call) Digest() coltsidentity.Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.Service), []byte(c.Method), []byte(c.Path), c.Body} {
		h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		h.Write(part)
	}
	return coltsidentity.Digest(h.Sum(nil))
}

// CallActionKind says what a front end does next for a call.
type CallActionKind int

// The kinds of action.
const (
	// CallGrant asks the ledger for a grant, then calls Decided or Undecided.
	CallGrant CallActionKind = iota + 1
	// CallDispatch sends the call, then calls Answered or Failed.
	CallDispatch
	// CallSettle records the end in the ledger, then does what Then says. It
	// goes on trying in the background if the ledger can't be reached.
	CallSettle
	// CallAnswer ends the call with an answer.
	CallAnswer
	// CallRefuse ends the call with a refusal.
	CallRefuse
	// CallWithdraw withdraws a grant in the background, then does what Then says.
	CallWithdraw
)

// CallAction is what a front end does next. Only the field of its kind is set.
type CallAction struct {
	Kind     CallActionKind
	Grant    coltsbooking.Request
	Dispatch CallDispatchTo
	Settle   coltsbooking.Settlement
	Answer   coltsbooking.Answer
	// Replayed says that the answer was recorded by an earlier call.
	Replayed bool
	Refusal  *coltsattempt.RefusedError
	// Next follows a settlement or a withdrawal: an answer or a refusal.
	Next *CallAction
}

// CallDispatchTo sends a call to a service.
type CallDispatchTo struct {
	Attempt  int
	Upstream coltsidentity.Upstream
	Addr     netip.AddrPort
	Deadline time.Time
}

// CallLife is one call from its arrival to its end, used by one goroutine.
type CallLife struct {
	cfg      Config
	instance coltsidentity.Instance
	call     Call
	admitted bool
	grant    coltsbooking.Grant
	attempts int
	tried    []coltsidentity.Upstream
	upstream coltsidentity.Upstream
	outcome  coltsattempt.Outcome
}

// BeginCall starts a call's life on an instance. The action is a grant, a
// dispatch or a refusal.
func (c *Coordinator) BeginCall(call Call, on coltsidentity.Instance, now time.Time) (*CallLife, CallAction) {
	l := &CallLife{cfg: c.cfg, instance: on, call: call, outcome: coltsattempt.OutcomeNotRun}
	if refusal := l.check(); refusal != nil {
		return l, l.refuse(refusal, now)
	}
	refusal := admit(l.cfg.Admission, call.Organisation, 0, now)
	if refusal != nil {
		return l, l.refuse(refusal, now)
	}
	l.admitted = true
	if call.Repeatable {
		l.cfg.Budget.Earn(call.Organisation.ID)
		return l, l.dispatch(now)
	}
	return l, CallAction{Kind: CallGrant, Grant: l.grantRequest()}
}

func (l *CallLife) grantRequest() coltsbooking.Request {
	return coltsbooking.Request{
		Key:     l.key(),
		Service: l.call.Service,
		Digest:  l.call.Digest(),
		Holder:  l.instance,
		Caller:  l.call.ID,
	}
}

func (l *CallLife) key() coltsbooking.Key {
	return coltsbooking.Key{Organisation: l.call.Organisation.ID, Key: l.call.Key}
}

// check applies the rules that need no other state.
func (l *CallLife) check() *coltsattempt.RefusedError {
	if !mayCall(l.call.Organisation, l.call.Service) {
		return coltsattempt.NotRun(coltsattempt.ReasonNotAllowed,
			"organisation %s may not call service %s", l.call.Organisation.ID, l.call.Service)
	}
	if !l.call.Repeatable && l.call.Key == "" {
		return coltsattempt.NotRun(coltsattempt.ReasonKeyMissing,
			"%s to service %s may not be repeated and needs the header Idempotency-Key", l.call.Method, l.call.Service)
	}
	return nil
}

func mayCall(o coltsdocument.Organisation, service coltsidentity.Service) bool {
	for _, s := range o.Services {
		if s == service {
			return true
		}
	}
	return false
}

// Decided takes in the ledger's decision. The action is a dispatch, an answer
// that was recorded, or a refusal.
func (l *CallLife) Decided(d coltsbooking.Decision, now time.Time) CallAction {
	if d.Granted {
		l.grant = d.Record.Grant
		return l.dispatch(now)
	}
	switch d.Record.State {
	case coltsbooking.StateDone:
		l.leave(now)
		return CallAction{Kind: CallAnswer, Answer: d.Record.Answer, Replayed: true}
	case coltsbooking.StateUnknown:
		return l.refuse(coltsattempt.Unknown(coltsattempt.ReasonUnknownResult,
			"the call with this key may have run; it is not made again"), now)
	default:
		return l.refuse(coltsattempt.Unknown(coltsattempt.ReasonInProgress,
			"the call with this key is being made").WithRetryAt(now.Add(busyRetryAfter)), now)
	}
}

// KeyReused takes in that the key stands for another call.
func (l *CallLife) KeyReused(now time.Time) CallAction {
	return l.refuse(coltsattempt.NotRun(coltsattempt.ReasonKeyReused,
		"this idempotency key was used for another call"), now)
}

// Undecided takes in that the ledger did not answer. The call has not left this
// process and never will, so it has not run; a grant that may have been made is
// withdrawn.
func (l *CallLife) Undecided(now time.Time) CallAction {
	refuse := l.refuse(coltsattempt.NotRun(coltsattempt.ReasonNoLedger,
		"the ledger can't be reached").WithRetryAt(now.Add(busyRetryAfter)), now)
	return CallAction{Kind: CallWithdraw, Grant: l.grantRequest(), Next: &refuse}
}

func (l *CallLife) dispatch(now time.Time) CallAction {
	candidates := l.cfg.Fleet.Services(l.call.Service, l.cfg.Document(), now)
	digest := l.call.Digest()
	choice, found := l.cfg.Policy.Choose(coltsrouting.Work{
		Home:  coltscache.Piece(digest[:len(coltscache.Piece{})]),
		Tried: l.tried,
	}, candidates, now)
	if !found {
		refusal := &coltsattempt.RefusedError{
			Outcome: l.outcome,
			Reason:  coltsattempt.ReasonNoUpstream,
			Detail:  "no instance of service " + string(l.call.Service) + " can take the call",
		}
		return l.settleAndRefuse(refusal.WithRetryAt(now.Add(busyRetryAfter)), now)
	}
	l.attempts++
	l.upstream = choice.Candidate.Announcement.ID
	l.cfg.Fleet.Dispatched(l.upstream, 0, now)
	return CallAction{Kind: CallDispatch, Dispatch: CallDispatchTo{
		Attempt:  l.attempts,
		Upstream: l.upstream,
		Addr:     choice.Candidate.Announcement.Addr,
		Deadline: l.call.Deadline,
	}}
}

// Answered takes in the service's answer. Whatever its status, the service has
// run the call; only an answer that says "not-run" itself is handed to Failed.
func (l *CallLife) Answered(a coltsbooking.Answer, now time.Time) CallAction {
	l.cfg.Fleet.Succeeded(l.upstream)
	answer := CallAction{Kind: CallAnswer, Answer: a}
	l.leave(now)
	if l.call.Repeatable {
		return answer
	}
	return CallAction{Kind: CallSettle, Next: &answer, Settle: coltsbooking.Settlement{
		Key:          l.key(),
		Grant:        l.grant,
		State:        coltsbooking.StateDone,
		Answer:       a,
		ChargeMicros: l.price(a),
	}}
}

// price charges only calls that the service says it has carried out.
func (l *CallLife) price(a coltsbooking.Answer) int64 {
	if a.Status < statusOK || a.Status >= statusEnd {
		return 0
	}
	return l.cfg.Document().ServicePrice(l.call.Service).Micros
}

// Failed takes in that the attempt under way ended without an answer. The action
// is another dispatch, a settlement or a refusal.
func (l *CallLife) Failed(f coltsattempt.Failure, now time.Time) CallAction {
	l.endAttempt(f, now)
	l.outcome = coltsattempt.OutcomeOf(f, l.outcome)
	history := coltsattempt.History{
		Attempts:    l.attempts,
		MaxAttempts: l.cfg.MaxAttempts,
		Deadline:    l.call.Deadline,
		Idempotent:  l.call.Repeatable,
	}
	again := coltsattempt.Judge(f, history, now) != coltsattempt.VerdictFail
	if again && l.cfg.Budget.Spend(l.call.Organisation.ID) {
		l.tried = append(l.tried, l.upstream)
		return l.dispatch(now)
	}
	refusal := &coltsattempt.RefusedError{
		Outcome: l.outcome,
		Reason:  coltsattempt.ReasonUpstream,
		Detail:  f.Detail,
		RetryAt: f.RetryAt,
	}
	return l.settleAndRefuse(refusal, now)
}

func (l *CallLife) endAttempt(f coltsattempt.Failure, now time.Time) {
	if f.Phase == coltsattempt.PhaseRefused {
		l.cfg.Fleet.Abandoned(l.upstream)
		return
	}
	l.cfg.Fleet.Failed(l.upstream, isGone(f), now)
}

// settleAndRefuse ends a call that got no answer. A granted call is settled by
// what is known: not run, or unknown for good.
func (l *CallLife) settleAndRefuse(refusal *coltsattempt.RefusedError, now time.Time) CallAction {
	refuse := l.refuse(refusal, now)
	if l.grant == 0 {
		return refuse
	}
	state := coltsbooking.StateUnknown
	if l.outcome == coltsattempt.OutcomeNotRun {
		state = coltsbooking.StateNotRun
	}
	return CallAction{Kind: CallSettle, Next: &refuse, Settle: coltsbooking.Settlement{
		Key:   l.key(),
		Grant: l.grant,
		State: state,
	}}
}

func (l *CallLife) refuse(refusal *coltsattempt.RefusedError, now time.Time) CallAction {
	l.leave(now)
	return CallAction{Kind: CallRefuse, Refusal: refusal}
}

func (l *CallLife) leave(now time.Time) {
	if l.admitted {
		l.cfg.Admission.Release(l.call.Organisation, 0, 0, now)
	}
	l.admitted = false
}
