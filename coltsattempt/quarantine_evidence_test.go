package coltsattempt

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
)

// cluster is the quarantines of two gateways and of control's leader, through which they hear of each other.
type cluster struct {
	gateways [2]*Quarantine
	leader   *Quarantine
	now      time.Time
}

func newCluster() *cluster {
	cfg := QuarantineConfig{Crashes: GatewayCrashes}
	return &cluster{gateways: [2]*Quarantine{NewQuarantine(cfg), NewQuarantine(cfg)}, leader: NewQuarantine(cfg), now: start}
}

// exchange has both gateways report what they have changed, and learn what the leader shares.
func (c *cluster) exchange() {
	for _, g := range c.gateways {
		changed, _ := g.ChangedSince(0, c.now)
		for _, s := range changed {
			c.leader.Merge(s, c.now)
		}
	}
	for _, g := range c.gateways {
		for _, s := range c.leader.Shared(2, c.now) {
			g.Merge(s, c.now)
		}
	}
}

// crash records the crash of an upstream on a request that a gateway sent a time ago.
func (c *cluster) crash(gateway int, upstream string, sentAgo time.Duration) {
	crash := Crash{Upstream: coltsidentity.Upstream(upstream), SentAt: c.now.Add(-sentAgo), At: c.now}
	c.gateways[gateway].Record(fingerprint, crash, c.now)
	c.exchange()
}

// crashEach records crashes of as many upstreams, each on a request that was sent after the one before.
func (c *cluster) crashEach(n int) {
	for i := range n {
		c.crash(i%2, fmt.Sprint("r", i), 0)
		c.now = c.now.Add(time.Second)
	}
}

func (c *cluster) assertBlocked(t *testing.T, want bool) {
	t.Helper()
	for _, q := range []*Quarantine{c.gateways[0], c.gateways[1], c.leader} {
		assertBlocked(t, q, c.now, want)
		assert.Equal(t, q.NeedsTrial(fingerprint, c.now), want)
	}
}

// claim claims a trial from the leader as a gateway does.
func (c *cluster) claim(gateway int) bool {
	c.leader.Merge(c.gateways[gateway].Find(fingerprint), c.now)
	suspect, granted := c.leader.ClaimTrial(fingerprint, c.now.Add(20*time.Second), c.now)
	c.gateways[gateway].Merge(suspect, c.now)
	if granted {
		c.gateways[gateway].BeginTrial(fingerprint, c.now)
	}
	return granted
}

// The failure guarded against: a sound request that is asked often was running on upstreams that crashed for other
// reasons, and was refused for an hour.
func TestBystander(t *testing.T) {
	t.Run("a success at one gateway takes back the crashes that all have seen", func(t *testing.T) {
		c := newCluster()
		for i := range 6 {
			c.crash(i%2, fmt.Sprint("r", i), 0)
			c.now = c.now.Add(time.Second)
			c.gateways[1].Clear(fingerprint, c.now)
			c.exchange()
			c.assertBlocked(t, false)
		}
	})
	t.Run("a success after the quarantine ends it everywhere", func(t *testing.T) {
		c := newCluster()
		c.crashEach(3)
		c.assertBlocked(t, true)
		c.gateways[1].Clear(fingerprint, c.now)
		c.exchange()
		c.assertBlocked(t, false)
	})
	t.Run("a crash before the success that is reported late does not count", func(t *testing.T) {
		c := newCluster()
		c.crashEach(2)
		late := Crash{Upstream: "late", SentAt: c.now, At: c.now}
		c.now = c.now.Add(time.Second)
		c.gateways[1].Clear(fingerprint, c.now)
		c.exchange()
		c.gateways[0].Record(fingerprint, late, c.now)
		c.exchange()
		c.crashEach(2)
		c.assertBlocked(t, false)
	})
	t.Run("nor does one before a success of a request that was cleared already", func(t *testing.T) {
		c := newCluster()
		c.crashEach(2)
		c.gateways[1].Clear(fingerprint, c.now)
		late := Crash{Upstream: "late", SentAt: c.now.Add(time.Second), At: c.now.Add(time.Second)}
		c.now = c.now.Add(2 * time.Second)
		_, cleared := c.gateways[1].Clear(fingerprint, c.now)
		assert.Assert(t, !cleared)
		c.gateways[1].Record(fingerprint, late, c.now)
		assert.Assert(t, !c.gateways[1].Suspected(fingerprint, c.now))
	})
	t.Run("upstreams that crash together count once", func(t *testing.T) {
		c := newCluster()
		for i := range 5 {
			c.crash(i%2, fmt.Sprint("r", i), 2*time.Second)
			c.now = c.now.Add(sameCause / 10)
		}
		c.assertBlocked(t, false)
	})
	t.Run("crashes whose cause is found don't count, before or later, at any instance", func(t *testing.T) {
		c := newCluster()
		c.crashEach(3)
		c.leader.Explain([]coltsidentity.Upstream{"r0", "r1"}, c.now)
		for _, g := range c.gateways {
			g.Explain([]coltsidentity.Upstream{"r0", "r1"}, c.now)
		}
		c.assertBlocked(t, false)
		c.crash(1, "r0", 0)
		c.crash(0, "r9", 0)
		c.assertBlocked(t, false)
	})
	t.Run("what a release without times reports counts until a success", func(t *testing.T) {
		c := newCluster()
		old := Suspect{Fingerprint: fingerprint, Upstreams: []coltsidentity.Upstream{"a", "b", "c"}, ExpiresAt: start.Add(time.Hour)}
		c.leader.Merge(old, c.now)
		c.exchange()
		for _, g := range c.gateways {
			assert.Assert(t, g.NeedsTrial(fingerprint, c.now))
		}
		c.gateways[0].Clear(fingerprint, c.now)
		c.exchange()
		c.leader.Merge(old, c.now)
		c.exchange()
		c.assertBlocked(t, false)
	})
}

// The failure guarded against: the first of two crashes was reported with a delay, so that the retry that crashed the second
// upstream seemed to have been sent before it, and the request crashed a third one at another entry.
func TestDelayedReport(t *testing.T) {
	q, other := NewQuarantine(QuarantineConfig{}), NewQuarantine(QuarantineConfig{})
	delayed := q.Record(fingerprint, Crash{Upstream: "a", SentAt: start, At: start.Add(10 * time.Millisecond)}, start)
	both := q.Record(fingerprint, Crash{Upstream: "b", SentAt: start.Add(11 * time.Millisecond), At: start.Add(200 * time.Millisecond)}, start)
	assertBlocked(t, q, start.Add(time.Second), true)
	delayed.Crashes[0].SentAt, delayed.Crashes[0].At = start.Add(150*time.Millisecond), start.Add(160*time.Millisecond)
	other.Merge(delayed, start)
	other.Merge(both, start)
	assertBlocked(t, other, start.Add(time.Second), true)
}

// The failure guarded against: a quarantined request did not run any more, so nothing could show that it is sound.
func TestTrial(t *testing.T) {
	quarantined := func() *cluster {
		c := newCluster()
		c.crashEach(3)
		c.now = c.leader.BlockedUntil(fingerprint, c.now)
		return c
	}
	t.Run("it is refused until the trial, and one gateway runs it", func(t *testing.T) {
		c := newCluster()
		c.crashEach(3)
		assert.Assert(t, !c.claim(0))
		c.now = c.gateways[0].BlockedUntil(fingerprint, c.now)
		assert.Assert(t, c.claim(0))
		assert.Assert(t, !c.claim(1))
		c.assertBlocked(t, true)
	})
	t.Run("a success of the trial clears the request everywhere", func(t *testing.T) {
		c := quarantined()
		assert.Assert(t, c.claim(1))
		c.gateways[1].Clear(fingerprint, c.now.Add(time.Second))
		c.exchange()
		c.assertBlocked(t, false)
	})
	t.Run("each trial that crashes an upstream extends the time to the next", func(t *testing.T) {
		c := quarantined()
		crashed, from := 0, c.now
		for c.now.Sub(from) < time.Hour {
			if c.claim(crashed % 2) {
				c.crash(crashed%2, fmt.Sprint("trial-", crashed), 0)
				crashed++
			}
			c.now = c.now.Add(time.Second)
		}
		assert.Equal(t, crashed, 5)
	})
	t.Run("a run from before the trial that crashes late is not its outcome", func(t *testing.T) {
		c := quarantined()
		assert.Assert(t, c.claim(0))
		c.crash(0, "late", time.Minute)
		assert.Equal(t, c.gateways[0].Find(fingerprint).FailedTrials, 0)
	})
	t.Run("a trial without an outcome ends", func(t *testing.T) {
		c := quarantined()
		assert.Assert(t, c.claim(0))
		c.now = c.now.Add(20 * time.Second)
		assert.Assert(t, c.claim(1))
	})
	t.Run("a new leader learns of a trial in progress", func(t *testing.T) {
		c := quarantined()
		assert.Assert(t, c.claim(0))
		c.leader = NewQuarantine(QuarantineConfig{Crashes: GatewayCrashes})
		c.exchange()
		assert.Assert(t, !c.claim(1))
	})
	t.Run("a leader that knows of a success grants no trial, and the gateway is cleared", func(t *testing.T) {
		c := quarantined()
		c.gateways[1].Clear(fingerprint, c.now)
		for _, s := range c.gateways[1].Suspects(c.now) {
			t.Fatalf("not cleared: %v", s)
		}
		c.leader.Merge(c.gateways[1].Find(fingerprint), c.now)
		assert.Assert(t, !c.claim(0))
		assertBlocked(t, c.gateways[0], c.now, false)
		assert.Assert(t, !c.gateways[0].NeedsTrial(fingerprint, c.now))
	})
}
