package coltsreplica

// Tests of when a restarted replica starts an election or grants a pre-vote.

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newRestartedReplica returns one of three voters, after a restart.
func newRestartedReplica(disableLeases bool) *Replica {
	return New(Config{
		ID: "r0", HeartbeatInterval: simHeartbeat, ElectionTimeout: simElection, DisableLeases: disableLeases,
		Random: func(n int64) int64 { return n - 1 },
	}, RestoredState{
		HardState: HardState{Term: 3},
		Snapshot:  Snapshot{Configuration: Configuration{Voters: []ID{"r0", "r1", "r2"}}},
	}, simStart)
}

// assertCampaignsAt asserts that a replica starts its election after exactly this time.
func assertCampaignsAt(t *testing.T, n *Replica, after time.Duration) {
	t.Helper()
	n.Tick(simStart.Add(after - 1))
	assert.Equal(t, n.Role(), RoleFollower)
	n.Tick(simStart.Add(after))
	assert.Equal(t, n.Role(), RolePreCandidate)
}

// assertGrantsPreVote asserts whether a replica grants another one's pre-vote request.
func assertGrantsPreVote(t *testing.T, n *Replica, grants bool) {
	t.Helper()
	n.Step(Message{Kind: MessagePreVote, From: "r1", To: "r0", Term: 4, Index: 9, LogTerm: 3}, simStart)
	for _, m := range n.TakeOutput().Messages {
		assert.Equal(t, !m.Reject, grants)
		return
	}
	assert.Assert(t, !grants, "got no reply")
}

func TestRestart(t *testing.T) {
	t.Run("with leases, a voter waits for a whole lease", func(t *testing.T) {
		assertGrantsPreVote(t, newRestartedReplica(false), false)
		assertCampaignsAt(t, newRestartedReplica(false), 2*simElection-1)
	})
	t.Run("without leases, it campaigns early and grants pre-votes immediately", func(t *testing.T) {
		assertGrantsPreVote(t, newRestartedReplica(true), true)
		assertCampaignsAt(t, newRestartedReplica(true), simHeartbeat+simElection/2-1)
	})
}
