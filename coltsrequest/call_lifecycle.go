package coltsrequest

// A non-repeatable call to a plain service needs a grant from the ledger before its
// first byte is sent, and its result is settled in the ledger afterwards. Between
// the two, it is retried only if it is certain that the service did not run it.

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

// HTTP statuses of successful calls: from successStatusMin up to, but not
// including, successStatusEnd.
const (
	successStatusMin = 200
	successStatusEnd = 300
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
	// Repeatable is true if the call is idempotent and so may be retried.
	Repeatable bool
	Deadline   time.Time
}

// Digest returns a hash of the call's content. It detects an idempotency key that
// is reused for a different call.
func (c Call) Digest() coltsidentity.Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.Service), []byte(c.Method), []byte(c.Path), c.Body} {
		h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		h.Write(part)
	}
	return coltsidentity.Digest(h.Sum(nil))
}

// CallActionKind is the kind of a CallAction.
type CallActionKind int

// The kinds of action.
const (
	// CallGrant means: ask the ledger for a grant, then call GrantDecided, KeyReused
	// or GrantUnanswered.
	CallGrant CallActionKind = iota + 1
	// CallDispatch means: send the call, then call Answered or Failed.
	CallDispatch
	// CallSettle means: record the result in the ledger, then carry out Next. If
	// the ledger can't be reached, keep retrying in the background.
	CallSettle
	// CallAnswer means: end the call with an answer.
	CallAnswer
	// CallRefuse means: end the call with a refusal.
	CallRefuse
	// CallWithdraw means: withdraw a grant in the background and carry out Next.
	CallWithdraw
)

// CallAction tells the front end what to do next for a call. Only the fields that
// belong to Kind are set.
type CallAction struct {
	Kind     CallActionKind
	Grant    coltsbooking.Request
	Dispatch CallAttempt
	Settle   coltsbooking.Settlement
	Answer   coltsbooking.Answer
	// Replayed is true if Answer was recorded by an earlier call with the same key.
	Replayed bool
	Refusal  *coltsattempt.RefusedError
	// Next is the answer or refusal that follows a settlement or a withdrawal.
	Next *CallAction
}

// CallAttempt describes an attempt of a call and the upstream to which it is sent.
type CallAttempt struct {
	// Attempt counts from 1.
	Attempt  int
	Upstream coltsidentity.Upstream
	Addr     netip.AddrPort
	Deadline time.Time
}

// CallLifecycle is the state machine of one call. It is not safe for concurrent use.
type CallLifecycle struct {
	cfg Config
	// instance is the holder of the grant.
	instance coltsidentity.Instance
	call     Call
	// admitted is true while Admission counts the call as in flight.
	admitted bool
	// grant is the number of the ledger's grant; zero means none.
	grant    coltsbooking.GrantNumber
	attempts int
	// tried lists the upstreams of earlier attempts.
	tried []coltsidentity.Upstream
	// upstream is the upstream of the current attempt.
	upstream coltsidentity.Upstream
	// outcome reports whether the call may have run in any attempt so far.
	outcome coltsattempt.Outcome
}

// BeginCall admits a call and returns its state machine and first action: a grant, a
// dispatch or a refusal. The instance becomes the holder of the grant.
func (c *Coordinator) BeginCall(call Call, instance coltsidentity.Instance, now time.Time) (*CallLifecycle, CallAction) {
	l := &CallLifecycle{cfg: c.cfg, instance: instance, call: call, outcome: coltsattempt.OutcomeNotRun}
	if refusal := l.validate(); refusal != nil {
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

func (l *CallLifecycle) grantRequest() coltsbooking.Request {
	return coltsbooking.Request{
		Key:       l.key(),
		Service:   l.call.Service,
		Digest:    l.call.Digest(),
		Holder:    l.instance,
		RequestID: l.call.ID,
	}
}

func (l *CallLifecycle) key() coltsbooking.Key {
	return coltsbooking.Key{Organisation: l.call.Organisation.ID, Key: l.call.Key}
}

// validate checks that the organisation may call the service and that a
// non-repeatable call has an idempotency key.
func (l *CallLifecycle) validate() *coltsattempt.RefusedError {
	if !mayCall(l.call.Organisation, l.call.Service) {
		return coltsattempt.NotRun(coltsattempt.ReasonNotAllowed,
			"organisation %s may not call service %s", l.call.Organisation.ID, l.call.Service)
	}
	if !l.call.Repeatable && l.call.Key == "" {
		return coltsattempt.NotRun(coltsattempt.ReasonKeyMissing,
			"%s to service %s is not repeatable and needs the header Idempotency-Key", l.call.Method, l.call.Service)
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

// GrantDecided handles the ledger's decision on the grant. The action is a dispatch, a
// recorded answer or a refusal.
func (l *CallLifecycle) GrantDecided(d coltsbooking.Decision, now time.Time) CallAction {
	if d.Granted {
		l.grant = d.Record.Grant
		return l.dispatch(now)
	}
	switch d.Record.State {
	case coltsbooking.StateDone:
		l.release(now)
		return CallAction{Kind: CallAnswer, Answer: d.Record.Answer, Replayed: true}
	case coltsbooking.StateUnknown:
		return l.refuse(coltsattempt.Unknown(coltsattempt.ReasonUnknownResult,
			"a call with this idempotency key may already have run; it will not be repeated"), now)
	default:
		return l.refuse(coltsattempt.Unknown(coltsattempt.ReasonInProgress,
			"a call with this idempotency key is in progress").WithRetryAt(now.Add(busyRetryAfter)), now)
	}
}

// KeyReused handles the ledger's error that the idempotency key belongs to a
// different call. The action is a refusal.
func (l *CallLifecycle) KeyReused(now time.Time) CallAction {
	return l.refuse(coltsattempt.NotRun(coltsattempt.ReasonKeyReused,
		"this idempotency key was used for another call"), now)
}

// GrantUnanswered handles a request for a grant that got no answer. The call is not sent,
// so it is refused as not run, and a grant that the ledger may have given is
// withdrawn.
func (l *CallLifecycle) GrantUnanswered(now time.Time) CallAction {
	next := l.refuse(coltsattempt.NotRun(coltsattempt.ReasonNoLedger,
		"the ledger can't be reached").WithRetryAt(now.Add(busyRetryAfter)), now)
	return CallAction{Kind: CallWithdraw, Grant: l.grantRequest(), Next: &next}
}

func (l *CallLifecycle) dispatch(now time.Time) CallAction {
	candidates := l.cfg.Fleet.Services(l.call.Service, l.cfg.Document(), now)
	digest := l.call.Digest()
	choice, found := l.cfg.Policy.Choose(coltsrouting.Request{
		HomeKey: coltscache.Piece(digest[:len(coltscache.Piece{})]),
		Tried:   l.tried,
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
	l.cfg.Fleet.RecordDispatch(l.upstream, 0, now)
	return CallAction{Kind: CallDispatch, Dispatch: CallAttempt{
		Attempt:  l.attempts,
		Upstream: l.upstream,
		Addr:     choice.Candidate.Announcement.Addr,
		Deadline: l.call.Deadline,
	}}
}

// Answered handles the service's answer. An answer with any status means that the
// service ran the call. The exception is an answer that states "not-run": the front
// end passes it to Failed instead.
func (l *CallLifecycle) Answered(a coltsbooking.Answer, now time.Time) CallAction {
	l.cfg.Fleet.RecordSuccess(l.upstream)
	answer := CallAction{Kind: CallAnswer, Answer: a}
	l.release(now)
	if l.call.Repeatable {
		return answer
	}
	return CallAction{Kind: CallSettle, Next: &answer, Settle: coltsbooking.Settlement{
		Key:          l.key(),
		Grant:        l.grant,
		State:        coltsbooking.StateDone,
		Answer:       a,
		ChargeMicros: l.chargeMicros(a),
	}}
}

// chargeMicros returns the price of the call in micros if the answer has a success
// status, and zero otherwise.
func (l *CallLifecycle) chargeMicros(a coltsbooking.Answer) int64 {
	if a.Status < successStatusMin || a.Status >= successStatusEnd {
		return 0
	}
	return l.cfg.Document().ServicePrice(l.call.Service).Micros
}

// Failed handles an attempt that ended without an answer. The action is another
// dispatch, a settlement or a refusal.
func (l *CallLifecycle) Failed(f coltsattempt.Failure, now time.Time) CallAction {
	l.endAttempt(f, now)
	l.outcome = coltsattempt.OutcomeOf(f, l.outcome)
	history := coltsattempt.History{
		Attempts:    l.attempts,
		MaxAttempts: l.cfg.MaxAttempts,
		Deadline:    l.call.Deadline,
		Idempotent:  l.call.Repeatable,
	}
	retry := coltsattempt.Judge(f, history, now) != coltsattempt.VerdictFail
	if retry && l.cfg.Budget.Spend(l.call.Organisation.ID) {
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

// endAttempt reports the failed attempt to the fleet. A call that the upstream
// refused doesn't count as a failure of the upstream.
func (l *CallLifecycle) endAttempt(f coltsattempt.Failure, now time.Time) {
	if f.Phase == coltsattempt.PhaseRefused {
		l.cfg.Fleet.RecordPause(l.upstream, f.RetryAt, now)
		l.cfg.Fleet.RecordAbandoned(l.upstream)
		return
	}
	l.cfg.Fleet.RecordFailure(l.upstream, isUpstreamGone(f), now)
}

// settleAndRefuse ends a call that got no answer. A granted call is settled as not
// run if that is certain, and otherwise as unknown, which is final.
func (l *CallLifecycle) settleAndRefuse(refusal *coltsattempt.RefusedError, now time.Time) CallAction {
	next := l.refuse(refusal, now)
	if l.grant == 0 {
		return next
	}
	state := coltsbooking.StateUnknown
	if l.outcome == coltsattempt.OutcomeNotRun {
		state = coltsbooking.StateNotRun
	}
	return CallAction{Kind: CallSettle, Next: &next, Settle: coltsbooking.Settlement{
		Key:   l.key(),
		Grant: l.grant,
		State: state,
	}}
}

func (l *CallLifecycle) refuse(refusal *coltsattempt.RefusedError, now time.Time) CallAction {
	l.release(now)
	return CallAction{Kind: CallRefuse, Refusal: refusal}
}

// release tells Admission that the call has ended. Further calls have no effect.
func (l *CallLifecycle) release(now time.Time) {
	if l.admitted {
		l.cfg.Admission.Release(l.call.Organisation, 0, 0, now)
	}
	l.admitted = false
}
