package coltscontrol

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsreplica"
)

// takeStep takes a step as an operator does who has seen the group as of a configuration index, and returns the
// index after it.
func takeStep(t *testing.T, c *Control, step string, after uint64) uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	assert.NilError(t, c.changeMembership(ctx, membershipSteps[step], "control-2", &after))
	awaitLeading(t, c)
	return c.driver.view.Load().configurationIndex
}

// assertStepRefused asserts that a step is refused and that control-2 stays a member or not.
func assertStepRefused(t *testing.T, c *Control, step string, after uint64, isMember bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	var refused *coltsreplica.MembershipChangeError
	assert.Assert(t, errors.As(c.changeMembership(ctx, membershipSteps[step], "control-2", &after), &refused))
	assert.Equal(t, len(c.driver.view.Load().configuration.Members()) == 2, isMember)
}

// TestLateMembershipSteps guards against a change of the group that waited while its operator gave it up, and
// that undoes a newer one.
func TestLateMembershipSteps(t *testing.T) {
	var failing atomic.Bool
	c := startControl(t, t.TempDir(), &failing)
	defer func() { assert.NilError(t, c.Shutdown()) }()
	awaitLeading(t, c)
	before := c.driver.view.Load().configurationIndex
	added := takeStep(t, c, "add", before)
	t.Run("a late removal does not undo a newer addition", func(t *testing.T) {
		removed := takeStep(t, c, "remove", added)
		takeStep(t, c, "add", removed)
		assertStepRefused(t, c, "remove", added, true)
	})
	t.Run("a late addition does not undo a newer removal", func(t *testing.T) {
		takeStep(t, c, "remove", c.driver.view.Load().configurationIndex)
		assertStepRefused(t, c, "add", before, false)
	})
}
