// Package coltsmembership is the aggregate of the system's own instances: which
// are alive and which revision of the document each has in force.
package coltsmembership

// The roster is soft state: every instance renews its own entry, and one that
// stays silent past its deadline is no longer waited for.

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

// HeartbeatTimeout is how long an instance counts as alive after its last heartbeat.
const HeartbeatTimeout = 5 * time.Second

// Role says what an instance does.
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
	// PeerAddr is where other instances reach it, OperatorAddr where operators do.
	PeerAddr     netip.AddrPort
	OperatorAddr netip.AddrPort
	// Started tells a restarted process from the one before it.
	Started time.Time
	// Revision is the document's revision that it has in force.
	Revision coltsdocument.Revision
	// Ready says that it takes callers.
	Ready bool
}

// Roster holds the members, in shards by identity.
type Roster struct {
	shards [coltsshard.Count]rosterShard
}

type rosterShard struct {
	mu      sync.Mutex
	members map[coltsidentity.Instance]entry
}

type entry struct {
	member     Member
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

// Heartbeat takes in a member's report. The report of an earlier process of the
// same instance, or an earlier revision, is passed over.
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

// Leave removes a member that said that it stops.
func (r *Roster) Leave(id coltsidentity.Instance, started time.Time) {
	s := &r.shards[coltsshard.Of(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.members[id]
	if known && !started.Before(e.member.Started) {
		delete(s.members, id)
	}
}

// Live returns the members that are alive, in the order of their names.
func (r *Roster) Live(now time.Time) []Member {
	var live []Member
	for i := range r.shards {
		live = r.shards[i].appendLive(live, now)
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

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

// Behind returns the live members that don't have a revision in force yet.
func (r *Roster) Behind(revision coltsdocument.Revision, now time.Time) []Member {
	return slices.DeleteFunc(r.Live(now), func(m Member) bool { return m.Revision >= revision })
}
