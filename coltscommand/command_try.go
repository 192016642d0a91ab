package coltscommand

// The demo for new users. It needs no settings and no fixed ports.

import (
	"context"

	"github.com/urfave/cli/v3"

	"coltsfootstall/coltstry"
)

func commandTry() *cli.Command {
	return &cli.Command{
		Name:  "try",
		Usage: "run a short demo of returning prompts and bookings in this process",
		Description: "Starts control, entries and stand-ins on loopback, shows what kept cache saves and\n" +
			"the outcome of each booking, and exits in under a minute.\n" +
			"Example:\n   coltsfootstall try",
		Action: func(_ context.Context, c *cli.Command) error {
			return coltstry.Run(c.Writer)
		},
	}
}
