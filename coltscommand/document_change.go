package coltscommand

// The commands that propose, review and accept a change. Each is idempotent: if its
// answer was lost, the same command can be sent again.

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

// readSection returns one section of the file that is named on the command line.
func readSection(c *cli.Command, name string) (coltscodec.SectionSource, error) {
	text, err := readFile(c)
	if err != nil {
		return coltscodec.SectionSource{}, err
	}
	sources, problems := coltscodec.SplitDocument(text)
	if len(problems) > 0 {
		return coltscodec.SectionSource{}, &coltsdocument.InvalidError{Problems: problems}
	}
	for _, s := range sources {
		if string(s.Name) != name {
			continue
		}
		_, problems := coltscodec.DecodeSection(s.Name, s.Text)
		if len(problems) > 0 {
			return s, &coltsdocument.InvalidError{Problems: s.ShiftLines(problems)}
		}
		return s, nil
	}
	return coltscodec.SectionSource{}, errors.Errorf("the file has no section %q%s", name, suggestion(name, sectionNames()))
}

func documentPropose() *cli.Command {
	return &cli.Command{
		Name:      "propose",
		Usage:     "propose a section of a file as a change",
		ArgsUsage: "FILE",
		Description: "Example:\n   coltsfootstall document propose --section pricing --change spring-prices document.jsonc\n" +
			"A change that is sent again with the same identity and content gets the original answer.",
		Flags: []cli.Flag{
			controlFlag(),
			&cli.StringFlag{Name: "section", Usage: "propose section `NAME`", Required: true},
			&cli.StringFlag{Name: "change", Usage: "identity of the change (default: random)"},
			&cli.Uint64Flag{Name: "base", Usage: "revision that the change is based on; without it the one in force"},
		},
		Action: runPropose,
	}
}

func runPropose(ctx context.Context, c *cli.Command) error {
	source, err := readSection(c, c.String("section"))
	if err != nil {
		return err
	}
	base := c.Uint64("base")
	if !c.IsSet("base") {
		document, err := fetchDocument(ctx, c)
		if err != nil {
			return err
		}
		base = document.GetRevision()
	}
	id := c.String("change")
	if id == "" {
		id = coltsidentity.NewRequest().String()
	}
	command := &coltspb.Command{Body: &coltspb.Command_Propose{Propose: &coltspb.Change{
		Id:      id,
		Section: string(source.Name),
		Base:    base,
		Text:    string(source.Text),
	}}}
	err = submitStep(ctx, c, command)
	var invalid *coltsdocument.InvalidError
	if errors.As(err, &invalid) {
		return &coltsdocument.InvalidError{Problems: source.ShiftLines(invalid.Problems)}
	}
	return err
}

func documentReview() *cli.Command {
	return &cli.Command{
		Name:        "review",
		Usage:       "approve a change that someone else proposed",
		ArgsUsage:   "CHANGE",
		Description: "Example:\n   coltsfootstall document review spring-prices",
		Flags:       []cli.Flag{controlFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			step := &coltspb.Step{Change: c.Args().First()}
			return submitStep(ctx, c, &coltspb.Command{Body: &coltspb.Command_Review{Review: step}})
		},
	}
}

func documentAccept() *cli.Command {
	return &cli.Command{
		Name:        "accept",
		Usage:       "put a reviewed change in force",
		ArgsUsage:   "CHANGE",
		Description: "Example:\n   coltsfootstall document accept spring-prices",
		Flags:       []cli.Flag{controlFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			step := &coltspb.Step{Change: c.Args().First()}
			return submitStep(ctx, c, &coltspb.Command{Body: &coltspb.Command_Accept{Accept: step}})
		},
	}
}

// submitStep sends an operator's command and prints the resulting state of the change.
func submitStep(ctx context.Context, c *cli.Command, command *coltspb.Command) error {
	key, err := operatorKey()
	if err != nil {
		return err
	}
	var reply *coltspb.SubmitReply
	err = callControl(ctx, c, callTimeout, func(ctx context.Context, client coltspbconnect.ControlClient) error {
		var err error
		reply, err = client.Submit(ctx, &coltspb.SubmitRequest{Command: command, OperatorKey: key})
		return err
	})
	if err != nil {
		return err
	}
	if refusal := coltswire.DecodeRefusal(reply.GetRefusal()); refusal != nil {
		return refusal
	}
	return printChange(c.Writer, reply.GetChange())
}

func printChange(w io.Writer, record *coltspb.ChangeRecord) error {
	change := record.GetChange()
	_, err := fmt.Fprintf(w, "change %s of section %s by %s: %s\n",
		change.GetId(), change.GetSection(), changeAuthor(change), changeState(record))
	if err != nil {
		return err
	}
	for _, line := range record.GetPlan() {
		if _, err := fmt.Fprintln(w, "  "+line); err != nil {
			return err
		}
	}
	return nil
}

func changeAuthor(change *coltspb.Change) string {
	if change.GetBootstrap() {
		return "the initial document"
	}
	return change.GetAuthor()
}

// changeState describes the state of a change, such as "reviewed by berk".
func changeState(record *coltspb.ChangeRecord) string {
	switch coltsdocument.ChangeState(record.GetState()) {
	case coltsdocument.ChangeAccepted:
		at := coltswire.DecodeTime(record.GetAcceptedAt()).UTC().Format(time.RFC3339)
		return fmt.Sprintf("accepted at %s as revision %d", at, record.GetRevision())
	case coltsdocument.ChangeReviewed:
		return "reviewed by " + record.GetReviewer()
	case coltsdocument.ChangeStale:
		return "stale; change " + record.GetWinner() + " came first"
	}
	return record.GetState()
}
