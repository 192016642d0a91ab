// Command coltsload measures the system under load and with injected faults. It is a
// development tool.
package main

import (
	"context"
	"os"

	"coltsfootstall/coltsload"
)

func main() {
	os.Exit(coltsload.Main(context.Background(), os.Args, os.Stdout, os.Stderr))
}
