package coltsreplica

// When a replica that starts stands for election.

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// restarted is a voter of three that has run before.
func restarted(leaseless bool) *Replica {
	return New(Config{
		ID: "r0", HeartbeatInterval: simHeartbeat, ElectionTimeout: simElection, DisableLeases: leaseless,
		Random: func(n int64) int64 { return n - 1 },
	}, RestoredState{
		HardState: HardState{Term: 3},
		Snapshot:  Snapshot{Configuration: Configuration{Voters: []ID{"r0", "r1", "r2"}}},
	}, simStart)
}

// assertStands asserts when a replica stands for election at the latest.
func assertStands(t *testing.T, n *Replica, after time.Duration) {
	t.Helper()
	n.Tick(simStart.Add(after - 1))
	assert.Equal(t, n.Role(), RoleFollower)
	n.Tick(simStart.Add(after))
	assert.Equal(t, n.Role(), RolePreCandidate)
}

// assertHelps asserts whether a replica helps another candidate.
func assertHelps(t *testing.T, n *Replica, helps bool) {
	t.Helper()
	n.Step(Message{Kind: MessagePreVote, From: "r1", To: "r0", Term: 4, Index: 9, LogTerm: 3}, simStart)
	for _, m := range n.TakeOutput().Messages {
		assert.Equal(t, !m.Reject, helps)
		return
	}
	assert.Assert(t, !helps, "it did not answer")
}

func TestRestart(t *testing.T) {
	t.Run("where leases count, a voter keeps still for a whole one", func(t *testing.T) {
		assertHelps(t, restarted(false), false)
		assertStands(t, restarted(false), 2*simElection-1)
	})
	t.Run("where none do, it stands and helps at once", func(t *testing.T) {
		assertHelps(t, restarted(true), true)
		assertStands(t, restarted(true), simHeartbeat+simElection/2-1)
	})
}
