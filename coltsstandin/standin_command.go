package coltsstandin

// This file holds the command line. The faults of a running stand-in are switched by posting
// them as JSON to /standin/faults.

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

// Paths that only stand-ins serve. PathFaults returns and sets the faults. PathRuns returns how
// often a service ran the call of each idempotency key. PathServing returns what a runner has
// loaded.
const (
	PathFaults  = "/standin/faults"
	PathRuns    = "/standin/runs"
	PathServing = "/standin/serving"
)

// standin holds the methods that runStandin needs from a stand-in of any kind.
type standin struct {
	addr  netip.AddrPort
	close func() error
	leave func()
}

// Main runs the command line and returns the process's exit status.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:      "coltsstandin",
		Usage:     "simulate an upstream for development",
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

// commonFlags returns the flags of all kinds of stand-in, followed by more.
func commonFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "id", Usage: "`NAME` of this upstream", Required: true},
		&cli.StringFlag{Name: "address", Usage: "listen on `ADDRESS`", Value: "127.0.0.1:0"},
		&cli.StringFlag{Name: "data-centre", Usage: "`NAME` of the data centre", Value: "data-centre-1"},
		&cli.StringFlag{Name: "entries", Usage: "announce to `ADDRESSES` of entries, in turn", Value: "127.0.0.1:8081"},
	}, more...)
}

// commonConfig reads the flags of all kinds of stand-in.
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

// runStandin prints the address and waits for ctx to end or for SIGTERM or SIGINT. Then it
// closes the stand-in.
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
		Usage: "simulate a model runner",
		Flags: commonFlags(
			&cli.StringFlag{Name: "serving", Usage: "`MODEL@VERSION` pairs, separated by commas", Required: true},
			&cli.Int64Flag{Name: "prefill-per-second", Usage: "prefill rate in `TOKENS` per second", Value: 20_000},
			&cli.DurationFlag{Name: "token-period", Usage: "`DURATION` between two tokens of an answer", Value: 20 * time.Millisecond},
			&cli.DurationFlag{Name: "load-time", Usage: "`DURATION` of loading new weights", Value: 300 * time.Millisecond},
			&cli.BoolFlag{Name: "checks-fencing", Usage: "reject orders with a fencing number lower than an earlier one"},
			&cli.IntFlag{Name: "memory-pieces", Usage: "capacity of the memory in cache `PIECES`", Value: 500},
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

// parseServing reads MODEL@VERSION pairs separated by commas.
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
		Usage: "simulate a store of prompt caches",
		Flags: commonFlags(
			&cli.FloatFlag{Name: "pieces-per-second", Usage: "`RATE` of the link in cache pieces per second", Value: 50},
			&cli.IntFlag{Name: "capacity-pieces", Usage: "capacity of the store in cache `PIECES`", Value: 100_000},
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
		Usage: "simulate a plain service",
		Flags: commonFlags(
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service", Required: true},
			&cli.DurationFlag{Name: "duration", Usage: "`DURATION` of a call", Value: 20 * time.Millisecond},
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

// serveFaults returns the current faults. A POST request first sets the faults that its JSON
// body names; the others are unchanged.
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
