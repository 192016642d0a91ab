// Command coltsstandin simulates one external system: a model runner, a cache store or a
// plain service. It is a development tool.
package main

import (
	"context"
	"os"

	"coltsfootstall/coltsstandin"
)

func main() {
	os.Exit(coltsstandin.Main(context.Background(), os.Args, os.Stdout, os.Stderr))
}
