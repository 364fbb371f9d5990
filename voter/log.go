package voter

// log holds the entries of the replicated log after the last snapshot.
type log struct {
	snapshot Snapshot // without Data
	entries  []Entry
}

func (l *log) lastIndex() uint64 {
	return l.snapshot.Index + uint64(len(l.entries))
}

func (l *log) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index, and false if the log does not hold that
// entry.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

// entriesFrom returns at most limit entries, starting at index. The index must be after
// the snapshot.
func (l *log) entriesFrom(index uint64, limit int) []Entry {
	if index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.snapshot.Index-1:]
	return rest[:min(limit, len(rest))]
}

func (l *log) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncateFrom drops the entries at index and after it.
func (l *log) truncateFrom(index uint64) {
	if index > l.lastIndex() {
		return
	}
	keptCount := index - l.snapshot.Index - 1
	l.entries = append([]Entry(nil), l.entries[:keptCount]...)
}

// compact drops the entries that the snapshot covers. If the log holds another entry at
// the index of the snapshot, or none, compact drops all entries.
func (l *log) compact(s Snapshot) {
	if s.Index <= l.snapshot.Index {
		return
	}
	t, ok := l.term(s.Index)
	if ok && t == s.Term {
		l.entries = append([]Entry(nil), l.entries[s.Index-l.snapshot.Index:]...)
	} else {
		l.entries = nil
	}
	s.Data = nil
	l.snapshot = s
}

// membership returns the latest membership in the log and its index. As Raft requires,
// a membership takes effect as soon as it is in the log, committed or not.
func (l *log) membership() (Membership, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind == EntryMembership {
			return *l.entries[i].Membership, l.entries[i].Index
		}
	}
	return l.snapshot.Membership, l.snapshot.Index
}

// upToDate reports whether a log whose last entry has this term and index is at least
// as up-to-date as l, as Raft defines it for votes.
func (l *log) upToDate(term, index uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}
