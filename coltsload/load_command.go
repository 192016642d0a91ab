package coltsload

// The command line runs all variants for each seed and reverses their order from seed to seed,
// so that other load on the machine affects all variants alike.

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"coltsfootstall/coltsrouting"
	"coltsfootstall/coltstrade"
)

// Main runs the command line and returns the process's exit status.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:      "coltsload",
		Usage:     "measure the system under load and faults on the loopback interface",
		Writer:    stdout,
		ErrWriter: stderr,
		ArgsUsage: "SCENARIO",
		Description: "Example:\n   coltsload --variants expected-first-token,round-robin/recompute --seeds 3 returns\n" +
			"Scenarios: " + strings.Join(Names(), ", ") + ", or a file in the same format.\n" +
			"Variants: a routing policy (" + strings.Join(coltsrouting.Names(), ", ") + "), with /recompute to run without saving caches in stores.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "variants", Usage: "run `VARIANTS`, separated by commas",
				Value: "expected-first-token,least-outstanding/recompute,round-robin/recompute"},
			&cli.IntFlag{Name: "seeds", Usage: "run each variant with `N` seeds", Value: 2},
		},
		Action:   runScenario,
		Commands: []*cli.Command{coltstrade.Command()},
	}
	if err := root.Run(ctx, args); err != nil {
		_, _ = fmt.Fprintln(stderr, "coltsload:", err)
		return 1
	}
	return 0
}

func runScenario(_ context.Context, c *cli.Command) error {
	name := c.Args().First()
	if name == "" {
		return errors.Errorf("scenario name is missing; choose one of: %s", strings.Join(Names(), ", "))
	}
	s, err := Load(name)
	if err != nil {
		return err
	}
	var variants []Variant
	for _, text := range strings.Split(c.String("variants"), ",") {
		variants = append(variants, ParseVariant(strings.TrimSpace(text)))
	}
	var results []*Result
	for seed := range c.Int("seeds") {
		for _, v := range variants {
			result, err := Run(s, v, uint64(seed+1))
			if err != nil {
				return err
			}
			results = append(results, result)
		}
		slices.Reverse(variants)
	}
	slices.SortStableFunc(results, func(a, b *Result) int { return strings.Compare(a.Variant.Name, b.Variant.Name) })
	_, _ = fmt.Fprintf(c.Writer, "%s: %s\n\n", name, s.Description)
	return WriteResults(c.Writer, results)
}
