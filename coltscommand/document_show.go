package coltscommand

// The commands that only read: print the document in force, explain its sections, and
// check a file.

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltswire/coltspb"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

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
	err := callControl(ctx, c, callTimeout, func(ctx context.Context, client coltspbconnect.ControlClient) error {
		reply, err := client.Follow(ctx, &coltspb.FollowRequest{})
		document = reply.GetDocument()
		return err
	})
	return document, err
}

// printDocument prints the named section, or the whole document if the name is empty.
func printDocument(w io.Writer, document *coltspb.DocumentText, section string) error {
	if section != "" {
		for _, s := range document.GetSections() {
			if s.GetSection() == section {
				_, err := fmt.Fprintln(w, s.GetText())
				return err
			}
		}
		return errors.Errorf("no section %q is in force%s", section, suggestion(section, sectionNames()))
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
		Usage:       "check a document file locally, without a call to control",
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
