package coltsreplica

// The log in memory: a snapshot's place and the entries after it.

// replicaLog holds the entries after a snapshot.
type replicaLog struct {
	// base and baseTerm are of the last entry that the snapshot covers.
	base          uint64
	baseTerm      uint64
	baseConfig    Configuration
	entries       []Entry
	persisted     uint64
	unsent        uint64
	configuration Configuration
	// configurationAt is the index of the newest configuration.
	configurationAt uint64
}

// last returns the index of the last entry.
func (l *replicaLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *replicaLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an entry, or false if the log does not hold it.
func (l *replicaLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// slice returns a copy of at most max entries from an index on, and at most
// maxBytes of data but for the first.
func (l *replicaLog) slice(from uint64, maxEntries, maxBytes int) []Entry {
	if from <= l.base || from > l.last() {
		return nil
	}
	var out []Entry
	bytes := 0
	for _, e := range l.entries[from-l.base-1:] {
		bytes += len(e.Data)
		if len(out) >= maxEntries || (len(out) > 0 && bytes > maxBytes) {
			break
		}
		out = append(out, e)
	}
	return out
}

// between returns a copy of the entries after one index up to another.
func (l *replicaLog) between(after, upTo uint64) []Entry {
	if upTo <= after || after < l.base {
		return nil
	}
	return append([]Entry(nil), l.entries[after-l.base:upTo-l.base]...)
}

// append adds entries behind the last one.
func (l *replicaLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	for _, e := range entries {
		if e.Kind == EntryConfiguration {
			l.configuration = e.Configuration
			l.configurationAt = e.Index
		}
	}
}

// truncate drops the entries from an index on.
func (l *replicaLog) truncate(from uint64) {
	// A copy, since the old entries may be under way in messages.
	l.entries = append([]Entry(nil), l.entries[:from-l.base-1]...)
	l.persisted = min(l.persisted, from-1)
	l.unsent = min(l.unsent, from)
	l.findConfiguration()
}

// findConfiguration takes the newest configuration that the log still holds.
func (l *replicaLog) findConfiguration() {
	l.configuration = l.baseConfig
	l.configurationAt = l.base
	for _, e := range l.entries {
		if e.Kind == EntryConfiguration {
			l.configuration = e.Configuration
			l.configurationAt = e.Index
		}
	}
}

// merge takes in entries that follow a matching one, and keeps those that it has.
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

// takeUnpersisted returns the entries to persist and counts them as handed out.
func (l *replicaLog) takeUnpersisted() []Entry {
	entries := l.between(max(l.base, l.unsent-1), l.last())
	l.unsent = l.last() + 1
	return entries
}

// install takes a snapshot's place for the whole log.
func (l *replicaLog) install(s Snapshot) {
	l.base = s.Index
	l.baseTerm = s.Term
	l.baseConfig = s.Configuration
	l.entries = nil
	l.persisted = s.Index
	l.unsent = s.Index + 1
	l.findConfiguration()
}

// configurationUpTo returns the newest configuration up to an index.
func (l *replicaLog) configurationUpTo(index uint64) Configuration {
	c := l.baseConfig
	for _, e := range l.between(l.base, min(index, l.last())) {
		if e.Kind == EntryConfiguration {
			c = e.Configuration
		}
	}
	return c
}

// compact drops the entries up to an index.
func (l *replicaLog) compact(upTo uint64) {
	term, known := l.term(upTo)
	if !known || upTo <= l.base {
		return
	}
	l.baseConfig = l.configurationUpTo(upTo)
	l.entries = append([]Entry(nil), l.entries[upTo-l.base:]...)
	l.base = upTo
	l.baseTerm = term
}
