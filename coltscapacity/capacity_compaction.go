package coltscapacity

// How the log is kept short: three ways compared by what they write for each
// booking and how long a restart takes. The third is the idea of the related paper
// on quorum queues: calls are forgotten in the order in which they came, so the log
// itself can be the state, cut at the oldest call that is still kept.

import (
	"fmt"
	"strings"

	"coltsfootstall/coltsbooking"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltswire"
)

const (
	// commandsPerBooking are the grant and the settlement.
	commandsPerBooking = 2
	// fixedEvery is the number of commands between snapshots of the first way.
	fixedEvery = 10_000
)

// compactionSizes are the calls kept that are measured at.
var compactionSizes = []int{10_000, 100_000, 1_000_000}

// compaction returns the table that compares the ways.
func compaction() string {
	var b strings.Builder
	b.WriteString("| calls kept | snapshot every 10,000 commands: written for a booking, restart | snapshot when the log is as long as the last: the same | log cut at the oldest call kept: the same |\n| --- | --- | --- | --- |\n")
	for _, n := range compactionSizes {
		snapshot := float64(len(snapshotOf(n)))
		logged := float64(bookingBytes())
		restore := timeOf(1, restoring(snapshotOf(n)))
		replay := timeOf(1, replaying(n))
		perCommand := replay / float64(n*commandsPerBooking)
		// The log since the last snapshot is as long as the snapshot at most.
		behind := snapshot / logged * commandsPerBooking
		fmt.Fprintf(&b, "| %d | %.0f bytes, %.2f s | %.0f bytes, %.2f s | %.0f bytes, %.2f s |\n", n,
			logged+snapshot*commandsPerBooking/fixedEvery, restore+perCommand*min(fixedEvery, float64(n*commandsPerBooking)),
			logged+logged, restore+perCommand*behind,
			logged, replay)
	}
	return b.String()
}

// restoring returns a function that reads a snapshot.
func restoring(content []byte) func() {
	return func() {
		snapshot, err := coltswire.UnmarshalSnapshot(content)
		if err != nil {
			// It was marshalled a moment ago.
			panic(err)
		}
		coltsstate.NewMachine().Import(snapshot)
	}
}

// replaying returns a function that applies the log of some calls.
func replaying(calls int) func() {
	log := make([][]byte, 0, calls*commandsPerBooking)
	for i := range calls {
		key := coltsbooking.Key{
			Organisation: "organisation-0001",
			Key:          coltsidentity.IdempotencyKey(fmt.Sprintf("booking-%08d", i)),
		}
		log = append(log, marshal(coltsstate.Command{
			Kind: coltsstate.CommandGrant, At: start, Grant: coltsbooking.Request{Key: key, Service: "press", Holder: "entry-1"},
		}), marshal(coltsstate.Command{
			Kind: coltsstate.CommandSettle, At: start, Settle: coltsbooking.Settlement{
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

func marshal(c coltsstate.Command) []byte {
	b, err := coltswire.MarshalCommand(c)
	if err != nil {
		// A command that was built here marshals.
		panic(err)
	}
	return b
}
