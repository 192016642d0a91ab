package coltscommand

// The plan compares a file with the document in force, section by section.

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltswire"
)

func documentPlan() *cli.Command {
	return &cli.Command{
		Name:        "plan",
		Usage:       "describe what a file would change",
		ArgsUsage:   "FILE",
		Description: "Example:\n   coltsfootstall document plan document.jsonc",
		Flags:       []cli.Flag{controlFlag()},
		Action:      runPlan,
	}
}

func runPlan(ctx context.Context, c *cli.Command) error {
	text, err := readFile(c)
	if err != nil {
		return err
	}
	proposed, problems := coltscodec.DecodeDocument(text)
	if len(problems) > 0 {
		return &coltsdocument.InvalidError{Problems: problems}
	}
	message, err := fetchDocument(ctx, c)
	if err != nil {
		return err
	}
	inForce, err := coltswire.DecodeDocument(message)
	if err != nil {
		return err
	}
	return printPlan(c.Writer, inForce, proposed)
}

func printPlan(w io.Writer, inForce coltsdocument.Document, proposed coltsdocument.Sections) error {
	changes := 0
	for _, name := range coltsdocument.SectionNames {
		for _, line := range coltsdocument.Plan(inForce.Sections, proposed, name) {
			changes++
			if _, err := fmt.Fprintf(w, "%s: %s\n", name, line); err != nil {
				return err
			}
		}
	}
	_, err := fmt.Fprintf(w, "%d changes against revision %d.\n", changes, inForce.Revision)
	return err
}
