package coltsfleet

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func rules() coltsdocument.Document {
	var d coltsdocument.Document
	d.Sections.Upstreams.Trusted = []coltsdocument.TrustRule{
		{Network: netip.MustParsePrefix("10.0.0.0/8"), Kind: coltsdocument.KindRunner, DataCentre: "north"},
		{Network: netip.MustParsePrefix("10.9.0.0/16"), Kind: coltsdocument.KindRunner, DataCentre: "south"},
	}
	return d
}

func runner(id string, number uint64) Announcement {
	return Announcement{
		ID: coltsidentity.Upstream(id), Addr: netip.MustParseAddrPort("10.1.2.3:9000"), Kind: coltsdocument.KindRunner,
		DataCentre: "north", Serving: []ModelVersion{{Model: "writer", Version: "w1"}}, Incarnation: start, Number: number,
	}
}

func announce(t *testing.T, f *Fleet, a Announcement, now time.Time) bool {
	t.Helper()
	news, err := f.Announce(a, rules(), now)
	assert.NilError(t, err)
	return news
}

func assertUntrusted(t *testing.T, a Announcement) {
	t.Helper()
	_, err := New().Announce(a, rules(), start)
	var untrusted *UntrustedError
	assert.Assert(t, errors.As(err, &untrusted), "%v", err)
}

func TestTrust(t *testing.T) {
	t.Run("a kind without a rule is not trusted", func(t *testing.T) {
		a := runner("r", 1)
		a.Kind = coltsdocument.KindStore
		assertUntrusted(t, a)
	})
	t.Run("a network without a rule is not trusted", func(t *testing.T) {
		a := runner("r", 1)
		a.Addr = netip.MustParseAddrPort("11.0.0.1:9000")
		assertUntrusted(t, a)
	})
	t.Run("the narrowest rule says the data centre", func(t *testing.T) {
		a := runner("r", 1)
		a.Addr = netip.MustParseAddrPort("10.9.0.1:9000")
		assertUntrusted(t, a)
		a.DataCentre = "south"
		assert.NilError(t, CheckTrust(a, rules()))
	})
	t.Run("a change of the rules makes upstreams forgotten", func(t *testing.T) {
		f := New()
		announce(t, f, runner("r", 1), start)
		assert.Equal(t, f.Reconsider(coltsdocument.Document{}), 1)
		assert.Equal(t, len(f.All(rules(), start)), 0)
	})
}

func TestAnnouncements(t *testing.T) {
	t.Run("an old one changes nothing", func(t *testing.T) {
		f := New()
		leaving := runner("r", 2)
		leaving.Leaving = true
		announce(t, f, leaving, start)
		assert.Assert(t, !announce(t, f, runner("r", 1), start))
		assert.Assert(t, f.All(rules(), start)[0].Draining)
	})
	t.Run("a silent upstream is forgotten", func(t *testing.T) {
		f := New()
		announce(t, f, runner("r", 1), start)
		assert.Equal(t, len(f.All(rules(), start.Add(announceTimeout))), 0)
	})
	t.Run("only news is spread, and signs of life now and then", func(t *testing.T) {
		f := New()
		announce(t, f, runner("r", 1), start)
		_, first := f.ChangedSince(0)
		announce(t, f, runner("r", 2), start.Add(time.Second))
		changes, _ := f.ChangedSince(first)
		assert.Equal(t, len(changes), 0)
		announce(t, f, runner("r", 3), start.Add(spreadPeriod))
		changes, _ = f.ChangedSince(first)
		assert.Equal(t, len(changes), 1)
	})
}

func TestEjection(t *testing.T) {
	fail := func(f *Fleet, id coltsidentity.Upstream) {
		for range ejectAfterFailures {
			f.Dispatched(id, 0, start)
			f.Failed(id, false, start)
		}
	}
	ejected := func(f *Fleet, now time.Time) int {
		n := 0
		for _, c := range f.All(rules(), now) {
			if c.Ejected {
				n++
			}
		}
		return n
	}
	fleet := func(t *testing.T, n int) *Fleet {
		t.Helper()
		f := New()
		for i := range n {
			announce(t, f, runner(fmt.Sprintf("r%d", i), 1), start)
		}
		return f
	}
	t.Run("one that fails often is ejected and comes back", func(t *testing.T) {
		f := fleet(t, 9)
		fail(f, "r0")
		assert.Equal(t, ejected(f, start), 1)
		assert.Equal(t, ejected(f, start.Add(ejectionPeriod)), 0)
	})
	t.Run("one that is gone is ejected at once", func(t *testing.T) {
		f := fleet(t, 9)
		f.Dispatched("r0", 0, start)
		f.Failed("r0", true, start)
		assert.Equal(t, ejected(f, start), 1)
	})
	t.Run("not more than a share is ejected at once", func(t *testing.T) {
		f := fleet(t, 9)
		for i := range 9 {
			fail(f, coltsidentity.Upstream(fmt.Sprintf("r%d", i)))
		}
		assert.Equal(t, ejected(f, start), 2)
	})
	t.Run("the only one is never ejected", func(t *testing.T) {
		f := fleet(t, 1)
		fail(f, "r0")
		assert.Equal(t, ejected(f, start), 0)
	})
	t.Run("a restarted one starts anew", func(t *testing.T) {
		f := fleet(t, 9)
		f.Dispatched("r0", 100, start)
		again := runner("r0", 1)
		again.Incarnation = start.Add(time.Second)
		announce(t, f, again, start)
		f.Failed("r0", false, start)
		assert.Equal(t, f.All(rules(), start)[0].UnderWay, 0)
	})
}

func TestRates(t *testing.T) {
	one := func(t *testing.T) *Fleet {
		t.Helper()
		f := New()
		announce(t, f, runner("r0", 1), start)
		return f
	}
	rate := func(f *Fleet, now time.Time) int64 { return f.All(rules(), now)[0].PrefillPerSecond }
	t.Run("a prefill that is overdue lowers the rate before it ends", func(t *testing.T) {
		f := one(t)
		before := rate(f, start)
		f.Dispatched("r0", before, start)
		assert.Equal(t, rate(f, start.Add(time.Second)), before)
		assert.Equal(t, rate(f, start.Add(5*time.Second)), before/5)
	})
	t.Run("and its end restores what was seen", func(t *testing.T) {
		f := one(t)
		f.Dispatched("r0", 1000, start)
		f.Returned("r0", 1000, start)
		assert.Equal(t, rate(f, start.Add(5*time.Second)), int64(defaultPrefillPerSecond))
	})
	t.Run("a reported queue drains at the rate", func(t *testing.T) {
		f := one(t)
		f.Queued("r0", 2*defaultPrefillPerSecond, start)
		assert.Equal(t, f.All(rules(), start.Add(time.Second))[0].QueuedTokens, int64(defaultPrefillPerSecond))
		assert.Equal(t, f.All(rules(), start.Add(3*time.Second))[0].QueuedTokens, int64(0))
	})
}
