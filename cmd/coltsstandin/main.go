// The program coltsstandin is one stand-in for an outside system: a model runner,
// a kept-cache store or a plain service. It is for development only.
package main

import (
	"context"
	"os"

	"coltsfootstall/coltsstandin"
)

func main() {
	os.Exit(coltsstandin.Main(context.Background(), os.Args, os.Stdout, os.Stderr))
}
