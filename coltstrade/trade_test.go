package coltstrade

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsstore"
)

// smallScenario returns a shortened calm scenario with a third of the runners, gateways and
// load.
func smallScenario(t *testing.T) Scenario {
	t.Helper()
	s, err := Find("calm")
	assert.NilError(t, err)
	s.Classes = slices.Clone(s.Classes)
	s.Duration, s.Runners, s.Gateways = 20*time.Second, 6, 2
	for i := range s.Classes {
		s.Classes[i].ArrivalsPerSecond /= 3
		s.Classes[i].Sessions /= 3
	}
	return s
}

// simulateVariant simulates the small scenario with a variant.
func simulateVariant(t *testing.T, name string) *Result {
	t.Helper()
	for _, v := range Variants() {
		if v.Name == name {
			return Simulate(smallScenario(t), v, 1)
		}
	}
	t.Fatalf("there is no variant %q", name)
	return nil
}

// assertAllCompleted asserts that there were requests of every class and that each was
// answered or refused.
func assertAllCompleted(t *testing.T, r *Result) {
	t.Helper()
	for _, c := range r.Classes {
		assert.Assert(t, c.Requests > 0, "class %s had no requests", c.Name)
		assert.Equal(t, c.OnTime+c.Late+c.Refused, c.Requests, c.Name)
	}
}

func TestPlay(t *testing.T) {
	current, recompute := simulateVariant(t, "current"), simulateVariant(t, "recompute")
	t.Run("every request is answered or refused", func(t *testing.T) {
		assertAllCompleted(t, current)
		assertAllCompleted(t, recompute)
	})
	t.Run("stores avoid most recomputation", func(t *testing.T) {
		assert.Assert(t, 5*current.RecomputedTokens < recompute.RecomputedTokens,
			"%d recomputed tokens with stores, %d without", current.RecomputedTokens, recompute.RecomputedTokens)
		assert.Assert(t, current.TransferredTokens > 0)
		assert.Equal(t, recompute.TransferredTokens, 0)
	})
	t.Run("the score is higher with stores than without", func(t *testing.T) {
		assert.Assert(t, current.Score() > recompute.Score(),
			"score %.3f with stores, %.3f without", current.Score(), recompute.Score())
	})
	t.Run("the table has a line for each result", func(t *testing.T) {
		var b bytes.Buffer
		assert.NilError(t, WriteTable(&b, []*Result{current, recompute}))
		assert.Equal(t, strings.Count(b.String(), "\n"), 3)
	})
}

// Guards against requests that a crash of runners loses from the figures, or runners that stay unused after it.
func TestCrash(t *testing.T) {
	s := smallScenario(t)
	s.Crash = Crash{After: 5 * time.Second, Down: 3 * time.Second, Cold: 3 * time.Second, ColdFactor: 4}
	s.LoadAge, s.UnevenGateways, s.HotSessions, s.HotShare = 200*time.Millisecond, true, 2, 0.2
	r := Simulate(s, Variants()[0], 1)
	assertAllCompleted(t, r)
	refused := 0
	for _, c := range r.Classes {
		refused += c.Refused
	}
	t.Run("the requests that ran there are lost", func(t *testing.T) { assert.Assert(t, refused > 0) })
	t.Run("the imbalance is measured for all runners that are up", func(t *testing.T) {
		p95, overTwice := r.Imbalance()
		assert.Assert(t, p95 > 1 && overTwice > 0 && overTwice < 0.5, "p95 %.2f, over twice the mean %.3f", p95, overTwice)
		assert.Assert(t, len(r.imbalance) < int(s.Duration/imbalancePeriod)*s.Runners)
	})
}

func TestTransfer(t *testing.T) {
	links := func() (*link, *link) { return &link{bitsPerSecond: 8e3}, &link{bitsPerSecond: 8e4} }
	t.Run("a link carries one transfer after another", func(t *testing.T) {
		a, b := links()
		first, _ := transfer(a, b, 100, 0, false, startTime)
		second, _ := transfer(a, b, 100, time.Millisecond, false, startTime)
		assert.Equal(t, first.Sub(startTime), 100*time.Millisecond)
		assert.Equal(t, second.Sub(startTime), 201*time.Millisecond)
	})
	t.Run("a transfer between data centres takes twice as long", func(t *testing.T) {
		a, b := links()
		end, _ := transfer(a, b, 100, 0, true, startTime)
		assert.Equal(t, end.Sub(startTime), 200*time.Millisecond)
	})
	t.Run("a transfer that would wait too long is not started", func(t *testing.T) {
		a, b := links()
		_, _ = transfer(a, b, 3000, 0, false, startTime)
		_, started := transfer(a, b, 1, 0, false, startTime)
		assert.Assert(t, !started)
	})
}

func TestStore(t *testing.T) {
	key := func(part string) coltsstore.Key { return coltsstore.Key{Scope: cacheScope, Part: part} }
	st := newStore("s", StoreKind{CacheTokens: 100}, "a")
	t.Run("a part that does not fit is not reserved", func(t *testing.T) {
		assert.Assert(t, st.reserve(key("a"), 60))
		assert.Assert(t, !st.reserve(key("b"), 60))
	})
	t.Run("freeing a part makes room", func(t *testing.T) {
		st.free([]coltsstore.Key{key("a")})
		assert.Assert(t, st.reserve(key("b"), 60))
	})
}

func TestFind(t *testing.T) {
	t.Run("the error for an unknown variant suggests a similar name", func(t *testing.T) {
		_, err := findVariants([]string{"curent"})
		assert.ErrorContains(t, err, "current")
	})
	t.Run("the error for an unknown scenario suggests a similar name", func(t *testing.T) {
		_, err := Find("clam")
		assert.ErrorContains(t, err, "calm")
	})
}
