package coltscommand

// An instance runs until it is asked to stop, by SIGTERM as the platform does or
// by SIGINT as a person does.

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"coltsfootstall/coltscontrol"
	"coltsfootstall/coltsentry"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltssettings"
)

func commandEntry() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry instance: take callers and route them to upstreams",
		Description: "Stops gracefully on SIGTERM: readiness fails at once, running answers end whole.\n" +
			"Example:\n   coltsfootstall entry --settings entry.jsonc",
		Flags:  []cli.Flag{settingsFlag()},
		Action: runEntry,
	}
}

func commandControl() *cli.Command {
	return &cli.Command{
		Name:  "control",
		Usage: "run a control instance: keep the durable state on its disk",
		Description: "Example:\n   coltsfootstall control --settings control.jsonc\n" +
			"The first start puts the setting control/initial-document in force.",
		Flags:  []cli.Flag{settingsFlag()},
		Action: runControl,
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "settings",
		Usage: "read settings from `FILE`, JSON with comments; without it the defaults hold",
	}
}

func loadSettings(c *cli.Command) (coltssettings.Settings, error) {
	file := c.String("settings")
	if file == "" {
		return coltssettings.Default(), nil
	}
	return coltssettings.Load(file)
}

func newLog(c *cli.Command, s coltssettings.Settings) *coltslog.Log {
	return coltslog.New(coltslog.Config{
		Output:   c.ErrWriter,
		Level:    s.LogLevel,
		JSON:     s.LogJSON,
		Instance: s.Instance,
	})
}

// instance is what both kinds of instance can do.
type instance struct {
	start    func() error
	shutdown func() error
}

// runInstance starts an instance and stops it when asked.
func runInstance(ctx context.Context, i instance) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := i.start(); err != nil {
		return err
	}
	<-ctx.Done()
	return i.shutdown()
}

func runEntry(ctx context.Context, c *cli.Command) error {
	settings, err := loadSettings(c)
	if err != nil {
		return err
	}
	entry, err := coltsentry.New(coltsentry.Config{Settings: settings, Log: newLog(c, settings)})
	if err != nil {
		return err
	}
	return runInstance(ctx, instance{start: entry.Start, shutdown: entry.Shutdown})
}

func runControl(ctx context.Context, c *cli.Command) error {
	settings, err := loadSettings(c)
	if err != nil {
		return err
	}
	control, err := coltscontrol.New(coltscontrol.Config{Settings: settings, Log: newLog(c, settings)})
	if err != nil {
		return err
	}
	return runInstance(ctx, instance{start: control.Start, shutdown: control.Shutdown})
}
