package coltsrequest

// The life of a call that may not be repeated, against a real ledger.

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

// begin starts a call's life and has the ledger decide.
func begin(t *testing.T, w *world, l *coltsbooking.Ledger, c Call) (*CallLife, CallAction) {
	t.Helper()
	life, action := w.coordinator.BeginCall(c, "entry-1", start)
	assert.Equal(t, action.Kind, CallGrant)
	decision, err := l.Grant(action.Grant, start)
	assert.NilError(t, err)
	return life, life.Decided(decision, start)
}

// settle has the ledger record a settlement and returns what follows it.
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

	t.Run("a call runs, is charged, and is replayed", func(t *testing.T) {
		w, l := newWorld(t), coltsbooking.NewLedger()
		life, action := begin(t, w, l, call("k"))
		assert.Equal(t, action.Kind, CallDispatch)
		action = life.Answered(answer, start)
		assert.Equal(t, action.Settle.ChargeMicros, int64(7))
		assert.Equal(t, settle(t, l, action, coltsbooking.StateDone).Kind, CallAnswer)
		_, again := begin(t, w, l, call("k"))
		assert.Assert(t, again.Replayed)
		assert.DeepEqual(t, again.Answer, answer)
		assertSettled(t, w)
	})

	t.Run("after bytes left there is no other attempt", func(t *testing.T) {
		w, l := newWorld(t), coltsbooking.NewLedger()
		life, _ := begin(t, w, l, call("k"))
		end := settle(t, l, life.Failed(crash, start), coltsbooking.StateUnknown)
		assertCallRefused(t, end, coltsattempt.OutcomeUnknown, coltsattempt.ReasonUpstream)
		_, again := begin(t, w, l, call("k"))
		assertCallRefused(t, again, coltsattempt.OutcomeUnknown, coltsattempt.ReasonUnknownResult)
	})

	t.Run("while no byte has left another upstream is tried", func(t *testing.T) {
		w, l := newWorld(t), coltsbooking.NewLedger()
		unsent := coltsattempt.Failure{Phase: coltsattempt.PhaseUnsent}
		life, first := begin(t, w, l, call("k"))
		second := life.Failed(unsent, start)
		assert.Equal(t, second.Kind, CallDispatch)
		assert.Assert(t, second.Dispatch.Upstream != first.Dispatch.Upstream)
		end := settle(t, l, life.Failed(unsent, start), coltsbooking.StateNotRun)
		assertCallRefused(t, end, coltsattempt.OutcomeNotRun, coltsattempt.ReasonNoUpstream)
		_, again := begin(t, w, l, call("k"))
		assert.Equal(t, again.Kind, CallDispatch, "what did not run may be granted anew")
	})

	t.Run("a call without a key is refused as not run", func(t *testing.T) {
		_, action := newWorld(t).coordinator.BeginCall(call(""), "entry-1", start)
		assertCallRefused(t, action, coltsattempt.OutcomeNotRun, coltsattempt.ReasonKeyMissing)
	})

	t.Run("a grant whose answer was lost is withdrawn", func(t *testing.T) {
		w, l := newWorld(t), coltsbooking.NewLedger()
		life, action := w.coordinator.BeginCall(call("k"), "entry-1", start)
		withdraw := life.Undecided(start)
		assert.Equal(t, withdraw.Kind, CallWithdraw)
		l.Withdraw(withdraw.Grant, start)
		late, err := l.Grant(action.Grant, start)
		assert.NilError(t, err)
		assert.Assert(t, !late.Granted, "a late copy of the request is not granted")
		_, again := begin(t, w, l, call("k"))
		assert.Equal(t, again.Kind, CallDispatch)
	})

	t.Run("a repeatable call needs no ledger and is tried again", func(t *testing.T) {
		w := newWorld(t)
		c := call("")
		c.Repeatable = true
		life, action := w.coordinator.BeginCall(c, "entry-1", start)
		assert.Equal(t, action.Kind, CallDispatch)
		assert.Equal(t, life.Failed(crash, start).Kind, CallDispatch)
	})
}
