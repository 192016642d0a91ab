package coltstrade

// The subcommand that simulates a scenario with each variant and prints the results.

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

// Names returns the sorted names of the scenarios.
func Names() []string { return slices.Sorted(maps.Keys(scenarios)) }

// Find returns the scenario with a name.
func Find(name string) (Scenario, error) {
	s, known := scenarios[name]
	if !known {
		return s, errors.Errorf("unknown scenario %q: must be one of %s%s",
			name, strings.Join(Names(), ", "), coltsjsonc.Suggest(name, Names()))
	}
	return s, nil
}

// findVariants returns the variants with the names; all if there are none.
func findVariants(names []string) ([]Variant, error) {
	var known []string
	variants := slices.DeleteFunc(Variants(), func(v Variant) bool {
		known = append(known, v.Name)
		return len(names) > 0 && !slices.Contains(names, v.Name)
	})
	for _, name := range names {
		if !slices.Contains(known, name) {
			return nil, errors.Errorf("unknown variant %q: must be one of %s%s",
				name, strings.Join(known, ", "), coltsjsonc.Suggest(name, known))
		}
	}
	return variants, nil
}

// Command returns the subcommand.
func Command() *cli.Command {
	return &cli.Command{
		Name:        "trade",
		Usage:       "compare routing, caching and queueing policies in simulated time",
		ArgsUsage:   "SCENARIO",
		Description: "Example:\n   coltsload trade --seeds 3 calm\nScenarios: " + strings.Join(Names(), ", ") + ".",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Usage: "simulate each variant with `N` seeds", Value: 1},
			&cli.StringSliceFlag{Name: "variant", Usage: "simulate only the variants with these `NAMES`"},
			&cli.IntSliceFlag{Name: "gateways", Usage: "simulate each variant with these `NUMBERS` of gateways"},
			&cli.StringFlag{Name: "plot", Usage: "write a plot of the scores by number of gateways to the SVG `FILE`"},
			&cli.DurationFlag{Name: "load-age", Usage: "set the additional age of load reports to `DURATION`"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			s, err := Find(c.Args().First())
			if err != nil {
				return err
			}
			gateways := []int{s.Gateways}
			if c.IsSet("gateways") {
				gateways = c.IntSlice("gateways")
			}
			if c.IsSet("load-age") {
				s.LoadAge = c.Duration("load-age")
			}
			variants, err := findVariants(c.StringSlice("variant"))
			if err != nil {
				return err
			}
			var results []*Result
			for _, v := range variants {
				for _, s.Gateways = range gateways {
					for seed := range c.Int("seeds") {
						results = append(results, Simulate(s, v, uint64(seed+1)))
					}
				}
			}
			if file := c.String("plot"); file != "" {
				if err := Plot(file, c.Args().First(), results); err != nil {
					return err
				}
			}
			_, _ = fmt.Fprintf(c.Root().Writer, "%s: %s\n\n", c.Args().First(), s.Usage)
			return WriteTable(c.Root().Writer, results)
		},
	}
}
