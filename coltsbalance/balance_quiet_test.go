package coltsbalance

// Dark quarter: a quarter of the runners loses its network at once. Requests that were sent to them
// before get no answer, and each of many instances alone has too few requests there to tell.

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
)

// waiting returns the report of an instance that waits for upstreams from which it last heard some
// time ago.
func waiting(heardAgo map[coltsidentity.Upstream]time.Duration, at time.Time) []Load {
	var loads []Load
	for id, ago := range heardAgo {
		loads = append(loads, Load{Upstream: id, Amount: 10, HeardAt: at.Add(-ago), WaitingSince: at.Add(-ago)})
	}
	return loads
}

// assertQuiet asserts which upstreams count as quiet.
func assertQuiet(t *testing.T, l *Loads, at time.Time, want ...coltsidentity.Upstream) {
	t.Helper()
	got := l.Quiet(at)
	assert.Equal(t, fmt.Sprint(got), fmt.Sprint(want))
}

type heard = map[coltsidentity.Upstream]time.Duration

func TestQuiet(t *testing.T) {
	t.Run("an upstream is quiet if several wait and none has heard from it", func(t *testing.T) {
		l := NewLoads()
		l.Report("a", waiting(heard{"dark": 2 * time.Second, "works": 2 * time.Second}, now), now)
		l.Report("b", waiting(heard{"dark": quietAfter, "works": time.Millisecond}, now), now)
		assertQuiet(t, l, now, "dark")
	})
	t.Run("one instance alone is no evidence", func(t *testing.T) {
		l := NewLoads()
		l.Report("a", waiting(heard{"dark": time.Minute}, now), now)
		assertQuiet(t, l, now)
	})
	t.Run("an answer to any instance is evidence against it", func(t *testing.T) {
		l := NewLoads()
		l.Report("a", waiting(heard{"u": time.Minute}, now), now)
		l.Report("b", waiting(heard{"u": time.Minute}, now), now)
		assertQuiet(t, l, now, "u")
		l.Report("b", waiting(heard{"u": 0}, now), now)
		assertQuiet(t, l, now)
	})
	t.Run("an instance that has just begun to wait is no evidence against it", func(t *testing.T) {
		l := NewLoads()
		l.Report("a", waiting(heard{"dark": 2 * time.Second}, now), now)
		l.Report("b", waiting(heard{"dark": 2 * time.Second}, now), now)
		l.Report("c", []Load{{Upstream: "dark", Amount: 1, WaitingSince: now}}, now)
		assertQuiet(t, l, now, "dark")
	})
	t.Run("old reports are no evidence, as after a pause of the leader", func(t *testing.T) {
		l := NewLoads()
		l.Report("a", waiting(heard{"u": 0}, now), now)
		l.Report("b", waiting(heard{"u": 0}, now), now)
		assertQuiet(t, l, now.Add(quietAfter))
	})
	t.Run("a balancer reports since when it has been waiting", func(t *testing.T) {
		b := newBalancer(1)
		at := func(d time.Duration) time.Time { return now.Add(d) }
		assertWaits := func(since time.Duration, heard bool) {
			t.Helper()
			l := b.Loads()[0]
			assert.Equal(t, l.WaitingSince, at(since))
			assert.Equal(t, !l.HeardAt.IsZero(), heard)
		}
		d := Demand{Service: "llm", Weight: 1}
		first, err := b.Choose(d, at(0))
		assert.NilError(t, err)
		_, err = b.Choose(d, at(time.Second))
		assert.NilError(t, err)
		assertWaits(0, false)
		b.AnswerStarted(&first, at(2*time.Second))
		assertWaits(2*time.Second, true)
		b.RecordGap(first, time.Second, at(3*time.Second))
		assertWaits(3*time.Second, true)
		b.Done(first, OutcomeFailed, at(4*time.Second))
		assertWaits(3*time.Second, true)
	})
}
