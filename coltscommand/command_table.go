// Package coltscommand is the command line of coltsfootstall.
package coltscommand

// All commands are registered in commandTable. Each is defined with its usage text in a
// file of its own. To add a command, add a file and a line in the table.

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltssettings"
)

// commandTable holds the constructors of the commands, in the order of the help text.
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
	commandExplain,
	commandSettings,
	commandMetrics,
}

// exitFailed is the exit status of a command that failed.
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
	// An unknown command name is an error, not a request for the help text.
	root.Action = rejectUnknown
	for _, c := range root.Commands {
		setWriters(c, stdout, stderr)
	}
	if err := root.Run(ctx, args); err != nil {
		printError(stderr, err)
		return exitFailed
	}
	return 0
}

// setWriters sets the output writers and the error handling of c and its subcommands.
func setWriters(c *cli.Command, stdout, stderr io.Writer) {
	c.Writer = stdout
	c.ErrWriter = stderr
	c.Suggest = true
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	if c.Action == nil {
		c.Action = rejectUnknown
	}
	for _, sub := range c.Commands {
		setWriters(sub, stdout, stderr)
	}
}

// rejectUnknown shows the help if there are no arguments. Otherwise it returns an error
// that names the first argument as an unknown command.
func rejectUnknown(_ context.Context, c *cli.Command) error {
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

// printError prints an error. Lists of problems are printed without the program's name,
// one problem a line.
func printError(stderr io.Writer, err error) {
	var settings *coltssettings.InvalidError
	var document *coltsdocument.InvalidError
	if errors.As(err, &settings) || errors.As(err, &document) {
		_, _ = fmt.Fprintln(stderr, err)
		return
	}
	_, _ = fmt.Fprintln(stderr, "coltsfootstall:", err)
}
