package coltscommand

// The document's commands follow the life of a change: show, plan, propose,
// review, accept, wait, history.

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
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

func commandDocument() *cli.Command {
	return &cli.Command{
		Name:  "document",
		Usage: "show and change the document in force",
		Description: "The document is one file of JSON with comments. A change replaces one section:\n" +
			"   coltsfootstall document show > document.jsonc     # read, edit\n" +
			"   coltsfootstall document plan document.jsonc       # what would change\n" +
			"   coltsfootstall document propose --section pricing document.jsonc\n" +
			"   coltsfootstall document review CHANGE             # a second person\n" +
			"   coltsfootstall document accept CHANGE\n" +
			"   coltsfootstall document wait REVISION\n" +
			"Your operator key is read from " + operatorKeyVariable + ".",
		Commands: []*cli.Command{
			documentShow(),
			documentSections(),
			documentCheck(),
			documentPlan(),
			documentPropose(),
			documentReview(),
			documentAccept(),
			documentWait(),
			documentHistory(),
		},
	}
}

func documentShow() *cli.Command {
	return &cli.Command{
		Name:        "show",
		Usage:       "print the document in force",
		Description: "Example:\n   coltsfootstall document show --section pricing",
		Flags: []cli.Flag{
			controlFlag(),
			&cli.StringFlag{Name: "section", Usage: "print only section `NAME`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			document, err := fetchDocument(ctx, c)
			if err != nil {
				return err
			}
			return printDocument(c.Writer, document, c.String("section"))
		},
	}
}

func fetchDocument(ctx context.Context, c *cli.Command) (*coltspb.DocumentText, error) {
	var document *coltspb.DocumentText
	err := askControl(ctx, c, callTimeout, func(ctx context.Context, client coltspbconnect.ControlClient) error {
		reply, err := client.Follow(ctx, &coltspb.FollowRequest{})
		document = reply.GetDocument()
		return err
	})
	return document, err
}

func printDocument(w io.Writer, document *coltspb.DocumentText, only string) error {
	if only != "" {
		for _, s := range document.GetSections() {
			if s.GetSection() == only {
				_, err := fmt.Fprintln(w, s.GetText())
				return err
			}
		}
		return errors.Errorf("no section %q is in force%s", only, suggestion(only, sectionNames()))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "// revision %d\n{\n", document.GetRevision())
	for i, s := range document.GetSections() {
		comma := ","
		if i == len(document.GetSections())-1 {
			comma = ""
		}
		fmt.Fprintf(&b, "  %q: %s%s\n", s.GetSection(), s.GetText(), comma)
	}
	b.WriteString("}\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func sectionNames() []string {
	names := make([]string, 0, len(coltsdocument.SectionNames))
	for _, n := range coltsdocument.SectionNames {
		names = append(names, string(n))
	}
	return names
}

func documentSections() *cli.Command {
	return &cli.Command{
		Name:        "sections",
		Usage:       "explain every section with an example",
		Description: "Example:\n   coltsfootstall document sections",
		Action: func(_ context.Context, c *cli.Command) error {
			for _, s := range coltsdocument.SectionTable() {
				if _, err := fmt.Fprintf(c.Writer, "%s\n  %s\n\n", s.Name, s.Usage); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func documentCheck() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check a document file without asking anyone",
		ArgsUsage:   "FILE",
		Description: "Example:\n   coltsfootstall document check document.jsonc",
		Action: func(_ context.Context, c *cli.Command) error {
			text, err := readFile(c)
			if err != nil {
				return err
			}
			if _, problems := coltscodec.DecodeDocument(text); len(problems) > 0 {
				return &coltsdocument.InvalidError{Problems: problems}
			}
			_, err = fmt.Fprintln(c.Writer, "The document is valid.")
			return err
		},
	}
}

func readFile(c *cli.Command) ([]byte, error) {
	name := c.Args().First()
	switch name {
	case "":
		return nil, errors.New("name the document's file, or - for standard input")
	case "-":
		text, err := io.ReadAll(os.Stdin)
		return text, errors.Wrap(err, "read standard input")
	}
	text, err := os.ReadFile(name)
	return text, errors.Wrap(err, "read document")
}

// sectionOf returns one section of the file that is named on the command line.
func sectionOf(c *cli.Command, name string) (coltscodec.SectionSource, error) {
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
			return s, &coltsdocument.InvalidError{Problems: s.InDocument(problems)}
		}
		return s, nil
	}
	return coltscodec.SectionSource{}, errors.Errorf("the file has no section %q%s", name, suggestion(name, sectionNames()))
}

func documentPlan() *cli.Command {
	return &cli.Command{
		Name:        "plan",
		Usage:       "say in words what a file would change",
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
	wanted, problems := coltscodec.DecodeDocument(text)
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
	return printPlan(c.Writer, inForce, wanted)
}

func printPlan(w io.Writer, inForce coltsdocument.Document, wanted coltsdocument.Sections) error {
	changes := 0
	for _, name := range coltsdocument.SectionNames {
		for _, line := range coltsdocument.Plan(inForce.Sections, wanted, name) {
			changes++
			if _, err := fmt.Fprintf(w, "%s: %s\n", name, line); err != nil {
				return err
			}
		}
	}
	_, err := fmt.Fprintf(w, "%d changes against revision %d.\n", changes, inForce.Revision)
	return err
}

func documentPropose() *cli.Command {
	return &cli.Command{
		Name:      "propose",
		Usage:     "propose a section of a file as a change",
		ArgsUsage: "FILE",
		Description: "Example:\n   coltsfootstall document propose --section pricing --change spring-prices document.jsonc\n" +
			"A change that was sent before, with the same identity and content, gets the first answer.",
		Flags: []cli.Flag{
			controlFlag(),
			&cli.StringFlag{Name: "section", Usage: "propose section `NAME`", Required: true},
			&cli.StringFlag{Name: "change", Usage: "identity of the change; a random one if it is not given"},
			&cli.Uint64Flag{Name: "base", Usage: "revision that you have read; the one in force if it is not given"},
		},
		Action: runPropose,
	}
}

func runPropose(ctx context.Context, c *cli.Command) error {
	source, err := sectionOf(c, c.String("section"))
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
		return &coltsdocument.InvalidError{Problems: source.InDocument(invalid.Problems)}
	}
	return err
}

func documentReview() *cli.Command {
	return &cli.Command{
		Name:        "review",
		Usage:       "agree to a change of someone else",
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

// submitStep sends an operator's command and prints the change as it then is.
func submitStep(ctx context.Context, c *cli.Command, command *coltspb.Command) error {
	key, err := operatorKey()
	if err != nil {
		return err
	}
	var reply *coltspb.SubmitReply
	err = askControl(ctx, c, callTimeout, func(ctx context.Context, client coltspbconnect.ControlClient) error {
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
		change.GetId(), change.GetSection(), authorOf(change), stateOf(record))
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

func authorOf(change *coltspb.Change) string {
	if change.GetBootstrap() {
		return "the initial document"
	}
	return change.GetAuthor()
}

func stateOf(record *coltspb.ChangeRecord) string {
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

func documentWait() *cli.Command {
	return &cli.Command{
		Name:        "wait",
		Usage:       "wait until every live instance has a revision in force",
		ArgsUsage:   "REVISION",
		Description: "Example:\n   coltsfootstall document wait --timeout 5s 12",
		Flags: []cli.Flag{
			controlFlag(),
			&cli.DurationFlag{Name: "timeout", Usage: "give up after `SPAN`", Value: 10 * time.Second},
		},
		Action: runWait,
	}
}

func runWait(ctx context.Context, c *cli.Command) error {
	revision, err := strconv.ParseUint(c.Args().First(), 10, 64)
	if err != nil {
		return errors.Errorf("%q is not a revision, expected a whole number", c.Args().First())
	}
	timeout := c.Duration("timeout")
	answerBy := time.Now().Add(timeout)
	var reply *coltspb.WaitReply
	err = askControl(ctx, c, timeout+callTimeout, func(ctx context.Context, client coltspbconnect.ControlClient) error {
		var err error
		reply, err = client.Wait(ctx, &coltspb.WaitRequest{Revision: revision, AnswerBy: coltswire.EncodeTime(answerBy)})
		return err
	})
	if err != nil {
		return err
	}
	if !reply.GetInForce() {
		return errors.Errorf("revision %d is not in force", revision)
	}
	if len(reply.GetBehind()) == 0 {
		_, err := fmt.Fprintf(c.Writer, "Revision %d is in force on every live instance.\n", revision)
		return err
	}
	behind := make([]string, 0, len(reply.GetBehind()))
	for _, m := range reply.GetBehind() {
		behind = append(behind, fmt.Sprintf("%s (%d)", m.GetId(), m.GetRevision()))
	}
	return errors.Errorf("revision %d is not yet in force on %s", revision, strings.Join(behind, ", "))
}

func documentHistory() *cli.Command {
	return &cli.Command{
		Name:        "history",
		Usage:       "list changes, the oldest first",
		Description: "Example:\n   coltsfootstall document history --limit 20",
		Flags: []cli.Flag{
			controlFlag(),
			&cli.IntFlag{Name: "limit", Usage: "list the newest `N`", Value: 50},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			var reply *coltspb.HistoryReply
			err := askControl(ctx, c, callTimeout, func(ctx context.Context, client coltspbconnect.ControlClient) error {
				var err error
				reply, err = client.History(ctx, &coltspb.HistoryRequest{Limit: int32(c.Int("limit"))})
				return err
			})
			if err != nil {
				return err
			}
			for _, record := range reply.GetChanges() {
				if err := printChange(c.Writer, record); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
