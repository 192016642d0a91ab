package coltscommand

// The group of control instances changes by one member at a time: a new member first
// replicates the log as a learner, then becomes a voter. Only then is an old member
// removed.

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

func commandReplica() *cli.Command {
	return &cli.Command{
		Name:  "replica",
		Usage: "change the group of control instances, one member at a time",
		Description: "To replace control-1 by control-4, which is listed in every control instance's settings\n" +
			"with \"joins\": true and is running:\n" +
			"   coltsfootstall replica add control-4\n" +
			"   coltsfootstall replica promote control-4    # refused until it has caught up\n" +
			"   coltsfootstall replica remove control-1\n" +
			"An instance whose disk was lost must not come back under its old name: it could\n" +
			"vote twice. Give it a new one.",
		Commands: []*cli.Command{
			replicaStepCommand("add", "add a member as a learner, which replicates the log without a vote"),
			replicaStepCommand("promote", "make a learner a voter once it has caught up"),
			replicaStepCommand("remove", "remove a member"),
		},
	}
}

func replicaStepCommand(step, usage string) *cli.Command {
	return &cli.Command{
		Name:        step,
		Usage:       usage,
		ArgsUsage:   "INSTANCE",
		Description: "Example:\n   coltsfootstall replica " + step + " control-4",
		Flags:       []cli.Flag{controlFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runReplicaStep(ctx, c, step)
		},
	}
}

func runReplicaStep(ctx context.Context, c *cli.Command, step string) error {
	key, err := operatorKey()
	if err != nil {
		return err
	}
	var reply *coltspb.ChangeReplicasReply
	err = callControl(ctx, c, callTimeout, func(ctx context.Context, client coltspbconnect.ControlClient) error {
		status, err := client.Status(ctx, &coltspb.StatusRequest{})
		if err != nil {
			return err
		}
		reply, err = client.ChangeReplicas(ctx, &coltspb.ChangeReplicasRequest{
			Step:        step,
			Member:      c.Args().First(),
			OperatorKey: key,
			After:       &status.ConfigurationIndex,
		})
		return err
	})
	if err != nil {
		return err
	}
	if refusal := coltswire.DecodeRefusal(reply.GetRefusal()); refusal != nil {
		return refusal
	}
	_, err = fmt.Fprintf(c.Writer, "Committed: %s %s. Voters %v, learners %v.\n", step, c.Args().First(),
		reply.GetConfiguration().GetVoters(), reply.GetConfiguration().GetLearners())
	return err
}
