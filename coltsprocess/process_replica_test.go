package coltsprocess

// Failures of instances in a replicated group of control instances.

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltscaller"
	"coltsfootstall/coltssystem"
)

// bookUntilRan repeats a booking until it has run, and returns the last reply. It
// repeats because bookings fail while the group has no leader.
func bookUntilRan(t *testing.T, c *cluster, entry int, key string) coltscaller.CallReply {
	t.Helper()
	client := coltscaller.New(coltscaller.Config{Key: coltssystem.KeySeedPaper})
	var last coltscaller.CallReply
	assert.NilError(t, coltssystem.Await(conditionTimeout, "the booking runs", func() bool {
		r, err := client.Call(c.callerAddr(entry), coltscaller.Call{Service: coltssystem.ServiceName, IdempotencyKey: key})
		last = r
		return err == nil && r.Outcome == "ran"
	}))
	return last
}

// callUntilRan repeats a call until it has run, and reports whether it ran within
// conditionTimeout.
func callUntilRan(c *cluster, client *coltscaller.Client, entry int, call coltscaller.Call) bool {
	err := coltssystem.Await(conditionTimeout, "the call runs", func() bool {
		r, err := client.Call(c.callerAddr(entry), call)
		return err == nil && r.Outcome == "ran"
	})
	return err == nil
}

// awaitRevision waits until a revision or a later one is in force on an entry.
func awaitRevision(t *testing.T, c *cluster, entry, revision int) {
	t.Helper()
	assert.NilError(t, coltssystem.Await(conditionTimeout,
		fmt.Sprintf("entry %d has revision %d", entry, revision), func() bool {
			return int(c.metric(entry, "document-revision")) >= revision
		}))
}

func TestLeaderIsKilled(t *testing.T) {
	g := startGroup(t, 3, 3)
	c := g.startEntries(2, 1)
	bookUntilRan(t, c, 0, "before")
	old := g.awaitLeader(0, 1, 2)
	g.controls[old].kill()
	bookUntilRan(t, c, 1, "after")

	t.Run("an acknowledged booking is not lost", func(t *testing.T) {
		assert.Assert(t, bookUntilRan(t, c, 1, "before").Replayed)
	})
	t.Run("changes are still accepted and reach every entry", func(t *testing.T) {
		out := g.changePrice(300_000, g.others(old)...)
		assert.Assert(t, strings.Contains(out, "revision 7"), out)
		awaitRevision(t, c, 0, 7)
		awaitRevision(t, c, 1, 7)
	})
	t.Run("the old leader restarts and catches up", func(t *testing.T) {
		g.start(old)
		assert.NilError(t, coltssystem.Await(conditionTimeout, "the old leader has caught up", func() bool {
			out, _ := runCommand(t, "", "document", "show", g.controlFlag(old))
			return strings.HasPrefix(out, "// revision 7")
		}))
	})
}

func TestLeaderIsCutOff(t *testing.T) {
	g := startGroup(t, 3, 3)
	c := g.startEntries(3, 1)
	old := g.awaitLeader(0, 1, 2)
	g.isolate(old)
	rest := g.others(old)
	g.awaitLeader(rest...)

	t.Run("the others accept a change", func(t *testing.T) {
		out := g.changePrice(300_000, rest...)
		assert.Assert(t, strings.Contains(out, "revision 7"), out)
	})
	t.Run("the change reaches every entry, whichever instance it followed", func(t *testing.T) {
		for i := range c.entries {
			awaitRevision(t, c, i, 7)
		}
	})
	t.Run("the isolated instance accepts no change and serves no followers", func(t *testing.T) {
		assertFails(t, coltssystem.OperatorKeyAmina, "no leader is known",
			"document", "accept", g.controlFlag(old), "price-300000")
		assertFails(t, "", "has not heard from a leader", "document", "show", g.controlFlag(old))
	})
	t.Run("bookings still run", func(t *testing.T) {
		bookUntilRan(t, c, 0, "during")
	})
	t.Run("after the partition heals it has the change and the booking", func(t *testing.T) {
		g.heal(old)
		assert.NilError(t, coltssystem.Await(conditionTimeout, "the old leader has caught up", func() bool {
			out, _ := runCommand(t, "", "document", "show", g.controlFlag(old))
			return strings.HasPrefix(out, "// revision 7")
		}))
		assert.Assert(t, bookUntilRan(t, c, 1, "during").Replayed)
	})
}

func TestFollowerIsFarBehind(t *testing.T) {
	g := startGroup(t, 3, 3)
	c := g.startEntries(1, 1)
	behind := (g.awaitLeader(0, 1, 2) + 1) % 3
	g.controls[behind].kill()
	// Each booking is two commands. The first snapshot is taken after 100 commands
	// and the next ones each time the log has doubled. The log entries in memory
	// reach back about 1000 entries from the newest.
	const bookings = 2200
	bookAll(t, c, bookings)

	t.Run("the follower catches up from a snapshot", func(t *testing.T) {
		g.start(behind)
		assert.NilError(t, coltssystem.Await(conditionTimeout, "the follower has installed a snapshot", func() bool {
			return strings.Contains(g.controls[behind].output(), "Took over a snapshot.")
		}))
	})
	t.Run("the follower then counts towards a quorum", func(t *testing.T) {
		other := g.awaitLeader(0, 1, 2)
		if other == behind {
			other = (behind + 1) % 3
		}
		g.controls[other].kill()
		bookUntilRan(t, c, 0, "last")
		assert.Assert(t, bookUntilRan(t, c, 0, "many-1").Replayed)
	})
}

func TestLossAfterRepair(t *testing.T) {
	g := startGroup(t, 3, 4)
	c := g.startEntries(1, 1)
	bookUntilRan(t, c, 0, "before")
	lost := (g.awaitLeader(0, 1, 2) + 1) % 3
	g.controls[lost].kill()
	g.start(3)
	changeMember := func(operation, member string) {
		t.Helper()
		var out string
		assert.NilError(t, coltssystem.Await(conditionTimeout, operation, func() bool {
			var status int
			out, status = runCommand(t, coltssystem.OperatorKeyAmina,
				"replica", operation, g.controlFlag(g.others(lost)...), member)
			return status == 0
		}), out)
	}
	changeMember("add", "control-4")
	changeMember("promote", "control-4")
	changeMember("remove", instanceName(lost))

	t.Run("a second instance can be lost right after the repair", func(t *testing.T) {
		next := g.awaitLeader(0, 1, 2, 3)
		g.controls[next].kill()
		bookUntilRan(t, c, 0, "after")
		assert.Assert(t, bookUntilRan(t, c, 0, "before").Replayed)
	})
}

func TestQuorumIsLost(t *testing.T) {
	g := startGroup(t, 3, 3)
	c := g.startEntries(2, 1)
	bookUntilRan(t, c, 0, "before")
	leader := g.awaitLeader(0, 1, 2)
	for _, i := range g.others(leader) {
		g.controls[i].kill()
	}
	client := coltscaller.New(coltscaller.Config{Key: coltssystem.KeySeedPaper})

	t.Run("prompts are served", func(t *testing.T) {
		r, err := client.Stream(c.callerAddr(0), newPrompt("without a quorum", 3))
		assertComplete(t, 3, r, err)
	})
	t.Run("bookings are refused as not run and did not run", func(t *testing.T) {
		r, err := client.Call(c.callerAddr(0), coltscaller.Call{Service: coltssystem.ServiceName, IdempotencyKey: "during"})
		assert.NilError(t, err)
		assert.Equal(t, r.Outcome, "not-run")
		assert.Equal(t, c.runCounts()["during"], 0)
	})
	t.Run("changes are not accepted", func(t *testing.T) {
		assertFails(t, coltssystem.OperatorKeyAmina, "no control instance answered",
			"document", "accept", g.controlFlag(leader), "none")
	})
	t.Run("a new entry gets the document from its peers", func(t *testing.T) {
		c.startEntry(2)
		awaitRevision(t, c, 2, 6)
	})
	t.Run("the booking runs once a quorum is back", func(t *testing.T) {
		g.start(g.others(leader)[0])
		bookUntilRan(t, c, 0, "during")
		assert.Equal(t, c.runCounts()["during"], 1)
	})
}
