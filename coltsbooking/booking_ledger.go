package coltsbooking

// The ledger is a deterministic state: the same calls in the same order give
// the same records in every replica. That is why times come in as arguments and
// why the order of forgetting is the order of granting.

import (
	"slices"
	"strings"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

const (
	// Retention is how long a key is remembered after it was first granted.
	// Callers resend within hours; a key is kept for a month.
	Retention = 30 * 24 * time.Hour
	// SettleTimeout is how long a holder may take to say how a call ended.
	SettleTimeout = 10 * time.Minute
)

// Request asks for a grant.
type Request struct {
	Key     Key
	Service coltsidentity.Service
	Digest  coltsidentity.Digest
	Holder  coltsidentity.Instance
	// RequestID is the identity of the caller's request. The same request asking
	// again, because an answer was lost, is granted what it holds already.
	RequestID coltsidentity.Request
}

// Decision answers a request for a grant.
type Decision struct {
	// Granted says that this request, and no other, may make the call.
	Granted bool
	// Record is what the ledger holds after the decision.
	Record Record
}

// Settlement is how a granted call ended.
type Settlement struct {
	Key   Key
	Grant GrantNumber
	// State is StateDone, StateNotRun or StateUnknown.
	State        State
	Answer       Answer
	ChargeMicros int64
}

// Ledger holds the records, in shards by key.
type Ledger struct {
	shards [coltsshard.Count]ledgerShard
	// grants has a lock of its own; it is taken inside a shard's lock and no
	// lock is taken inside it.
	grants grantCounter
}

type ledgerShard struct {
	mu      sync.Mutex
	records map[Key]Record
	// order lists the keys by RetainUntil, the first to be forgotten first.
	order []Key
}

type grantCounter struct {
	mu   sync.Mutex
	last GrantNumber
}

// next returns the next number.
func (c *grantCounter) next() GrantNumber {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	return c.last
}

// get returns the last number.
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

// Grant decides whether a call may be made. It returns a KeyReusedError if the
// key stands for another call.
func (l *Ledger) Grant(r Request, now time.Time) (Decision, error) {
	s := l.shard(r.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetLocked(now)
	rec, known := s.records[r.Key]
	if known && rec.Digest != r.Digest {
		return Decision{}, &KeyReusedError{Key: r.Key}
	}
	if known {
		rec = s.expireLocked(rec, now)
	}
	if known && rec.State == StateGranted && rec.RequestID == r.RequestID {
		return Decision{Granted: true, Record: rec}, nil
	}
	withdrawn := known && rec.State == StateNotRun && rec.RequestID == r.RequestID
	if withdrawn || known && rec.State != StateNotRun {
		return Decision{Record: rec}, nil
	}
	rec = s.grantLocked(r, l.grants.next(), rec.RetainUntil, now)
	return Decision{Granted: true, Record: rec}, nil
}

func (s *ledgerShard) grantLocked(r Request, number GrantNumber, retainUntil, now time.Time) Record {
	if retainUntil.IsZero() {
		retainUntil = now.Add(Retention)
		s.order = append(s.order, r.Key)
	}
	rec := Record{
		Key:         r.Key,
		State:       StateGranted,
		Grant:       number,
		Service:     r.Service,
		Digest:      r.Digest,
		Holder:      r.Holder,
		RequestID:      r.RequestID,
		SettleBy:    now.Add(SettleTimeout),
		RetainUntil: retainUntil,
	}
	s.records[r.Key] = rec
	return rec
}

// Withdraw ends a request for a grant whose answer was lost. The caller was told
// that the call did not run, so the request must not be granted afterwards, not
// even by a copy of it that comes late.
func (l *Ledger) Withdraw(r Request, now time.Time) Record {
	s := l.shard(r.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, known := s.records[r.Key]
	if known && (rec.RequestID != r.RequestID || rec.State != StateGranted) {
		return rec
	}
	if !known {
		rec = s.grantLocked(r, 0, time.Time{}, now)
	}
	rec.State = StateNotRun
	s.records[r.Key] = rec
	return rec
}

// Settle records how a call ended. A settlement that was recorded before is
// answered with the same record and charges nothing again: charged says whether
// this settlement is the one that charges.
func (l *Ledger) Settle(st Settlement, now time.Time) (rec Record, charged bool, err error) {
	s := l.shard(st.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, known := s.records[st.Key]
	if !known || rec.Grant != st.Grant {
		return Record{}, false, &NotHolderError{Key: st.Key, Grant: st.Grant}
	}
	rec = s.expireLocked(rec, now)
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

// maySettle says whether a record may go from one state to another. A late
// answer turns "unknown" into "done", since then it is known; nothing turns
// "unknown" into "not-run", since another resend may have been told otherwise.
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

// Find returns the record of a key.
func (l *Ledger) Find(k Key, now time.Time) (Record, bool) {
	s := l.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, known := s.records[k]
	if !known {
		return Record{}, false
	}
	return expired(rec, now), true
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

// expireLocked stores the record as unknown if its holder is overdue.
func (s *ledgerShard) expireLocked(rec Record, now time.Time) Record {
	rec = expired(rec, now)
	s.records[rec.Key] = rec
	return rec
}

func expired(rec Record, now time.Time) Record {
	if rec.State == StateGranted && !now.Before(rec.SettleBy) {
		rec.State = StateUnknown
	}
	return rec
}

// forgetLocked drops the records whose retention has passed.
func (s *ledgerShard) forgetLocked(now time.Time) {
	for len(s.order) > 0 {
		rec := s.records[s.order[0]]
		if now.Before(rec.RetainUntil) {
			return
		}
		delete(s.records, s.order[0])
		s.order = s.order[1:]
	}
}

// Export returns the last grant's number and every record, in the order in
// which they will be forgotten, for a snapshot.
func (l *Ledger) Export() (GrantNumber, []Record) {
	var records []Record
	for i := range l.shards {
		records = append(records, l.shards[i].export()...)
	}
	slices.SortFunc(records, compareRetention)
	return l.grants.get(), records
}

func compareRetention(a, b Record) int {
	if c := a.RetainUntil.Compare(b.RetainUntil); c != 0 {
		return c
	}
	return strings.Compare(a.Key.String(), b.Key.String())
}

func (s *ledgerShard) export() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := make([]Record, 0, len(s.order))
	for _, k := range s.order {
		records = append(records, s.records[k])
	}
	return records
}

// Import replaces the ledger's state by that of a snapshot.
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
	s.order = nil
}

func (s *ledgerShard) put(rec Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records[rec.Key] = rec
	s.order = append(s.order, rec.Key)
}
