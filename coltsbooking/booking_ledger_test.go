package coltsbooking

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func request(key string, caller byte) Request {
	return Request{
		Key:    Key{Organisation: "acme", Key: coltsidentity.IdempotencyKey(key)},
		Digest: coltsidentity.Digest{1},
		Holder: "entry-1",
		RequestID: coltsidentity.Request{caller},
	}
}

func grant(t *testing.T, l *Ledger, r Request, now time.Time) Decision {
	t.Helper()
	d, err := l.Grant(r, now)
	assert.NilError(t, err)
	return d
}

func assertState(t *testing.T, l *Ledger, r Request, now time.Time, want State) {
	t.Helper()
	rec, known := l.Find(r.Key, now)
	assert.Assert(t, known)
	assert.Equal(t, rec.State, want)
}

func TestLedger(t *testing.T) {
	t.Run("a key is granted once", func(t *testing.T) {
		l := NewLedger()
		assert.Assert(t, grant(t, l, request("k", 1), start).Granted)
		assert.Assert(t, !grant(t, l, request("k", 2), start).Granted)
	})
	t.Run("the same request asking again holds its grant", func(t *testing.T) {
		l := NewLedger()
		first := grant(t, l, request("k", 1), start)
		second := grant(t, l, request("k", 1), start)
		assert.Assert(t, second.Granted)
		assert.Equal(t, second.Record.Grant, first.Record.Grant)
	})
	t.Run("a key of another organisation is another key", func(t *testing.T) {
		l := NewLedger()
		other := request("k", 2)
		other.Key.Organisation = "zenith"
		assert.Assert(t, grant(t, l, request("k", 1), start).Granted)
		assert.Assert(t, grant(t, l, other, start).Granted)
	})
	t.Run("a key with another content is refused", func(t *testing.T) {
		l := NewLedger()
		grant(t, l, request("k", 1), start)
		other := request("k", 2)
		other.Digest = coltsidentity.Digest{2}
		_, err := l.Grant(other, start)
		var reused *KeyReusedError
		assert.Assert(t, errors.As(err, &reused))
		assert.Equal(t, reused.Key, other.Key)
	})
	t.Run("a settlement charges once", func(t *testing.T) {
		l := NewLedger()
		g := grant(t, l, request("k", 1), start).Record.Grant
		s := Settlement{Key: request("k", 1).Key, Grant: g, State: StateDone, ChargeMicros: 5}
		_, charged, err := l.Settle(s, start)
		assert.NilError(t, err)
		assert.Assert(t, charged)
		_, charged, err = l.Settle(s, start)
		assert.NilError(t, err)
		assert.Assert(t, !charged)
	})
	t.Run("a holder that says nothing leaves the call unknown for good", func(t *testing.T) {
		l := NewLedger()
		r := request("k", 1)
		g := grant(t, l, r, start).Record.Grant
		late := start.Add(SettleTimeout)
		assertState(t, l, r, late, StateUnknown)
		assert.Assert(t, !grant(t, l, request("k", 2), late).Granted)
		_, _, err := l.Settle(Settlement{Key: r.Key, Grant: g, State: StateNotRun}, late)
		assert.NilError(t, err)
		assertState(t, l, r, late, StateUnknown)
	})
	t.Run("a late answer makes the unknown known", func(t *testing.T) {
		l := NewLedger()
		r := request("k", 1)
		g := grant(t, l, r, start).Record.Grant
		_, charged, err := l.Settle(Settlement{Key: r.Key, Grant: g, State: StateDone}, start.Add(SettleTimeout))
		assert.NilError(t, err)
		assert.Assert(t, charged)
		assertState(t, l, r, start.Add(SettleTimeout), StateDone)
	})
	t.Run("an old grant can't settle", func(t *testing.T) {
		l := NewLedger()
		r := request("k", 1)
		old := grant(t, l, r, start).Record.Grant
		_, _, err := l.Settle(Settlement{Key: r.Key, Grant: old, State: StateNotRun}, start)
		assert.NilError(t, err)
		grant(t, l, request("k", 2), start)
		_, _, err = l.Settle(Settlement{Key: r.Key, Grant: old, State: StateDone}, start)
		var notHolder *NotHolderError
		assert.Assert(t, errors.As(err, &notHolder))
	})
	t.Run("a key is forgotten after its retention", func(t *testing.T) {
		l := NewLedger()
		grant(t, l, request("k", 1), start)
		assert.Assert(t, grant(t, l, request("k", 2), start.Add(Retention)).Granted)
	})
	t.Run("an import gives the same state", func(t *testing.T) {
		l, copied := NewLedger(), NewLedger()
		grant(t, l, request("a", 1), start)
		grant(t, l, request("b", 2), start.Add(time.Second))
		copied.Import(l.Export())
		last, records := l.Export()
		copiedLast, copiedRecords := copied.Export()
		assert.Equal(t, copiedLast, last)
		assert.DeepEqual(t, copiedRecords, records)
	})
}
