// Package coltsmembership is the aggregate of the system's own instances: which are
// alive, which revision of the document each of them uses, and which control instances
// are members and voters of the replication group.
package coltsmembership

// The roster is soft state: every instance renews its own entry with heartbeats. An entry
// that is not renewed in time is removed, and other instances no longer wait for that one.

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

// HeartbeatTimeout is how long after its last heartbeat an instance counts as alive.
const HeartbeatTimeout = 5 * time.Second

// Role is the function of an instance in the system.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Member is an instance as it reports itself.
type Member struct {
	ID         coltsidentity.Instance
	Role       Role
	DataCentre coltsidentity.DataCentre
	// PeerAddr is where other instances reach it.
	PeerAddr netip.AddrPort
	// OperatorAddr is where operators reach it.
	OperatorAddr netip.AddrPort
	// Started is when its process started, which tells a restarted process from the
	// previous one.
	Started time.Time
	// Revision is the revision of the document that it uses.
	Revision coltsdocument.Revision
	// Ready is true if it accepts requests from callers.
	Ready bool
}

// Roster holds the members, sharded by identity. It is safe for concurrent use.
type Roster struct {
	shards [coltsshard.Count]rosterShard
}

type rosterShard struct {
	mu      sync.Mutex
	members map[coltsidentity.Instance]entry
}

type entry struct {
	member Member
	// aliveUntil is when the entry expires.
	aliveUntil time.Time
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	r := &Roster{}
	for i := range r.shards {
		r.shards[i].members = map[coltsidentity.Instance]entry{}
	}
	return r
}

// Heartbeat records a member's report and renews its entry. It ignores the report of an
// earlier process of the same instance. While the process is the same, the recorded
// revision never decreases.
func (r *Roster) Heartbeat(m Member, now time.Time) {
	s := &r.shards[coltsshard.Of(m.ID)]
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.members[m.ID]
	if known && m.Started.Before(e.member.Started) {
		return
	}
	if known && m.Started.Equal(e.member.Started) {
		m.Revision = max(m.Revision, e.member.Revision)
	}
	s.members[m.ID] = entry{member: m, aliveUntil: now.Add(HeartbeatTimeout)}
}

// Leave removes a member that announced its shutdown, unless a later process of the same
// instance has reported since. started is the start time of the process that shuts down.
func (r *Roster) Leave(id coltsidentity.Instance, started time.Time) {
	s := &r.shards[coltsshard.Of(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.members[id]
	if known && !started.Before(e.member.Started) {
		delete(s.members, id)
	}
}

// Live returns the members that are alive, sorted by ID, and removes expired entries.
func (r *Roster) Live(now time.Time) []Member {
	var live []Member
	for i := range r.shards {
		live = r.shards[i].appendLive(live, now)
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// appendLive appends the live members of a shard and removes its expired entries.
func (s *rosterShard) appendLive(live []Member, now time.Time) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.members {
		if !now.Before(e.aliveUntil) {
			delete(s.members, id)
			continue
		}
		live = append(live, e.member)
	}
	return live
}

// Behind returns the live members that use a revision older than the given one.
func (r *Roster) Behind(revision coltsdocument.Revision, now time.Time) []Member {
	return slices.DeleteFunc(r.Live(now), func(m Member) bool { return m.Revision >= revision })
}
