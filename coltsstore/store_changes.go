package coltsstore

// The change log of the catalogue. It has the newest change of each part, in the order of the
// changes, so that a follower at any position receives each part at most once, and a new follower
// can receive the whole catalogue in several steps. The removals of parts are dropped after a
// while; a follower that has missed some of those starts anew.

import (
	"slices"
	"sort"

	"coltsfootstall/coltsidentity"
)

// maxRemovals is the number of removals that remain when the log is trimmed, which happens at
// twice this number.
const maxRemovals = 8192

// Position is how far a follower has received the changes of a catalogue. The zero value is that
// of a follower that has received nothing.
type Position struct {
	// Revision is the revision of the newest change received.
	Revision uint64
	// Base is up to which revision removals had been dropped when the follower started: it has
	// received nothing that those removed.
	Base uint64
}

// Delta is what a follower receives at once.
type Delta struct {
	Changes []Change
	// Position is that of the follower after these changes.
	Position Position
	// IsStart is set if the follower must forget all that it received before.
	IsStart bool
	// More is set if further changes are due.
	More bool
}

// partID identifies a part in a store.
type partID struct {
	store coltsidentity.Service
	key   Key
}

// revisedChange is a change with its revision.
type revisedChange struct {
	revision uint64
	change   Change
}

func (r revisedChange) part() partID { return partID{r.change.Store, r.change.Key} }

// isRemoval reports whether the store holds nothing of the part any more.
func (r revisedChange) isRemoval() bool { return r.change.OccupiedTokens == 0 }

// changeLog is the log. It is not safe for concurrent use.
type changeLog struct {
	// revision is that of the newest change.
	revision uint64
	// changes are ordered by revision. Those that a later change of the same part has
	// superseded are skipped, and dropped when the log is trimmed.
	changes []revisedChange
	// newest holds the revision of the newest change of each part in the log.
	newest   map[partID]uint64
	removals int
	// droppedUpTo is the highest revision of a removal that was dropped.
	droppedUpTo uint64
}

func newChangeLog() changeLog {
	// Revision 0 is reserved for a follower that has received nothing.
	return changeLog{revision: 1, newest: map[partID]uint64{}}
}

// append records a change.
func (l *changeLog) append(change Change) {
	l.revision++
	r := revisedChange{revision: l.revision, change: change}
	l.changes = append(l.changes, r)
	l.newest[r.part()] = l.revision
	if r.isRemoval() {
		l.removals++
	}
	if l.removals >= 2*maxRemovals || len(l.changes) >= 2*(len(l.newest)+maxRemovals) {
		l.trim()
	}
}

// trim drops superseded changes and all but the newest maxRemovals removals.
func (l *changeLog) trim() {
	l.changes = slices.DeleteFunc(l.changes, func(r revisedChange) bool { return l.newest[r.part()] != r.revision })
	l.removals = 0
	for _, r := range l.changes {
		if r.isRemoval() {
			l.removals++
		}
	}
	excess := l.removals - maxRemovals
	l.changes = slices.DeleteFunc(l.changes, func(r revisedChange) bool {
		if excess <= 0 || !r.isRemoval() {
			return false
		}
		excess--
		l.removals--
		l.droppedUpTo = r.revision
		delete(l.newest, r.part())
		return true
	})
}

// since returns the changes after a position, at most limit of them.
func (l *changeLog) since(p Position, limit int) Delta {
	d := Delta{Position: p}
	if p.Revision == 0 || p.Revision > l.revision || l.droppedUpTo > max(p.Revision, p.Base) {
		d.IsStart, d.Position = true, Position{Base: l.droppedUpTo}
	}
	first := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].revision > d.Position.Revision })
	for _, r := range l.changes[first:] {
		if l.newest[r.part()] != r.revision || d.IsStart && r.isRemoval() {
			continue
		}
		if len(d.Changes) == limit {
			d.More = true
			return d
		}
		d.Changes = append(d.Changes, r.change)
		d.Position.Revision = r.revision
	}
	d.Position.Revision = l.revision
	return d
}
