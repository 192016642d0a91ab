package coltsbooking

// The ledger is a deterministic state machine: the same operations in the same order
// give the same records on every replica. Times are therefore passed as arguments,
// and records expire in the order in which their keys were first granted.

import (
	"slices"
	"strings"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

const (
	// Retention is how long the record of a key is kept after the key was first
	// granted. Callers retry within hours, so a month leaves ample margin.
	Retention = 30 * 24 * time.Hour
	// SettleTimeout is how long the holder of a grant may take to settle it. After
	// that the outcome of the call is unknown.
	SettleTimeout = 10 * time.Minute
)

// Request is a request for a grant.
type Request struct {
	Key     Key
	Service coltsidentity.Service
	// Digest is the SHA-256 digest of the call: service, path and body.
	Digest coltsidentity.Digest
	// Holder is the instance that would make the call.
	Holder coltsidentity.Instance
	// Caller is the ID of the caller's request. If the same request asks again
	// because the ledger's response was lost, it gets the same grant again.
	Caller coltsidentity.Request
}

// Decision is the result of a request for a grant.
type Decision struct {
	// Granted is set if this request, and no other, may make the call.
	Granted bool
	// Record is the record of the key after the decision.
	Record Record
}

// Settlement reports how a granted call ended.
type Settlement struct {
	Key   Key
	Grant GrantNumber
	// State is StateDone, StateNotRun or StateUnknown.
	State State
	// Answer and ChargeMicros are recorded only for StateDone. ChargeMicros is in
	// millionths of the currency unit.
	Answer       Answer
	ChargeMicros int64
}

// Ledger holds the records, sharded by key. It is safe for concurrent use.
type Ledger struct {
	shards [coltsshard.Count]ledgerShard
	// grants has its own lock, which is acquired while a shard's lock is held; no
	// other lock is acquired under it.
	grants grantCounter
}

type ledgerShard struct {
	mu      sync.Mutex
	records map[Key]Record
	// retentionOrder lists the keys sorted by RetainUntil, the first to expire first.
	retentionOrder []Key
}

// grantCounter assigns the grant numbers.
type grantCounter struct {
	mu   sync.Mutex
	last GrantNumber
}

// next increments the counter and returns the new number.
func (c *grantCounter) next() GrantNumber {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	return c.last
}

// get returns the last number that was assigned.
func (c *grantCounter) get() GrantNumber {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// set sets the last number.
func (c *grantCounter) set(last GrantNumber) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = last
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	l := &Ledger{}
	for i := range l.shards {
		l.shards[i].records = map[Key]Record{}
	}
	return l
}

func (l *Ledger) shard(k Key) *ledgerShard {
	return &l.shards[coltsshard.Of(k.String())]
}

// Grant decides whether a call may be made. It returns a KeyReusedError if the key
// was used for a call with another digest.
func (l *Ledger) Grant(r Request, now time.Time) (Decision, error) {
	s := l.shard(r.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpiredLocked(now)
	rec, known := s.records[r.Key]
	if known && rec.Digest != r.Digest {
		return Decision{}, &KeyReusedError{Key: r.Key}
	}
	if known {
		rec = s.applySettleTimeoutLocked(rec, now)
	}
	if known && rec.State == StateGranted && rec.Caller == r.Caller {
		return Decision{Granted: true, Record: rec}, nil
	}
	wasWithdrawn := known && rec.State == StateNotRun && rec.Caller == r.Caller
	if wasWithdrawn || known && rec.State != StateNotRun {
		return Decision{Record: rec}, nil
	}
	rec = s.grantLocked(r, l.grants.next(), rec.RetainUntil, now)
	return Decision{Granted: true, Record: rec}, nil
}

// grantLocked stores and returns a granted record. If the key has no record yet,
// retainUntil is zero, and the retention starts now.
func (s *ledgerShard) grantLocked(r Request, number GrantNumber, retainUntil, now time.Time) Record {
	if retainUntil.IsZero() {
		retainUntil = now.Add(Retention)
		s.retentionOrder = append(s.retentionOrder, r.Key)
	}
	rec := Record{
		Key:         r.Key,
		State:       StateGranted,
		Grant:       number,
		Service:     r.Service,
		Digest:      r.Digest,
		Holder:      r.Holder,
		Caller:      r.Caller,
		SettleBy:    now.Add(SettleTimeout),
		RetainUntil: retainUntil,
	}
	s.records[r.Key] = rec
	return rec
}

// Withdraw cancels a request for a grant whose response was lost. The caller was told
// that the call did not run, so a copy of the request that arrives late must not be
// granted either: if the key has no record yet, one in StateNotRun is stored.
func (l *Ledger) Withdraw(r Request, now time.Time) Record {
	s := l.shard(r.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, known := s.records[r.Key]
	if known && (rec.Caller != r.Caller || rec.State != StateGranted) {
		return rec
	}
	if !known {
		rec = s.grantLocked(r, 0, time.Time{}, now)
	}
	rec.State = StateNotRun
	s.records[r.Key] = rec
	return rec
}

// Settle records how a call ended. charged reports whether this settlement is the one
// that must be charged: for a repeated settlement, Settle returns the stored record
// and charged is false. It returns a NotHolderError if the grant is not the current
// grant of the key.
func (l *Ledger) Settle(st Settlement, now time.Time) (rec Record, charged bool, err error) {
	s := l.shard(st.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, known := s.records[st.Key]
	if !known || rec.Grant != st.Grant {
		return Record{}, false, &NotHolderError{Key: st.Key, Grant: st.Grant}
	}
	rec = s.applySettleTimeoutLocked(rec, now)
	if !maySettle(rec.State, st.State) {
		return rec, false, nil
	}
	rec.State = st.State
	if st.State == StateDone {
		rec.Answer = st.Answer
		rec.ChargeMicros = st.ChargeMicros
	}
	s.records[st.Key] = rec
	return rec, st.State == StateDone, nil
}

// maySettle reports whether a settlement may change a record from one state to
// another. A late answer changes "unknown" to "done", since the outcome is then known.
// "unknown" never becomes "not-run", since a retry of the call may already have been
// told that the outcome is unknown.
func maySettle(from, to State) bool {
	switch from {
	case StateGranted:
		return to == StateDone || to == StateNotRun || to == StateUnknown
	case StateUnknown:
		return to == StateDone
	default:
		return false
	}
}

// Find returns the record of a key and reports whether there is one.
func (l *Ledger) Find(k Key, now time.Time) (Record, bool) {
	s := l.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, known := s.records[k]
	if !known {
		return Record{}, false
	}
	return withSettleTimeout(rec, now), true
}

// Len returns the number of records.
func (l *Ledger) Len() int {
	n := 0
	for i := range l.shards {
		n += l.shards[i].count()
	}
	return n
}

func (s *ledgerShard) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records)
}

// applySettleTimeoutLocked stores and returns the record, with StateUnknown if its
// holder didn't settle it in time.
func (s *ledgerShard) applySettleTimeoutLocked(rec Record, now time.Time) Record {
	rec = withSettleTimeout(rec, now)
	s.records[rec.Key] = rec
	return rec
}

// withSettleTimeout returns the record as it is at a time: a granted record becomes
// unknown at SettleBy.
func withSettleTimeout(rec Record, now time.Time) Record {
	if rec.State == StateGranted && !now.Before(rec.SettleBy) {
		rec.State = StateUnknown
	}
	return rec
}

// removeExpiredLocked removes the records whose retention has ended.
func (s *ledgerShard) removeExpiredLocked(now time.Time) {
	for len(s.retentionOrder) > 0 {
		rec := s.records[s.retentionOrder[0]]
		if now.Before(rec.RetainUntil) {
			return
		}
		delete(s.records, s.retentionOrder[0])
		s.retentionOrder = s.retentionOrder[1:]
	}
}

// Export returns the number of the last grant and all records, sorted by the end of
// their retention, for a snapshot.
func (l *Ledger) Export() (GrantNumber, []Record) {
	var records []Record
	for i := range l.shards {
		records = append(records, l.shards[i].export()...)
	}
	slices.SortFunc(records, compareRetainUntil)
	return l.grants.get(), records
}

func compareRetainUntil(a, b Record) int {
	if c := a.RetainUntil.Compare(b.RetainUntil); c != 0 {
		return c
	}
	return strings.Compare(a.Key.String(), b.Key.String())
}

func (s *ledgerShard) export() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := make([]Record, 0, len(s.retentionOrder))
	for _, k := range s.retentionOrder {
		records = append(records, s.records[k])
	}
	return records
}

// Import replaces the ledger's state with that of a snapshot. The records must be in
// the order in which Export returned them.
func (l *Ledger) Import(last GrantNumber, records []Record) {
	for i := range l.shards {
		l.shards[i].clear()
	}
	for _, rec := range records {
		l.shard(rec.Key).put(rec)
	}
	l.grants.set(last)
}

func (s *ledgerShard) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = map[Key]Record{}
	s.retentionOrder = nil
}

func (s *ledgerShard) put(rec Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records[rec.Key] = rec
	s.retentionOrder = append(s.retentionOrder, rec.Key)
}
