package coltscommand

// The lists are printed from the same tables from which the program reads its settings
// and registers its metrics.

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltssettings"
)

func commandSettings() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "check a settings file, or list every setting",
		Commands: []*cli.Command{
			{
				Name:        "check",
				Usage:       "check a settings file and name every problem in it",
				ArgsUsage:   "FILE",
				Description: "Example:\n   coltsfootstall settings check entry.jsonc",
				Action:      runSettingsCheck,
			},
			{
				Name:        "list",
				Usage:       "list every setting with its type, unit and default",
				Description: "Example:\n   coltsfootstall settings list --markdown",
				Flags:       []cli.Flag{&cli.BoolFlag{Name: "markdown", Usage: "print the table of docs/SETTINGS.md"}},
				Action:      runSettingsList,
			},
		},
	}
}

func runSettingsCheck(_ context.Context, c *cli.Command) error {
	file := c.Args().First()
	if file == "" {
		return errors.New("missing argument: settings file")
	}
	if _, err := coltssettings.Load(file); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.Writer, "%s is valid.\n", file)
	return err
}

func runSettingsList(_ context.Context, c *cli.Command) error {
	if c.Bool("markdown") {
		return listSettingsMarkdown(c)
	}
	w := tabwriter.NewWriter(c.Writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SETTING\tTYPE\tUNIT\tDEFAULT\tWHAT IT DOES")
	for _, r := range coltssettings.Table() {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.Name, r.Type, r.Unit, r.Default, r.Usage)
	}
	return w.Flush()
}

func listSettingsMarkdown(c *cli.Command) error {
	_, err := fmt.Fprint(c.Writer, "| setting | type | unit | default | what it does |\n| --- | --- | --- | --- | --- |\n")
	for _, r := range coltssettings.Table() {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(c.Writer, "| `%s` | %s | %s | `%s` | %s |\n", r.Name, r.Type, r.Unit, r.Default, r.Usage)
	}
	return err
}

func commandMetrics() *cli.Command {
	return &cli.Command{
		Name:  "metrics",
		Usage: "list every metric",
		Commands: []*cli.Command{{
			Name:        "list",
			Usage:       "list every metric with its unit",
			Description: "Example:\n   coltsfootstall metrics list",
			Action: func(_ context.Context, c *cli.Command) error {
				w := tabwriter.NewWriter(c.Writer, 0, 0, 2, ' ', 0)
				_, _ = fmt.Fprintln(w, "METRIC\tUNIT\tWHAT IT COUNTS")
				for _, m := range coltsmetric.Table() {
					_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", m.Name, m.Unit, m.Description)
				}
				return w.Flush()
			},
		}},
	}
}
