package coltscommand

// The first command that a newcomer runs; it needs no settings and no ports.

import (
	"context"

	"github.com/urfave/cli/v3"

	"coltsfootstall/coltstry"
)

func commandTry() *cli.Command {
	return &cli.Command{
		Name:  "try",
		Usage: "run a short day of returning prompts and bookings in this process",
		Description: "Brings up control, entries and stand-ins on loopback, shows what kept cache saves and\n" +
			"what becomes of each booking, and ends by itself in under a minute.\n" +
			"Example:\n   coltsfootstall try",
		Action: func(_ context.Context, c *cli.Command) error {
			return coltstry.Run(c.Writer)
		},
	}
}
