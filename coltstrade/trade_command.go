package coltstrade

// The subcommand that plays a scenario with each variant.

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"coltsfootstall/coltsjsonc"
)

// Names lists the scenarios.
func Names() []string { return slices.Sorted(maps.Keys(scenarioTable)) }

// Find returns a scenario by its name.
func Find(name string) (Scenario, error) {
	s, known := scenarioTable[name]
	if !known {
		return s, errors.Errorf("there is no scenario %q: %s%s", name, strings.Join(Names(), ", "), coltsjsonc.Suggest(name, Names()))
	}
	return s, nil
}

// Command is the subcommand.
func Command() *cli.Command {
	return &cli.Command{
		Name:        "trade",
		Usage:       "compare ways to read, fetch and wait for prompts, in simulated time",
		ArgsUsage:   "SCENARIO",
		Description: "Example:\n   coltsload trade --seeds 3 calm\nScenarios: " + strings.Join(Names(), ", ") + ".",
		Flags:       []cli.Flag{&cli.IntFlag{Name: "seeds", Usage: "play `N` days of each variant", Value: 1}},
		Action: func(_ context.Context, c *cli.Command) error {
			s, err := Find(c.Args().First())
			if err != nil {
				return err
			}
			var results []*Result
			for _, v := range Variants() {
				for seed := range c.Int("seeds") {
					results = append(results, Play(s, v, uint64(seed+1)))
				}
			}
			_, _ = fmt.Fprintf(c.Root().Writer, "%s: %s\n\n", c.Args().First(), s.Usage)
			return Write(c.Root().Writer, results)
		},
	}
}
