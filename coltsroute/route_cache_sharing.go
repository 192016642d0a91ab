package coltsroute

// Upstreams and stores don't tell which organisation has made a cached part. So the organisations that
// share parts do so in a common scope, and a new scope begins when one of them becomes isolated. Who has
// shared in a scope follows from all tables since it began and not from the newest one, so it is part of
// the replicated state.

import (
	"slices"

	"coltsfootstall/coltsidentity"
)

// maxSharers bounds the organisations that are remembered beside those of the newest table. Another
// generation begins before there are more, which costs reading the shared parts once more.
const maxSharers = 16384

// CacheGeneration numbers the common cache scopes, which follow each other.
type CacheGeneration uint64

// CacheScope is a scope in which cached parts may be shared.
type CacheScope struct {
	// Private is set if only Organisation uses the scope. Otherwise it is the common one of Generation.
	Private      bool
	Organisation coltsidentity.Organisation
	Generation   CacheGeneration
}

// CacheScope returns the scope for the requests of an organisation, or for those without one if the name
// is empty. An organisation that the table doesn't list any more may be isolated in a later one, so it
// shares nothing, and neither does any organisation by a table that is not confirmed.
func (ix *Index) CacheScope(name coltsidentity.Organisation) CacheScope {
	o, listed := ix.byName[name]
	isUnlisted := !listed && name != ""
	if o.Isolated || isUnlisted || ix.Table.Unconfirmed {
		return CacheScope{Private: true, Organisation: name}
	}
	return CacheScope{Generation: ix.Table.CacheGeneration}
}

// CacheMembers are the organisations of a table.
type CacheMembers struct {
	// Sharing are those that share cached parts, Isolated those that don't.
	Sharing  []coltsidentity.Organisation
	Isolated []coltsidentity.Organisation
}

// CacheMembers returns the organisations of the table.
func (t Table) CacheMembers() CacheMembers {
	var m CacheMembers
	for _, o := range t.Organisations {
		if o.Isolated {
			m.Isolated = append(m.Isolated, o.Name)
		} else {
			m.Sharing = append(m.Sharing, o.Name)
		}
	}
	return m
}

// CacheSharing says which organisations may have made what is kept in the common scope of a generation.
// The same tables in the same order give the same value in every replica.
type CacheSharing struct {
	Generation CacheGeneration
	// Sharers are the organisations that shared parts by any table since the generation began, sorted.
	Sharers []coltsidentity.Organisation
	// SharersUnknown is set if there may have been others: commands and snapshots of earlier releases
	// don't list the organisations.
	SharersUnknown bool
}

// Next returns the value after a table with members has come into force; nil members are not known.
// Another generation begins if one of the sharers is isolated now.
func (s CacheSharing) Next(members *CacheMembers) CacheSharing {
	if members == nil {
		s.SharersUnknown = true
		return s
	}
	hasShared := func(name coltsidentity.Organisation) bool {
		_, found := slices.BinarySearch(s.Sharers, name)
		return found || s.SharersUnknown
	}
	sharers := sortedUnion(s.Sharers, members.Sharing)
	tooMany := len(sharers) > max(maxSharers, 2*len(members.Sharing))
	if tooMany || slices.ContainsFunc(members.Isolated, hasShared) {
		return CacheSharing{Generation: s.Generation + 1, Sharers: sortedUnion(nil, members.Sharing)}
	}
	s.Sharers = sharers
	return s
}

// sortedUnion returns the names in a or b, sorted.
func sortedUnion(a, b []coltsidentity.Organisation) []coltsidentity.Organisation {
	union := slices.Concat(a, b)
	slices.Sort(union)
	return slices.Compact(union)
}
