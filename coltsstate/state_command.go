// Package coltsstate composes what must survive into one deterministic state
// machine: the document's register, the ledger of calls, and the account of use.
//
// The same commands in the same order give the same state and the same results
// in every replica; the time is part of the command.
package coltsstate

// Commands are one flat type with a kind, because a log holds one sequence of
// them and a codec has to write each.

import (
	"time"

	"coltsfootstall/coltsbooking"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsusage"
	"coltsfootstall/coltsweights"
)

// CommandKind says what a command does.
type CommandKind int

// The kinds of command.
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
)

// Command changes the state. Only the field of its kind is set.
type Command struct {
	Kind CommandKind
	// At is the time at which the command is carried out.
	At       time.Time
	Propose  coltsdocument.Change
	Review   Step
	Accept   Step
	Grant    coltsbooking.Request
	Settle   coltsbooking.Settlement
	Withdraw coltsbooking.Request
	Usage    coltsusage.Batch
	Routes   coltsroute.EncodedTable
	Weights  coltsweights.NamedVersion
}

// Step is an operator's step with a change.
type Step struct {
	Change   coltsidentity.Change
	Operator coltsidentity.Operator
}

// Result answers a command. Only the field of its kind is set, or Err.
type Result struct {
	// Change answers propose, review and accept.
	Change coltsdocument.Record
	// Decision answers a grant.
	Decision coltsbooking.Decision
	// Booking answers settle and withdraw.
	Booking coltsbooking.Record
	// Err is a refusal by a rule; the state is as it was.
	Err error
}
