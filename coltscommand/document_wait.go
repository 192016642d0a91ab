package coltscommand

// The commands that are used after a change: they wait until a revision is in force, and list
// past changes.

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

func documentWait() *cli.Command {
	return &cli.Command{
		Name:        "wait",
		Usage:       "wait until every live instance has a revision in force",
		ArgsUsage:   "REVISION",
		Description: "Example:\n   coltsfootstall document wait --timeout 5s 12",
		Flags: []cli.Flag{
			controlFlag(),
			&cli.DurationFlag{Name: "timeout", Usage: "give up after `SPAN`", Value: 10 * time.Second},
		},
		Action: runWait,
	}
}

func runWait(ctx context.Context, c *cli.Command) error {
	revision, err := strconv.ParseUint(c.Args().First(), 10, 64)
	if err != nil {
		return errors.Errorf("%q is not a revision, expected a whole number", c.Args().First())
	}
	timeout := c.Duration("timeout")
	answerBy := time.Now().Add(timeout)
	var reply *coltspb.WaitReply
	err = callControl(ctx, c, timeout+callTimeout, func(ctx context.Context, client coltspbconnect.ControlClient) error {
		var err error
		reply, err = client.Wait(ctx, &coltspb.WaitRequest{Revision: revision, AnswerBy: coltswire.EncodeTime(answerBy)})
		return err
	})
	if err != nil {
		return err
	}
	if !reply.GetInForce() {
		return errors.Errorf("revision %d is not in force", revision)
	}
	if len(reply.GetBehind()) == 0 {
		_, err := fmt.Fprintf(c.Writer, "Revision %d is in force on every live instance.\n", revision)
		return err
	}
	behind := make([]string, 0, len(reply.GetBehind()))
	for _, m := range reply.GetBehind() {
		behind = append(behind, fmt.Sprintf("%s (%d)", m.GetId(), m.GetRevision()))
	}
	return errors.Errorf("revision %d is not yet in force on %s", revision, strings.Join(behind, ", "))
}

func documentHistory() *cli.Command {
	return &cli.Command{
		Name:        "history",
		Usage:       "list changes, the oldest first",
		Description: "Example:\n   coltsfootstall document history --limit 20",
		Flags: []cli.Flag{
			controlFlag(),
			&cli.IntFlag{Name: "limit", Usage: "list the newest `N`", Value: 50},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			var reply *coltspb.HistoryReply
			err := callControl(ctx, c, callTimeout, func(ctx context.Context, client coltspbconnect.ControlClient) error {
				var err error
				reply, err = client.History(ctx, &coltspb.HistoryRequest{Limit: int32(c.Int("limit"))})
				return err
			})
			if err != nil {
				return err
			}
			for _, record := range reply.GetChanges() {
				if err := printChange(c.Writer, record); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
