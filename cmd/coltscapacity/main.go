// The program coltscapacity measures how the system's costs grow and rewrites the
// tables and curves of docs/CAPACITY.md. It is for development only.
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
