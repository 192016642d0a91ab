//go:build review

// Command driver runs one case of the review. It exits with 1 if the rule was broken, 0 if it held and 2
// if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"coltsfootstall/review/reviewkit"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario runs a case and returns a sentence on how the rule was broken, empty if it held. trouble is
// false if the disruption is to be left out.
type scenario func(binary string, record *reviewkit.Record, trouble bool) (string, error)

var scenarios = map[string]scenario{
	"planned-stop":     plannedStop,
	"restart-all":      restartAll,
	"releases":         releases,
	"replaced-machine": replacedMachine,
	"stale-directory":  staleDirectory,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: driver CASE BINARY FOLDER")
		return exitFailed
	}
	broken, err := runCase(os.Args[1], os.Args[2], os.Args[3])
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		return exitFailed
	case broken != "":
		fmt.Println("broken:", broken)
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

func runCase(name, binary, folder string) (string, error) {
	s, known := scenarios[name]
	if !known {
		return "", errors.New("unknown case " + name)
	}
	record, err := reviewkit.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return "", err
	}
	broken, err := s(binary, record, os.Getenv("TROUBLE") != "0")
	record.Logf("result: broken=%q error=%v", broken, err)
	return broken, err
}
