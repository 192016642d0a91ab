package coltsstate

// The machine has no lock of its own. A single goroutine applies the commands of the log
// in order, and each aggregate locks its shards for concurrent readers.

import (
	"time"

	"coltsfootstall/coltsbooking"
	"coltsfootstall/coltsdeparture"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsevacuation"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsusage"
	"coltsfootstall/coltsweights"
)

// Machine is the replicated state machine.
type Machine struct {
	// Register holds the operators' document and the changes proposed to it.
	Register *coltsdocument.Register
	// Ledger holds the bookings of non-repeatable calls.
	Ledger *coltsbooking.Ledger
	// Account holds the usage of each organisation.
	Account *coltsusage.Account
	// Weights holds the weight versions that operators have named.
	Weights *coltsweights.Register
	// Evacuations holds the data centres that operators have evacuated.
	Evacuations *coltsevacuation.Register
	// Departures holds the processes of upstreams that are draining or have left.
	Departures *coltsdeparture.Register
	// routes is the newest routing table, as text. The machine does not parse it. cacheSharing follows
	// which of the organisations share KV cache.
	routes       coltsroute.EncodedTable
	cacheSharing coltsroute.CacheSharing
	// appliedAt is the time of the newest command. A command with an earlier time, from
	// a leader whose clock is behind, is applied at this time instead.
	appliedAt time.Time
}

// NewMachine returns a machine with empty state.
func NewMachine() *Machine {
	return &Machine{
		Register:    coltsdocument.NewRegister(),
		Ledger:      coltsbooking.NewLedger(),
		Account:     coltsusage.NewAccount(),
		Weights:     coltsweights.NewRegister(),
		Evacuations: coltsevacuation.NewRegister(),
		Departures:  coltsdeparture.NewRegister(),
	}
}

// Apply applies a command and returns its result.
func (m *Machine) Apply(c Command) Result {
	now := c.At
	if now.Before(m.appliedAt) {
		now = m.appliedAt
	}
	m.appliedAt = now
	switch c.Kind {
	case CommandPropose:
		rec, err := m.Register.Propose(c.Propose, now)
		return Result{Change: rec, Err: err}
	case CommandReview:
		rec, err := m.Register.Review(c.Review.Change, c.Review.Operator)
		return Result{Change: rec, Err: err}
	case CommandAccept:
		rec, err := m.Register.Accept(c.Accept.Change, c.Accept.Operator, now)
		return Result{Change: rec, Err: err}
	case CommandGrant:
		d, err := m.Ledger.Grant(c.Grant, now)
		return Result{Decision: d, Err: err}
	case CommandSettle:
		return m.settle(c.Settle, now)
	case CommandWithdraw:
		return Result{Booking: m.Ledger.Withdraw(c.Withdraw, now)}
	case CommandUsage:
		m.Account.AddBatch(c.Usage)
		return Result{}
	case CommandRoutes:
		m.putRoutes(c.Routes)
		return Result{}
	case CommandWeights:
		c.Weights.NamedAt = now
		m.Weights.SetNamed(c.Weights)
		return Result{}
	case CommandEvacuation:
		return Result{Err: m.Evacuations.Apply(c.Evacuation, now)}
	case CommandDeparture:
		m.Departures.Apply(c.Departure, now)
		return Result{}
	}
	return Result{}
}

// putRoutes puts a routing table in force if its version is the highest.
func (m *Machine) putRoutes(t coltsroute.EncodedTable) {
	if t.Version <= m.routes.Version {
		return
	}
	m.cacheSharing = m.cacheSharing.Next(t.CacheMembers)
	t.CacheMembers, t.CacheGeneration = nil, m.cacheSharing.Generation
	m.routes = t
}

// Routes returns the newest routing table, as text. Like Apply, it must be called from
// the goroutine that applies the log.
func (m *Machine) Routes() coltsroute.EncodedTable {
	return m.routes
}

// settle records how a call ended and charges it in the same command, so that no failure
// can separate the two.
func (m *Machine) settle(s coltsbooking.Settlement, now time.Time) Result {
	rec, charged, err := m.Ledger.Settle(s, now)
	if err != nil {
		return Result{Err: err}
	}
	if charged {
		m.Account.Add(coltsusage.Line{
			Organisation: rec.Key.Organisation,
			Item:         string(rec.Service),
			Amounts:      coltsusage.Amounts{Requests: 1, Micros: rec.ChargeMicros},
		})
	}
	return Result{Booking: rec}
}

// Snapshot contains the whole state.
type Snapshot struct {
	AppliedAt time.Time
	Document  coltsdocument.Document
	Changes   []coltsdocument.ChangeRecord
	LastGrant coltsbooking.GrantNumber
	Bookings  []coltsbooking.Record
	Lines     []coltsusage.Line
	Sources   []coltsusage.Source
	Routes    coltsroute.EncodedTable
	Weights   []coltsweights.NamedVersion
	// CacheSharing says who may have made what is kept in the common cache scope.
	CacheSharing coltsroute.CacheSharing
	// Evacuations is the state of the evacuated data centres.
	Evacuations coltsevacuation.State
	// Departures are the processes of upstreams that are draining or have left.
	Departures coltsdeparture.State
}

// Export returns the whole state. It must not run concurrently with Apply.
func (m *Machine) Export() Snapshot {
	s := Snapshot{AppliedAt: m.appliedAt}
	s.Document, s.Changes = m.Register.Export()
	s.LastGrant, s.Bookings = m.Ledger.Export()
	s.Lines, s.Sources = m.Account.Export()
	s.Routes, s.CacheSharing = m.routes, m.cacheSharing
	s.Weights, _ = m.Weights.Versions()
	s.Evacuations = m.Evacuations.Current()
	s.Departures = m.Departures.Current()
	return s
}

// Import replaces the whole state. It must not run concurrently with Apply.
func (m *Machine) Import(s Snapshot) {
	m.appliedAt = s.AppliedAt
	m.Register.Import(s.Document, s.Changes)
	m.Ledger.Import(s.LastGrant, s.Bookings)
	m.Account.Import(s.Lines, s.Sources)
	m.routes, m.cacheSharing = s.Routes, s.CacheSharing
	m.Weights.Import(s.Weights)
	m.Evacuations.Import(s.Evacuations)
	m.Departures.Import(s.Departures)
}
