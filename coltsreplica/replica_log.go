package coltsreplica

// The log is kept in memory: the position of the snapshot and the entries after it.

// replicaLog holds the entries after the latest snapshot or compaction.
type replicaLog struct {
	// baseIndex and baseTerm are the index and term of the last compacted entry, and
	// baseConfiguration is the configuration in force there.
	baseIndex         uint64
	baseTerm          uint64
	baseConfiguration Configuration
	entries           []Entry
	// persistedIndex is the index up to which the entries are on disk.
	persistedIndex uint64
	// nextToPersist is the index of the first entry that takeUnpersisted has not returned.
	nextToPersist uint64
	// configuration is the newest one in the log, or baseConfiguration.
	configuration Configuration
	// configurationIndex is the index of the newest configuration entry, or baseIndex if
	// no later one is in the log.
	configurationIndex uint64
}

// last returns the index of the last entry.
func (l *replicaLog) last() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *replicaLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an entry, and false if the log does not contain the entry.
func (l *replicaLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// slice returns a copy of the entries from an index on. It returns at most maxEntries
// entries with at most maxBytes of data in total, but always at least one entry if there
// is one.
func (l *replicaLog) slice(from uint64, maxEntries, maxBytes int) []Entry {
	if from <= l.baseIndex || from > l.last() {
		return nil
	}
	var out []Entry
	bytes := 0
	for _, e := range l.entries[from-l.baseIndex-1:] {
		bytes += len(e.Data)
		if len(out) >= maxEntries || (len(out) > 0 && bytes > maxBytes) {
			break
		}
		out = append(out, e)
	}
	return out
}

// entriesBetween returns a copy of the entries after one index, up to and including
// another.
func (l *replicaLog) entriesBetween(after, upTo uint64) []Entry {
	if upTo <= after || after < l.baseIndex {
		return nil
	}
	return append([]Entry(nil), l.entries[after-l.baseIndex:upTo-l.baseIndex]...)
}

// append adds entries to the end of the log.
func (l *replicaLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	for _, e := range entries {
		if e.Kind == EntryConfiguration {
			l.configuration = e.Configuration
			l.configurationIndex = e.Index
		}
	}
}

// truncate drops the entries from an index on.
func (l *replicaLog) truncate(from uint64) {
	// Copy the slice, because messages that are not sent yet may share the old one.
	l.entries = append([]Entry(nil), l.entries[:from-l.baseIndex-1]...)
	l.persistedIndex = min(l.persistedIndex, from-1)
	l.nextToPersist = min(l.nextToPersist, from)
	l.refreshConfiguration()
}

// refreshConfiguration sets the configuration to the newest one in the log.
func (l *replicaLog) refreshConfiguration() {
	l.configuration = l.baseConfiguration
	l.configurationIndex = l.baseIndex
	for _, e := range l.entries {
		if e.Kind == EntryConfiguration {
			l.configuration = e.Configuration
			l.configurationIndex = e.Index
		}
	}
}

// merge appends entries that follow a matching entry. It skips the ones that the log
// already contains, and truncates the log at the first conflict.
func (l *replicaLog) merge(entries []Entry) {
	for i, e := range entries {
		term, known := l.term(e.Index)
		if known && term == e.Term {
			continue
		}
		if known {
			l.truncate(e.Index)
		}
		l.append(entries[i:]...)
		return
	}
}

// takeUnpersisted returns the entries that have not been returned for persisting yet.
func (l *replicaLog) takeUnpersisted() []Entry {
	entries := l.entriesBetween(max(l.baseIndex, l.nextToPersist-1), l.last())
	l.nextToPersist = l.last() + 1
	return entries
}

// install replaces the whole log with a snapshot.
func (l *replicaLog) install(s Snapshot) {
	l.baseIndex = s.Index
	l.baseTerm = s.Term
	l.baseConfiguration = s.Configuration
	l.entries = nil
	l.persistedIndex = s.Index
	l.nextToPersist = s.Index + 1
	l.refreshConfiguration()
}

// configurationUpTo returns the newest configuration up to and including an index.
func (l *replicaLog) configurationUpTo(index uint64) Configuration {
	c := l.baseConfiguration
	for _, e := range l.entriesBetween(l.baseIndex, min(index, l.last())) {
		if e.Kind == EntryConfiguration {
			c = e.Configuration
		}
	}
	return c
}

// retainedFrom returns the index before the oldest entry that stays within the bounds of r, counted
// back from upTo.
func (l *replicaLog) retainedFrom(upTo uint64, r Retention) uint64 {
	bytes := 0
	for index := min(upTo, l.last()); index > l.baseIndex; index-- {
		bytes += len(l.entries[index-l.baseIndex-1].Data)
		if upTo-index >= uint64(r.Entries) || bytes > r.Bytes {
			return index
		}
	}
	return l.baseIndex
}

// compact drops the entries up to and including an index.
func (l *replicaLog) compact(upTo uint64) {
	term, known := l.term(upTo)
	if !known || upTo <= l.baseIndex {
		return
	}
	l.baseConfiguration = l.configurationUpTo(upTo)
	l.entries = append([]Entry(nil), l.entries[upTo-l.baseIndex:]...)
	l.baseIndex = upTo
	l.baseTerm = term
}
