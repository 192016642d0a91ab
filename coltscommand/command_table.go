// Package coltscommand is the command line of coltsfootstall.
package coltscommand

// Commands are entered in one table; each has a file of its own with its usage
// beside what it does. Adding one is a file and a line here.

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltssettings"
)

// commandTable lists the commands in the order in which they are shown.
var commandTable = []func() *cli.Command{
	commandTry,
	commandEntry,
	commandGateway,
	commandControl,
	commandDocument,
	commandStatus,
	commandReplica,
	commandReport,
	commandSuspects,
	commandSettings,
	commandMetrics,
}

// exitFailed is the status of a command that failed.
const exitFailed = 1

// Run runs the command line and returns the process's exit status.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:      "coltsfootstall",
		Usage:     "serve prompts that return after long gaps",
		Writer:    stdout,
		ErrWriter: stderr,
		Suggest:   true,
		Description: "Every command prints its usage and an example with --help. Begin with:\n" +
			"   coltsfootstall try",
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	for _, build := range commandTable {
		root.Commands = append(root.Commands, build())
	}
	// A name that is no command is an error and not a call for help.
	root.Action = refuseUnknown
	for _, c := range root.Commands {
		setWriters(c, stdout, stderr)
	}
	if err := root.Run(ctx, args); err != nil {
		printError(stderr, err)
		return exitFailed
	}
	return 0
}

func setWriters(c *cli.Command, stdout, stderr io.Writer) {
	c.Writer = stdout
	c.ErrWriter = stderr
	c.Suggest = true
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	if c.Action == nil {
		c.Action = refuseUnknown
	}
	for _, sub := range c.Commands {
		setWriters(sub, stdout, stderr)
	}
}

// refuseUnknown shows the help, or says that the first argument is no command.
func refuseUnknown(_ context.Context, c *cli.Command) error {
	name := c.Args().First()
	if name == "" {
		return cli.ShowSubcommandHelp(c)
	}
	names := make([]string, 0, len(c.Commands))
	for _, sub := range c.Commands {
		names = append(names, sub.Name)
	}
	return errors.Errorf("%s has no command %q%s", c.FullName(), name, suggestion(name, names))
}

// printError prints an error; lists of problems are printed one a line.
func printError(stderr io.Writer, err error) {
	var settings *coltssettings.InvalidError
	var document *coltsdocument.InvalidError
	if errors.As(err, &settings) || errors.As(err, &document) {
		_, _ = fmt.Fprintln(stderr, err)
		return
	}
	_, _ = fmt.Fprintln(stderr, "coltsfootstall:", err)
}
