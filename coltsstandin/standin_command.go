package coltsstandin

// The command line of a stand-in. Its faults are switched while it runs by
// posting their JSON to /standin/faults.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsidentity"
)

// Paths that only stand-ins have: to switch faults, and to see what a service has
// run and what a runner has loaded.
const (
	PathFaults  = "/standin/faults"
	PathRuns    = "/standin/runs"
	PathServing = "/standin/serving"
)

// standin is what every kind can do.
type standin struct {
	addr  netip.AddrPort
	close func() error
	leave func()
}

// Main runs the command line and returns the process's exit status.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:      "coltsstandin",
		Usage:     "stand in for an outside system, for development",
		Writer:    stdout,
		ErrWriter: stderr,
		Description: "Example:\n" +
			"   coltsstandin runner --id runner-1 --entries 127.0.0.1:8081 --serving batch-writer@w1",
		Commands: []*cli.Command{runnerCommand(), storeCommand(), serviceCommand()},
	}
	if err := root.Run(ctx, args); err != nil {
		_, _ = fmt.Fprintln(stderr, "coltsstandin:", err)
		return 1
	}
	return 0
}

func commonFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "id", Usage: "`NAME` of this upstream", Required: true},
		&cli.StringFlag{Name: "address", Usage: "listen on `ADDRESS`", Value: "127.0.0.1:0"},
		&cli.StringFlag{Name: "data-centre", Usage: "`NAME` of the data centre", Value: "data-centre-1"},
		&cli.StringFlag{Name: "entries", Usage: "announce to `ADDRESSES` of entries, in turn", Value: "127.0.0.1:8081"},
	}, more...)
}

func commonConfig(c *cli.Command) (Config, error) {
	addr, err := netip.ParseAddrPort(c.String("address"))
	if err != nil {
		return Config{}, errors.Errorf("--address: %q is not an address and port", c.String("address"))
	}
	cfg := Config{
		ID:         coltsidentity.Upstream(c.String("id")),
		DataCentre: coltsidentity.DataCentre(c.String("data-centre")),
		Addr:       addr,
	}
	for _, text := range strings.Split(c.String("entries"), ",") {
		entry, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return Config{}, errors.Errorf("--entries: %q is not an address and port", text)
		}
		cfg.Entries = append(cfg.Entries, entry)
	}
	return cfg, nil
}

// runStandin prints the address and runs until it is asked to stop.
func runStandin(ctx context.Context, c *cli.Command, s standin) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if _, err := fmt.Fprintf(c.Root().Writer, "listening on %s\n", s.addr); err != nil {
		return err
	}
	<-ctx.Done()
	s.leave()
	return s.close()
}

func runnerCommand() *cli.Command {
	return &cli.Command{
		Name:  "runner",
		Usage: "stand in for a model runner",
		Flags: commonFlags(
			&cli.StringFlag{Name: "serving", Usage: "`MODEL@VERSION` pairs, separated by commas", Required: true},
			&cli.Int64Flag{Name: "prefill-per-second", Usage: "prompt `TOKENS` a second", Value: 20_000},
			&cli.DurationFlag{Name: "token-period", Usage: "`SPAN` between two tokens", Value: 20 * time.Millisecond},
			&cli.DurationFlag{Name: "load-time", Usage: "`SPAN` that new weights take", Value: 300 * time.Millisecond},
			&cli.BoolFlag{Name: "checks-fencing", Usage: "refuse orders with an old fencing number"},
			&cli.IntFlag{Name: "memory-pieces", Usage: "`PIECES` that the memory holds", Value: 500},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			cfg, err := commonConfig(c)
			if err != nil {
				return err
			}
			r, err := StartRunner(RunnerConfig{
				Config:           cfg,
				Serving:          parseServing(c.String("serving")),
				PrefillPerSecond: c.Int64("prefill-per-second"),
				TokenPeriod:      c.Duration("token-period"),
				LoadTime:         c.Duration("load-time"),
				ChecksFencing:    c.Bool("checks-fencing"),
				MemoryPieces:     c.Int("memory-pieces"),
			})
			if err != nil {
				return err
			}
			return runStandin(ctx, c, standin{addr: r.Addr(), close: r.Close, leave: r.Leave})
		},
	}
}

func parseServing(text string) []coltsfleet.ModelVersion {
	var serving []coltsfleet.ModelVersion
	for _, pair := range strings.Split(text, ",") {
		model, version, _ := strings.Cut(strings.TrimSpace(pair), "@")
		serving = append(serving, coltsfleet.ModelVersion{
			Model:   coltsidentity.Model(model),
			Version: coltsidentity.Version(version),
		})
	}
	return serving
}

func storeCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "stand in for a kept-cache store",
		Flags: commonFlags(
			&cli.FloatFlag{Name: "pieces-per-second", Usage: "`RATE` of the link", Value: 50},
			&cli.IntFlag{Name: "capacity-pieces", Usage: "`PIECES` that it holds", Value: 100_000},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			cfg, err := commonConfig(c)
			if err != nil {
				return err
			}
			s, err := StartStore(StoreConfig{
				Config:          cfg,
				PiecesPerSecond: c.Float("pieces-per-second"),
				CapacityPieces:  c.Int("capacity-pieces"),
			})
			if err != nil {
				return err
			}
			return runStandin(ctx, c, standin{addr: s.Addr(), close: s.Close, leave: s.Leave})
		},
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "stand in for a plain service",
		Flags: commonFlags(
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service", Required: true},
			&cli.DurationFlag{Name: "duration", Usage: "`SPAN` that a call takes", Value: 20 * time.Millisecond},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			cfg, err := commonConfig(c)
			if err != nil {
				return err
			}
			s, err := StartService(ServiceConfig{
				Config:   cfg,
				Service:  coltsidentity.Service(c.String("service")),
				Duration: c.Duration("duration"),
			})
			if err != nil {
				return err
			}
			return runStandin(ctx, c, standin{addr: s.Addr(), close: s.Close, leave: s.Leave})
		},
	}
}

// serveFaults switches faults by the JSON that is posted.
func serveFaults(ctx *fasthttp.RequestCtx, s *faultSwitches) {
	faults := s.Faults()
	if ctx.IsPost() {
		if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.SetFaults(faults)
	}
	writeJSON(ctx, faults)
}
