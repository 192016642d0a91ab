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

func crashed(upstreams ...coltsidentity.Upstream) *Quarantine {
	q := NewQuarantine(QuarantineConfig{})
	for _, u := range upstreams {
		q.Crashed(fingerprint, u, start)
	}
	return q
}

func assertBlocked(t *testing.T, q *Quarantine, now time.Time, want bool) {
	t.Helper()
	assert.Equal(t, !q.Blocked(fingerprint, now).IsZero(), want)
}

func TestQuarantine(t *testing.T) {
	t.Run("one crash makes a suspect, two upstreams make a quarantine", func(t *testing.T) {
		q := crashed("a", "a")
		assert.Assert(t, q.Suspected(fingerprint, start))
		assertBlocked(t, q, start, false)
		q.Crashed(fingerprint, "b", start)
		assertBlocked(t, q, start, true)
	})
	t.Run("crashes of several entries add up, each upstream once", func(t *testing.T) {
		q := crashed("a")
		assert.Assert(t, !q.Merge(Suspect{Fingerprint: fingerprint, Upstreams: []coltsidentity.Upstream{"a"}, ForgetAt: start.Add(time.Hour)}, start))
		assertBlocked(t, q, start, false)
		assert.Assert(t, q.Merge(Suspect{Fingerprint: fingerprint, Upstreams: []coltsidentity.Upstream{"b"}, ForgetAt: start.Add(time.Hour)}, start))
		assertBlocked(t, q, start, true)
	})
	t.Run("a request that ended well is cleared", func(t *testing.T) {
		q := crashed("a")
		q.Cleared(fingerprint, start)
		assert.Assert(t, !q.Suspected(fingerprint, start))
		assert.Equal(t, len(q.Suspects(start)), 0)
	})
	t.Run("a release is not undone by what others have not forgotten yet", func(t *testing.T) {
		q, other := crashed("a", "b"), crashed("a", "b")
		q.Cleared(fingerprint, start)
		assert.Assert(t, !q.Merge(other.Suspects(start)[0], start.Add(time.Second)))
		assertBlocked(t, q, start.Add(time.Second), false)
	})
	t.Run("but a new crash counts", func(t *testing.T) {
		q := crashed("a", "b")
		q.Cleared(fingerprint, start)
		q.Crashed(fingerprint, "a", start.Add(time.Second))
		assert.Assert(t, q.Suspected(fingerprint, start.Add(time.Second)))
	})
	t.Run("crashes are forgotten", func(t *testing.T) {
		assertBlocked(t, crashed("a", "b"), start.Add(quarantineRetention), false)
	})
}

func TestBudget(t *testing.T) {
	spendAll := func(b *Budget) int {
		n := 0
		for b.Spend("acme") {
			n++
		}
		return n
	}
	t.Run("ten requests pay for one retry", func(t *testing.T) {
		b := NewBudget()
		spendAll(b)
		for range 100 {
			b.Earn("acme")
		}
		assert.Equal(t, spendAll(b), 10)
	})
	t.Run("savings are bounded", func(t *testing.T) {
		b := NewBudget()
		for range 10_000 {
			b.Earn("acme")
		}
		assert.Equal(t, spendAll(b), budgetMax/budgetUnit)
	})
	t.Run("one organisation's retries are not another's", func(t *testing.T) {
		b := NewBudget()
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
	t.Run("the last attempt, a permanent failure and the deadline end it", func(t *testing.T) {
		h := history
		h.Idempotent = true
		assert.Equal(t, Judge(Failure{Permanent: true}, h, start), VerdictFail)
		assert.Equal(t, Judge(Failure{}, h, start.Add(time.Minute)), VerdictFail)
		h.Attempts = 3
		assert.Equal(t, Judge(Failure{}, h, start), VerdictFail)
	})
}

func TestOutcome(t *testing.T) {
	t.Run("not-run needs every attempt not to have run", func(t *testing.T) {
		assert.Equal(t, OutcomeOf(Failure{Phase: PhaseRefused}, OutcomeNotRun), OutcomeNotRun)
		assert.Equal(t, OutcomeOf(Failure{Phase: PhaseUnsent}, OutcomeUnknown), OutcomeUnknown)
		assert.Equal(t, OutcomeOf(Failure{Phase: PhaseSent}, OutcomeNotRun), OutcomeUnknown)
		assert.Equal(t, OutcomeOf(Failure{Phase: PhaseRefused}, OutcomeRan), OutcomeRan)
	})
}

// crowd returns a quarantine that remembers a number of requests of one crash each and, last
// of all, one of two.
func crowd(n int) *Quarantine {
	q := NewQuarantine(QuarantineConfig{})
	for i := range n {
		var f coltsidentity.Digest
		binary.BigEndian.PutUint64(f[:], uint64(i))
		q.Crashed(f, "a", start)
	}
	q.Crashed(fingerprint, "a", start)
	q.Crashed(fingerprint, "b", start)
	return q
}

func TestSuspectsOf(t *testing.T) {
	q := crowd(100)
	t.Run("those of fewer crashes are left out", func(t *testing.T) {
		got := q.SuspectsWithCrashes(2, start)
		assert.Equal(t, len(got), 1)
		assert.Equal(t, got[0].Fingerprint, fingerprint)
	})
	t.Run("all stand in the order of their fingerprints", func(t *testing.T) {
		all := q.Suspects(start)
		assert.Equal(t, len(all), 101)
		for i := 1; i < len(all); i++ {
			assert.Assert(t, all[i-1].Fingerprint.String() < all[i].Fingerprint.String())
		}
	})
}

// BenchmarkSuspects is what the leader does for each answer after a thousand requests were
// running on upstreams that crashed.
func BenchmarkSuspects(b *testing.B) {
	q := crowd(1000)
	b.Run("all", func(b *testing.B) {
		for b.Loop() {
			q.Suspects(start)
		}
	})
	b.Run("of two crashes", func(b *testing.B) {
		for b.Loop() {
			q.SuspectsWithCrashes(2, start)
		}
	})
}
