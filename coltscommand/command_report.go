package coltscommand

// The report commands collect counts from the instances; coltsreport formats them.

import (
	"context"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"coltsfootstall/coltslink"
	"coltsfootstall/coltsmembership"
	"coltsfootstall/coltsobjective"
	"coltsfootstall/coltsreport"
	"coltsfootstall/coltsusage"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

func commandReport() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "report service-level burn and spend",
		Commands: []*cli.Command{
			{
				Name:  "burn",
				Usage: "how fast the objectives' error budgets burn, by organisation and model",
				Description: "A burn rate of 1 consumes the error budget exactly.\n" +
					"Example:\n   coltsfootstall report burn --json",
				Flags:  []cli.Flag{controlFlag(), jsonFlag()},
				Action: runReportBurn,
			},
			{
				Name:        "spend",
				Usage:       "what organisations used and owe, with computed and reused tokens listed separately",
				Description: "Example:\n   coltsfootstall report spend",
				Flags:       []cli.Flag{controlFlag(), jsonFlag()},
				Action:      runReportSpend,
			},
		},
	}
}

func runReportBurn(ctx context.Context, c *cli.Command) error {
	message, err := fetchDocument(ctx, c)
	if err != nil {
		return err
	}
	document, err := coltswire.DecodeDocument(message)
	if err != nil {
		return err
	}
	rows, unreachable, err := fetchBurn(ctx, c)
	if err != nil {
		return err
	}
	report := coltsreport.NewBurn(document.Sections.Objectives, rows, unreachable)
	if c.Bool("json") {
		return report.WriteJSON(c.Writer)
	}
	return report.WriteText(c.Writer)
}

// fetchBurn returns the counts of all live entries, merged, and the names of the entries
// that did not answer.
func fetchBurn(ctx context.Context, c *cli.Command) ([]coltsobjective.Row, []string, error) {
	status, err := fetchStatus(ctx, c)
	if err != nil {
		return nil, nil, err
	}
	var lists [][]coltsobjective.Row
	var unreachable []string
	for _, m := range coltswire.DecodeMembers(status.GetMembers()) {
		if m.Role != coltsmembership.RoleEntry {
			continue
		}
		rows, err := fetchEntryBurn(ctx, m)
		if err != nil {
			unreachable = append(unreachable, string(m.ID))
			continue
		}
		lists = append(lists, rows)
	}
	return coltsobjective.Merge(lists...), unreachable, nil
}

func fetchEntryBurn(ctx context.Context, m coltsmembership.Member) ([]coltsobjective.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := coltspbconnect.NewPeerClient(coltslink.NewClient(coltslink.Config{}), coltslink.URL(m.PeerAddr))
	reply, err := client.Burn(ctx, &coltspb.BurnRequest{})
	if err != nil {
		return nil, errors.Wrapf(err, "call instance %s", m.ID)
	}
	rows := make([]coltsobjective.Row, 0, len(reply.GetRows()))
	for _, row := range reply.GetRows() {
		rows = append(rows, coltswire.DecodeBurnRow(row))
	}
	return rows, nil
}

func runReportSpend(ctx context.Context, c *cli.Command) error {
	var lines []coltsusage.Line
	err := callControl(ctx, c, callTimeout, func(ctx context.Context, client coltspbconnect.ControlClient) error {
		reply, err := client.Spend(ctx, &coltspb.SpendRequest{})
		for _, line := range reply.GetLines() {
			lines = append(lines, coltswire.DecodeUsageLine(line))
		}
		return err
	})
	if err != nil {
		return err
	}
	report := coltsreport.NewSpend(lines)
	if c.Bool("json") {
		return report.WriteJSON(c.Writer)
	}
	return report.WriteText(c.Writer)
}
