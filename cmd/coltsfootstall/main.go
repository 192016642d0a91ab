// Command coltsfootstall runs an entry, gateway or control instance, and is the
// operators' command-line tool. Package coltscommand implements it.
package main

import (
	"context"
	"os"

	"coltsfootstall/coltscommand"
)

func main() {
	os.Exit(coltscommand.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
