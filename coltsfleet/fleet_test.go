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

func testDocument() coltsdocument.Document {
	var d coltsdocument.Document
	d.Sections.Upstreams.Trusted = []coltsdocument.TrustRule{
		{Network: netip.MustParsePrefix("10.0.0.0/8"), Kind: coltsdocument.KindRunner, DataCentre: "north"},
		{Network: netip.MustParsePrefix("10.9.0.0/16"), Kind: coltsdocument.KindRunner, DataCentre: "south"},
	}
	return d
}

func runnerAnnouncement(id string, number uint64) Announcement {
	return Announcement{
		ID: coltsidentity.Upstream(id), Addr: netip.MustParseAddrPort("10.1.2.3:9000"), Kind: coltsdocument.KindRunner,
		DataCentre: "north", Serving: []ModelVersion{{Model: "writer", Version: "w1"}}, Incarnation: start, Number: number,
	}
}

func announce(t *testing.T, f *Fleet, a Announcement, now time.Time) bool {
	t.Helper()
	isNew, err := f.Announce(a, testDocument(), now)
	assert.NilError(t, err)
	return isNew
}

func assertUntrusted(t *testing.T, a Announcement) {
	t.Helper()
	_, err := New().Announce(a, testDocument(), start)
	var untrusted *UntrustedError
	assert.Assert(t, errors.As(err, &untrusted), "%v", err)
}

func TestTrust(t *testing.T) {
	t.Run("a kind without a rule is not trusted", func(t *testing.T) {
		a := runnerAnnouncement("r", 1)
		a.Kind = coltsdocument.KindStore
		assertUntrusted(t, a)
	})
	t.Run("a network without a rule is not trusted", func(t *testing.T) {
		a := runnerAnnouncement("r", 1)
		a.Addr = netip.MustParseAddrPort("11.0.0.1:9000")
		assertUntrusted(t, a)
	})
	t.Run("the rule with the longest matching prefix decides the data centre", func(t *testing.T) {
		a := runnerAnnouncement("r", 1)
		a.Addr = netip.MustParseAddrPort("10.9.0.1:9000")
		assertUntrusted(t, a)
		a.DataCentre = "south"
		assert.NilError(t, CheckTrust(a, testDocument()))
	})
	t.Run("upstreams that the changed rules do not trust are removed", func(t *testing.T) {
		f := New()
		announce(t, f, runnerAnnouncement("r", 1), start)
		assert.Equal(t, f.RemoveUntrusted(coltsdocument.Document{}), 1)
		assert.Equal(t, len(f.All(testDocument(), start)), 0)
	})
}

func TestAnnouncements(t *testing.T) {
	t.Run("an older announcement is ignored", func(t *testing.T) {
		f := New()
		leaving := runnerAnnouncement("r", 2)
		leaving.Leaving = true
		announce(t, f, leaving, start)
		assert.Assert(t, !announce(t, f, runnerAnnouncement("r", 1), start))
		assert.Assert(t, f.All(testDocument(), start)[0].Draining)
	})
	t.Run("an upstream is removed when its announcement expires", func(t *testing.T) {
		f := New()
		announce(t, f, runnerAnnouncement("r", 1), start)
		assert.Equal(t, len(f.All(testDocument(), start.Add(announceTimeout))), 0)
	})
	t.Run("an unchanged announcement is passed on once per interval", func(t *testing.T) {
		f := New()
		announce(t, f, runnerAnnouncement("r", 1), start)
		_, first := f.ChangedSince(0)
		announce(t, f, runnerAnnouncement("r", 2), start.Add(time.Second))
		changes, _ := f.ChangedSince(first)
		assert.Equal(t, len(changes), 0)
		announce(t, f, runnerAnnouncement("r", 3), start.Add(propagationInterval))
		changes, _ = f.ChangedSince(first)
		assert.Equal(t, len(changes), 1)
	})
}

func TestEjection(t *testing.T) {
	failRepeatedly := func(f *Fleet, id coltsidentity.Upstream) {
		for range ejectAfterFailures {
			f.RecordDispatch(id, 0, start)
			f.RecordFailure(id, false, start)
		}
	}
	countEjected := func(f *Fleet, now time.Time) int {
		n := 0
		for _, c := range f.All(testDocument(), now) {
			if c.Ejected {
				n++
			}
		}
		return n
	}
	newFleet := func(t *testing.T, n int) *Fleet {
		t.Helper()
		f := New()
		for i := range n {
			announce(t, f, runnerAnnouncement(fmt.Sprintf("r%d", i), 1), start)
		}
		return f
	}
	t.Run("an upstream is ejected after repeated failures and returns after the period", func(t *testing.T) {
		f := newFleet(t, 9)
		failRepeatedly(f, "r0")
		assert.Equal(t, countEjected(f, start), 1)
		assert.Equal(t, countEjected(f, start.Add(baseEjectionPeriod)), 0)
	})
	t.Run("an upstream that is gone is ejected after one failure", func(t *testing.T) {
		f := newFleet(t, 9)
		f.RecordDispatch("r0", 0, start)
		f.RecordFailure("r0", true, start)
		assert.Equal(t, countEjected(f, start), 1)
	})
	t.Run("the ejected share of the fleet is limited", func(t *testing.T) {
		f := newFleet(t, 9)
		for i := range 9 {
			failRepeatedly(f, coltsidentity.Upstream(fmt.Sprintf("r%d", i)))
		}
		assert.Equal(t, countEjected(f, start), 2)
	})
	t.Run("the only upstream is never ejected", func(t *testing.T) {
		f := newFleet(t, 1)
		failRepeatedly(f, "r0")
		assert.Equal(t, countEjected(f, start), 0)
	})
	t.Run("a restarted upstream has no in-flight requests", func(t *testing.T) {
		f := newFleet(t, 9)
		f.RecordDispatch("r0", 100, start)
		restarted := runnerAnnouncement("r0", 1)
		restarted.Incarnation = start.Add(time.Second)
		announce(t, f, restarted, start)
		f.RecordFailure("r0", false, start)
		assert.Equal(t, f.All(testDocument(), start)[0].InFlight, 0)
	})
}

func TestPause(t *testing.T) {
	f := New()
	announce(t, f, runnerAnnouncement("r0", 1), start)
	pauseEnd := start.Add(5 * time.Second)
	assertDraining := func(t *testing.T, now time.Time, want bool) {
		t.Helper()
		assert.Equal(t, f.All(testDocument(), now)[0].Draining, want)
	}
	t.Run("an upstream gets no work until its end, and is not ejected", func(t *testing.T) {
		f.RecordPause("r0", pauseEnd, start)
		assertDraining(t, start, true)
		assert.Assert(t, !f.All(testDocument(), start)[0].Ejected)
		assertDraining(t, pauseEnd, false)
	})
	t.Run("the first request after it goes alone", func(t *testing.T) {
		f.RecordDispatch("r0", 0, pauseEnd)
		assertDraining(t, pauseEnd, true)
		f.RecordSuccess("r0")
		assertDraining(t, pauseEnd, false)
	})
	t.Run("a new process is free of it", func(t *testing.T) {
		f.RecordPause("r0", pauseEnd, start)
		restarted := runnerAnnouncement("r0", 1)
		restarted.Incarnation = start.Add(time.Second)
		announce(t, f, restarted, start)
		assertDraining(t, start, false)
	})
}

func TestRates(t *testing.T) {
	singleRunnerFleet := func(t *testing.T) *Fleet {
		t.Helper()
		f := New()
		announce(t, f, runnerAnnouncement("r0", 1), start)
		return f
	}
	rate := func(f *Fleet, now time.Time) int64 { return f.All(testDocument(), now)[0].PrefillPerSecond }
	t.Run("an overdue prefill lowers the rate before it ends", func(t *testing.T) {
		f := singleRunnerFleet(t)
		before := rate(f, start)
		f.RecordDispatch("r0", before, start)
		assert.Equal(t, rate(f, start.Add(time.Second)), before)
		assert.Equal(t, rate(f, start.Add(5*time.Second)), before/5)
	})
	t.Run("a removed prefill no longer lowers the rate", func(t *testing.T) {
		f := singleRunnerFleet(t)
		f.RecordDispatch("r0", 1000, start)
		f.RemovePrefill("r0", 1000, start)
		assert.Equal(t, rate(f, start.Add(5*time.Second)), int64(defaultPrefillPerSecond))
	})
	t.Run("a reported queue shrinks at the prefill rate", func(t *testing.T) {
		f := singleRunnerFleet(t)
		f.RecordQueue("r0", 2*defaultPrefillPerSecond, start)
		assert.Equal(t, f.All(testDocument(), start.Add(time.Second))[0].QueuedTokens, int64(defaultPrefillPerSecond))
		assert.Equal(t, f.All(testDocument(), start.Add(3*time.Second))[0].QueuedTokens, int64(0))
	})
}
