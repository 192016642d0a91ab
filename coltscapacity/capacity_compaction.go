package coltscapacity

// Compares three ways of log compaction by the bytes written for each booking and by the
// restart time:
//   - a snapshot after a fixed number of commands,
//   - a snapshot when the log has grown as large as the last snapshot,
//   - no snapshot: the log is truncated at the oldest call that is still retained. This is the
//     idea of the related paper on quorum queues: calls expire in the order of their arrival, so
//     the log itself can serve as the state.

import (
	"fmt"
	"strings"

	"coltsfootstall/coltsbooking"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltswire"
)

const (
	// commandsPerBooking counts the grant and the settlement.
	commandsPerBooking = 2
	// fixedSnapshotInterval is the number of commands between two snapshots in the first
	// way.
	fixedSnapshotInterval = 10_000
)

// compactionSizes are the numbers of retained calls at which the comparison is measured.
var compactionSizes = []int{10_000, 100_000, 1_000_000}

// compactionTable returns the Markdown table that compares the three ways.
func compactionTable() string {
	var b strings.Builder
	b.WriteString("| calls kept | snapshot every 10,000 commands: bytes written per booking, restart time | snapshot when the log is as long as the last snapshot: same figures | log truncated at the oldest call kept: same figures |\n| --- | --- | --- | --- |\n")
	for _, n := range compactionSizes {
		snapshot := float64(len(newSnapshot(n)))
		logged := float64(loggedBytesPerCall())
		restore := minSecondsPerOp(1, restoreFunc(newSnapshot(n)))
		replay := minSecondsPerOp(1, replayFunc(n))
		perCommand := replay / float64(n*commandsPerBooking)
		// In the second way the log since the last snapshot is at most as long as the
		// snapshot.
		logCommands := snapshot / logged * commandsPerBooking
		fmt.Fprintf(&b, "| %d | %.0f bytes, %.2f s | %.0f bytes, %.2f s | %.0f bytes, %.2f s |\n", n,
			logged+snapshot*commandsPerBooking/fixedSnapshotInterval, restore+perCommand*min(fixedSnapshotInterval, float64(n*commandsPerBooking)),
			logged+logged, restore+perCommand*logCommands,
			logged, replay)
	}
	return b.String()
}

// restoreFunc returns a function that restores a state machine from a snapshot.
func restoreFunc(content []byte) func() {
	return func() {
		snapshot, err := coltswire.UnmarshalSnapshot(content)
		if err != nil {
			// The content was marshalled by this program, so it is valid.
			panic(err)
		}
		coltsstate.NewMachine().Import(snapshot)
	}
}

// replayFunc returns a function that applies a log with the grants and settlements of
// the given number of calls.
func replayFunc(calls int) func() {
	log := make([][]byte, 0, calls*commandsPerBooking)
	for i := range calls {
		key := coltsbooking.Key{
			Organisation: "organisation-0001",
			Key:          coltsidentity.IdempotencyKey(fmt.Sprintf("booking-%08d", i)),
		}
		log = append(log, marshal(coltsstate.Command{
			Kind: coltsstate.CommandGrant, At: startTime, Grant: coltsbooking.Request{Key: key, Service: "press", Holder: "entry-1"},
		}), marshal(coltsstate.Command{
			Kind: coltsstate.CommandSettle, At: startTime, Settle: coltsbooking.Settlement{
				Key: key, Grant: coltsbooking.GrantNumber(i + 1), State: coltsbooking.StateDone,
				Answer: coltsbooking.Answer{Status: 200, ContentType: "application/json", Body: make([]byte, 100)},
			},
		}))
	}
	return func() {
		m := coltsstate.NewMachine()
		for _, b := range log {
			command, err := coltswire.UnmarshalCommand(b)
			if err != nil {
				panic(err)
			}
			m.Apply(command)
		}
	}
}

// marshal returns the encoding of a command.
func marshal(c coltsstate.Command) []byte {
	b, err := coltswire.MarshalCommand(c)
	if err != nil {
		// The commands are built in this file and always marshal.
		panic(err)
	}
	return b
}
