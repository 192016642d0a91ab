package coltscommand

// The document commands cover each step of a change: show, plan, propose, review,
// accept, wait, history.

import (
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
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

// readFile reads the file named by the first argument, or standard input for "-".
func readFile(c *cli.Command) ([]byte, error) {
	name := c.Args().First()
	switch name {
	case "":
		return nil, errors.New("missing argument: document file, or - for standard input")
	case "-":
		text, err := io.ReadAll(os.Stdin)
		return text, errors.Wrap(err, "read standard input")
	}
	text, err := os.ReadFile(name)
	return text, errors.Wrap(err, "read document")
}
