package consensus

// log holds the entries after the snapshot.
type log struct {
	snap    Snapshot
	entries []Entry
}

func newLog(s Snapshot, entries []Entry) log {
	l := log{snap: s}
	for _, e := range entries {
		if e.Index > s.Index {
			l.entries = append(l.entries, e)
		}
	}
	return l
}

// lastIndex returns the index of the last entry.
func (l *log) lastIndex() uint64 { return l.snap.Index + uint64(len(l.entries)) }

// lastTerm returns the term of the last entry.
func (l *log) lastTerm() uint64 { return l.term(l.lastIndex()) }

// hasTerm reports whether the term of the entry at an index is known.
func (l *log) hasTerm(index uint64) bool { return index >= l.snap.Index && index <= l.lastIndex() }

// term returns the term of the entry at an index; hasTerm must be true for it.
func (l *log) term(index uint64) uint64 {
	if index == l.snap.Index {
		return l.snap.Term
	}
	return l.entries[index-l.snap.Index-1].Term
}

func (l *log) append(e Entry) { l.entries = append(l.entries, e) }

// truncateFrom drops the entry at an index and all after it.
func (l *log) truncateFrom(index uint64) {
	l.entries = l.entries[: index-l.snap.Index-1 : index-l.snap.Index-1]
}

// from returns the entry at an index and all after it.
func (l *log) from(index uint64) []Entry {
	if index <= l.snap.Index {
		index = l.snap.Index + 1
	}
	if index > l.lastIndex() {
		return nil
	}
	return append([]Entry(nil), l.entries[index-l.snap.Index-1:]...)
}

// between returns the entries from low to high, both included.
func (l *log) between(low, high uint64) []Entry {
	low = max(low, l.snap.Index+1)
	if low > high {
		return nil
	}
	return append([]Entry(nil), l.entries[low-l.snap.Index-1:high-l.snap.Index]...)
}

// compact drops the entries that a snapshot covers.
func (l *log) compact(s Snapshot) {
	l.entries = append([]Entry(nil), l.entries[s.Index-l.snap.Index:]...)
	l.snap = s
}

// reset replaces the whole log by a snapshot.
func (l *log) reset(s Snapshot) {
	l.snap = s
	l.entries = nil
}
