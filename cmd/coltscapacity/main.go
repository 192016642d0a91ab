// Command coltscapacity measures how the system's costs grow with its size, and
// regenerates the tables and plots of docs/CAPACITY.md. It is a development tool.
package main

import (
	"fmt"
	"os"

	"coltsfootstall/coltscapacity"
)

func main() {
	if err := coltscapacity.Run("docs"); err != nil {
		fmt.Fprintln(os.Stderr, "coltscapacity:", err)
		os.Exit(1)
	}
}
