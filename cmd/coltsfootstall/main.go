// The program coltsfootstall is an entry instance, a control instance, and the
// operators' tool. All that matters is in coltscommand.
package main

import (
	"context"
	"os"

	"coltsfootstall/coltscommand"
)

func main() {
	os.Exit(coltscommand.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
