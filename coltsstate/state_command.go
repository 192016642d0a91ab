// Package coltsstate combines all replicated state into one deterministic state machine:
// the operators' document, the bookings of calls, usage, routes, weights and evacuations.
//
// The same commands in the same order produce the same state and the same results in
// every replica. The time is part of each command.
package coltsstate

// All commands share one flat type with a kind, because a log contains a single sequence
// of commands and a codec has to encode each of them.

import (
	"time"

	"coltsfootstall/coltsbooking"
	"coltsfootstall/coltsdeparture"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsevacuation"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsusage"
	"coltsfootstall/coltsweights"
)

// CommandKind selects what a command does.
type CommandKind int

// The kinds of commands.
const (
	CommandPropose CommandKind = iota + 1
	CommandReview
	CommandAccept
	CommandGrant
	CommandSettle
	CommandWithdraw
	CommandUsage
	CommandRoutes
	CommandWeights
	CommandEvacuation
	CommandDeparture
)

// Command changes the state. Only the field that belongs to Kind is set.
type Command struct {
	Kind CommandKind
	// At is the time at which the command takes effect.
	At       time.Time
	Propose  coltsdocument.Change
	Review   ChangeApproval
	Accept   ChangeApproval
	Grant    coltsbooking.Request
	Settle   coltsbooking.Settlement
	Withdraw coltsbooking.Request
	Usage    coltsusage.Batch
	Routes   coltsroute.EncodedTable
	Weights  coltsweights.NamedVersion
	// Evacuation begins or ends the evacuation of a data centre.
	Evacuation coltsevacuation.Order
	// Departure is a process of an upstream that is draining or has left.
	Departure coltsdeparture.Departure
}

// ChangeApproval is an operator's review or acceptance of a change.
type ChangeApproval struct {
	Change   coltsidentity.Change
	Operator coltsidentity.Operator
}

// Result is the result of a command. Only the field that belongs to the command's kind
// is set, or Err.
type Result struct {
	// Change is the result of CommandPropose, CommandReview and CommandAccept.
	Change coltsdocument.ChangeRecord
	// Decision is the result of CommandGrant.
	Decision coltsbooking.Decision
	// Booking is the result of CommandSettle and CommandWithdraw.
	Booking coltsbooking.Record
	// Err is set if a rule rejected the command. The state is then unchanged.
	Err error
}
