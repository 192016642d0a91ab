package coltsrequest

// These tests run calls, most of them non-repeatable, against a real ledger.

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbooking"
	"coltsfootstall/coltsidentity"
)

func call(key string) Call {
	return Call{
		ID:           coltsidentity.NewRequest(),
		Organisation: organisation(),
		Service:      "press",
		Method:       "POST",
		Path:         "/runs",
		Body:         []byte("500 sheets"),
		Key:          coltsidentity.IdempotencyKey(key),
		Deadline:     start.Add(time.Minute),
	}
}

// begin starts a call, asks the ledger for a grant and returns the action that
// follows the decision.
func begin(t *testing.T, f *fixture, l *coltsbooking.Ledger, c Call) (*CallLife, CallAction) {
	t.Helper()
	lifecycle, action := f.coordinator.BeginCall(c, "entry-1", start)
	assert.Equal(t, action.Kind, CallGrant)
	decision, err := l.Grant(action.Grant, start)
	assert.NilError(t, err)
	return lifecycle, lifecycle.Decided(decision, start)
}

// settle checks a settlement's state, records it in the ledger and returns the
// action that follows it.
func settle(t *testing.T, l *coltsbooking.Ledger, a CallAction, state coltsbooking.State) CallAction {
	t.Helper()
	assert.Equal(t, a.Kind, CallSettle)
	assert.Equal(t, a.Settle.State, state)
	_, _, err := l.Settle(a.Settle, start)
	assert.NilError(t, err)
	return *a.Next
}

func assertCallRefused(t *testing.T, a CallAction, outcome coltsattempt.Outcome, reason coltsattempt.Reason) {
	t.Helper()
	assert.Equal(t, a.Kind, CallRefuse)
	assert.Equal(t, a.Refusal.Outcome, outcome)
	assert.Equal(t, a.Refusal.Reason, reason)
}

func TestCallLife(t *testing.T) {
	answer := coltsbooking.Answer{Status: 200, Body: []byte("pressed")}

	t.Run("a call runs, is charged, and its answer is replayed", func(t *testing.T) {
		f, l := newFixture(t), coltsbooking.NewLedger()
		lifecycle, action := begin(t, f, l, call("k"))
		assert.Equal(t, action.Kind, CallDispatch)
		action = lifecycle.Answered(answer, start)
		assert.Equal(t, action.Settle.ChargeMicros, int64(7))
		assert.Equal(t, settle(t, l, action, coltsbooking.StateDone).Kind, CallAnswer)
		_, again := begin(t, f, l, call("k"))
		assert.Assert(t, again.Replayed)
		assert.DeepEqual(t, again.Answer, answer)
		assertSettled(t, f)
	})

	t.Run("a call that crashed after it was sent is not retried", func(t *testing.T) {
		f, l := newFixture(t), coltsbooking.NewLedger()
		lifecycle, _ := begin(t, f, l, call("k"))
		end := settle(t, l, lifecycle.Failed(crash, start), coltsbooking.StateUnknown)
		assertCallRefused(t, end, coltsattempt.OutcomeUnknown, coltsattempt.ReasonUpstream)
		_, again := begin(t, f, l, call("k"))
		assertCallRefused(t, again, coltsattempt.OutcomeUnknown, coltsattempt.ReasonUnknownResult)
	})

	t.Run("a call of which no byte was sent is retried on another upstream", func(t *testing.T) {
		f, l := newFixture(t), coltsbooking.NewLedger()
		unsent := coltsattempt.Failure{Phase: coltsattempt.PhaseUnsent}
		lifecycle, first := begin(t, f, l, call("k"))
		second := lifecycle.Failed(unsent, start)
		assert.Equal(t, second.Kind, CallDispatch)
		assert.Assert(t, second.Dispatch.Upstream != first.Dispatch.Upstream)
		end := settle(t, l, lifecycle.Failed(unsent, start), coltsbooking.StateNotRun)
		assertCallRefused(t, end, coltsattempt.OutcomeNotRun, coltsattempt.ReasonNoUpstream)
		_, again := begin(t, f, l, call("k"))
		assert.Equal(t, again.Kind, CallDispatch, "a call that did not run can be granted again")
	})

	t.Run("a call without a key is refused as not run", func(t *testing.T) {
		_, action := newFixture(t).coordinator.BeginCall(call(""), "entry-1", start)
		assertCallRefused(t, action, coltsattempt.OutcomeNotRun, coltsattempt.ReasonKeyMissing)
	})

	t.Run("a grant is withdrawn if the ledger does not answer", func(t *testing.T) {
		f, l := newFixture(t), coltsbooking.NewLedger()
		lifecycle, action := f.coordinator.BeginCall(call("k"), "entry-1", start)
		withdraw := lifecycle.Undecided(start)
		assert.Equal(t, withdraw.Kind, CallWithdraw)
		l.Withdraw(withdraw.Grant, start)
		late, err := l.Grant(action.Grant, start)
		assert.NilError(t, err)
		assert.Assert(t, !late.Granted, "a request that arrives after its withdrawal is not granted")
		_, again := begin(t, f, l, call("k"))
		assert.Equal(t, again.Kind, CallDispatch)
	})

	t.Run("a repeatable call needs no grant and is retried", func(t *testing.T) {
		f := newFixture(t)
		c := call("")
		c.Repeatable = true
		lifecycle, action := f.coordinator.BeginCall(c, "entry-1", start)
		assert.Equal(t, action.Kind, CallDispatch)
		assert.Equal(t, lifecycle.Failed(crash, start).Kind, CallDispatch)
	})
}
