package coltscommand

// An instance runs until it is asked to stop, by SIGTERM as the platform does or
// by SIGINT as a person does.

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"coltsfootstall/coltscontrol"
	"coltsfootstall/coltsentry"
	"coltsfootstall/coltsgateway"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsloop"
	"coltsfootstall/coltssettings"
	"coltsfootstall/platform"
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

func commandGateway() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run a gateway instance: forward callers' requests by the route table",
		Description: "Stops gracefully on SIGTERM: readiness fails at once, running answers end whole.\n" +
			"Example:\n   coltsfootstall gateway --settings gateway.jsonc",
		Flags:  []cli.Flag{settingsFlag()},
		Action: runGateway,
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
		Output:   coltslog.NewQueue(c.Root().Writer),
		Level:    s.LogLevel,
		JSON:     s.LogJSON,
		Instance: s.Instance,
	})
}

// instance is what both kinds of instance can do.
type instance struct {
	start    func() error
	shutdown func() error
	// reload takes in that the settings file has changed; nil if nothing of it can
	// change while the instance runs.
	reload func(coltssettings.Settings)
	// broken is closed when the instance can't go on and must be started again; nil
	// if that never happens.
	broken <-chan struct{}
}

// runInstance starts an instance and stops it when asked.
func runInstance(ctx context.Context, c *cli.Command, log *coltslog.Log, i instance) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// From here on a hang-up asks for the settings to be read again.
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	if err := i.start(); err != nil {
		return err
	}
	r := &reloader{file: c.String("settings"), log: log.Part("settings"), apply: i.reload}
	go r.run(ctx, hangUps)
	select {
	case <-ctx.Done():
		return i.shutdown()
	case <-i.broken:
	}
	// The disk may fail for a while; a restart reads what it holds.
	coltsloop.Sleep(ctx, brokenPause)
	if err := i.shutdown(); err != nil {
		return err
	}
	return errors.New("the disk failed")
}

// brokenPause is how long a broken instance waits before it ends, so that it is not
// started again many times a second while its disk still fails.
const brokenPause = time.Second

func runEntry(ctx context.Context, c *cli.Command) error {
	settings, err := loadSettings(c)
	if err != nil {
		return err
	}
	log := newLog(c, settings)
	entry, err := coltsentry.New(coltsentry.Config{Settings: settings, Log: log})
	if err != nil {
		return err
	}
	return runInstance(ctx, c, log, instance{start: entry.Start, shutdown: entry.Shutdown})
}

func runControl(ctx context.Context, c *cli.Command) error {
	settings, err := loadSettings(c)
	if err != nil {
		return err
	}
	log := newLog(c, settings)
	client := platform.NewRunnerClient()
	control, err := coltscontrol.New(coltscontrol.Config{
		Settings: settings, Log: log,
		Runners: client.Runners(), Stores: client.Stores(), DecodeTable: platform.DecodeTable,
	})
	if err != nil {
		return err
	}
	i := instance{start: control.Start, shutdown: control.Shutdown, reload: control.Reload, broken: control.Broken()}
	if !settings.Control.ServiceAddr.IsValid() {
		return runInstance(ctx, c, log, i)
	}
	service := platform.NewControlServer(platform.ControlConfig{Addr: settings.Control.ServiceAddr, Control: control, Log: log})
	i.start = inOrder(control.Start, service.Start)
	i.shutdown = inOrder(service.Shutdown, control.Shutdown)
	return runInstance(ctx, c, log, i)
}

func runGateway(ctx context.Context, c *cli.Command) error {
	settings, err := loadSettings(c)
	if err != nil {
		return err
	}
	log := newLog(c, settings)
	gateway := coltsgateway.New(coltsgateway.Config{Settings: settings, Dialect: platform.Dialect(), Log: log})
	return runInstance(ctx, c, log, instance{start: gateway.Start, shutdown: gateway.Shutdown, reload: gateway.Reload})
}

// inOrder returns a function that calls others until one fails.
func inOrder(steps ...func() error) func() error {
	return func() error {
		for _, step := range steps {
			if err := step(); err != nil {
				return err
			}
		}
		return nil
	}
}
