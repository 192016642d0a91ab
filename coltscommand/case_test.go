package coltscommand

// Regression cases are small files below cases/, one folder a feature: a command, the
// status that it ends with, and what it prints. A failure found becomes a case. To
// write the files again from what the program prints, and read the difference:
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

var writeCases = flag.Bool("write-cases", false, "write the cases again")

// commandMark begins a case's first line.
const commandMark = "$ coltsfootstall "

// runCase runs a case's command in the folder of cases and returns the case as it
// should read.
func runCase(command string) string {
	var out bytes.Buffer
	args := append([]string{"coltsfootstall"}, strings.Fields(command)...)
	status := Run(context.Background(), args, &out, &out)
	return fmt.Sprintf("%s%s\nstatus %d\n%s", commandMark, command, status, out.String())
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

// assertCase asserts that a command ends and prints as its file says.
func assertCase(t *testing.T, file string) {
	t.Helper()
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	first, _, _ := strings.Cut(string(text), "\n")
	command, found := strings.CutPrefix(first, commandMark)
	assert.Assert(t, found, "%s does not begin with its command", file)
	got := runCase(command)
	if *writeCases {
		assert.NilError(t, os.WriteFile(file, []byte(got), 0o644))
		return
	}
	assert.Equal(t, got, string(text))
}
