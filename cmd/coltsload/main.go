// The program coltsload measures the system under load and faults. It is for
// development only.
package main

import (
	"context"
	"os"

	"coltsfootstall/coltsload"
)

func main() {
	os.Exit(coltsload.Main(context.Background(), os.Args, os.Stdout, os.Stderr))
}
