package coltsattempt

import (
	"encoding/binary"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
)

var (
	start       = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	fingerprint = coltsidentity.Digest{7}
)

// newCrashed returns a quarantine in which a request has crashed the given upstreams.
func newCrashed(upstreams ...coltsidentity.Upstream) *Quarantine {
	q := NewQuarantine(QuarantineConfig{})
	for _, u := range upstreams {
		q.RecordCrash(fingerprint, u, start)
	}
	return q
}

func assertBlocked(t *testing.T, q *Quarantine, now time.Time, want bool) {
	t.Helper()
	assert.Equal(t, !q.BlockedUntil(fingerprint, now).IsZero(), want)
}

func TestQuarantine(t *testing.T) {
	t.Run("a request is a suspect after one upstream crashed and quarantined after two", func(t *testing.T) {
		q := newCrashed("a", "a")
		assert.Assert(t, q.Suspected(fingerprint, start))
		assertBlocked(t, q, start, false)
		q.RecordCrash(fingerprint, "b", start)
		assertBlocked(t, q, start, true)
	})
	t.Run("crashes reported by other entry instances add up, each upstream once", func(t *testing.T) {
		q := newCrashed("a")
		assert.Assert(t, !q.Merge(Suspect{Fingerprint: fingerprint, Upstreams: []coltsidentity.Upstream{"a"}, ExpiresAt: start.Add(time.Hour)}, start))
		assertBlocked(t, q, start, false)
		assert.Assert(t, q.Merge(Suspect{Fingerprint: fingerprint, Upstreams: []coltsidentity.Upstream{"b"}, ExpiresAt: start.Add(time.Hour)}, start))
		assertBlocked(t, q, start, true)
	})
	t.Run("a request that succeeds is cleared", func(t *testing.T) {
		q := newCrashed("a")
		q.Clear(fingerprint, start)
		assert.Assert(t, !q.Suspected(fingerprint, start))
		assert.Equal(t, len(q.Suspects(start)), 0)
	})
	t.Run("clearing is not undone by outdated reports of other entry instances", func(t *testing.T) {
		q, other := newCrashed("a", "b"), newCrashed("a", "b")
		q.Clear(fingerprint, start)
		assert.Assert(t, !q.Merge(other.Suspects(start)[0], start.Add(time.Second)))
		assertBlocked(t, q, start.Add(time.Second), false)
	})
	t.Run("a new crash after clearing counts", func(t *testing.T) {
		q := newCrashed("a", "b")
		q.Clear(fingerprint, start)
		q.RecordCrash(fingerprint, "a", start.Add(time.Second))
		assert.Assert(t, q.Suspected(fingerprint, start.Add(time.Second)))
	})
	t.Run("crashes expire", func(t *testing.T) {
		assertBlocked(t, newCrashed("a", "b"), start.Add(crashRetention), false)
	})
}

func TestBudget(t *testing.T) {
	spendAll := func(b *RetryBudget) int {
		n := 0
		for b.Spend("acme") {
			n++
		}
		return n
	}
	t.Run("ten requests earn one retry", func(t *testing.T) {
		b := NewRetryBudget()
		spendAll(b)
		for range 100 {
			b.Earn("acme")
		}
		assert.Equal(t, spendAll(b), 10)
	})
	t.Run("the balance is capped", func(t *testing.T) {
		b := NewRetryBudget()
		for range 10_000 {
			b.Earn("acme")
		}
		assert.Equal(t, spendAll(b), maxBalance/retryCost)
	})
	t.Run("organisations have separate budgets", func(t *testing.T) {
		b := NewRetryBudget()
		spendAll(b)
		assert.Assert(t, b.Spend("zenith"))
	})
}

func TestJudge(t *testing.T) {
	history := History{Attempts: 1, MaxAttempts: 3, Deadline: start.Add(time.Minute)}
	for _, c := range []struct {
		name       string
		phase      Phase
		idempotent bool
		want       Verdict
	}{
		{"unsent, idempotent", PhaseUnsent, true, VerdictRetry},
		{"unsent, not idempotent", PhaseUnsent, false, VerdictRetry},
		{"refused, not idempotent", PhaseRefused, false, VerdictRetry},
		{"sent, idempotent", PhaseSent, true, VerdictRetry},
		{"sent, not idempotent", PhaseSent, false, VerdictFail},
		{"answering, idempotent", PhaseAnswering, true, VerdictResume},
		{"answering, not idempotent", PhaseAnswering, false, VerdictFail},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := history
			h.Idempotent = c.idempotent
			assert.Equal(t, Judge(Failure{Phase: c.phase}, h, start), c.want)
		})
	}
	t.Run("a permanent failure, the deadline and the attempt limit end a request", func(t *testing.T) {
		h := history
		h.Idempotent = true
		assert.Equal(t, Judge(Failure{Permanent: true}, h, start), VerdictFail)
		assert.Equal(t, Judge(Failure{}, h, start.Add(time.Minute)), VerdictFail)
		h.Attempts = 3
		assert.Equal(t, Judge(Failure{}, h, start), VerdictFail)
	})
}

func TestOutcome(t *testing.T) {
	t.Run("a request is not-run only if no attempt can have run it", func(t *testing.T) {
		assert.Equal(t, OutcomeOf(Failure{Phase: PhaseRefused}, OutcomeNotRun), OutcomeNotRun)
		assert.Equal(t, OutcomeOf(Failure{Phase: PhaseUnsent}, OutcomeUnknown), OutcomeUnknown)
		assert.Equal(t, OutcomeOf(Failure{Phase: PhaseSent}, OutcomeNotRun), OutcomeUnknown)
		assert.Equal(t, OutcomeOf(Failure{Phase: PhaseRefused}, OutcomeRan), OutcomeRan)
	})
}

// newPopulated returns a quarantine that holds n suspects with one crash each, and one with two
// crashes that was added last.
func newPopulated(n int) *Quarantine {
	q := NewQuarantine(QuarantineConfig{})
	for i := range n {
		var f coltsidentity.Digest
		binary.BigEndian.PutUint64(f[:], uint64(i))
		q.RecordCrash(f, "a", start)
	}
	q.RecordCrash(fingerprint, "a", start)
	q.RecordCrash(fingerprint, "b", start)
	return q
}

func TestSuspectsOf(t *testing.T) {
	q := newPopulated(100)
	t.Run("suspects with fewer crashes are left out", func(t *testing.T) {
		got := q.SuspectsWithCrashes(2, start)
		assert.Equal(t, len(got), 1)
		assert.Equal(t, got[0].Fingerprint, fingerprint)
	})
	t.Run("suspects are sorted by fingerprint", func(t *testing.T) {
		all := q.Suspects(start)
		assert.Equal(t, len(all), 101)
		for i := 1; i < len(all); i++ {
			assert.Assert(t, all[i-1].Fingerprint.String() < all[i].Fingerprint.String())
		}
	})
}

// BenchmarkSuspects measures the listing of suspects that the leader does for each of its
// answers, with a thousand requests that were running on crashed upstreams.
func BenchmarkSuspects(b *testing.B) {
	q := newPopulated(1000)
	b.Run("all", func(b *testing.B) {
		for b.Loop() {
			q.Suspects(start)
		}
	})
	b.Run("with two crashes", func(b *testing.B) {
		for b.Loop() {
			q.SuspectsWithCrashes(2, start)
		}
	})
}
