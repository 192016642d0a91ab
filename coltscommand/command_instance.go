package coltscommand

// An instance runs until it receives SIGTERM, which the platform sends, or SIGINT, which
// a person sends from a terminal.

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"coltsfootstall/coltsbuffer"
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
		Usage: "run an entry instance: accept callers' requests and route them to upstreams",
		Description: "Stops gracefully on SIGTERM: readiness fails at once, and responses in progress are completed.\n" +
			"Example:\n   coltsfootstall entry --settings entry.jsonc",
		Flags:  instanceFlags(),
		Action: instanceAction(runEntry),
	}
}

func commandGateway() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run a gateway instance: forward callers' requests by the route table",
		Description: "Stops gracefully on SIGTERM: readiness fails at once, and responses in progress are completed.\n" +
			"Example:\n   coltsfootstall gateway --settings gateway.jsonc",
		Flags:  instanceFlags(),
		Action: instanceAction(runGateway),
	}
}

func commandControl() *cli.Command {
	return &cli.Command{
		Name:  "control",
		Usage: "run a control instance: keep the durable state on its disk",
		Description: "Example:\n   coltsfootstall control --settings control.jsonc\n" +
			"The first start puts the document named by control/initial-document in force.",
		Flags:  instanceFlags(),
		Action: instanceAction(runControl),
	}
}

func newLog(c *cli.Command, s coltssettings.Settings) *coltslog.Log {
	return coltslog.New(coltslog.Config{
		Output:   coltslog.NewQueue(c.Root().Writer),
		Level:    s.LogLevel,
		JSON:     s.LogJSON,
		Instance: s.Instance,
	})
}

// instance holds the operations of an entry, gateway or control instance.
type instance struct {
	start    func() error
	shutdown func() error
	// reload applies changed settings; nil if none can change at run time.
	reload func(coltssettings.Settings)
	// failed is closed when the instance can't apply its state any more; nil if it has none.
	failed <-chan struct{}
}

// instanceAction returns the action that runs an instance. SIGHUP asks for a reload of the settings; by
// default it would end the process, also while that still reads its settings or its disk.
func instanceAction(run func(ctx context.Context, c *cli.Command, sighups <-chan os.Signal) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		sighups := make(chan os.Signal, 1)
		signal.Notify(sighups, syscall.SIGHUP)
		defer signal.Stop(sighups)
		return run(ctx, c, sighups)
	}
}

// runInstance starts an instance and runs it until a stop signal arrives or it fails.
func runInstance(ctx context.Context, c *cli.Command, log *coltslog.Log, sighups <-chan os.Signal, i instance) error {
	ctx, stop := notifyStop(ctx)
	defer stop()
	if err := i.start(); err != nil {
		return err
	}
	r := &reloader{file: c.String("settings"), log: log.Logger("settings"), apply: i.reload}
	go r.run(ctx, sighups)
	select {
	case <-ctx.Done():
		return i.shutdown()
	case <-i.failed:
	}
	coltsloop.Sleep(ctx, failureExitDelay)
	if err := i.shutdown(); err != nil {
		return err
	}
	return errors.New("the instance stopped because it can't apply the replicated state")
}

// notifyStop returns a context that ends when a stop signal arrives.
func notifyStop(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}

// failureExitDelay is the delay before an instance that has failed exits, so that a supervisor does not
// restart it many times a second.
const failureExitDelay = time.Second

func runEntry(ctx context.Context, c *cli.Command, sighups <-chan os.Signal) error {
	settings, err := loadSettings(ctx, c, sighups)
	if err != nil {
		return err
	}
	log := newLog(c, settings)
	entry, err := coltsentry.New(coltsentry.Config{Settings: settings, Log: log})
	if err != nil {
		return err
	}
	return runInstance(ctx, c, log, sighups, instance{start: entry.Start, shutdown: entry.Shutdown})
}

func runControl(ctx context.Context, c *cli.Command, sighups <-chan os.Signal) error {
	settings, err := loadSettings(ctx, c, sighups)
	if err != nil {
		return err
	}
	log := newLog(c, settings)
	client := platform.NewRunnerClient()
	ctx, stop := notifyStop(ctx)
	defer stop()
	control, err := coltscontrol.Open(ctx, coltscontrol.Config{
		Settings: settings, Log: log,
		Runners: client.Runners(), Stores: client.Stores(), DecodeTable: platform.DecodeTable,
	})
	if err != nil {
		return err
	}
	i := instance{start: control.Start, shutdown: control.Shutdown, reload: control.Reload, failed: control.Failed()}
	if !settings.Control.ServiceAddr.IsValid() {
		return runInstance(ctx, c, log, sighups, i)
	}
	service := platform.NewControlServer(platform.ControlConfig{
		Addr: settings.Control.ServiceAddr, BodyBytes: settings.Control.BodyBytes, MaxConns: settings.Control.MaxConns,
		Control: control, Log: log,
	})
	i.start = inOrder(control.Start, service.Start)
	i.shutdown = inOrder(service.Shutdown, control.Shutdown)
	return runInstance(ctx, c, log, sighups, i)
}

func runGateway(ctx context.Context, c *cli.Command, sighups <-chan os.Signal) error {
	settings, err := loadSettings(ctx, c, sighups)
	if err != nil {
		return err
	}
	log := newLog(c, settings)
	if memory := settings.MemoryBytes(); memory > 0 {
		// Within the budget for buffers the heap stays below this limit, and the collector runs as often
		// as without it.
		debug.SetMemoryLimit(int64(coltsbuffer.RuntimeLimit(memory)))
	}
	gateway := coltsgateway.New(coltsgateway.Config{Settings: settings, Dialect: platform.Dialect(), Log: log})
	return runInstance(ctx, c, log, sighups, instance{start: gateway.Start, shutdown: gateway.Shutdown, reload: gateway.Reload})
}

// inOrder returns a function that calls the steps in order and stops at the first error.
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
