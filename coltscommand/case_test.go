package coltscommand

// Golden files for the command line are stored in cases/, one folder for each feature.
// Each file holds a command, its exit status and its output. Every bug found gets a case.
// To regenerate the files from the actual output and review the difference:
//
//	go test ./coltscommand -write-cases && git diff coltscommand/cases

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var writeCases = flag.Bool("write-cases", false, "regenerate the case files from the actual output")

// commandPrefix starts the first line of each case file.
const commandPrefix = "$ coltsfootstall "

// runCase runs a command, in the folder cases, and returns the content of the case file
// that matches its actual output.
func runCase(command string) string {
	var out bytes.Buffer
	args := append([]string{"coltsfootstall"}, strings.Fields(command)...)
	status := Run(context.Background(), args, &out, &out)
	return fmt.Sprintf("%s%s\nstatus %d\n%s", commandPrefix, command, status, out.String())
}

func TestCases(t *testing.T) {
	files, err := filepath.Glob("cases/*/*.case")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	t.Chdir("cases")
	for _, file := range files {
		file = strings.TrimPrefix(file, "cases/")
		t.Run(strings.TrimSuffix(file, ".case"), func(t *testing.T) { assertCase(t, file) })
	}
}

// assertCase asserts that the exit status and output of a case's command match its file.
func assertCase(t *testing.T, file string) {
	t.Helper()
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	first, _, _ := strings.Cut(string(text), "\n")
	command, found := strings.CutPrefix(first, commandPrefix)
	assert.Assert(t, found, "%s does not start with a command", file)
	got := runCase(command)
	if *writeCases {
		assert.NilError(t, os.WriteFile(file, []byte(got), 0o644))
		return
	}
	assert.Equal(t, got, string(text))
}
